/** Keeps account of the bytes that all clients of this process make it hold, and holds back, refuses or closes clients by the decision in `memoryBudget`. */

import { CLIENT_RESERVE_BYTES, chooseClientToClose, chooseSessionToClose, countBeyondReserve, decideMemoryPressure, mayKeep, mayStartMessage } from '@cyclamenusher/decisions'
import type { Clock } from './clock.js'
import type { LimitReport } from './limits.js'

/**
 * Memory of a message that runs, as a multiple of its bytes: the message, the text in which it is
 * sent on, and that text's bytes.
 */
const RUNNING_FACTOR = 4
/** Interval at which the account is balanced while it is under pressure, in milliseconds. */
const BALANCE_INTERVAL_MILLISECONDS = 50

export interface AccountedClient {
  /** Sets the bytes that the client makes the process hold now. */
  update: (bytes: number) => void
  /** The client has sent or read something. */
  recordProgress: () => void
  /** Adds bytes that stay until they are taken off with a negative number, or the client is released. May close the session that keeps the most. Returns false, and adds none, if too much is kept. */
  keep: (bytes: number) => boolean
  /** Whether more may be read of a client with this much unread input. If not, `resume` is called later. */
  mayRead: (inputBytes: number) => boolean
  release: () => void
}

export interface ClientHandle {
  /** Bytes that the client makes the process hold. */
  measure: () => number
  /** Reads again. */
  resume: () => void
  /** Closes the connection without waiting for its reader. */
  destroy: () => void
}

export interface MemoryAccount {
  open: (handle: ClientHandle) => AccountedClient
  /** Whether a message of this length may run now; counts it if it is refused. */
  mayStart: (messageBytes: number) => boolean
  /** Adds bytes of a message that runs; the function that it returns takes them off. */
  start: (messageBytes: number) => () => void
  usedBytes: () => number
  close: () => void
}

interface Client {
  handle: ClientHandle
  /** All bytes of the client, with those that its session keeps. */
  bytes: number
  kept: number
  progressAt: number
  held: boolean
}

export function createMemoryAccount (limitBytes: number, clock: Clock, { report }: Pick<LimitReport, 'report'>): MemoryAccount {
  const clients = new Set<Client>()
  /** Clients of which nothing is read, in the order in which they are read again. */
  const held = new Set<Client>()
  let granted: Client | undefined
  /** Bytes of clients, and these with what runs and what is kept. */
  let clientBytes = 0
  let used = 0
  /** Bytes that sessions keep beyond their reserves. */
  let keptBeyondReserves = 0
  let timer: NodeJS.Timeout | undefined

  const pressure = (): ReturnType<typeof decideMemoryPressure> => decideMemoryPressure(used, limitBytes)

  function setBytes (client: Client, bytes: number): void {
    used += bytes - client.bytes
    clientBytes += bytes - client.bytes
    client.bytes = bytes
    watchPressure()
  }

  /** Balances the account until the pressure is over. Clients that are held back are read again by this only. */
  function watchPressure (): void {
    if (pressure() !== 'none') timer ??= setInterval(balance, BALANCE_INTERVAL_MILLISECONDS)
  }

  function closeClients (): void {
    while (pressure() === 'close') {
      const client = chooseClientToClose(clients, clock.now(), clientBytes < limitBytes)
      if (client === undefined) return
      report('buffered bytes closed', { bytes: client.bytes, used, limitBytes })
      release(client)
      client.handle.destroy()
    }
  }

  function resume (client: Client): void {
    held.delete(client)
    client.held = false
    client.handle.resume()
  }

  /**
   * Closes clients while the limit is exceeded, and reads of all again once there is no pressure.
   * Until then one held client at a time may go on, so that those that hold incomplete messages
   * only do not wait for one another.
   */
  function balance (): void {
    for (const client of clients) setBytes(client, client.handle.measure() + client.kept)
    closeClients()
    if (pressure() === 'none') {
      granted = undefined
      clearInterval(timer)
      timer = undefined
      for (const client of [...held]) resume(client)
      return
    }
    const [next] = held
    granted = next
    if (next !== undefined) resume(next)
  }

  function setKept (client: Client, bytes: number): void {
    keptBeyondReserves += countBeyondReserve(bytes) - countBeyondReserve(client.kept)
    const others = client.bytes - client.kept
    client.kept = bytes
    setBytes(client, others + bytes)
  }

  /** Makes room for what a session adds by closing the one that keeps the most. Returns whether there is room. */
  function makeRoom (client: Client, bytes: number): boolean {
    const added = countBeyondReserve(bytes) - countBeyondReserve(client.kept)
    while (added > 0 && !mayKeep(keptBeyondReserves, limitBytes, added)) {
      const largest = chooseSessionToClose(clients, bytes)
      if (largest === undefined) return false
      report('session bytes closed', { bytes: largest.kept, used, limitBytes })
      release(largest)
      largest.handle.destroy()
    }
    return true
  }

  function release (client: Client): void {
    if (!clients.has(client)) return
    setKept(client, 0)
    clients.delete(client)
    held.delete(client)
    used -= client.bytes
    clientBytes -= client.bytes
  }

  return {
    open: handle => {
      const client: Client = { handle, bytes: 0, kept: 0, progressAt: clock.now(), held: false }
      clients.add(client)
      return {
        update: bytes => {
          if (bytes + client.kept !== client.bytes && clients.has(client)) setBytes(client, bytes + client.kept)
          if (used >= limitBytes) closeClients()
        },
        recordProgress: () => { client.progressAt = clock.now() },
        keep: bytes => {
          if (!clients.has(client) || (bytes > 0 && !makeRoom(client, client.kept + bytes))) return false
          setKept(client, client.kept + bytes)
          return true
        },
        mayRead: inputBytes => {
          if (inputBytes <= CLIENT_RESERVE_BYTES || client === granted || pressure() === 'none') return true
          if (!client.held) report('buffered bytes held back', { bytes: client.bytes, used, limitBytes })
          client.held = true
          held.add(client)
          watchPressure()
          return false
        },
        release: () => { release(client) }
      }
    },
    mayStart: messageBytes => {
      const may = mayStartMessage(used, limitBytes, messageBytes, messageBytes * RUNNING_FACTOR)
      if (!may) report('buffered bytes refused', { bytes: messageBytes, used, limitBytes })
      return may
    },
    start: messageBytes => {
      const bytes = messageBytes * RUNNING_FACTOR
      used += bytes
      watchPressure()
      return () => { used -= bytes }
    },
    usedBytes: () => used,
    close: () => { clearInterval(timer) }
  }
}
