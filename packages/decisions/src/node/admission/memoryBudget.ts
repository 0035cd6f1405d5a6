/**
 * Decides what a process does about the bytes that its clients make it hold: unread input,
 * requests in progress, answers that wait for their reader, and values of sessions.
 *
 * Load pattern: many clients send long messages at once or piece by piece, stop half-way, or
 * do not read their answers. Each of them stays within the limits of one connection.
 */

const MEBIBYTE = 1024 * 1024
/**
 * Part of the machine's memory that clients may make a process hold. An accounted byte takes up
 * to three bytes of memory until the collector has run, beside 70 MB of the program: at 202 MB
 * of memory that is 146 MB.
 */
const CLIENT_PART = 1 / 8
/** Least account, in bytes: one message of 1 MiB is held several times while it runs. */
const MINIMUM_BYTES = 8 * MEBIBYTE
/** Parts of the account from which reading stops, and from which new messages are refused. */
const HOLD_PART = 0.5
const REFUSE_PART = 0.75
/** Part of the account that values of sessions may take: they are not released under pressure. */
const KEPT_PART = 0.25

/** Bytes that each client may hold whatever the others do, so that an ordinary request always gets through. */
export const CLIENT_RESERVE_BYTES = 8 * 1024

export type MemoryPressure = 'none' | 'hold reading' | 'refuse' | 'close'

/** The account of a process on a machine with this much memory, in bytes. */
export function computeMemoryLimit (machineMebibytes: number): number {
  return Math.max(MINIMUM_BYTES, Math.floor(machineMebibytes * MEBIBYTE * CLIENT_PART))
}

export function decideMemoryPressure (usedBytes: number, limitBytes: number): MemoryPressure {
  if (usedBytes >= limitBytes) return 'close'
  if (usedBytes >= limitBytes * REFUSE_PART) return 'refuse'
  return usedBytes >= limitBytes * HOLD_PART ? 'hold reading' : 'none'
}

/** Whether a client's message may begin to run that takes this much more while it runs. */
export function mayStartMessage (usedBytes: number, limitBytes: number, messageBytes: number, runningBytes: number): boolean {
  if (messageBytes <= CLIENT_RESERVE_BYTES) return true
  return usedBytes < limitBytes * REFUSE_PART && usedBytes + runningBytes < limitBytes
}

export function mayKeep (keptBytes: number, limitBytes: number, additionalBytes: number): boolean {
  return keptBytes + additionalBytes <= limitBytes * KEPT_PART
}

/** Bytes that a session keeps beyond the reserve, which each session may keep whatever the others do. */
export function countBeyondReserve (keptBytes: number): number {
  return Math.max(0, keptBytes - CLIENT_RESERVE_BYTES)
}

/** The session that is closed when the part for kept bytes is full: the one that keeps the most, if that is more than the session that needs room would keep. */
export function chooseSessionToClose<Session extends { kept: number }> (sessions: Iterable<Session>, keptBytes: number): Session | undefined {
  let chosen: Session | undefined
  for (const session of sessions) if (session.kept > (chosen?.kept ?? keptBytes)) chosen = session
  return chosen
}

/** What a client makes the process hold. */
export interface ClientBytes {
  bytes: number
  /** When the client last sent or read anything, in milliseconds. */
  progressAt: number
}

/** The client that is closed first: the one that holds the most for the longest time without progress. Those within their reserve are spared where `sparesReserves`. */
export function chooseClientToClose<Client extends ClientBytes> (clients: Iterable<Client>, now: number, sparesReserves: boolean): Client | undefined {
  let chosen: Client | undefined
  let highestCost = 0
  for (const client of clients) {
    if (sparesReserves && client.bytes <= CLIENT_RESERVE_BYTES) continue
    const cost = client.bytes * (1 + Math.max(0, now - client.progressAt) / 1000)
    if (cost <= highestCost) continue
    highestCost = cost
    chosen = client
  }
  return chosen
}
