/** Connections to the servers of one group: chooses a server for each statement, and queues the statements that must wait. */

import { EMPTY_POSITION_HISTORY, NO_PRESSURE, canServeInTime, chooseReadServer, compareRequests, estimateWait, dropPositionsUntil, isOverloaded, recordTimeRefusal, recordWaiting, planConnections, chooseWarmFirst, isAllowedDomain, resolveReadRequirement, recordPosition, computeWaitDeadline, estimateLeaseReturn, LEAST_ALLOWED_WITH_PRIORITIES, canMeetObjectiveBehindUrgent, computeReservedUse, estimateQueueWait, explainServerChoice, isExcessOfAccount } from '@cyclamenusher/decisions'
import { awaitLease } from './confirmation.js'
import { StatementFailure } from './errors.js'
import { UNSENDABLE_REASONS, createGroupDrain } from './groupDrain.js'
import { createPriorityUse } from './priorityUse.js'
import { createServerPool } from './serverPool.js'
import { createWarmupGate } from './warmupGate.js'
import type { ConnectionBudget, LogPosition, PlacementExplanation, PlacementOutcome, PositionHistory, PriorityRange, QueueLoad, QueuePressure, QueuedRequest, ReadRequirement, ReadRequest, RegionMap, ServerExplanation, ServerLoad, ServerObservation } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'
import type { ScopedLogger } from '../process/logger.js'
import type { Sendability } from './groupDrain.js'
import type { PoolMetrics, QueueRefusal } from './poolMetrics.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerPool } from './serverPool.js'
import type { WarmupPermit } from './warmupGate.js'
import type { ServerCodec } from './statement.js'

/** Interval at which the metrics of the servers are set, in milliseconds: the labels of each gauge are hashed whenever it is set, which is too much for each tick of each group. */
const METRICS_INTERVAL_MILLISECONDS = 1_000
/** Usual time from the loss of a primary to the first answer of its successor, in milliseconds: detection, fencing and the platform's promotion. */
const PRIMARY_REPLACEMENT_MILLISECONDS = 1_300

export interface ConnectionRequest {
  account: string
  values: ReadonlyMap<string, string>
  priority: number
  /** Time after which the answer is late, but still useful. */
  objective: number
  deadline: number
  /** Whether only the primary can run the statement, or any server that holds a position. */
  need: ReadRequirement
  /** Members at which this statement has already failed. */
  excluded: ReadonlySet<string>
  /** Regions in which the statement may run; undefined: all. */
  allowedRegions?: readonly string[]
}

/** A connection in use by one statement or transaction, until it is released to its pool. */
export interface AcquiredConnection {
  connection: ServerConnection
  /** Number of the designation of the group's primary when the connection was acquired. */
  designation: number
  isPrimary: boolean
  /** Position that the server must hold to answer; undefined: only the primary can answer, confirmed by `confirmPrimary`. */
  requiredPosition?: LogPosition
  /** Whether the member was still the primary when it answered. Waits until `deadline` for the lease of this instance to be renewed. */
  confirmPrimary: (deadline: number) => Promise<boolean>
  /** Whether a statement may be sent, as far as drains of failure domains are concerned. */
  sendability: () => Sendability
  /** Whether a transaction may begin. */
  mayBegin: () => boolean
  /** Calls `end` if the transaction must end before the connection is released, because the server's failure domain is drained. */
  onTransactionOver: (end: (reason: string) => void) => void
  recordPosition: (askedAt: number, position: LogPosition) => void
  recordAnswerTime: (milliseconds: number) => void
  recordRefusal: () => void
  recordMissingPosition: () => void
  closeIdleSince: (since: number) => void
  /** Waits until one statement may be sent to a cold server, and charges it; false: that is not before the deadline. Undefined: the group has no warm-up. */
  admit?: (deadline: number) => Promise<boolean>
  /** Charges one statement if it may be sent now. */
  admitNow?: () => boolean
  release: (clean: boolean) => void
}

/** An operation whose placement is explained. */
export interface ExplainedOperation extends Pick<ConnectionRequest, 'account' | 'priority' | 'objective' | 'deadline' | 'allowedRegions'> {
  /** Undefined: only the primary can run it. */
  read?: Pick<ReadRequest, 'policy' | 'maximumStalenessMilliseconds' | 'session'>
  beginsTransaction: boolean
}

export interface GroupPool {
  acquire: (request: ConnectionRequest) => Promise<AcquiredConnection>
  /** Whether the request has failed at every server that it may use now. */
  hasTriedAll: (request: Pick<ConnectionRequest, 'need' | 'excluded' | 'allowedRegions'>) => boolean
  resolveReadRequirement: (request: Pick<ReadRequest, 'policy' | 'maximumStalenessMilliseconds' | 'session'>) => ReadRequirement
  /** Observations of the servers that have answered or failed, by member. */
  sightings: () => Record<string, ServerObservation>
  /** Whether a primary that is being closed still runs work of this instance. */
  isBusy: () => boolean
  /** Whether there are connections or waiting requests, so that `tick` must be called often. */
  isActive: () => boolean
  /** Checks the servers and the queue; called every few tens of milliseconds while `isActive`. */
  tick: () => void
  /** Applies changes of the fleet's servers and primaries. */
  refresh: () => void
  /** Number of the group's servers that count as cold here. */
  coldServers: () => number
  /** Explains which server an operation that arrives now would get. Opens no connection and changes nothing. */
  explain: (operation: ExplainedOperation) => PlacementExplanation
  close: () => void
}

export interface GroupPoolOptions {
  group: string
  link: FleetLink
  regions: RegionMap
  /** Whether capacity at the servers is kept for the most urgent priority in use. @default false */
  reservesUrgentCapacity?: boolean
  /** Called when an operation is refused because all servers that could run it are cold. */
  onWarmupRefusal: () => void
  codec: () => ServerCodec
  clock: Clock
  logger: ScopedLogger
  metrics: PoolMetrics
}

const REFUSAL_TEXTS: Record<QueueRefusal, string> = {
  'no lease': 'this instance has no word from control',
  'primary replaced': 'the primary is being replaced',
  overload: 'more arrives than the servers can run',
  'connections in use': 'all connections are in use',
  'behind urgent': 'more urgent requests wait, and it would be late behind them',
  'account share': 'its account has as many waiting as its share of the queue'
}

const WARMUP_REFUSAL = 'the servers that could run it have just started and may not receive more yet'

/** A request in the queue, with the callbacks of the promise that its caller awaits. */
interface WaitingRequest extends QueuedRequest {
  request: ConnectionRequest
  resolve: (acquired: AcquiredConnection) => void
  reject: (error: StatementFailure) => void
}

export function createGroupPool ({ group, link, regions, reservesUrgentCapacity = false, onWarmupRefusal, codec, clock, logger, metrics }: GroupPoolOptions): GroupPool {
  const warmup = createWarmupGate({ group, link, clock, logger })
  const pools = new Map<string, ServerPool>()
  let queue: WaitingRequest[] = []
  let pressure: QueuePressure = NO_PRESSURE
  let history: PositionHistory = EMPTY_POSITION_HISTORY
  let designation = 0
  let term = 0
  let primaryClosedSince: number | undefined
  let dispatching = false
  const priorityUse = createPriorityUse(() => new Map([...pools].map(([member, pool]) => [member, pool.connectionsInUse()])), reservesUrgentCapacity)
  let wasOverloaded = false
  let observedAt = -Infinity
  let refusedInOverload = 0

  /** Number of instances that share the connections to the group's servers: its holders, or all while no holders are known. An instance that is none of them keeps to the smallest share. */
  function countConnectingInstances (): number {
    const holders = link.holders(group)
    const isHolder = holders.some(({ name }) => name === link.name)
    return Math.max(1, isHolder ? holders.length : link.entryCount())
  }

  function computeBudget (): ConnectionBudget {
    return planConnections(link.declaration()?.group(group)?.connectionsPerServer ?? 0, countConnectingInstances())
  }

  /** The primary, if it is open for work and this instance holds its lease. */
  function findUsablePrimary (): string | undefined {
    const assignment = link.primaryAssignment(group)
    return assignment?.use === 'open' && link.isLeased() ? assignment.member : undefined
  }

  const drain = createGroupDrain({ group, link, pools, findUsablePrimary, isAllowed: isAllowedServer, clock, logger })

  function refreshServers (): void {
    const servers = link.servers(group)
    for (const server of servers) {
      const existing = pools.get(server.member)
      if (existing !== undefined) {
        existing.update(server)
        continue
      }
      pools.set(server.member, createServerPool({
        server,
        codec,
        clock,
        logger,
        budget: computeBudget,
        instances: countConnectingInstances,
        onChange: dispatch,
        onLoss: () => { warmup.noteLoss(server.member) },
        onFailing: reason => {
          logger.warn('A backend server does not answer.', { group, member: server.member, reason, primary: server.member === link.primaryAssignment(group)?.member })
          link.reportNow()
        }
      }))
    }
    const currentMembers = new Set(servers.map(({ member }) => member))
    for (const [member, pool] of pools) {
      if (currentMembers.has(member)) continue
      pool.close('the server is gone')
      pools.delete(member)
      metrics.removeServer({ group, member })
    }
  }

  function refreshPrimary (): void {
    const assignment = link.primaryAssignment(group)
    if (assignment === undefined) return
    if (assignment.designation !== designation || assignment.term !== term) {
      // Positions in the log of another primary say nothing about this primary's log.
      if (assignment.designation !== designation) history = EMPTY_POSITION_HISTORY
      designation = assignment.designation
      term = assignment.term
    }
    for (const [member, pool] of pools) {
      const isNotPrimary = assignment.use === 'closed' || member !== assignment.member
      if (isNotPrimary && pool.hasPrimaryWork()) pool.endPrimaryWork('the primary is being replaced')
    }
    if (assignment.use === 'open') primaryClosedSince = undefined
    else primaryClosedSince ??= clock.now()
  }

  /** Earliest time at which a primary is expected to be usable; infinite if that is not known. */
  function estimatePrimaryTime (now: number): number {
    // A lease that was lost in a suspension has no end any more.
    if (!link.isLeased()) return estimateLeaseReturn(Math.max(link.leasedUntil(), link.resumedAt()), now)
    if (findUsablePrimary() !== undefined) return now
    return Math.max(now, (primaryClosedSince ?? now) + PRIMARY_REPLACEMENT_MILLISECONDS)
  }

  function listServerLoads (request: ConnectionRequest, now: number): ServerLoad[] {
    const primary = findUsablePrimary()
    return drain.listSelectable(request).map(pool => pool.computeLoad(request.account, now, primary))
  }

  function isAllowedServer (pool: ServerPool, { allowedRegions }: Pick<ConnectionRequest, 'allowedRegions'>): boolean {
    return isAllowedDomain(allowedRegions, pool.server().failureDomain, regions)
  }

  function chooseAmong (loads: readonly ServerLoad[], { need }: ConnectionRequest, now: number, inUse: PriorityRange | undefined): ServerLoad | undefined {
    if (need.kind === 'position') return chooseReadServer(loads, need, now, inUse === undefined ? 'same role' : 'any role')
    return loads.find(load => load.isPrimary && estimateWait(load, now, 0) < Infinity)
  }

  /** Loads of the servers, limited to what the request's priority may use, with what makes equal servers differ. */
  function listChoices (request: ConnectionRequest, now: number, inUse: PriorityRange | undefined, unlimited = listServerLoads(request, now)): ServerLoad[] {
    const choosers = Math.max(1, link.holders(group).length)
    const { maximum } = computeBudget()
    return unlimited.map(load => ({
      ...(inUse === undefined ? load : priorityUse.limitLoad(load, request.priority, maximum, now, inUse)),
      isNear: pools.get(load.member)?.server().failureDomain === link.failureDomain,
      choosers
    }))
  }

  /** `inUse`: the priorities in use. */
  function chooseServer (request: ConnectionRequest, now: number, inUse = priorityUse.range(now)): ServerLoad | undefined {
    const loads = listChoices(request, now, inUse)
    if (!warmup.isActive()) return chooseAmong(loads, request, now, inUse)
    return chooseWarmFirst(loads, warmup.warmthOf, candidates => chooseAmong(candidates, request, now, inUse))
  }

  /** Servers that could run the request if they had capacity. */
  function listCapable (request: ConnectionRequest): ServerPool[] {
    const primary = findUsablePrimary()
    const now = clock.now()
    return drain.listSelectable(request).filter(pool => pool.observe(now)?.failingFor === undefined && (request.need.kind === 'primary' ? pool.server().member === primary : !pool.server().leaving || pool.server().member === primary))
  }

  /** Why no server in the request's regions could run it. Undefined: one lies there. */
  function findRegionRefusal (request: ConnectionRequest): string | undefined {
    const { allowedRegions } = request
    if (allowedRegions === undefined) return undefined
    const primary = link.primaryAssignment(group)?.member
    const concerned = [...pools.values()].filter(pool => request.need.kind === 'position' || pool.server().member === primary)
    if (concerned.length === 0 || concerned.some(pool => isAllowedServer(pool, request))) return undefined
    return `no server that could run it lies in its regions (${allowedRegions.join(', ') || 'its route and its client account have none in common'})`
  }

  /** Whether all servers that could run the request are cold, and none may receive it in time. */
  function isWarmupExhausted (request: ConnectionRequest, waitDeadline: number, ahead: number, now: number, earliest = warmup.earliest): boolean {
    if (!warmup.isActive()) return false
    const capable = listCapable(request)
    return capable.length > 0 && !capable.some(pool => earliest(pool.server().member, ahead / capable.length, now) < waitDeadline)
  }

  /** Why no server can run the request in time, although servers are up: all are cold, or lie outside its regions. Undefined: one may. */
  function findUnusableReason (request: ConnectionRequest, waitDeadline: number, ahead: number, now: number): string | undefined {
    const regionRefusal = findRegionRefusal(request)
    if (regionRefusal !== undefined) return regionRefusal
    if (!isWarmupExhausted(request, waitDeadline, ahead, now)) return undefined
    onWarmupRefusal()
    return WARMUP_REFUSAL
  }

  async function confirmPrimary (member: string, expectedDesignation: number, deadline: number): Promise<boolean> {
    if (!await awaitLease(link, clock, deadline)) return false
    const assignment = link.primaryAssignment(group)
    return assignment?.member === member && assignment.designation === expectedDesignation && assignment.use !== 'closed'
  }

  function createAcquiredConnection (pool: ServerPool, connection: ServerConnection, request: ConnectionRequest, permit: WarmupPermit): AcquiredConnection {
    const acquiredDesignation = designation
    const isPrimary = findUsablePrimary() === connection.member
    const requiredPosition = request.need.kind === 'position' ? request.need.position : undefined
    const { failureDomain } = pool.server()
    let released = false
    let stopWatching = (): void => {}
    priorityUse.assign(connection, request.priority)
    if (requiredPosition === undefined) pool.markPrimaryWork(connection)
    return {
      connection,
      designation: acquiredDesignation,
      isPrimary,
      requiredPosition,
      confirmPrimary: async deadline => await confirmPrimary(connection.member, acquiredDesignation, deadline),
      sendability: () => drain.sendability(failureDomain),
      mayBegin: () => drain.mayBegin(failureDomain),
      onTransactionOver: end => { stopWatching = drain.watchTransaction(pool, end) },
      recordPosition: (askedAt, position) => {
        if (acquiredDesignation !== designation) return
        if (!isPrimary) return pool.recordPosition(history, position)
        if (!link.isLeased()) return
        history = recordPosition(history, askedAt, position)
      },
      recordAnswerTime: pool.recordAnswerTime,
      recordRefusal: pool.recordRefusal,
      recordMissingPosition: () => { if (request.need.kind === 'position') pool.recordMissingPosition(request.need) },
      closeIdleSince: pool.closeIdleSince,
      ...(warmup.isActive()
        ? {
            admit: async (deadline: number) => {
              permit.release()
              return await warmup.admit(connection.member, deadline)
            },
            admitNow: () => warmup.admitNow(connection.member)
          }
        : {}),
      release: clean => {
        permit.release()
        if (released) return
        released = true
        stopWatching()
        pool.release(connection, clean)
      }
    }
  }

  /** Statements per second that this instance's connections to the servers that the request may use can carry. */
  function estimateServedPerSecond (request: ConnectionRequest, now: number): number {
    const loads = listServerLoads(request, now).filter(load => !load.failing && (request.need.kind === 'position' || load.isPrimary))
    return loads.reduce((sum, { allowed, averageMilliseconds }) => sum + allowed * 1000 / averageMilliseconds, 0)
  }

  /** Opens a connection for a waiting request; the request is queued again if opening fails or the server no longer serves. */
  async function openConnectionFor (waiter: WaitingRequest, pool: ServerPool, permit: WarmupPermit): Promise<void> {
    const endOpening = priorityUse.startOpening(pool.server().member, waiter.priority)
    const connection = await pool.open(waiter.request.account).catch(() => undefined)
    endOpening()
    // The primary may have been replaced while the connection was opened.
    const isUsable = waiter.request.need.kind === 'position' || findUsablePrimary() === connection?.member
    if (connection !== undefined && isUsable && !drain.isUnusable(pool, waiter.request)) return waiter.resolve(createAcquiredConnection(pool, connection, waiter.request, permit))
    permit.release()
    if (connection !== undefined) pool.release(connection, true)
    queue.push(waiter)
    dispatch()
  }

  /** Gives a waiting request a connection, or begins to open one. Returns whether a server had capacity. */
  function tryServe (waiter: WaitingRequest, now: number): boolean {
    const chosen = chooseServer(waiter.request, now)
    const pool = chosen === undefined ? undefined : pools.get(chosen.member)
    if (chosen === undefined || pool === undefined) return false
    const idle = pool.acquireIdle(waiter.request.account, waiter.request.values)
    const permit = warmup.reserve(chosen.member)
    if (idle === undefined) void openConnectionFor(waiter, pool, permit)
    else waiter.resolve(createAcquiredConnection(pool, idle, waiter.request, permit))
    return true
  }

  /** Refuses requests whose wait deadline has passed, and requests that can't be served before their deadline. */
  function refuseUnservable (now: number): void {
    const overloaded = isOverloaded(pressure, now)
    refuseUnusable(overloaded, now)
    const unservable = queue.filter(waiter => (computeWaitDeadline(waiter, overloaded) <= now && !isServerFreeFor(waiter, now)) || (waiter.request.need.kind === 'primary' && estimatePrimaryTime(now) >= waiter.deadline))
    if (unservable.length === 0) return
    pressure = recordTimeRefusal(pressure, now)
    queue = queue.filter(waiter => !unservable.includes(waiter))
    for (const waiter of unservable) waiter.reject(createRefusal(waiter.request, now - waiter.queuedAt))
  }

  /** Refuses waiting requests that only drained servers could run. */
  function refuseDrained (now: number): void {
    if (link.drains().size === 0) return
    refuseWaiting(waiter => drain.findRefusal(waiter.request), now)
  }

  /** Refuses requests that no server may run in time. */
  function refuseUnusable (overloaded: boolean, now: number): void {
    refuseWaiting(waiter => findUnusableReason(waiter.request, computeWaitDeadline(waiter, overloaded), 0, now), now)
  }

  /** Refuses the waiting requests for which there is a reason. */
  function refuseWaiting (findReason: (waiter: WaitingRequest) => string | undefined, now: number): void {
    const waiting = queue
    queue = []
    for (const waiter of waiting) {
      const reason = findReason(waiter)
      if (reason === undefined) queue.push(waiter)
      else waiter.reject(new StatementFailure('busy', `${reason}; it waited ${Math.round(now - waiter.queuedAt)} ms and did not run`))
    }
  }

  /** Whether a request whose wait is over can be sent now instead of being refused; only where priorities reserve capacity. */
  function isServerFreeFor (waiter: WaitingRequest, now: number): boolean {
    return priorityUse.range(now) !== undefined && waiter.deadline > now && chooseServer(waiter.request, now) !== undefined
  }

  /** Why a request that joins the queue now is refused; undefined if it may wait. */
  function findQueueRefusal (request: ConnectionRequest, queued: QueuedRequest, now: number, inUse = priorityUse.range(now)): QueueRefusal | undefined {
    const hasPriorities = inUse !== undefined
    if (hasPriorities && chooseServer(request, now, inUse) !== undefined) return undefined
    const load = computeQueueLoad(request, queued, now)
    if (!canServeInTime(queued, load, now)) return findRefusalReason()
    if (!hasPriorities) return undefined
    if (!canMeetObjectiveBehindUrgent(queued, queue, estimateQueueWait(load, now), now)) return 'behind urgent'
    return load.overloaded && exceedsAccountShare(request, load.servedPerSecond, now) ? 'account share' : undefined
  }

  function computeQueueLoad (request: ConnectionRequest, queued: QueuedRequest, now: number): QueueLoad {
    return {
      ahead: queue.filter(other => compareRequests(other, queued, now) <= 0).length,
      servedPerSecond: estimateServedPerSecond(request, now),
      servedFrom: request.need.kind === 'primary' ? estimatePrimaryTime(now) : now,
      overloaded: isOverloaded(pressure, now)
    }
  }

  /** Whether the account has its fair share of the queue waiting; accounts weigh by their declared rates. */
  function exceedsAccountShare ({ account, priority, objective }: ConnectionRequest, servedPerSecond: number, now: number): boolean {
    const waitingAccounts = queue.filter(waiter => waiter.priority === priority).map(({ request }) => request.account)
    const weightOf = (name: string): number => link.declaration()?.account(name)?.ratePerSecond ?? 1
    const totalWeight = [...new Set([...waitingAccounts, account])].reduce((sum, name) => sum + weightOf(name), 0)
    const waiting = waitingAccounts.filter(name => name === account).length
    return isExcessOfAccount({ waiting, weight: weightOf(account), totalWeight }, servedPerSecond, objective - now)
  }

  function explainOutcome (request: ConnectionRequest, selected: ServerLoad | undefined, inUse: PriorityRange | undefined, beginsTransaction: boolean, now: number): PlacementOutcome {
    const { priority, objective, deadline } = request
    const queued: QueuedRequest = { priority, objective, deadline, queuedAt: now }
    const load = computeQueueLoad(request, queued, now)
    const refusal = drain.findRefusal(request) ?? findRegionRefusal(request)
    if (refusal !== undefined) return { kind: 'refused', reason: refusal }
    if (isWarmupExhausted(request, computeWaitDeadline(queued, load.overloaded), load.ahead, now, warmup.estimate)) return { kind: 'refused', reason: WARMUP_REFUSAL }
    const queueRefusal = findQueueRefusal(request, queued, now, inUse)
    if (queueRefusal !== undefined) return { kind: 'refused', reason: REFUSAL_TEXTS[queueRefusal] }
    if (request.need.kind === 'primary' && estimatePrimaryTime(now) >= deadline) return { kind: 'refused', reason: REFUSAL_TEXTS[findRefusalReason()] }
    if (selected === undefined) {
      const expected = estimateQueueWait(load, now)
      const reason = link.areDrainsKnown() ? REFUSAL_TEXTS[findRefusalReason()] : UNSENDABLE_REASONS.unknown
      return { kind: 'waits', reason, ...(expected === Infinity ? {} : { expectedMilliseconds: Math.ceil(expected) }) }
    }
    const failureDomain = pools.get(selected.member)?.server().failureDomain ?? ''
    if (beginsTransaction && !drain.mayBegin(failureDomain)) return { kind: 'refused', reason: `the failure domain of server ${selected.member} is drained; the transaction would not begin` }
    return { kind: 'selected', member: selected.member }
  }

  function explain ({ read, beginsTransaction, ...operation }: ExplainedOperation): PlacementExplanation {
    const now = clock.now()
    const known = dropPositionsUntil(history, link.resumedAt())
    const need: ReadRequirement = read === undefined ? { kind: 'primary' } : resolveReadRequirement({ ...read, history: known, term, now })
    const request: ConnectionRequest = { ...operation, values: new Map(), need, excluded: new Set() }
    const inUse = priorityUse.rangeWith(request.priority, now)
    const selected = chooseServer(request, now, inUse)
    const outcome = explainOutcome(request, selected, inUse, beginsTransaction, now)
    const selectable = drain.listSelectable(request)
    const primary = findUsablePrimary()
    const loads = listChoices(request, now, inUse, [...pools.values()].map(pool => pool.computeLoad(request.account, now, primary)))
    const servers = loads.flatMap(load => {
      const pool = pools.get(load.member)
      if (pool === undefined) return []
      const { failureDomain } = pool.server()
      const role = link.primaryAssignment(group)?.member === load.member ? 'primary' : 'replica'
      const position = role === 'primary' ? known.samples.at(-1)?.position : load.lag.newestPosition
      const wait = estimateWait(load, now, 0)
      const isSelected = outcome.kind === 'selected' && outcome.member === load.member
      const reason = explainServerChoice({ load, need, isAllowed: isAllowedServer(pool, request), isSelectable: selectable.includes(pool), areDrainsKnown: link.areDrainsKnown(), warmth: warmup.warmthOf(load.member), selected }, now) ?? (outcome.kind === 'refused' ? outcome.reason : undefined)
      return [{
        member: load.member,
        role,
        failureDomain,
        selected: isSelected,
        ...(position === undefined ? {} : { position }),
        outstanding: load.outstanding,
        allowed: load.allowed,
        connection: load.connection,
        averageMilliseconds: Math.round(load.averageMilliseconds),
        ...(wait === Infinity ? {} : { expectedWaitMilliseconds: Math.round(wait) }),
        ...(reason === undefined ? {} : { reason })
      } satisfies ServerExplanation]
    })
    return { group, need: { kind: need.kind, ...(need.kind === 'position' ? { position: need.position } : {}) }, outcome, waiting: queue.length, servers }
  }

  /** Logs when an overload of the queue begins and ends, and records the load of the servers. */
  function observeLoad (now: number): void {
    const overloaded = isOverloaded(pressure, now)
    if (overloaded !== wasOverloaded) {
      if (overloaded) logger.info('The queue of a group is overloaded.', { group, waiting: queue.length })
      else logger.info('The queue of a group is no longer overloaded.', { group, waiting: queue.length, refused: refusedInOverload })
      refusedInOverload = 0
      wasOverloaded = overloaded
    }
    if (now - observedAt < METRICS_INTERVAL_MILLISECONDS) return
    observedAt = now
    const { maximum } = computeBudget()
    const hasPriorities = priorityUse.range(now) !== undefined
    for (const [member, pool] of pools) {
      const { outstanding, allowed } = pool.computeLoad('', now, undefined)
      metrics.recordServer({ group, member, outstanding, reservedUse: hasPriorities ? computeReservedUse(allowed, maximum, outstanding) : 0 })
    }
  }

  function createRefusal (request: ConnectionRequest, waitedMilliseconds: number, reason = findRefusalReason()): StatementFailure {
    const now = clock.now()
    metrics.recordRefusal(reason, request.priority)
    if (isOverloaded(pressure, now)) refusedInOverload += 1
    const expected = estimateQueueWait(computeQueueLoad(request, { ...request, queuedAt: now }, now), now)
    const expectation = expected === Infinity ? '' : `; the queue is expected to take it after ${Math.ceil(expected)} ms`
    return new StatementFailure('busy', `${REFUSAL_TEXTS[reason]}; it waited ${Math.round(waitedMilliseconds)} ms behind ${queue.length} and did not run${expectation}`)
  }

  function findRefusalReason (): QueueRefusal {
    if (!link.isLeased()) return 'no lease'
    if (link.primaryAssignment(group)?.use !== 'open') return 'primary replaced'
    return isOverloaded(pressure, clock.now()) ? 'overload' : 'connections in use'
  }

  /**
   * Whether any waiting request can be served now.
   *
   * Load pattern: under overload each answer of a server leads to a look at all requests
   * that wait, and most of them can't be served whatever their account.
   */
  function anyServerHasCapacity (): boolean {
    const leastAllowed = priorityUse.range(clock.now()) === undefined ? 1 : LEAST_ALLOWED_WITH_PRIORITIES
    return [...pools.values()].some(pool => pool.hasCapacity(leastAllowed))
  }

  function dispatch (): void {
    if (dispatching) return
    dispatching = true
    const now = clock.now()
    refuseUnservable(now)
    refuseDrained(now)
    queue.sort((left, right) => compareRequests(left, right, now))
    const waiting = queue
    priorityUse.recordWaiting(waiting, now)
    queue = []
    // Serving one request changes the loads, so the servers are assessed again for each.
    let hasCapacity = anyServerHasCapacity()
    const remaining: WaitingRequest[] = []
    for (const waiter of waiting) {
      if (!hasCapacity || !tryServe(waiter, now)) remaining.push(waiter)
      else hasCapacity = anyServerHasCapacity()
    }
    queue = [...queue, ...remaining]
    pressure = recordWaiting(pressure, queue.length, findUsablePrimary() !== undefined, now)
    dispatching = false
  }

  return {
    acquire: async request => {
      const now = clock.now()
      const drainRefusal = drain.findRefusal(request)
      if (drainRefusal !== undefined) throw new StatementFailure('busy', `${drainRefusal}; it did not run`)
      const { priority, objective, deadline } = request
      const queuedRequest: QueuedRequest = { priority, objective, deadline, queuedAt: now }
      priorityUse.recordRequest(priority, now)
      const ahead = queue.filter(queued => compareRequests(queued, queuedRequest, now) <= 0).length
      const unusable = findUnusableReason(request, computeWaitDeadline(queuedRequest, isOverloaded(pressure, now)), ahead, now)
      if (unusable !== undefined) throw new StatementFailure('busy', `${unusable}; it did not run`)
      const refusal = findQueueRefusal(request, queuedRequest, now)
      if (refusal !== undefined) {
        pressure = recordTimeRefusal(pressure, now)
        throw createRefusal(request, 0, refusal)
      }
      return await new Promise<AcquiredConnection>((resolve, reject) => {
        queue.push({ request, ...queuedRequest, resolve, reject })
        dispatch()
      })
    },
    hasTriedAll: drain.hasTriedAll,
    resolveReadRequirement: request => {
      history = dropPositionsUntil(history, link.resumedAt())
      return resolveReadRequirement({ ...request, history, term, now: clock.now() })
    },
    sightings: () => {
      const now = clock.now()
      return Object.fromEntries([...pools].flatMap(([member, pool]) => {
        const observation = pool.observe(now)
        return observation === undefined ? [] : [[member, observation]]
      }))
    },
    isBusy: () => link.primaryAssignment(group)?.use === 'closing' && [...pools.values()].some(pool => pool.hasPrimaryWork()),
    isActive: () => queue.length > 0 || [...pools.values()].some(pool => pool.isActive()),
    tick: () => {
      const now = clock.now()
      drain.tick()
      for (const pool of pools.values()) pool.tick(now)
      warmup.observe([...pools.keys()])
      if (queue.length > 0) dispatch()
      observeLoad(now)
    },
    coldServers: () => warmup.observe([...pools.keys()]),
    explain,
    refresh: () => {
      refreshServers()
      refreshPrimary()
      drain.refresh()
      dispatch()
    },
    close: () => {
      for (const pool of pools.values()) pool.close('the instance stops')
      for (const { reject, request, queuedAt } of queue) reject(createRefusal(request, clock.now() - queuedAt))
      queue = []
    }
  }
}
