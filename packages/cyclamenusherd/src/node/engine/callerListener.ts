/** Accepts callers' connections, and closes them step by step when the instance shuts down. */

import { createServer } from 'node:net'
import { createSilentConnections } from '@cyclamenusher/protocol'
import { startCallerSession } from './callerSession.js'
import { pause } from '../process/clock.js'
import type { AddressInfo, Server } from 'node:net'
import type { Address } from '../process/address.js'
import type { CallerProtection } from './callerProtection.js'
import type { CallerSession } from './callerSession.js'
import type { EngineServices } from './services.js'
import type { CallerCodec } from './statement.js'

/** Maximum number of connections that wait in the operating system's queue to be accepted. */
const LISTEN_BACKLOG = 1_024
/** Interval at which the remaining sessions are checked while draining, in milliseconds. */
const DRAIN_POLL_INTERVAL_MILLISECONDS = 50
/** What callers of a stopping instance are told. */
export const STOP_REASON = 'the instance stops'

export interface CallerListenerOptions {
  listen: Address
  createCodec: () => CallerCodec
  services: EngineServices
  /** Maximum number of concurrent callers; further connections are closed at once. */
  maximumConnections: number
  protection: CallerProtection
}

/** Schedule of a graceful shutdown, in milliseconds from its start. */
export interface DrainPlan {
  /** New connections are accepted until then; idle sessions are closed after it. */
  closeIdleAfter: number
  /** Open transactions end then, those that run a statement after it, and further operations are refused. */
  endTransactionsAfter: number
  /** What still runs gets a final answer then, and all remaining sessions are closed. */
  forceCloseAfter: number
}

export interface CallerListener {
  /** Port on which callers are accepted, also where the operating system chose it. */
  port: number
  /** Closes all sessions by the plan; `cut` is the number that had to be closed at its end. */
  drain: (plan: DrainPlan) => Promise<{ cut: number }>
  callers: () => number
  close: () => void
}

export async function listenForSessions ({ listen, createCodec, services, maximumConnections, protection }: CallerListenerOptions): Promise<CallerListener> {
  const sessions = new Set<CallerSession>()
  const { limits, report } = protection
  const silent = createSilentConnections(limits.silentConnections, () => { report('silent connections', { maximum: limits.silentConnections }) })
  const server: Server = createServer({ noDelay: true }, socket => {
    if (sessions.size >= maximumConnections) {
      report('connections', { maximum: maximumConnections })
      socket.destroy()
      return
    }
    const session = startCallerSession({ socket, codec: createCodec(), services, protection, onFirstMessage: () => { silent.remove(socket) }, onClose: () => { sessions.delete(session) } })
    sessions.add(session)
    silent.add(socket)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: listen.host, port: listen.port, backlog: LISTEN_BACKLOG }, resolve)
  })

  let reviewedVersion = services.link.declaration()?.version
  services.link.onChange(() => {
    const version = services.link.declaration()?.version
    if (version === reviewedVersion) return
    reviewedVersion = version
    for (const session of [...sessions]) session.reviewTransaction()
  })

  async function drain ({ closeIdleAfter, endTransactionsAfter, forceCloseAfter }: DrainPlan): Promise<{ cut: number }> {
    const { clock } = services
    const startedAt = clock.now()

    /** Waits until all sessions are closed, until `after` milliseconds from the start at the latest. */
    async function awaitSessions (after: number): Promise<void> {
      for (let left = after; sessions.size > 0 && left > 0; left = startedAt + after - clock.now()) await pause(Math.min(left, DRAIN_POLL_INTERVAL_MILLISECONDS))
    }

    await pause(closeIdleAfter)
    server.close()
    for (const session of [...sessions]) session.closeIfIdle()
    await awaitSessions(endTransactionsAfter)
    for (const session of [...sessions]) session.endWork(STOP_REASON)
    await awaitSessions(forceCloseAfter)
    const cut = sessions.size
    for (const session of [...sessions]) session.cut(STOP_REASON)
    return { cut }
  }

  return {
    port: (server.address() as AddressInfo).port,
    drain,
    callers: () => sessions.size,
    close: () => {
      server.close()
      for (const session of [...sessions]) session.close()
    }
  }
}
