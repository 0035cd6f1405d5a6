/** What the connections of one stand-in backend server share, and what checks read of them. */

import type { SessionState } from './statements.js'

/** Chunks kept for checks of what a server saw. */
const MAXIMUM_RECEIVED_CHUNKS = 20_000

/** What all connections of one stand-in share. */
export interface ConnectionRegistry {
  /** Open connections for callers' work. */
  open: number
  /** Counts every connection ever opened for callers' work. */
  opened: number
  nextProcessNumber: number
  cancels: Map<number, { secret: number, cancel: () => void }>
  /** User and password that a connection must bring. */
  users: Map<string, string>
  /** Users whose connections come out of the reserved ones. */
  reservedUsers: Set<string>
  /** Everything that callers sent, newest last, for checks that a key never shows. */
  received: Buffer[]
  statements: number
  /** Sessions of callers' work. */
  sessions: Set<SessionState>
}

/** A registry for a server that knows these users. */
export function createConnectionRegistry (users: Map<string, string>, reservedUsers: Set<string>): ConnectionRegistry {
  return { open: 0, opened: 0, nextProcessNumber: 1, cancels: new Map(), users, reservedUsers, received: [], statements: 0, sessions: new Set() }
}

/** Callers' transactions that are open, and statements that run outside of one. */
export function countTransactions (registry: ConnectionRegistry): number {
  return [...registry.sessions].filter(({ transaction, busy }) => busy || transaction !== 'idle').length
}

/** Keeps bytes that a caller sent. */
export function recordReceived (registry: ConnectionRegistry, chunk: Buffer): void {
  registry.received.push(Buffer.from(chunk))
  if (registry.received.length > MAXIMUM_RECEIVED_CHUNKS) registry.received.splice(0, MAXIMUM_RECEIVED_CHUNKS / 2)
}
