/** Announces a backend server to entry instances, periodically and on each change. */

import { DirectoryService, createPeerClient } from '@cyclamenusher/protocol'
import type { PeerCredentials } from '@cyclamenusher/protocol'
import type { BackendServer } from '../backend/server.js'

/** Interval between announcements if the entry instance does not give one, in milliseconds. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 1_000
/** Timeout of one announcement, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 1_000

export interface AnnouncerOptions {
  server: BackendServer
  /** Addresses of entry instances, tried in turn until one answers. */
  entries: Array<{ host: string, port: number }>
  credentials: PeerCredentials
}

export interface Announcer {
  announceNow: () => void
  close: () => void
}

export function createAnnouncer ({ server, entries, credentials }: AnnouncerOptions): Announcer {
  const clients = entries.map(({ host, port }) => createPeerClient(DirectoryService, host, port, credentials))
  let clientIndex = 0
  let sequence = Date.now() * 1000
  let timer: NodeJS.Timeout | undefined
  let closed = false

  async function announce (): Promise<void> {
    clearTimeout(timer)
    const status = server.status()
    sequence += 1
    const announcement = {
      group: server.options.group,
      member: status.member,
      role: status.role,
      term: BigInt(status.adoptedTerm),
      logTerm: BigInt(status.logTerm),
      position: BigInt(status.position),
      host: server.options.host,
      port: server.options.port,
      failureDomain: server.options.failureDomain,
      leaving: status.leaving,
      sequence: BigInt(sequence)
    }
    let delayMilliseconds = ANNOUNCE_INTERVAL_MILLISECONDS
    for (let attempt = 0; attempt < clients.length && !closed; attempt += 1) {
      const client = clients[clientIndex % clients.length]
      try {
        const reply = await client.announce({ announcement, forwarded: false }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
        delayMilliseconds = reply.nextMilliseconds > 0 ? reply.nextMilliseconds : ANNOUNCE_INTERVAL_MILLISECONDS
        break
      } catch {
        clientIndex += 1
      }
    }
    if (!closed) timer = setTimeout(() => { void announce() }, delayMilliseconds)
  }

  server.onChanged(() => { setImmediate(() => { void announce() }) })
  void announce()
  return {
    announceNow: () => { void announce() },
    close: () => {
      closed = true
      clearTimeout(timer)
    }
  }
}
