/** Runs the operations of callers on connections to backend servers. */

import { confirmAdmission } from './operationAdmission.js'
import { runRead } from './reads.js'
import { beginInBackground, commitTransaction, rollBackTransaction, runInTransaction } from './transactions.js'
import { runWrite } from './writes.js'
import type { EngineServices } from './services.js'
import type { AdmittedOperation, StatementContext, StatementResult, Transaction } from './session.js'

export interface OperationRunner {
  /** Runs a read or a write outside transactions. @throws StatementFailure */
  run: (context: StatementContext, operation: AdmittedOperation, access: 'read' | 'write') => Promise<StatementResult>
  /** Begins the transaction in the background. */
  begin: (context: StatementContext, transaction: Transaction) => void
  /** Runs a read or a write in the transaction. @throws StatementFailure */
  continue: (context: StatementContext, transaction: Transaction, isWrite: boolean) => Promise<StatementResult>
  /** Commits the transaction; the session is idle afterwards, whatever the result. @throws StatementFailure */
  commit: (context: StatementContext, transaction: Transaction) => Promise<StatementResult>
  /** Rolls the transaction back in the background; `id` is that of the caller's statement, if there is one. */
  rollBack: (transaction: Transaction, id?: string) => void
}

export type LocalServices = Pick<EngineServices, 'link' | 'regions' | 'group' | 'codec' | 'clock' | 'log'>

/** Runs operations on this instance's own connections. */
export function createLocalRunner (services: LocalServices): OperationRunner {
  const runners = { read: runRead, write: runWrite }
  return {
    run: async (context, operation, access) => await runners[access](services, context, confirmAdmission(services, operation)),
    begin: (context, transaction) => { beginInBackground(services, context, transaction) },
    continue: async (context, transaction, isWrite) => await runInTransaction(services, context, transaction, isWrite),
    commit: async (context, transaction) => await commitTransaction(services, context, transaction),
    rollBack: (transaction, id) => { rollBackTransaction(services, transaction, id) }
  }
}
