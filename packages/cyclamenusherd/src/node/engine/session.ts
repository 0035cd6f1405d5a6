/** What a caller's session keeps between statements. */

import type { ClientAccount, LogPosition, Route } from '@cyclamenusher/decisions'
import type { AcquiredConnection } from './groupPool.js'
import type { StatementDefinition, SessionState, StatementRequest } from './statement.js'

/** Who an operation runs for, and by which route. */
export interface AdmittedOperation {
  route: Route
  /** Name that servers are told. */
  account: string
}

export interface Transaction extends AdmittedOperation {
  /** Id of the statement that began it. */
  beginId: string
  readOnly: boolean
  /** Its connection, once it has begun there. */
  acquired?: AcquiredConnection
  /** Its begin at a server, which runs while its caller prepares the first statement. */
  beginning?: Promise<void>
  wrote: boolean
  /** It was ended by the system while its caller was idle. */
  endReason?: string
}

export interface Session {
  database: string
  key: string
  values: Map<string, string>
  prepared: Map<string, StatementDefinition>
  state: SessionState
  transaction?: Transaction
  /** Position of the session's last commit, and when it was acknowledged. */
  lastCommit?: { position: LogPosition, at: number }
}

/** What a caller is answered. */
export interface StatementResult {
  rows: readonly string[]
  digest: string
  position?: LogPosition
}

export interface StatementContext {
  session: Session
  request: StatementRequest
  /** When the statement arrived. */
  startedAt: number
  /** When the statement must be answered. */
  deadline: number
}

/** Account that stands for callers of open routes without a known key. */
export const ANONYMOUS_ACCOUNT = '-'

/** When the answer of a statement is late. */
export function computeObjective ({ startedAt, deadline }: StatementContext, { objectiveMilliseconds }: Route): number {
  return objectiveMilliseconds === undefined ? deadline : startedAt + objectiveMilliseconds
}

export function createSession (database: string, key: string): Session {
  return { database, key, values: new Map(), prepared: new Map(), state: 'idle' }
}

export function accountName (account: ClientAccount | undefined): string {
  return account?.name ?? ANONYMOUS_ACCOUNT
}
