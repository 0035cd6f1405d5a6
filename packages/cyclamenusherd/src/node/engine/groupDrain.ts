/** Applies drains of failure domains to one group's servers: which of them may be used, until when, and which transactions are ended. */

import { pause } from '../process/clock.js'
import type { DomainDrain, ReadRequirement } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'
import type { ScopedLogger } from '../process/logger.js'
import type { ServerPool } from './serverPool.js'

/** Interval at which an instance that does not know the drains in force looks again, in milliseconds. */
const KNOWLEDGE_POLL_INTERVAL_MILLISECONDS = 20

export type Sendability =
  | 'yes'
  /** No word from control for so long that the server's failure domain may be drained. */
  | 'unknown'
  /** The time in which statements may reach the drained failure domain is over. */
  | 'drained'

export const UNSENDABLE_REASONS: Record<Exclude<Sendability, 'yes'>, string> = {
  unknown: 'this instance has no word from control and may not know of a drain',
  drained: 'the failure domain of the server is drained'
}

/** What can be selected for an operation. */
export interface DrainedRequest {
  need: ReadRequirement
  /** Members at which the operation has already failed. */
  excluded: ReadonlySet<string>
  /** Regions in which the operation may run; undefined: all. */
  allowedRegions?: readonly string[]
}

export interface GroupDrain {
  /** The servers that may be selected now. */
  listSelectable: (request: DrainedRequest) => ServerPool[]
  /** Whether the operation has failed at every server that could run it now. */
  hasTriedAll: (request: DrainedRequest) => boolean
  /** Whether the server must not be used, although a connection to it was opened for the request. */
  isUnusable: (pool: ServerPool, request: DrainedRequest) => boolean
  /** Why the operation is refused: all servers that could run it are drained. Undefined: it is not refused for that. */
  findRefusal: (request: DrainedRequest) => string | undefined
  sendability: (failureDomain: string) => Sendability
  /** Whether a transaction may begin at a server there. */
  mayBegin: (failureDomain: string) => boolean
  /** Calls `end` when transactions at the server must end. Returns a function that cancels that. */
  watchTransaction: (pool: ServerPool, end: (reason: string) => void) => () => void
  /** Applies the drains to the servers' connections. */
  refresh: () => void
  tick: () => void
}

export interface GroupDrainOptions {
  group: string
  link: FleetLink
  pools: ReadonlyMap<string, ServerPool>
  /** The primary, if it is open for work and this instance holds its lease. */
  findUsablePrimary: () => string | undefined
  /** Whether the server lies in the regions to which the request is limited. */
  isAllowed: (pool: ServerPool, request: DrainedRequest) => boolean
  clock: Clock
  logger: ScopedLogger
}

export function createGroupDrain ({ group, link, pools, findUsablePrimary, isAllowed, clock, logger }: GroupDrainOptions): GroupDrain {
  const watched = new Set<{ pool: ServerPool, end: (reason: string) => void }>()

  function findDrain (pool: ServerPool): DomainDrain | undefined {
    return link.drains().get(pool.server().failureDomain)
  }

  /** Whether a primary in a drained failure domain still runs operations, because control has not closed it yet. */
  function isPrimaryInUse (pool: ServerPool): boolean {
    const drain = findDrain(pool)
    return drain !== undefined && clock.now() < drain.statementsUntil && findUsablePrimary() === pool.server().member
  }

  function canRunReads (pool: ServerPool): boolean {
    const { leaving, member } = pool.server()
    return !leaving || member === link.primaryAssignment(group)?.member
  }

  function canRun (pool: ServerPool, { need }: DrainedRequest): boolean {
    return need.kind === 'primary' ? pool.server().member === link.primaryAssignment(group)?.member : canRunReads(pool)
  }

  function isFailing (pool: ServerPool): boolean {
    return pool.observe(clock.now())?.failingFor !== undefined
  }

  function listAllowed (request: DrainedRequest): ServerPool[] {
    return [...pools.values()].filter(pool => isAllowed(pool, request))
  }

  /** The servers that may be used now, including those at which the operation has failed. */
  function listUsable (request: DrainedRequest): ServerPool[] {
    if (!link.areDrainsKnown()) return []
    const allowed = listAllowed(request)
    if (link.drains().size === 0) return allowed
    const outside = allowed.filter(pool => findDrain(pool) === undefined)
    const needsPrimary = request.need.kind === 'primary' || !outside.some(pool => canRunReads(pool) && !isFailing(pool))
    return needsPrimary ? [...outside, ...allowed.filter(isPrimaryInUse)] : outside
  }

  /** Those at which the operation has not failed; all of them once none of these could run it, as servers that may not be used are never tried. */
  function omitTried (usable: ServerPool[], request: DrainedRequest): ServerPool[] {
    if (request.excluded.size === 0) return usable
    const untried = usable.filter(pool => !request.excluded.has(pool.server().member))
    return untried.some(pool => canRun(pool, request)) ? untried : usable
  }

  function listSelectable (request: DrainedRequest): ServerPool[] {
    return omitTried(listUsable(request), request)
  }

  function refresh (): void {
    for (const pool of pools.values()) pool.setDrained(findDrain(pool) !== undefined && !isPrimaryInUse(pool))
  }

  /** Ends the transactions whose time is over. */
  function endTransactions (): void {
    const now = clock.now()
    const due = [...watched].filter(({ pool }) => now >= (findDrain(pool)?.transactionsUntil ?? Infinity))
    if (due.length === 0) return
    logger.info('Transactions are ended, because the failure domain of their server is drained.', { group, members: [...new Set(due.map(({ pool }) => pool.server().member))].join(', '), transactions: due.length })
    for (const entry of due) {
      watched.delete(entry)
      entry.end(`the failure domain of server ${entry.pool.server().member} is drained`)
    }
  }

  return {
    listSelectable,
    hasTriedAll: request => !listUsable(request).some(pool => canRun(pool, request) && !request.excluded.has(pool.server().member)),
    isUnusable: (pool, request) => (link.drains().size > 0 || !link.areDrainsKnown()) && !listSelectable(request).includes(pool),
    findRefusal: request => {
      if (link.drains().size === 0 || !link.areDrainsKnown()) return undefined
      const hasDrained = listAllowed(request).some(pool => findDrain(pool) !== undefined)
      if (!hasDrained || listSelectable(request).some(pool => isPrimaryInUse(pool) || canRunReads(pool))) return undefined
      return 'all servers that could run this are in drained failure domains'
    },
    sendability: failureDomain => {
      if (!link.areDrainsKnown()) return 'unknown'
      return clock.now() < (link.drains().get(failureDomain)?.statementsUntil ?? Infinity) ? 'yes' : 'drained'
    },
    mayBegin: failureDomain => clock.now() < (link.drains().get(failureDomain)?.transactionsUntil ?? Infinity),
    watchTransaction: (pool, end) => {
      const entry = { pool, end }
      watched.add(entry)
      return () => { watched.delete(entry) }
    },
    refresh,
    tick: () => {
      if (link.drains().size === 0) return
      refresh()
      endTransactions()
    }
  }
}

/** Waits until `deadline` for word from control where statements can't be sent without it. Returns why nothing may be sent on the connection; undefined: it may. */
export async function findSendRefusal (sendability: () => Sendability, clock: Clock, deadline: number): Promise<string | undefined> {
  while (sendability() === 'unknown' && clock.now() < deadline) await pause(KNOWLEDGE_POLL_INTERVAL_MILLISECONDS)
  const outcome = sendability()
  return outcome === 'yes' ? undefined : UNSENDABLE_REASONS[outcome]
}
