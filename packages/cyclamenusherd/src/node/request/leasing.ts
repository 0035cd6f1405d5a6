/** Borrows a backend connection for a request, and makes it the session's for that time. */

import { settingStatements } from '@cyclamenusher/decisions'
import { OWN_STATEMENT_MILLISECONDS, OwnStatementError, runOwnStatement } from './ownStatement.js'
import { RefusalError } from './refusal.js'
import type { CallerSession } from '../connection/callerSession.js'
import type { CallerServices, ConnectionLease } from '../connection/callerConnection.js'
import type { Identity } from '../version/rulesStore.js'
import type { BatchNeed } from './batch.js'

export interface Leasing {
  /** Waits for a connection until a time of the process's clock. @throws RefusalError */
  find: (need: BatchNeed, until: number) => Promise<ConnectionLease>
  /** Brings the connection to the session's settings. False: it was lost meanwhile. */
  takeOver: (lease: ConnectionLease) => Promise<boolean>
  /** Ends a wait for a connection. */
  interrupt: (error: Error) => void
  /** The caller is gone: ends a wait, now and from now on. */
  stop: () => void
}

export interface LeasingOptions {
  session: CallerSession
  identity: Identity
  database: string
  group: string
  services: CallerServices
}

/** A lease that can be given back any number of times, and counts once. */
function once (lease: ConnectionLease): ConnectionLease {
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

export function createLeasing ({ session, identity, database, group, services }: LeasingOptions): Leasing {
  let stopped = false
  let stopWaiting: ((error: Error) => void) | undefined

  /** Waits for `pending`, but no longer than the request may take or the caller wants it. */
  async function borrow (pending: Promise<ConnectionLease>, milliseconds: number): Promise<ConnectionLease> {
    let timer: NodeJS.Timeout | undefined
    const interrupted = new Promise<never>((_resolve, reject) => {
      stopWaiting = reject
      timer = setTimeout(() => { reject(new RefusalError('timeout', 'the request waited for a backend server until its time was over')) }, Math.max(1, milliseconds))
    })
    try {
      return once(await Promise.race([pending, interrupted]))
    } catch (error) {
      pending.then(late => { late.release(true) }, () => {})
      throw error
    } finally {
      clearTimeout(timer)
      stopWaiting = undefined
    }
  }

  async function sessionPlace (need: BatchNeed): Promise<ReturnType<CallerSession['position']>> {
    const known = session.position(group)
    if (known !== undefined || need !== 'read' || identity.key === undefined) return known
    // Without a token the session may have written anywhere: learn how far the group is.
    const place = await services.confirmPosition(group)
    session.advance(group, place)
    return place
  }

  async function find (need: BatchNeed, until: number): Promise<ConnectionLease> {
    const asked = need === 'setting' ? 'read' : need
    const token = await sessionPlace(need)
    const lease = await borrow(services.lease({ identity, database, group, need: asked, position: token }), until - services.now())
    if (stopped) {
      lease.release(true)
      throw new RefusalError('timeout', 'the caller is gone')
    }
    return lease
  }

  /** Makes the session's settings those of the connection. False: the connection was lost meanwhile. */
  async function takeOver ({ backend, release }: ConnectionLease): Promise<boolean> {
    const statements = settingStatements(backend.settings, session.settings())
    if (statements === '') return true
    try {
      await runOwnStatement(backend, statements, OWN_STATEMENT_MILLISECONDS)
      backend.settings = session.settings()
      return true
    } catch (error) {
      // The server took none of them, so the connection is as it was.
      release(error instanceof OwnStatementError)
      if (error instanceof OwnStatementError) throw new RefusalError('setting refused', `the server refused the session's settings: ${error.message}`, 'not run', 'RESET the setting, or leave it out of the connection string.')
      return false
    }
  }

  return {
    find,
    takeOver,
    interrupt: error => { stopWaiting?.(error) },
    stop: () => {
      stopped = true
      stopWaiting?.(new RefusalError('timeout', 'the caller is gone'))
    }
  }
}
