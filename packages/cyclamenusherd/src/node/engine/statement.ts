/** Statements and results in terms that every protocol shares; a codec at each edge reads and writes them. */

import type { LogPosition } from '@cyclamenusher/decisions'

/** What a prepared statement runs. */
export interface StatementDefinition {
  access: 'read' | 'write'
  text: string
}

export type Statement =
  | { kind: 'begin', readOnly: boolean }
  | { kind: 'commit' }
  | { kind: 'rollback' }
  | { kind: 'read' }
  | { kind: 'write' }
  | { kind: 'set', name: string, value: string }
  | { kind: 'prepare', name: string, definition: StatementDefinition }
  | { kind: 'execute', name: string, parameters: string }
  | { kind: 'deallocate', name: string }

/** A statement as a caller sent it; its text travels on unchanged, one byte a character. */
export interface StatementRequest {
  id: string
  text: string
  statement: Statement
}

export type CallerMessage =
  | { kind: 'start', database: string, key: string }
  | { kind: 'statement', request: StatementRequest }
  | { kind: 'end' }
  | { kind: 'malformed', id?: string, reason: string }
  | { kind: 'too large' }

/** Where a session stands between its statements. */
export type SessionState = 'idle' | 'in transaction' | 'failed transaction'

/** Why a statement has no result. */
export type FailureKind =
  /** Not run: the system has no room for it, or nobody to run it. */
  | 'busy'
  /** Nothing of the transaction is kept. */
  | 'aborted'
  /** Not run: no server has the data that the read must see. */
  | 'lagging'
  /** Not run: the server takes no writes. */
  | 'read only'
  /** Not run: another server answers at the address. */
  | 'wrong server'
  /** Not run: over a limit of connections or of the client account's rate. */
  | 'too many'
  /** It ran and failed. */
  | 'failed'
  /** Not run: the server has no prepared statement of that name. */
  | 'statement unknown'
  /** It may have run. */
  | 'timeout'
  | 'key refused'
  | 'database unknown'
  | 'too large'
  | 'malformed'
  /** A commit or write that may have taken effect. */
  | 'in doubt'

export interface CallerCodec {
  read: (chunk: Buffer) => CallerMessage[]
  ready: (state: SessionState, position?: LogPosition) => string
  result: (rows: readonly string[], digest: string) => string
  failure: (kind: FailureKind, explanation: string) => string
}

export type ServerMessage =
  | { kind: 'row', row: string }
  | { kind: 'complete', digest: string }
  | { kind: 'failure', failure: FailureKind, explanation: string }
  | { kind: 'ready', state: SessionState, position?: LogPosition }
  | { kind: 'malformed', reason: string }

/** Statements that the system issues itself have no caller's id. */
export interface ServerCodec {
  read: (chunk: Buffer) => ServerMessage[]
  start: (group: string, account: string, member: string) => string
  statement: (id: string, text: string) => string
  /** The text of a read or begin that needs the server to hold a position. */
  requirePosition: (position: LogPosition, text: string) => string
  begin: (readOnly: boolean) => string
  rollback: () => string
  set: (name: string, value: string) => string
  prepare: (name: string, definition: StatementDefinition) => string
  execute: (name: string, parameters: string) => string
  /** Drops values and prepared statements. */
  reset: () => string
  status: () => string
  stepDown: (term: number) => string
  /** Reads the row that answers `status` and `stepDown`. @throws RangeError */
  readStatus: (row: string) => { role: 'primary' | 'replica', term: number, received: LogPosition }
}

/** The digest of statements that the system answers itself. */
export const INTERNAL_DIGEST = '-'
