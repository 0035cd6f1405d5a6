/** The entry role of an instance: serves callers, and routes their requests to backend servers. */

import { Code, ConnectError } from '@connectrpc/connect'
import { loadParser } from '@cyclamenusher/decisions'
import { ControlService, DirectoryService, createPeerClient } from '@cyclamenusher/protocol'
import { createRulesStore } from '../version/rulesStore.js'
import { createAdmission } from './admission.js'
import { AnnouncementError, readAnnouncement } from './announcement.js'
import { listenForCallers } from './callers.js'
import { createDirectory } from './directory.js'
import { createOperatorService } from './operatorService.js'
import { createRateTask } from './rate/rateTask.js'
import { createRouter } from './router.js'
import { createRulesRelay } from './rulesRelay.js'
import { createRulesWatcher } from './rulesWatcher.js'
import type { Client, ConnectRouter } from '@connectrpc/connect'
import type { Announcement, PeerCredentials } from '@cyclamenusher/protocol'
import type { Callers } from './callers.js'
import type { Clock } from './clock.js'
import type { Config } from './config.js'
import type { LimitReport } from './limits.js'
import type { Logger } from './logger.js'
import type { Metrics } from './metrics.js'
import type { MemberAnnouncement } from './directory.js'
import type { Peer } from './rulesWatcher.js'

/** Interval at which backend servers are asked to announce themselves, in milliseconds. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 1_000
/** Time limit for forwarding an announcement to a peer, in milliseconds. */
const FORWARD_TIMEOUT_MILLISECONDS = 1_000
/** Peers known before the first reply of control. */
const NO_PEERS: readonly Peer[] = []

export interface EntryRole {
  routes: (router: ConnectRouter) => void
  /** Starts accepting callers; `callsPort` is the port at which peers reach this instance. */
  start: (callsPort: number) => Promise<void>
  isReady: () => boolean
  /** Waits out the grace period, then ends callers as they finish; `cut` counts those ended while busy. */
  drain: () => Promise<{ cut: number }>
  close: () => void
}

export interface EntryOptions {
  config: Config
  credentials: PeerCredentials
  clock: Clock
  logger: Logger
  metrics: Metrics
  report: LimitReport['report']
  /** Stops the instance as SIGTERM does. */
  requestStop: () => void
}

/** Converts an announcement. @throws ConnectError that names the invalid field */
function validateAnnouncement (message: Announcement): MemberAnnouncement {
  try {
    return readAnnouncement(message)
  } catch (error) {
    if (error instanceof AnnouncementError) throw new ConnectError(error.message, Code.InvalidArgument)
    throw error
  }
}

export function createEntryRole ({ config, credentials, clock, logger, metrics, report, requestStop }: EntryOptions): EntryRole {
  const store = createRulesStore(clock, config.control.leaseMilliseconds)
  const directory = createDirectory(clock, logger.scope('directory'))
  const directoryClients = new Map<string, Client<typeof DirectoryService>>()
  let watcher: ReturnType<typeof createRulesWatcher> | undefined
  let callers: Callers | undefined
  let draining = false
  const relay = createRulesRelay({ store, peers: () => watcher?.peers() ?? NO_PEERS, peersRevision: () => watcher?.peersRevision() ?? 0n, clock })
  const listEntryInstances = (): readonly Peer[] => (watcher?.peers() ?? NO_PEERS).filter(({ role }) => role === 'entry')
  const router = createRouter({ config, store, directory, instances: listEntryInstances, clock, logger, metrics })
  const rates = createRateTask({ config, store, peers: () => watcher?.peers() ?? NO_PEERS, credentials, clock, logger: logger.scope('rate') })
  const admission = createAdmission({ store, takeToken: rates.takeToken })

  const operatorRoutes = createOperatorService({ store, router, tokenSecret: config.calls.secret, clock, logger: logger.scope('process'), requestStop })

  function forward (announcement: Announcement): void {
    for (const { name, role, host, port } of watcher?.peers() ?? []) {
      if (role !== 'entry' || name === config.instance.name) continue
      const address = `${host}:${port}`
      const client = directoryClients.get(address) ?? createPeerClient(DirectoryService, host, port, credentials)
      directoryClients.set(address, client)
      client.announce({ announcement, forwarded: true }, { timeoutMs: FORWARD_TIMEOUT_MILLISECONDS }).catch(() => {})
    }
  }

  function routes (connect: ConnectRouter): void {
    rates.routes(connect)
    // A control instance serves watches itself, so an instance with both roles does not relay.
    if (!config.instance.roles.includes('control')) connect.service(ControlService, { watch: relay.watch })
    connect.service(DirectoryService, {
      announce: ({ announcement, forwarded }) => {
        if (announcement === undefined) return { nextMilliseconds: ANNOUNCE_INTERVAL_MILLISECONDS }
        const shouldForward = directory.recordAnnouncement(validateAnnouncement(announcement))
        if (shouldForward) router.refresh(announcement.group)
        if (shouldForward && !forwarded) forward(announcement)
        return { nextMilliseconds: ANNOUNCE_INTERVAL_MILLISECONDS }
      },
      lookup: ({ group }) => ({
        announcements: directory.members(group).map(member => ({ ...member, term: BigInt(member.term), logTerm: BigInt(member.logTerm), position: BigInt(member.position), sequence: BigInt(member.sequence) }))
      })
    })
    operatorRoutes(connect)
  }

  async function start (callsPort: number): Promise<void> {
    await loadParser()
    watcher = createRulesWatcher({ config, callsPort, store, credentials, clock, logger: logger.scope('rules'), behind: relay.behind })
    callers = await listenForCallers({
      config,
      store,
      logger: logger.scope('caller'),
      metrics,
      report,
      services: {
        tokenSecret: config.calls.secret,
        maximumMessageBytes: config.callers.maximumMessageBytes,
        requestMilliseconds: config.callers.requestMilliseconds,
        now: clock.now,
        admit: admission.admit,
        requireAccess: admission.requireAccess,
        findGroup: database => store.rules().databases.get(database)?.group,
        lease: router.lease,
        confirmPosition: router.confirmPosition,
        acknowledge: router.acknowledge,
        recordRequest: (kind, outcome, milliseconds) => {
          metrics.requests.inc({ kind, outcome })
          metrics.recordLatency('request', milliseconds)
        }
      }
    })
    logger.scope('process').info('The entry role accepts callers.', { address: `${config.callers.listen.host}:${callers.port}` })
  }

  return {
    routes,
    start,
    isReady: () => !draining && callers !== undefined && store.number() > 0 && rates.isReady(),
    drain: async () => {
      draining = true
      await new Promise(resolve => setTimeout(resolve, config.shutdown.graceMilliseconds))
      const drained = await callers?.drain(config.shutdown.drainMilliseconds) ?? { cut: 0 }
      await rates.release()
      return drained
    },
    close: () => {
      watcher?.close()
      rates.close()
      callers?.close()
      router.close()
    }
  }
}
