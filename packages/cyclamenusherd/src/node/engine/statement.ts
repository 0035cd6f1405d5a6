/** Statements and results, independent of a wire protocol; codecs for callers and for servers read and write them. */

import type { LogPosition } from '@cyclamenusher/decisions'

/** Text of a prepared statement, and whether it reads or writes. */
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

/** A statement as a caller sent it. Its text is forwarded unchanged, with one character for each byte. */
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

/** Transaction state of a session between statements. */
export type SessionState = 'idle' | 'in transaction' | 'failed transaction'

/** Why a statement failed. */
export type FailureKind =
  /** Not run: overload, or no server is available. */
  | 'busy'
  /** The transaction was rolled back. */
  | 'aborted'
  /** Not run: no server holds the log position that the read requires. */
  | 'lagging'
  /** Not run: the server accepts no writes. */
  | 'read only'
  /** Not run: the server at the address is not the expected member. */
  | 'wrong server'
  /** Not run: the limit of connections or the client account's rate is exceeded. */
  | 'too many'
  /** The statement ran and failed. */
  | 'failed'
  /** Not run: the server, or the session, has no prepared statement of that name. */
  | 'statement unknown'
  /** The statement may have run. */
  | 'timeout'
  | 'key refused'
  | 'database unknown'
  | 'too large'
  | 'malformed'
  /** The commit or write may have taken effect. */
  | 'in doubt'

export interface CallerCodec {
  read: (chunk: Buffer) => CallerMessage[]
  /** Memory that is in use for an incomplete message, in bytes. */
  pendingBytes: () => number
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

/** Writes statements for a backend server and reads its messages. */
export interface ServerCodec {
  read: (chunk: Buffer) => ServerMessage[]
  start: (group: string, account: string, member: string) => string
  statement: (id: string, text: string) => string
  /** Text of a read or begin that the server runs only if it holds the position. */
  requirePosition: (position: LogPosition, text: string) => string
  begin: (readOnly: boolean) => string
  rollback: () => string
  set: (name: string, value: string) => string
  prepare: (name: string, definition: StatementDefinition) => string
  execute: (name: string, parameters: string) => string
  /** Clears the values and prepared statements of the server's session. */
  reset: () => string
  status: () => string
  stepDown: (term: number) => string
  /** Reads the row with which the server answers `status` and `stepDown`. @throws RangeError */
  readStatus: (row: string) => { role: 'primary' | 'replica', term: number, received: LogPosition }
}

/** Digest of the results of statements that the instance answers itself. */
export const INTERNAL_DIGEST = '-'
