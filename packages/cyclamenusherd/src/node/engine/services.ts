/** Services that all sessions of a process share: the declaration in force, rate limits, groups and the request log. */

import { explainOperation } from './explanation.js'
import { createForwardingRunner } from './forwarding/forwarding.js'
import { createHolderService } from './forwarding/holderService.js'
import { createGroupPool } from './groupPool.js'
import { createLocalRunner } from './operations.js'
import { createPoolMetrics } from './poolMetrics.js'
import { createRateGate } from './rateGate.js'
import { createHeldRequests } from '../process/heldRequests.js'
import { NO_REGIONS, listUnknownRegions } from '@cyclamenusher/decisions'
import type { ExplanationReply, ExplanationRequest, PlacementExplanation, RateTolerance, RegionMap } from '@cyclamenusher/decisions'
import type { Peers } from '../process/peers.js'
import type { MemoryAccount } from '../process/memoryAccount.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'
import type { Clock } from '../process/clock.js'
import type { ForwardingRunner } from './forwarding/forwarding.js'
import type { HolderService } from './forwarding/holderService.js'
import type { ExplainedOperation, GroupPool } from './groupPool.js'
import type { PoolMetrics } from './poolMetrics.js'
import type { OperationRunner } from './operations.js'
import type { ServerCodec } from './statement.js'
import type { RateGate } from './rateGate.js'
import type { RequestLog } from './requestLog.js'
import type { ScopedLogger } from '../process/logger.js'

/** Interval at which servers and queues are checked while this instance has connections or waiting requests, in milliseconds: waiting requests are delayed by at most this. */
const TICK_INTERVAL_MILLISECONDS = 50
/** Interval between two checks at an instance at rest, in milliseconds. Most instances of a large fleet hold no connections. */
const IDLE_TICK_INTERVAL_MILLISECONDS = 200

/**
 * How long after the start of the process callers wait for its first declaration, in milliseconds.
 *
 * Load pattern: all instances start again after a loss of power, and all callers come
 * back. An instance accepts them some tenths of a second before control has a leader; one
 * that refuses them sends them to others that refuse them, until they give up.
 */
const FIRST_DECLARATION_WAIT_MILLISECONDS = 1_500

export interface EngineServices {
  link: FleetLink
  /** Regions of the failure domains, and of this instance. */
  regions: RegionMap
  /** Resolves once a declaration is known, or none is to be expected soon. */
  awaitDeclaration: () => Promise<void>
  rates: RateGate
  /** Runs callers' operations, here or at the instances that hold the connections. */
  operations: OperationRunner
  group: (name: string) => GroupPool
  codec: () => ServerCodec
  clock: Clock
  log: RequestLog
  /** Whether the instance is shutting down; it then reports that it is not ready. */
  isDraining: () => boolean
}

export interface Engine extends EngineServices {
  /** State that the instance reports to control: demand by account, observations of servers by member, and groups whose primary is being closed but still runs work. */
  report: () => { demand: Record<string, number>, sightings: ReturnType<GroupPool['sightings']>, busy: string[], holds: boolean }
  startDraining: () => void
  /** Number of holders of connections, by what this instance has noticed of them. */
  countHolders: ForwardingRunner['countHolders']
  /** Number of backend servers in use here that count as cold. */
  coldServers: () => number
  poolMetrics: PoolMetrics
  /** Explains where an operation would go, without running one: takes no token, opens no connection and changes nothing. */
  explain: (request: ExplanationRequest) => ExplanationReply
  /** Runs operations of other instances. */
  holder: HolderService
  close: () => void
}

export interface EngineOptions {
  createLink: (report: Engine['report']) => FleetLink
  codec: () => ServerCodec
  clock: Clock
  logger: ScopedLogger
  log: RequestLog
  tolerance: RateTolerance
  /** @default NO_REGIONS */
  regions?: RegionMap
  /** Whether capacity at the servers is kept for the most urgent priority in use. @default false */
  reservesUrgentCapacity?: boolean
  /** Called when an operation is refused because all servers that could run it are cold. */
  onWarmupRefusal?: () => void
  peers: Peers
  /** @default undefined - operations of other instances are not accounted */
  account?: MemoryAccount
}

export function createEngine ({ createLink, codec, clock, logger, log, tolerance, regions = NO_REGIONS, reservesUrgentCapacity = false, onWarmupRefusal = () => {}, peers, account }: EngineOptions): Engine {
  const groups = new Map<string, GroupPool>()
  const poolMetrics = createPoolMetrics()
  let draining = false

  function report (): ReturnType<Engine['report']> {
    return {
      demand: rates.demand(),
      sightings: Object.assign({}, ...[...groups.values()].map(group => group.sightings())) as ReturnType<GroupPool['sightings']>,
      busy: [...groups].filter(([, group]) => group.isBusy()).map(([name]) => name),
      holds: !draining
    }
  }

  const link = createLink(() => report())
  const startedAt = clock.now()
  const awaitingDeclaration = createHeldRequests()

  async function awaitDeclaration (): Promise<void> {
    const waitUntil = startedAt + FIRST_DECLARATION_WAIT_MILLISECONDS
    while (link.declaration() === undefined && !draining && clock.now() < waitUntil) await awaitingDeclaration.hold(waitUntil - clock.now())
  }
  const rates = createRateGate({ clock, shareOf: link.rateShare, borrow: link.borrow, instances: link.entryCount, tolerance, onPrefetch: log.countPrefetch })

  function group (name: string): GroupPool {
    const existing = groups.get(name)
    if (existing !== undefined) return existing
    const created = createPool(name)
    groups.set(name, created)
    created.refresh()
    return created
  }

  function createPool (name: string): GroupPool {
    return createGroupPool({ group: name, link, regions, reservesUrgentCapacity, onWarmupRefusal, codec, clock, logger, metrics: poolMetrics })
  }

  /** Explains a placement in a group. An instance that has not used the group yet does so with a pool that it does not keep. */
  function explainPlacement (name: string, operation: ExplainedOperation): PlacementExplanation {
    const existing = groups.get(name)
    if (existing !== undefined) return existing.explain(operation)
    const temporary = createPool(name)
    temporary.refresh()
    const explanation = temporary.explain(operation)
    temporary.close()
    return explanation
  }

  const local = { link, regions, group, codec, clock, log }
  const runner = createLocalRunner(local)
  const operations = createForwardingRunner({ services: local, local: runner, peers, logger })
  const holder = createHolderService({ runner, services: local, clock, logger, account })

  let checkedVersion = -1

  /** Logs once for each declaration which regions no failure domain is mapped to: what is limited to them is refused. */
  function checkRegions (): void {
    const index = link.declaration()
    if (index === undefined || index.version === checkedVersion) return
    checkedVersion = index.version
    const unknown = listUnknownRegions([...index.declaration.routes, ...index.declaration.accounts], regions)
    if (unknown.length > 0) logger.warn('The declaration names regions to which the settings map no failure domain.', { version: index.version, regions: unknown.join(', ') })
  }

  link.onChange(() => {
    checkRegions()
    for (const pool of groups.values()) pool.refresh()
    if (link.declaration() !== undefined) awaitingDeclaration.release()
  })
  link.start()
  let timer: NodeJS.Timeout | undefined

  function tick (): void {
    for (const pool of groups.values()) pool.tick()
    operations.tick()
    scheduleTick()
  }

  function scheduleTick (): void {
    const isActive = [...groups.values()].some(pool => pool.isActive())
    timer = setTimeout(tick, isActive ? TICK_INTERVAL_MILLISECONDS : IDLE_TICK_INTERVAL_MILLISECONDS)
  }

  scheduleTick()
  return {
    link,
    regions,
    coldServers: () => [...groups.values()].reduce((sum, pool) => sum + pool.coldServers(), 0),
    awaitDeclaration,
    rates,
    operations,
    holder,
    poolMetrics,
    group,
    codec,
    clock,
    log,
    isDraining: () => draining,
    countHolders: operations.countHolders,
    explain: request => explainOperation({ link, regions, clock, rates, explainHolders: operations.explain, explainPlacement, isDraining: () => draining }, request),
    report,
    startDraining: () => {
      draining = true
      awaitingDeclaration.release()
      holder.startLeaving()
    },
    close: () => {
      clearTimeout(timer)
      awaitingDeclaration.release()
      operations.close()
      for (const pool of groups.values()) pool.close()
      link.close()
      peers.close()
    }
  }
}
