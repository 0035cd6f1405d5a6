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
  /** Open transactions that wait for their callers are rolled back then. */
  endTransactionsAfter: number
  /** All remaining sessions are closed then. */
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
    await pause(closeIdleAfter)
    server.close()
    for (const session of [...sessions]) session.closeIfIdle()
    let transactionsEnded = false
    while (sessions.size > 0 && clock.now() - startedAt < forceCloseAfter) {
      await pause(DRAIN_POLL_INTERVAL_MILLISECONDS)
      if (transactionsEnded || clock.now() - startedAt < endTransactionsAfter) continue
      transactionsEnded = true
      for (const session of [...sessions]) session.endTransaction('the instance stops')
    }
    const cut = sessions.size
    for (const session of [...sessions]) session.close()
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
