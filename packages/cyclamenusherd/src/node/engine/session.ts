/** State of a caller's session that lasts between statements. */

import type { ClientAccount, LogPosition, Route } from '@cyclamenusher/decisions'
import type { ForwardedTransaction } from './forwarding/forwarding.js'
import type { AcquiredConnection } from './groupPool.js'
import type { StatementDefinition, SessionState, StatementRequest } from './statement.js'

/** The part of a route that decides how an operation runs. */
export type OperationRoute = Pick<Route, 'group' | 'readPolicy' | 'maximumStalenessMilliseconds' | 'objectiveMilliseconds' | 'priority'>

/** By what an operation was admitted, so that the instance that runs it can decide again by a newer declaration. */
export interface Admission {
  /** Version of the declaration that admitted the operation. */
  version: number
  database: string
  /** Digest of the caller's key (`digestKey`). */
  keyDigest: string
}

/** An operation that may run: its route, and the account that it runs for. */
export interface AdmittedOperation {
  route: OperationRoute
  /** Account name that is sent to backend servers. */
  account: string
  /** Regions in which the operation may run, by the lists of its route and account; undefined: all, empty: none. */
  allowedRegions?: string[]
  /** Undefined: the declaration that admitted it was the newest. */
  admission?: Admission
}

export interface Transaction extends AdmittedOperation {
  /** Id of the caller's statement that began the transaction. */
  beginId: string
  readOnly: boolean
  /** Connection on which the transaction has begun; undefined before that and after its end. */
  acquired?: AcquiredConnection
  /** Settles when the attempt to begin the transaction in the background has succeeded or failed. */
  beginning?: Promise<void>
  wrote: boolean
  /** Whether its holder has run a statement of it, or may have. */
  hasRun?: boolean
  /** The transaction at the holder that runs it; undefined, or resolved with undefined: this instance runs it. */
  forwarded?: Promise<ForwardedTransaction | undefined>
  /** Whether a statement of it is being run on `acquired`. */
  isRunning?: boolean
  /** Why the instance ended the transaction while its caller was idle, or because of a drain; undefined: it did not. */
  endReason?: string
}

export interface Session {
  database: string
  key: string
  /** Digest of the key, once it was needed. */
  keyDigest?: string
  values: Map<string, string>
  prepared: Map<string, StatementDefinition>
  state: SessionState
  transaction?: Transaction
  /** Log position of the session's last commit, and when the commit was acknowledged. */
  lastCommit?: { position: LogPosition, at: number }
}

/** Result of a statement that succeeded, as the caller receives it. */
export interface StatementResult {
  rows: readonly string[]
  digest: string
  position?: LogPosition
  /** The primary that committed, and its designation. */
  primary?: { member: string, designation: number }
}

/** Where the time of a statement went, in milliseconds, as far as it is known. */
export interface StatementTiming {
  /** Until the operation was admitted by its account's rate. */
  admission?: number
  /** Until a connection was acquired, at the instance that holds it. */
  acquisition?: number
  /** From the arrival at the holder to its answer. */
  atHolder?: number
}

export interface StatementContext {
  /** By what a statement of an open transaction was admitted; undefined: by the newest declaration, or outside transactions. */
  admission?: Admission
  /** The instance that ran the statement for this one, and the version of its declaration as far as it is known; logged with the answer. */
  holder?: { name: string, version?: number }
  /** Filled in while the statement runs; logged with its answer. */
  timing: StatementTiming
  session: Session
  request: StatementRequest
  /** When the statement arrived. */
  startedAt: number
  /** Time after which an answer is useless. */
  deadline: number
}

/** Account name for callers of open routes whose key belongs to no client account. */
export const ANONYMOUS_ACCOUNT = '-'

/** Time after which the answer to a statement is late, but still useful; the deadline where the route has no objective. */
export function computeObjective ({ startedAt, deadline }: StatementContext, { objectiveMilliseconds }: OperationRoute): number {
  return objectiveMilliseconds === undefined ? deadline : startedAt + objectiveMilliseconds
}

export function createSession (database: string, key: string): Session {
  return { database, key, values: new Map(), prepared: new Map(), state: 'idle' }
}

export function accountName (account: ClientAccount | undefined): string {
  return account?.name ?? ANONYMOUS_ACCOUNT
}
