/**
 * Connections to one backend server, lent to one request or transaction at a
 * time. Only connections in a known clean state are lent again.
 */

import { NO_SETTINGS, createFairQueue } from '@cyclamenusher/decisions'
import { openBackendConnection } from '../connection/backendConnection.js'
import { runInternalStatement } from '../request/ownStatement.js'
import type { QueueEntry, QueuePolicy } from '@cyclamenusher/decisions'
import type { BackendConnection, BackendTarget } from '../connection/backendConnection.js'
import type { Clock } from './clock.js'
import type { ScopedLogger } from './logger.js'

/** Connections that stay open while nobody needs them. */
const WARM_CONNECTIONS = 2
/** Time after which a connection beyond the warm ones is closed, in milliseconds. */
const IDLE_MILLISECONDS = 60_000
/** Quiet time after which a connection is checked before it is lent, in milliseconds. */
const QUIET_MILLISECONDS = 1_000
/** Time that the check of a quiet connection may take, in milliseconds. */
const CHECK_MILLISECONDS = 250
/** Time that cleaning a connection may take, in milliseconds. */
const CLEAN_MILLISECONDS = 1_000
/** Pause after the server refused a further connection, in milliseconds; it doubles each time. */
const FIRST_BACKOFF_MILLISECONDS = 50
const LAST_BACKOFF_MILLISECONDS = 2_000
/** How often a pool looks after its connections, in milliseconds. */
const UPKEEP_MILLISECONDS = 1_000
/** Requests that may wait for a connection of one server. */
const MAXIMUM_WAITING = 2_000
/** SQLSTATE of a server that takes no further connection. */
const TOO_MANY_CONNECTIONS = '53300'

/** No connection came free in time, or too many wait; the request has not run. */
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
  /** Gives a connection back; only one in a known clean state may be lent again. */
  release: (connection: BackendConnection, clean: boolean) => void
  /** Requests that hold or wait for a connection. */
  busy: () => number
  size: () => number
  close: () => void
}

export interface PoolOptions {
  target: BackendTarget
  /** Connections that this instance may open now. */
  limit: () => number
  /** Share of an account in scarce connections. @default 1 for each */
  weightOf?: (account: string) => number
  /** @default 'weighted fair' */
  policy?: QueuePolicy
  clock: Clock
  logger: ScopedLogger
  onSize: (size: number) => void
  /** Opens a connection; tests pass their own. */
  open?: typeof openBackendConnection
}

interface Waiter extends QueueEntry {
  grant: (connection: BackendConnection) => void
  fail: (error: Error) => void
}

export function createPool (options: PoolOptions): Pool {
  const { target, limit, weightOf = () => 1, policy, clock, logger, onSize, open = openBackendConnection } = options
  /** Most recently used last, so that the others can be closed. */
  const idle: BackendConnection[] = []
  const all = new Set<BackendConnection>()
  const lent = new Map<BackendConnection, { account: string, since: number }>()
  const waiters = createFairQueue<Waiter>({ maximumWaiting: MAXIMUM_WAITING }, policy)
  let opening = 0
  let closed = false
  /** Connections that the server gave when it refused more; undefined: it refused none lately. */
  let ceiling: number | undefined
  let backoffMilliseconds = 0
  let openAfter = 0
  let reopen: NodeJS.Timeout | undefined

  function mayOpen (): boolean {
    const most = Math.min(limit(), ceiling ?? Infinity)
    return !closed && all.size + opening < Math.max(1, most) && clock.now() >= openAfter
  }

  function lend (connection: BackendConnection, account: string): void {
    lent.set(connection, { account, since: clock.now() })
  }

  function hand (connection: BackendConnection): void {
    if (all.size > limit()) return connection.close()
    const waiter = waiters.take()
    if (waiter === undefined) {
      idle.push(connection)
      return
    }
    lend(connection, waiter.account)
    waiter.grant(connection)
  }

  function forget (connection: BackendConnection): void {
    if (!all.delete(connection)) return
    const at = idle.indexOf(connection)
    if (at >= 0) idle.splice(at, 1)
    onSize(all.size)
    openForWaiters()
  }

  function openForWaiters (): void {
    while (opening < waiters.size() && mayOpen()) openOne()
    const late = openAfter - clock.now()
    if (waiters.size() === 0 || late <= 0 || reopen !== undefined) return
    reopen = setTimeout(() => {
      reopen = undefined
      openForWaiters()
    }, late)
  }

  function onOpenFailed (error: Error & { code?: string }): void {
    backoffMilliseconds = Math.min(LAST_BACKOFF_MILLISECONDS, Math.max(FIRST_BACKOFF_MILLISECONDS, backoffMilliseconds * 2))
    openAfter = clock.now() + backoffMilliseconds
    logger.warn('A connection could not be opened.', { member: target.member, error: error.message, open: all.size, backoffMilliseconds })
    if (error.code === TOO_MANY_CONNECTIONS) ceiling = Math.max(1, all.size)
    // Connections that exist serve the others; a full server may have room again in time.
    if (all.size > 0 || error.code === TOO_MANY_CONNECTIONS) return openForWaiters()
    // The server can't be reached: the requests may find another one.
    openAfter = 0
    for (const waiter of waiters.clear()) waiter.fail(new PoolConnectError(error.message))
  }

  function openOne (): void {
    opening += 1
    let connection: BackendConnection | undefined
    open(target, () => { if (connection !== undefined) forget(connection) }).then(opened => {
      opening -= 1
      connection = opened
      if (closed || !opened.isOpen()) return opened.close()
      all.add(opened)
      backoffMilliseconds = 0
      onSize(all.size)
      opened.usedAt = clock.now()
      hand(opened)
    }, (error: Error) => {
      opening -= 1
      if (!closed) onOpenFailed(error)
    })
  }

  async function wait (account: string, milliseconds: number): Promise<BackendConnection> {
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
        if (all.size === 0 && opening > 0) reject(new PoolConnectError(`${target.member} could not be reached in ${milliseconds} ms`))
        else reject(new PoolWaitError(`no connection to ${target.member} came free in ${milliseconds} ms`))
      }, milliseconds)
      waiters.add(waiter)?.fail(new PoolWaitError(`too many requests wait for a connection to ${target.member}`))
      openForWaiters()
    })
  }

  /** Whether a connection that was quiet for long still answers. */
  async function answers (connection: BackendConnection): Promise<boolean> {
    if (clock.now() - connection.usedAt < QUIET_MILLISECONDS) return connection.isOpen()
    try {
      await runInternalStatement(connection, '', CHECK_MILLISECONDS)
      return true
    } catch (error) {
      logger.warn('A quiet connection does not answer any more.', { member: target.member, error: (error as Error).message })
      connection.destroy()
      // What was quiet as long has most likely gone the same way.
      for (const other of [...idle]) if (clock.now() - other.usedAt >= QUIET_MILLISECONDS) other.destroy()
      return false
    }
  }

  async function acquire (account: string, milliseconds: number): Promise<BackendConnection> {
    if (closed) throw new PoolConnectError('the pool is closed')
    const deadline = clock.now() + milliseconds
    for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
      waiters.acquire({ account, weight: weightOf(account) })
      lend(connection, account)
      if (await answers(connection)) return connection
      takeBack(connection)
    }
    return await wait(account, Math.max(1, deadline - clock.now()))
  }

  /** Ends a loan; false: the connection was not lent, or not any more. */
  function takeBack (connection: BackendConnection): boolean {
    const loan = lent.get(connection)
    if (loan === undefined) return false
    lent.delete(connection)
    waiters.release(loan.account, clock.now() - loan.since)
    return true
  }

  /** Takes back what a statement may have left on the server's session, then lends again. */
  async function cleanAndHand (connection: BackendConnection): Promise<void> {
    try {
      await runInternalStatement(connection, 'DISCARD ALL', CLEAN_MILLISECONDS)
    } catch {
      connection.destroy()
      return
    }
    connection.prepared.clear()
    connection.settings = NO_SETTINGS
    connection.marked = false
    hand(connection)
  }

  function release (connection: BackendConnection, clean: boolean): void {
    if (!takeBack(connection)) return
    if (!clean || !connection.isReusable() || closed) {
      connection.close()
      return
    }
    connection.usedAt = clock.now()
    if (connection.marked) void cleanAndHand(connection)
    else hand(connection)
  }

  const upkeep = setInterval(() => {
    // Room that the server refused may be there again.
    if (ceiling !== undefined && clock.now() >= openAfter) ceiling = ceiling + 1 >= limit() ? undefined : ceiling + 1
    const spare = all.size > limit() ? 0 : WARM_CONNECTIONS
    while (idle.length > 0 && all.size > spare && (all.size > limit() || clock.now() - idle[0].usedAt > IDLE_MILLISECONDS)) idle.shift()?.close()
    if (all.size + opening < Math.min(WARM_CONNECTIONS, limit()) && mayOpen()) openOne()
    openForWaiters()
  }, UPKEEP_MILLISECONDS)
  upkeep.unref()

  return {
    member: target.member,
    acquire,
    release,
    busy: () => lent.size + waiters.size(),
    size: () => all.size,
    close: () => {
      closed = true
      clearInterval(upkeep)
      clearTimeout(reopen)
      for (const waiter of waiters.clear()) waiter.fail(new PoolConnectError('the pool is closed'))
      for (const connection of all) connection.close()
    }
  }
}
