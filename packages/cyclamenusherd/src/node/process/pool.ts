/**
 * Pool of connections to one backend server. A connection serves one request or
 * transaction at a time, and is reused only if its state is known to be clean.
 */

import { NO_SETTINGS, createFairQueue } from '@cyclamenusher/decisions'
import { openBackendConnection } from '../connection/backendConnection.js'
import { runInternalStatement } from '../request/ownStatement.js'
import type { QueueEntry, QueuePolicy } from '@cyclamenusher/decisions'
import type { BackendConnection, BackendTarget } from '../connection/backendConnection.js'
import type { Clock } from './clock.js'
import type { ScopedLogger } from './logger.js'

/** Connections that stay open while idle. */
const MINIMUM_CONNECTIONS = 2
/** Idle time after which a connection beyond the minimum is closed, in milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000
/** Idle time after which a connection is checked before it is used, in milliseconds. */
const CHECK_AFTER_IDLE_MILLISECONDS = 1_000
/** Time limit for the check of an idle connection, in milliseconds. */
const CHECK_TIMEOUT_MILLISECONDS = 250
/** Time limit for resetting a connection's session, in milliseconds. */
const RESET_TIMEOUT_MILLISECONDS = 1_000
/** Bounds of the pause after a connection could not be opened, in milliseconds; it doubles with each failure. */
const MINIMUM_BACKOFF_MILLISECONDS = 50
const MAXIMUM_BACKOFF_MILLISECONDS = 2_000
/** Interval at which surplus connections are closed and missing ones opened, in milliseconds. */
const MAINTENANCE_INTERVAL_MILLISECONDS = 1_000
/** Requests that may wait for a connection to one server. */
const MAXIMUM_WAITING_REQUESTS = 2_000
/** SQLSTATE of a server that accepts no further connections. */
const TOO_MANY_CONNECTIONS = '53300'

/** No connection became free in time, or too many requests wait; the request has not run. */
export class PoolWaitError extends Error {
  override readonly name = 'PoolWaitError'
}

/** The backend server can't be reached; the request has not run. */
export class PoolConnectError extends Error {
  override readonly name = 'PoolConnectError'
}

export interface Pool {
  readonly member: string
  /** @throws PoolWaitError, PoolConnectError */
  acquire: (account: string, milliseconds: number) => Promise<BackendConnection>
  /** Returns a connection to the pool, which closes it unless its state is known to be clean. */
  release: (connection: BackendConnection, clean: boolean) => void
  /** Requests that hold or wait for a connection. */
  busy: () => number
  size: () => number
  close: () => void
}

export interface PoolOptions {
  target: BackendTarget
  /** Returns how many connections this instance may have now. */
  limit: () => number
  /** Weight of an account when connections are scarce. @default 1 for each */
  weightOf?: (account: string) => number
  /** @default 'weighted fair' */
  policy?: QueuePolicy
  clock: Clock
  logger: ScopedLogger
  onSizeChange: (size: number) => void
  /** Opens a connection. @default openBackendConnection */
  open?: typeof openBackendConnection
}

interface Waiter extends QueueEntry {
  grant: (connection: BackendConnection) => void
  fail: (error: Error) => void
}

export function createPool (options: PoolOptions): Pool {
  const { target, limit, weightOf = () => 1, policy, clock, logger, onSizeChange, open = openBackendConnection } = options
  /** Idle connections, the most recently used last: those at the front are closed first. */
  const idle: BackendConnection[] = []
  const connections = new Set<BackendConnection>()
  const inUse = new Map<BackendConnection, { account: string, acquiredAt: number }>()
  const waiters = createFairQueue<Waiter>({ maximumWaiting: MAXIMUM_WAITING_REQUESTS }, policy)
  let openingCount = 0
  let closed = false
  /** Connections that were open when the server refused another one, raised again over time; undefined: no refusal lately. */
  let serverCapacity: number | undefined
  let backoffMilliseconds = 0
  let nextOpenAt = 0
  let openTimer: NodeJS.Timeout | undefined

  function mayOpen (): boolean {
    const maximum = Math.min(limit(), serverCapacity ?? Infinity)
    return !closed && connections.size + openingCount < Math.max(1, maximum) && clock.now() >= nextOpenAt
  }

  function markInUse (connection: BackendConnection, account: string): void {
    inUse.set(connection, { account, acquiredAt: clock.now() })
  }

  /** Gives a free connection to the next waiter, or keeps it idle; closes it if the pool is above its limit. */
  function makeAvailable (connection: BackendConnection): void {
    if (connections.size > limit()) return connection.close()
    const waiter = waiters.take()
    if (waiter === undefined) {
      idle.push(connection)
      return
    }
    markInUse(connection, waiter.account)
    waiter.grant(connection)
  }

  function removeConnection (connection: BackendConnection): void {
    if (!connections.delete(connection)) return
    const index = idle.indexOf(connection)
    if (index >= 0) idle.splice(index, 1)
    onSizeChange(connections.size)
    openForWaiters()
  }

  /** Opens connections for the waiters, now or when the pause after a failure is over. */
  function openForWaiters (): void {
    while (openingCount < waiters.size() && mayOpen()) openConnection()
    const delayMilliseconds = nextOpenAt - clock.now()
    if (waiters.size() === 0 || delayMilliseconds <= 0 || openTimer !== undefined) return
    openTimer = setTimeout(() => {
      openTimer = undefined
      openForWaiters()
    }, delayMilliseconds)
  }

  function handleOpenFailure (error: Error & { code?: string }): void {
    backoffMilliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, Math.max(MINIMUM_BACKOFF_MILLISECONDS, backoffMilliseconds * 2))
    nextOpenAt = clock.now() + backoffMilliseconds
    logger.warn('A connection could not be opened.', { member: target.member, error: error.message, open: connections.size, backoffMilliseconds })
    if (error.code === TOO_MANY_CONNECTIONS) serverCapacity = Math.max(1, connections.size)
    // Waiters can get an existing connection, and a full server may accept connections again in time.
    if (connections.size > 0 || error.code === TOO_MANY_CONNECTIONS) return openForWaiters()
    // The server can't be reached: waiters fail at once, so that their requests can be routed elsewhere.
    nextOpenAt = 0
    for (const waiter of waiters.clear()) waiter.fail(new PoolConnectError(error.message))
  }

  function openConnection (): void {
    openingCount += 1
    let connection: BackendConnection | undefined
    open(target, () => { if (connection !== undefined) removeConnection(connection) }).then(opened => {
      openingCount -= 1
      connection = opened
      if (closed || !opened.isOpen()) return opened.close()
      connections.add(opened)
      backoffMilliseconds = 0
      onSizeChange(connections.size)
      opened.usedAt = clock.now()
      makeAvailable(opened)
    }, (error: Error) => {
      openingCount -= 1
      if (!closed) handleOpenFailure(error)
    })
  }

  async function waitForConnection (account: string, milliseconds: number): Promise<BackendConnection> {
    return await new Promise<BackendConnection>((resolve, reject) => {
      const waiter: Waiter = {
        account,
        weight: weightOf(account),
        grant: connection => {
          clearTimeout(timer)
          resolve(connection)
        },
        fail: error => {
          clearTimeout(timer)
          reject(error)
        }
      }
      const timer = setTimeout(() => {
        waiters.remove(waiter)
        if (connections.size === 0 && openingCount > 0) reject(new PoolConnectError(`${target.member} could not be reached in ${milliseconds} ms`))
        else reject(new PoolWaitError(`no connection to ${target.member} came free in ${milliseconds} ms`))
      }, milliseconds)
      waiters.add(waiter)?.fail(new PoolWaitError(`too many requests wait for a connection to ${target.member}`))
      openForWaiters()
    })
  }

  /** Whether a connection is usable: one that was idle for long must answer an empty statement. */
  async function isResponsive (connection: BackendConnection): Promise<boolean> {
    if (clock.now() - connection.usedAt < CHECK_AFTER_IDLE_MILLISECONDS) return connection.isOpen()
    try {
      await runInternalStatement(connection, '', CHECK_TIMEOUT_MILLISECONDS)
      return true
    } catch (error) {
      logger.warn('An idle connection no longer answers.', { member: target.member, error: (error as Error).message })
      connection.destroy()
      // Other connections that were idle as long are most likely dead too.
      for (const other of [...idle]) if (clock.now() - other.usedAt >= CHECK_AFTER_IDLE_MILLISECONDS) other.destroy()
      return false
    }
  }

  async function acquire (account: string, milliseconds: number): Promise<BackendConnection> {
    if (closed) throw new PoolConnectError('the pool is closed')
    const deadline = clock.now() + milliseconds
    for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
      waiters.acquire({ account, weight: weightOf(account) })
      markInUse(connection, account)
      if (await isResponsive(connection)) return connection
      endUse(connection)
    }
    return await waitForConnection(account, Math.max(1, deadline - clock.now()))
  }

  /** Records that a connection is no longer in use; returns false if it was not. */
  function endUse (connection: BackendConnection): boolean {
    const usage = inUse.get(connection)
    if (usage === undefined) return false
    inUse.delete(connection)
    waiters.release(usage.account, clock.now() - usage.acquiredAt)
    return true
  }

  /** Clears session state that a statement may have left on the server, then makes the connection available. */
  async function resetAndMakeAvailable (connection: BackendConnection): Promise<void> {
    try {
      await runInternalStatement(connection, 'DISCARD ALL', RESET_TIMEOUT_MILLISECONDS)
    } catch {
      connection.destroy()
      return
    }
    connection.prepared.clear()
    connection.settings = NO_SETTINGS
    connection.mayHaveChangedSession = false
    makeAvailable(connection)
  }

  function release (connection: BackendConnection, clean: boolean): void {
    if (!endUse(connection)) return
    if (!clean || !connection.isReusable() || closed) {
      connection.close()
      return
    }
    connection.usedAt = clock.now()
    if (connection.mayHaveChangedSession) void resetAndMakeAvailable(connection)
    else makeAvailable(connection)
  }

  const maintenanceTimer = setInterval(() => {
    // The server may accept more connections again: raises the capacity by one connection at a time.
    if (serverCapacity !== undefined && clock.now() >= nextOpenAt) serverCapacity = serverCapacity + 1 >= limit() ? undefined : serverCapacity + 1
    const minimum = connections.size > limit() ? 0 : MINIMUM_CONNECTIONS
    while (idle.length > 0 && connections.size > minimum && (connections.size > limit() || clock.now() - idle[0].usedAt > IDLE_TIMEOUT_MILLISECONDS)) idle.shift()?.close()
    if (connections.size + openingCount < Math.min(MINIMUM_CONNECTIONS, limit()) && mayOpen()) openConnection()
    openForWaiters()
  }, MAINTENANCE_INTERVAL_MILLISECONDS)
  maintenanceTimer.unref()

  return {
    member: target.member,
    acquire,
    release,
    busy: () => inUse.size + waiters.size(),
    size: () => connections.size,
    close: () => {
      closed = true
      clearInterval(maintenanceTimer)
      clearTimeout(openTimer)
      for (const waiter of waiters.clear()) waiter.fail(new PoolConnectError('the pool is closed'))
      for (const connection of connections) connection.close()
    }
  }
}
