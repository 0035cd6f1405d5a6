/** The servers of one group as requests see them: who may take a statement now, and the queue of those that wait. */

import { EMPTY_POSITION_HISTORY, NO_PRESSURE, canServeInTime, chooseReadServer, compareRequests, estimateWait, dropPositionsUntil, isOverloaded, recordTimeRefusal, recordWaiting, planConnections, resolveReadRequirement, recordPosition, computeWaitDeadline } from '@cyclamenusher/decisions'
import { StatementFailure } from './errors.js'
import { createServerPool } from './serverPool.js'
import type { ConnectionBudget, LogPosition, PositionHistory, QueuePressure, QueuedRequest, ReadRequirement, ReadRequest, ServerLoad, ServerObservation } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'
import type { ScopedLogger } from '../process/logger.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerPool } from './serverPool.js'
import type { ServerCodec } from './statement.js'

/** Usual time from a primary's loss to its successor's first answer, in milliseconds: detection, fencing and the platform's promotion. */
const REPLACEMENT_MILLISECONDS = 1_300
/** Pause between two looks at a lease that is to be renewed, in milliseconds. */
const LEASE_PAUSE_MILLISECONDS = 20

export interface LendRequest {
  account: string
  values: ReadonlyMap<string, string>
  priority: number
  /** When its answer is late. */
  objective: number
  deadline: number
  need: ReadRequirement
  /** Members that this statement was tried at in vain. */
  avoid: ReadonlySet<string>
}

export interface Lent {
  connection: ServerConnection
  isPrimary: boolean
  /** Position to ask for; undefined: the primary answers under its lease. */
  after?: LogPosition
  /** Whether an answer of the primary counts; waits for a renewal of the lease until `deadline`. */
  confirm: (deadline: number) => Promise<boolean>
  recordPosition: (askedAt: number, position: LogPosition) => void
  recordTime: (milliseconds: number) => void
  recordRefusal: () => void
  recordLack: () => void
  suspectIdle: (since: number) => void
  release: (clean: boolean) => void
}

export interface GroupPool {
  lend: (request: LendRequest) => Promise<Lent>
  readNeed: (request: Pick<ReadRequest, 'policy' | 'maximumStalenessMilliseconds' | 'session'>) => ReadRequirement
  /** What is known of each server lately used. */
  sightings: () => Record<string, ServerObservation>
  /** Whether a closing primary still has work from here. */
  isBusy: () => boolean
  /** Looks at the servers and the queue; to be called every few tens of milliseconds. */
  tick: () => void
  /** Takes what changed in the fleet. */
  refresh: () => void
  close: () => void
}

export interface GroupPoolOptions {
  group: string
  link: FleetLink
  codec: () => ServerCodec
  clock: Clock
  logger: ScopedLogger
}

interface Waiter extends QueuedRequest {
  request: LendRequest
  resolve: (lent: Lent) => void
  reject: (error: StatementFailure) => void
}

export function createGroupPool ({ group, link, codec, clock, logger }: GroupPoolOptions): GroupPool {
  const pools = new Map<string, ServerPool>()
  let queue: Waiter[] = []
  let pressure: QueuePressure = NO_PRESSURE
  let history: PositionHistory = EMPTY_POSITION_HISTORY
  let designation = 0
  let term = 0
  let closedSince: number | undefined
  let dispatching = false

  function budget (): ConnectionBudget {
    return planConnections(link.declaration()?.group(group)?.connectionsPerServer ?? 0, link.entryCount())
  }

  /** The primary, while it may be used. */
  function usablePrimary (): string | undefined {
    const belief = link.primaryAssignment(group)
    return belief?.use === 'open' && link.isLeased() ? belief.member : undefined
  }

  function refreshServers (): void {
    const servers = link.servers(group)
    for (const server of servers) {
      const known = pools.get(server.member)
      if (known !== undefined) {
        known.update(server)
        continue
      }
      pools.set(server.member, createServerPool({
        server,
        codec,
        clock,
        logger,
        budget,
        instances: () => Math.max(1, link.entryCount()),
        onChange: dispatch,
        onFailing: reason => {
          logger.warn('A backend server does not answer.', { group, member: server.member, reason, primary: server.member === link.primaryAssignment(group)?.member })
          link.reportNow()
        }
      }))
    }
    const present = new Set(servers.map(({ member }) => member))
    for (const [member, pool] of pools) {
      if (present.has(member)) continue
      pool.close('the server is gone')
      pools.delete(member)
    }
  }

  function refreshPrimary (): void {
    const belief = link.primaryAssignment(group)
    if (belief === undefined) return
    if (belief.designation !== designation || belief.term !== term) {
      // Positions of another primary's log prove nothing of this one's.
      if (belief.designation !== designation) history = EMPTY_POSITION_HISTORY
      designation = belief.designation
      term = belief.term
    }
    for (const [member, pool] of pools) {
      const ended = belief.use === 'closed' || member !== belief.member
      if (ended && pool.hasPrimaryWork()) pool.endPrimaryWork('the primary is being replaced')
    }
    if (belief.use === 'open') closedSince = undefined
    else closedSince ??= clock.now()
  }

  /** Earliest time at which the primary can be expected to answer. */
  function primaryFrom (now: number): number {
    if (!link.isLeased()) return Infinity
    if (usablePrimary() !== undefined) return now
    return Math.max(now, (closedSince ?? now) + REPLACEMENT_MILLISECONDS)
  }

  function loadsFor (request: LendRequest, now: number): ServerLoad[] {
    const primary = usablePrimary()
    return [...pools].filter(([member]) => !request.avoid.has(member)).map(([, pool]) => pool.load(request.account, now, primary))
  }

  function choose (request: LendRequest, now: number): ServerLoad | undefined {
    const loads = loadsFor(request, now)
    if (request.need.kind === 'position') return chooseReadServer(loads, request.need, now)
    return loads.find(load => load.isPrimary && estimateWait(load, now, 0) < Infinity)
  }

  async function confirm (member: string, number: number, deadline: number): Promise<boolean> {
    while (!link.isLeased()) {
      if (clock.now() >= deadline) return false
      await new Promise(resolve => setTimeout(resolve, LEASE_PAUSE_MILLISECONDS))
    }
    const belief = link.primaryAssignment(group)
    return belief?.member === member && belief.designation === number && belief.use !== 'closed'
  }

  function wrap (pool: ServerPool, connection: ServerConnection, request: LendRequest): Lent {
    const number = designation
    const isPrimary = usablePrimary() === connection.member
    const after = request.need.kind === 'position' ? request.need.position : undefined
    let released = false
    if (after === undefined) pool.markPrimaryWork(connection)
    return {
      connection,
      isPrimary,
      after,
      confirm: async deadline => await confirm(connection.member, number, deadline),
      recordPosition: (askedAt, position) => {
        if (number !== designation) return
        if (!isPrimary) return pool.recordPosition(history, position)
        if (!link.isLeased()) return
        history = recordPosition(history, askedAt, position)
      },
      recordTime: pool.recordTime,
      recordRefusal: pool.recordRefusal,
      recordLack: () => { if (request.need.kind === 'position') pool.recordLack(request.need) },
      suspectIdle: pool.suspectIdle,
      release: clean => {
        if (released) return
        released = true
        pool.release(connection, clean)
      }
    }
  }

  /** Statements a second that this instance's connections can carry, at the servers that a request may use. */
  function servedPerSecond (request: LendRequest, now: number): number {
    const loads = loadsFor(request, now).filter(load => !load.failing && (request.need.kind === 'position' || load.isPrimary))
    return loads.reduce((sum, { allowed, averageMilliseconds }) => sum + allowed * 1000 / averageMilliseconds, 0)
  }

  /** Opens a connection for a waiter; it waits for another chance where that fails or comes too late. */
  async function openFor (waiter: Waiter, pool: ServerPool): Promise<void> {
    const connection = await pool.open(waiter.request.account).catch(() => undefined)
    // The primary may have been replaced while the connection was opened.
    const stillServes = waiter.request.need.kind === 'position' || usablePrimary() === connection?.member
    if (connection !== undefined && stillServes) return waiter.resolve(wrap(pool, connection, waiter.request))
    if (connection !== undefined) pool.release(connection, true)
    queue.push(waiter)
    dispatch()
  }

  /** Serves a waiter if any server can take it now. */
  function serve (waiter: Waiter, now: number): boolean {
    const chosen = choose(waiter.request, now)
    const pool = chosen === undefined ? undefined : pools.get(chosen.member)
    if (chosen === undefined || pool === undefined) return false
    const idle = pool.takeIdle(waiter.request.account, waiter.request.values)
    if (idle === undefined) void openFor(waiter, pool)
    else waiter.resolve(wrap(pool, idle, waiter.request))
    return true
  }

  /** Refuses those whose time is over, and those that can no longer be served in it. */
  function refuseUnservable (now: number): void {
    const overloaded = isOverloaded(pressure, now)
    const unservable = queue.filter(waiter => computeWaitDeadline(waiter, overloaded) <= now || (waiter.request.need.kind === 'primary' && primaryFrom(now) >= waiter.deadline))
    if (unservable.length === 0) return
    pressure = recordTimeRefusal(pressure, now)
    queue = queue.filter(waiter => !unservable.includes(waiter))
    for (const { reject, queuedAt: since } of unservable) reject(refusal(now - since))
  }

  function refusal (waited: number): StatementFailure {
    return new StatementFailure('busy', `${refusalReason()}; it waited ${Math.round(waited)} ms behind ${queue.length} and did not run`)
  }

  function refusalReason (): string {
    if (!link.isLeased()) return 'this instance has no word from control'
    if (link.primaryAssignment(group)?.use !== 'open') return 'the primary is being replaced'
    return isOverloaded(pressure, clock.now()) ? 'more arrives than the servers can run' : 'all connections are in use'
  }

  function dispatch (): void {
    if (dispatching) return
    dispatching = true
    const now = clock.now()
    refuseUnservable(now)
    queue.sort((left, right) => compareRequests(left, right, now))
    const waiting = queue
    queue = []
    // Serving one may change what the next finds, so each is looked at anew.
    queue = [...queue, ...waiting.filter(waiter => !serve(waiter, now))]
    pressure = recordWaiting(pressure, queue.length, usablePrimary() !== undefined, now)
    dispatching = false
  }

  return {
    lend: async request => {
      const now = clock.now()
      const { priority, objective, deadline } = request
      const entry: QueuedRequest = { priority, objective, deadline, queuedAt: now }
      const ahead = queue.filter(other => compareRequests(other, entry, now) <= 0).length
      const servedFrom = request.need.kind === 'primary' ? primaryFrom(now) : now
      if (!canServeInTime(entry, { ahead, servedPerSecond: servedPerSecond(request, now), servedFrom, overloaded: isOverloaded(pressure, now) }, now)) {
        pressure = recordTimeRefusal(pressure, now)
        throw refusal(0)
      }
      return await new Promise<Lent>((resolve, reject) => {
        queue.push({ request, ...entry, resolve, reject })
        dispatch()
      })
    },
    readNeed: request => {
      history = dropPositionsUntil(history, link.resumedAt())
      return resolveReadRequirement({ ...request, history, term, now: clock.now() })
    },
    sightings: () => {
      const now = clock.now()
      return Object.fromEntries([...pools].flatMap(([member, pool]) => {
        const sighting = pool.sighting(now)
        return sighting === undefined ? [] : [[member, sighting]]
      }))
    },
    isBusy: () => link.primaryAssignment(group)?.use === 'closing' && [...pools.values()].some(pool => pool.hasPrimaryWork()),
    tick: () => {
      const now = clock.now()
      for (const pool of pools.values()) pool.tick(now)
      if (queue.length > 0) dispatch()
    },
    refresh: () => {
      refreshServers()
      refreshPrimary()
      dispatch()
    },
    close: () => {
      for (const pool of pools.values()) pool.close('the instance stops')
      for (const { reject, queuedAt: since } of queue) reject(refusal(clock.now() - since))
      queue = []
    }
  }
}
