/** One term of leading: it lives from the election to its end, and keeps what entry instances are told. */

import { deflateSync } from 'node:zlib'
import { INITIAL_SHARE, LEASE_MILLISECONDS, listGroupServers } from '@cyclamenusher/decisions'
import { createHeldRequests } from '../heldRequests.js'
import { createEntryLeases } from './entryLeases.js'
import { createGroupTask } from './groupTask.js'
import { createLeaderDirectory } from './leaderDirectory.js'
import { createRatePool } from './ratePool.js'
import type { AnnouncementOutcome, BorrowReply, BorrowRequest, Declaration, FleetState, GroupEnvironment, RateTolerance, RenewGrant, RenewRequest, ServerAnnouncement } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { GroupTask, GroupTaskOptions } from './groupTask.js'

/** Pause between two looks at the groups, in milliseconds: small beside a promotion, and a fifth of a percent of a core. */
const TICK_MILLISECONDS = 25
/** Pause between two plans of the parts of rates, in milliseconds: demand is an average over about as long. */
const PLAN_MILLISECONDS = 500
/** Time that a new leader holds renewals while it asks primaries whether they lead, in milliseconds. */
const SETTLE_MILLISECONDS = 400
/** Time in which instances tell a new leader which parts of rates they hold, in milliseconds: a renewal that found the leader before silent, and some tries. */
const REPORT_MILLISECONDS = 800
/** Time until an instance that is new gets its parts, in milliseconds: those that start together share a plan. */
const FRESH_MILLISECONDS = 50
/** Time that entry instances have to come back after an election, in milliseconds: a start and some tries. */
const RETURN_MILLISECONDS = 4_000
/** Pause between two records of servers in the log, in milliseconds: a sync of the disk each. */
const REMEMBER_MILLISECONDS = 1_000
/** Pause between two wholly new documents to one entry instance, in milliseconds: a storm of changes is told in steps. */
const DOCUMENT_MILLISECONDS = 150

export interface LeadershipOptions extends Pick<GroupTaskOptions, 'administration' | 'promotion' | 'propose' | 'resign' | 'announceMilliseconds' | 'holder'> {
  term: number
  state: () => FleetState
  declaration: () => Declaration | undefined
  isLeading: () => boolean
  control: () => RenewGrant['control']
  rateTolerance: RateTolerance
  /** Time for which a server takes work after it has announced that it leaves, in milliseconds. */
  drainMilliseconds: number
  clock: Clock
  logger: ScopedLogger
}

export interface Leadership {
  /** Operations of an account from the pool. */
  lend: (request: BorrowRequest) => BorrowReply
  renew: (request: RenewRequest) => Promise<RenewGrant | undefined>
  announce: (announcement: ServerAnnouncement) => AnnouncementOutcome
  signOff: (member: string, bornAt: number | undefined) => boolean
  /** The state of the log has changed. */
  refresh: () => void
  close: () => void
}

export function startLeadership (options: LeadershipOptions): Leadership {
  const { term, state, declaration, isLeading, clock, logger } = options
  const startedAt = clock.now()
  const held = createHeldRequests()
  const directory = createLeaderDirectory(() => { held.release() })
  const leases = createEntryLeases()
  const groups = new Map<string, GroupTask>()
  const pool = createRatePool(declaration, options.rateTolerance, clock)
  const documentsSentAt = new Map<string, number>()
  let deflated: { version: number, deflated: string } | undefined
  let plannedAt = -Infinity
  let rememberedAt = startedAt
  let rememberedChange = 0

  function surroundings (group: string): Omit<GroupEnvironment, 'verdict' | 'now'> {
    const now = clock.now()
    const synchronousReplicas = declaration()?.groups.find(({ name }) => name === group)?.synchronousReplicas ?? 0
    return {
      servers: listGroupServers(directory.servers, group),
      confirmed: leases.confirmed(directory.changeOf(group), now),
      busy: leases.busy(group, now),
      earlierLeasesExpireAt: startedAt + LEASE_MILLISECONDS,
      synchronousReplicas,
      drainMilliseconds: options.drainMilliseconds
    }
  }

  function openGroups (): void {
    for (const { name } of declaration()?.groups ?? []) {
      if (groups.has(name)) continue
      groups.set(name, createGroupTask({
        ...options,
        group: name,
        designation: state().designations.get(name),
        fence: term,
        mayPromote: () => isLeading() && clock.now() - startedAt > LEASE_MILLISECONDS,
        surroundings,
        sightings: member => leases.sightings(member, clock.now()),
        announcedAt: member => directory.announcedAt.get(member),
        publish: directory.publish
      }))
    }
  }

  function plan (now: number): void {
    if (now - plannedAt < PLAN_MILLISECONDS) return
    plannedAt = now
    const most = now - startedAt < REPORT_MILLISECONDS ? INITIAL_SHARE : 1
    leases.plan(declaration()?.accounts.map(({ name }) => name) ?? [], most, directory.touch, now)
  }

  /** Entry instances that share the servers: after a start, those that are still on their way count too. */
  function sharing (now: number): number {
    const expected = now - startedAt < RETURN_MILLISECONDS ? state().entries : 0
    return Math.max(leases.count(now), expected)
  }

  /** Has the log remember what changed, some changes at a time. */
  function remember (now: number): void {
    if (now - rememberedAt < REMEMBER_MILLISECONDS) return
    rememberedAt = now
    const entries = sharing(now)
    const { servers } = directory.since(rememberedChange)
    rememberedChange = directory.change()
    if (servers.length > 0 || entries !== state().entries) void options.propose({ kind: 'remember', servers, entries })
  }

  const timer = setInterval(() => {
    const now = clock.now()
    plan(now)
    remember(now)
    for (const group of groups.values()) group.tick()
  }, TICK_MILLISECONDS)

  function isSettled (): boolean {
    return clock.now() - startedAt > SETTLE_MILLISECONDS || (groups.size > 0 && [...groups.values()].every(group => group.settled()))
  }

  function documentFor ({ name, version }: RenewRequest, now: number): RenewGrant['declaration'] {
    const { document } = state()
    if (document === undefined || document.version <= version) return undefined
    if (now - (documentsSentAt.get(name) ?? -Infinity) < DOCUMENT_MILLISECONDS && version >= 0) return undefined
    if (deflated?.version !== document.version) deflated = { version: document.version, deflated: deflateSync(document.text).toString('base64') }
    return deflated
  }

  function knownBy (request: RenewRequest): number {
    return request.knows.term === term ? request.knows.change : 0
  }

  function hasNews (request: RenewRequest): boolean {
    return directory.change() > knownBy(request) || documentFor(request, clock.now()) !== undefined
  }

  function grant (request: RenewRequest, fresh: boolean): RenewGrant | undefined {
    if (!isLeading()) return undefined
    const now = clock.now()
    const known = fresh ? 0 : knownBy(request)
    const { parts, change } = leases.parts(request.name)
    const document = documentFor(request, now)
    if (document !== undefined) documentsSentAt.set(request.name, now)
    leases.grant(request.name, now)
    return {
      kind: 'granted',
      term,
      change: directory.change(),
      leaseMilliseconds: LEASE_MILLISECONDS,
      whole: known === 0,
      ...directory.since(known),
      ...(change > known || known === 0 ? { parts } : {}),
      ...(document === undefined ? {} : { declaration: document }),
      entries: sharing(now),
      control: options.control()
    }
  }

  directory.merge([...state().servers.values()])
  openGroups()
  return {
    lend: ({ account, wanted }) => ({ granted: isLeading() ? pool.lend(account, wanted) : 0 }),
    renew: async request => {
      const fresh = leases.renew(request, knownBy(request), clock.now())
      if (request.servers !== undefined) directory.merge(request.servers)
      // An instance that is new waits for its parts of the rates.
      if (fresh) plannedAt = Math.min(plannedAt, clock.now() - PLAN_MILLISECONDS + FRESH_MILLISECONDS)
      if (fresh) logger.info('An entry instance renews its lease here.', { name: request.name, failureDomain: request.failureDomain, term })
      const until = clock.now() + request.holdMilliseconds
      while (!isSettled() && clock.now() - startedAt < SETTLE_MILLISECONDS) await held.hold(TICK_MILLISECONDS)
      while (!hasNews(request) && clock.now() < until && isLeading()) await held.hold(until - clock.now())
      return grant(request, fresh)
    },
    announce: announcement => {
      const verdict = directory.announce(announcement, clock.now())
      if (verdict === 'changed') {
        const { member, group, role, leaving, host, port } = announcement
        logger.info('A backend server announced a change.', { member, group, role, leaving, address: `${host}:${port}` })
      }
      return verdict
    },
    signOff: (member, bornAt) => {
      const left = directory.signOff(member, bornAt)
      if (left) logger.info('A backend server signed off.', { member })
      return left
    },
    refresh: () => {
      openGroups()
      held.release()
    },
    close: () => {
      clearInterval(timer)
      for (const group of groups.values()) group.close()
      held.release()
    }
  }
}
