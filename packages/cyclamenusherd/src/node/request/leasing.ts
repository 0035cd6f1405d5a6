/** Leases backend connections for a session's requests, and applies the session's settings to them. */

import { settingStatements } from '@cyclamenusher/decisions'
import { INTERNAL_STATEMENT_TIMEOUT_MILLISECONDS, InternalStatementError, runInternalStatement } from './ownStatement.js'
import { RefusalError } from './refusal.js'
import type { CallerSession } from '../connection/callerSession.js'
import type { CallerServices, ConnectionLease } from '../connection/callerConnection.js'
import type { Identity } from '../version/rulesStore.js'
import type { BatchNeed } from './batch.js'

export interface Leasing {
  /** Waits for a connection to a member of the group until the deadline, a time of the process's clock. @throws RefusalError */
  acquire: (need: BatchNeed, group: string, deadline: number) => Promise<ConnectionLease>
  /** Gives the connection the session's settings. Returns false if the connection was lost. @throws RefusalError when the server refuses them */
  applySettings: (lease: ConnectionLease) => Promise<boolean>
  /** Ends a wait for a connection with the error. */
  interruptWait: (error: Error) => void
  /** Ends the current wait and all later ones, because the caller has disconnected. */
  stop: () => void
}

export interface LeasingOptions {
  session: CallerSession
  identity: Identity
  database: string
  services: CallerServices
  /** Sends the running read to another member; returns whether it does. */
  moveRead: () => boolean
}

/** Wraps a lease so that only the first release has an effect. */
function releaseOnce (lease: ConnectionLease): ConnectionLease {
  let released = false
  return {
    backend: lease.backend,
    release: clean => {
      if (released) return
      released = true
      lease.release(clean)
    }
  }
}

export function createLeasing ({ session, identity, database, services, moveRead }: LeasingOptions): Leasing {
  let stopped = false
  let rejectWait: ((error: Error) => void) | undefined

  /** Waits for `pending` for at most this time, or until the wait is interrupted. A lease that arrives later is released. */
  async function waitForLease (pending: Promise<ConnectionLease>, milliseconds: number): Promise<ConnectionLease> {
    let timer: NodeJS.Timeout | undefined
    const interrupted = new Promise<never>((_resolve, reject) => {
      rejectWait = reject
      timer = setTimeout(() => { reject(new RefusalError('timeout', 'the request waited for a backend server until its time was over')) }, Math.max(1, milliseconds))
    })
    try {
      return releaseOnce(await Promise.race([pending, interrupted]))
    } catch (error) {
      pending.then(lateLease => { lateLease.release(true) }, () => {})
      throw error
    } finally {
      clearTimeout(timer)
      rejectWait = undefined
    }
  }

  async function resolvePosition (need: BatchNeed, group: string): Promise<ReturnType<CallerSession['position']>> {
    const knownPosition = session.position(group)
    if (knownPosition !== undefined || need !== 'read' || identity.key === undefined) return knownPosition
    // Without a token the session may have written up to any position, so the group's current position is used.
    const position = await services.confirmPosition(group)
    session.advance(group, position)
    return position
  }

  async function acquire (need: BatchNeed, group: string, deadline: number): Promise<ConnectionLease> {
    const memberNeed = need === 'setting' ? 'read' : need
    const findLease = async (): Promise<ConnectionLease> => {
      const position = await resolvePosition(need, group)
      return await services.lease({ identity, database, group, need: memberNeed, position, move: moveRead })
    }
    const lease = await waitForLease(findLease(), deadline - services.now())
    if (stopped) {
      lease.release(true)
      throw new RefusalError('timeout', 'the caller is gone')
    }
    return lease
  }

  async function applySettings ({ backend, release }: ConnectionLease): Promise<boolean> {
    const statements = settingStatements(backend.settings, session.settings())
    if (statements === '') return true
    try {
      await runInternalStatement(backend, statements, INTERNAL_STATEMENT_TIMEOUT_MILLISECONDS)
      backend.settings = session.settings()
      return true
    } catch (error) {
      // If the server refused the settings, it applied none of them, and the connection can be reused.
      release(error instanceof InternalStatementError)
      if (error instanceof InternalStatementError) throw new RefusalError('setting refused', `the server refused the session's settings: ${error.message}`, 'not run', 'RESET the setting, or leave it out of the connection string.')
      return false
    }
  }

  return {
    acquire,
    applySettings,
    interruptWait: error => { rejectWait?.(error) },
    stop: () => {
      stopped = true
      rejectWait?.(new RefusalError('timeout', 'the caller is gone'))
    }
  }
}
