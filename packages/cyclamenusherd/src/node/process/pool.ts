/** Connections to one backend server, lent to one request or transaction at a time. */

import { openBackendConnection } from '../connection/backendConnection.js'
import type { BackendConnection, BackendTarget } from '../connection/backendConnection.js'
import type { Clock } from './clock.js'
import type { ScopedLogger } from './logger.js'

/** No connection came free in time; the request has not run. */
export class PoolWaitError extends Error {
  override readonly name = 'PoolWaitError'
}

/** The backend server can't be reached; the request has not run. */
export class PoolConnectError extends Error {
  override readonly name = 'PoolConnectError'
}

export interface Pool {
  readonly member: string
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
  limit: number
  clock: Clock
  logger: ScopedLogger
  onSize: (size: number) => void
}

interface Waiter {
  account: string
  grant: (connection: BackendConnection) => void
  fail: (error: Error) => void
}

export function createPool ({ target, limit, logger, onSize }: PoolOptions): Pool {
  const idle: BackendConnection[] = []
  const all = new Set<BackendConnection>()
  let waiters: Waiter[] = []
  let opening = 0
  let lent = 0
  let closed = false

  function hand (connection: BackendConnection): void {
    const waiter = waiters.shift()
    if (waiter === undefined) {
      idle.push(connection)
      return
    }
    lent += 1
    waiter.grant(connection)
  }

  function openOne (): void {
    opening += 1
    let connection: BackendConnection | undefined
    const forget = (): void => {
      if (connection === undefined || !all.delete(connection)) return
      const at = idle.indexOf(connection)
      if (at >= 0) idle.splice(at, 1)
      onSize(all.size)
    }
    openBackendConnection(target, forget).then(opened => {
      opening -= 1
      connection = opened
      if (closed) {
        opened.close()
        return
      }
      all.add(opened)
      onSize(all.size)
      hand(opened)
    }, (error: Error) => {
      opening -= 1
      logger.warn('A connection could not be opened.', { member: target.member, error: error.message })
      // Connections that exist will serve the others; without any, nothing will.
      if (all.size > 0) return
      const failed = waiters
      waiters = []
      for (const waiter of failed) waiter.fail(new PoolConnectError(error.message))
    })
  }

  async function acquire (account: string, milliseconds: number): Promise<BackendConnection> {
    const ready = idle.pop()
    if (ready !== undefined) {
      lent += 1
      return ready
    }
    return await new Promise<BackendConnection>((resolve, reject) => {
      const waiter: Waiter = {
        account,
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
        waiters = waiters.filter(other => other !== waiter)
        reject(new PoolWaitError(`no connection to ${target.member} came free in ${milliseconds} ms`))
      }, milliseconds)
      waiters.push(waiter)
      if (all.size + opening < limit && opening < waiters.length) openOne()
    })
  }

  return {
    member: target.member,
    acquire,
    release: (connection, clean) => {
      lent -= 1
      if (clean && connection.isOpen() && !closed) {
        connection.receive(undefined)
        hand(connection)
        return
      }
      connection.close()
      if (waiters.length > 0 && all.size - 1 + opening < limit) openOne()
    },
    busy: () => lent + waiters.length,
    size: () => all.size,
    close: () => {
      closed = true
      for (const connection of all) connection.close()
    }
  }
}
