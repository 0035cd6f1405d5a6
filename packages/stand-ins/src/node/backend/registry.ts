/** State shared by the connections of one stand-in backend server, some of it kept for checks. */

import type { SessionState } from './statements.js'

/** Maximum number of received chunks kept for checks; beyond it, the oldest half is removed. */
const MAXIMUM_RECEIVED_CHUNKS = 20_000

export interface ConnectionRegistry {
  /** Open connections for callers' work. */
  open: number
  /** Number of connections opened for callers' work since the start. */
  opened: number
  nextProcessNumber: number
  /** Secrets and cancel functions of the connections, by process number. */
  cancels: Map<number, { secret: number, cancel: () => void }>
  /** Passwords by user. */
  users: Map<string, string>
  /** Users whose connections do not count towards the connection limit. */
  reservedUsers: Set<string>
  /** Chunks received from callers, newest last, for checks that no key of a client account is sent to a server. */
  received: Buffer[]
  /** Number of statements run since the start. */
  statements: number
  /** Sessions of callers' work. */
  sessions: Set<SessionState>
}

/** Creates a registry for a server that accepts these users. */
export function createConnectionRegistry (users: Map<string, string>, reservedUsers: Set<string>): ConnectionRegistry {
  return { open: 0, opened: 0, nextProcessNumber: 1, cancels: new Map(), users, reservedUsers, received: [], statements: 0, sessions: new Set() }
}

/** Counts callers' open transactions and the statements that run outside of one. */
export function countTransactions (registry: ConnectionRegistry): number {
  return [...registry.sessions].filter(({ transaction, busy }) => busy || transaction !== 'idle').length
}

export function recordReceived (registry: ConnectionRegistry, chunk: Buffer): void {
  registry.received.push(Buffer.from(chunk))
  if (registry.received.length > MAXIMUM_RECEIVED_CHUNKS) registry.received.splice(0, MAXIMUM_RECEIVED_CHUNKS / 2)
}
