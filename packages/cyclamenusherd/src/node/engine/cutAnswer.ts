/** Final answers to the statements of a session whose instance ends. */

import { assessCutStatement } from '@cyclamenusher/decisions'
import type { CutOutcome, CutStatement } from '@cyclamenusher/decisions'
import type { Session, Transaction } from './session.js'
import type { CallerCodec, CallerMessage, StatementRequest } from './statement.js'

/** The statement that is run, and the transaction that was open when it arrived. */
export interface RunningStatement {
  request: StatementRequest
  transaction: Transaction | undefined
}

function findAccess ({ prepared }: Session, { statement }: StatementRequest): CutStatement['access'] {
  if (statement.kind === 'begin' || statement.kind === 'commit' || statement.kind === 'write') return statement.kind
  return statement.kind === 'execute' ? prepared.get(statement.name)?.access ?? 'read' : 'read'
}

/** What became of the statement that is run, and fails its transaction if it belongs to one that stays open. */
export function cutRunning (session: Session, { request, transaction }: RunningStatement): CutOutcome {
  const access = findAccess(session, request)
  const outcome = assessCutStatement({ access, isInTransaction: transaction !== undefined, hasWritten: transaction?.wrote === true })
  if (outcome === 'aborted' && access !== 'commit') session.state = 'failed transaction'
  return outcome
}

/** Answers to the messages that wait behind it, which have not run. */
export function refuseWaiting (codec: CallerCodec, session: Session, messages: readonly CallerMessage[], reason: string): string {
  const answer = codec.failure(session.transaction === undefined ? 'busy' : 'aborted', `${reason}; the statement did not run`) + codec.ready(session.state)
  return messages.filter(({ kind }) => kind === 'statement' || kind === 'malformed').map(() => answer).join('')
}
