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
const TICK_INTERVAL_MILLISECONDS = 25
/** Pause between two plans of the parts of rates, in milliseconds: demand is an average over about as long. */
const PLAN_INTERVAL_MILLISECONDS = 500
/** Time that a new leader holds renewals while it asks primaries whether they lead, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 400
/** Time in which instances tell a new leader which parts of rates they hold, in milliseconds: a renewal that found the leader before silent, and some tries. */
const SHARE_REPORT_MILLISECONDS = 800
/** Time until an instance that is new gets its parts, in milliseconds: those that start together share a plan. */
const NEW_ENTRY_DELAY_MILLISECONDS = 50
/** Time that entry instances have to come back after an election, in milliseconds: a start and some tries. */
const ENTRY_RETURN_MILLISECONDS = 4_000
/** Pause between two records of servers in the log, in milliseconds: a sync of the disk each. */
const PERSIST_INTERVAL_MILLISECONDS = 1_000
/** Pause between two wholly new documents to one entry instance, in milliseconds: a storm of changes is told in steps. */
const DOCUMENT_INTERVAL_MILLISECONDS = 150

export interface LeadershipOptions extends Pick<GroupTaskOptions, 'administration' | 'promotion' | 'propose' | 'resign' | 'announceIntervalMilliseconds' | 'holder'> {
  term: number
  state: () => FleetState
  declaration: () => Declaration | undefined
  isLeading: () => boolean
  controlAddresses: () => RenewGrant['control']
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
  deregister: (member: string, bornAt: number | undefined) => boolean
  /** The state of the log has changed. */
  refresh: () => void
  close: () => void
}

export function startLeadership (options: LeadershipOptions): Leadership {
  const { term, state, declaration, isLeading, clock, logger } = options
  const startedAt = clock.now()
  const heldRenewals = createHeldRequests()
  const directory = createLeaderDirectory(() => { heldRenewals.release() })
  const leases = createEntryLeases()
  const groupTasks = new Map<string, GroupTask>()
  const pool = createRatePool(declaration, options.rateTolerance, clock)
  const documentsSentAt = new Map<string, number>()
  let compressedDocument: { version: number, deflated: string } | undefined
  let sharesPlannedAt = -Infinity
  let persistedAt = startedAt
  let persistedChange = 0

  function readEnvironment (group: string): Omit<GroupEnvironment, 'verdict' | 'now'> {
    const now = clock.now()
    const synchronousReplicas = declaration()?.groups.find(({ name }) => name === group)?.synchronousReplicas ?? 0
    return {
      servers: listGroupServers(directory.servers, group),
      confirmed: leases.isConfirmed(directory.changeOf(group), now),
      busy: leases.busy(group, now),
      earlierLeasesExpireAt: startedAt + LEASE_MILLISECONDS,
      synchronousReplicas,
      drainMilliseconds: options.drainMilliseconds
    }
  }

  function startGroupTasks (): void {
    for (const { name } of declaration()?.groups ?? []) {
      if (groupTasks.has(name)) continue
      groupTasks.set(name, createGroupTask({
        ...options,
        group: name,
        designation: state().designations.get(name),
        fence: term,
        mayPromote: () => isLeading() && clock.now() - startedAt > LEASE_MILLISECONDS,
        readEnvironment,
        listObservations: member => leases.listObservations(member, clock.now()),
        announcedAt: member => directory.announcedAt.get(member),
        publish: directory.publish
      }))
    }
  }

  function planShares (now: number): void {
    if (now - sharesPlannedAt < PLAN_INTERVAL_MILLISECONDS) return
    sharesPlannedAt = now
    const maximumShare = now - startedAt < SHARE_REPORT_MILLISECONDS ? INITIAL_SHARE : 1
    leases.planShares(declaration()?.accounts.map(({ name }) => name) ?? [], maximumShare, directory.recordChange, now)
  }

  /** Entry instances that share the servers: after a start, those that are still on their way count too. */
  function countEntries (now: number): number {
    const expected = now - startedAt < ENTRY_RETURN_MILLISECONDS ? state().entries : 0
    return Math.max(leases.count(now), expected)
  }

  /** Has the log remember what changed, some changes at a time. */
  function persistChanges (now: number): void {
    if (now - persistedAt < PERSIST_INTERVAL_MILLISECONDS) return
    persistedAt = now
    const entries = countEntries(now)
    const { servers } = directory.changesSince(persistedChange)
    persistedChange = directory.change()
    if (servers.length > 0 || entries !== state().entries) void options.propose({ kind: 'remember', servers, entries })
  }

  const timer = setInterval(() => {
    const now = clock.now()
    planShares(now)
    persistChanges(now)
    for (const group of groupTasks.values()) group.tick()
  }, TICK_INTERVAL_MILLISECONDS)

  function isSettled (): boolean {
    return clock.now() - startedAt > SETTLE_TIMEOUT_MILLISECONDS || (groupTasks.size > 0 && [...groupTasks.values()].every(group => group.settled()))
  }

  function selectDocument ({ name, version }: RenewRequest, now: number): RenewGrant['declaration'] {
    const { document } = state()
    if (document === undefined || document.version <= version) return undefined
    if (now - (documentsSentAt.get(name) ?? -Infinity) < DOCUMENT_INTERVAL_MILLISECONDS && version >= 0) return undefined
    if (compressedDocument?.version !== document.version) compressedDocument = { version: document.version, deflated: deflateSync(document.text).toString('base64') }
    return compressedDocument
  }

  function changeKnownBy (request: RenewRequest): number {
    return request.knows.term === term ? request.knows.change : 0
  }

  function hasNews (request: RenewRequest): boolean {
    return directory.change() > changeKnownBy(request) || selectDocument(request, clock.now()) !== undefined
  }

  function grant (request: RenewRequest, isNew: boolean): RenewGrant | undefined {
    if (!isLeading()) return undefined
    const now = clock.now()
    const knownChange = isNew ? 0 : changeKnownBy(request)
    const { shares, change: sharesChange } = leases.sharesOf(request.name)
    const document = selectDocument(request, now)
    if (document !== undefined) documentsSentAt.set(request.name, now)
    leases.grant(request.name, now)
    return {
      kind: 'granted',
      term,
      change: directory.change(),
      leaseMilliseconds: LEASE_MILLISECONDS,
      whole: knownChange === 0,
      ...directory.changesSince(knownChange),
      ...(sharesChange > knownChange || knownChange === 0 ? { parts: shares } : {}),
      ...(document === undefined ? {} : { declaration: document }),
      entries: countEntries(now),
      control: options.controlAddresses()
    }
  }

  directory.merge([...state().servers.values()])
  startGroupTasks()
  return {
    lend: ({ account, wanted }) => ({ granted: isLeading() ? pool.lend(account, wanted) : 0 }),
    renew: async request => {
      const isNew = leases.renew(request, changeKnownBy(request), clock.now())
      if (request.servers !== undefined) directory.merge(request.servers)
      // An instance that is new waits for its parts of the rates.
      if (isNew) sharesPlannedAt = Math.min(sharesPlannedAt, clock.now() - PLAN_INTERVAL_MILLISECONDS + NEW_ENTRY_DELAY_MILLISECONDS)
      if (isNew) logger.info('An entry instance renews its lease here.', { name: request.name, failureDomain: request.failureDomain, term })
      const holdUntil = clock.now() + request.holdMilliseconds
      while (!isSettled() && clock.now() - startedAt < SETTLE_TIMEOUT_MILLISECONDS) await heldRenewals.hold(TICK_INTERVAL_MILLISECONDS)
      while (!hasNews(request) && clock.now() < holdUntil && isLeading()) await heldRenewals.hold(holdUntil - clock.now())
      return grant(request, isNew)
    },
    announce: announcement => {
      const outcome = directory.announce(announcement, clock.now())
      if (outcome === 'changed') {
        const { member, group, role, leaving, host, port } = announcement
        logger.info('A backend server announced a change.', { member, group, role, leaving, address: `${host}:${port}` })
      }
      return outcome
    },
    deregister: (member, bornAt) => {
      const deregistered = directory.deregister(member, bornAt)
      if (deregistered) logger.info('A backend server signed off.', { member })
      return deregistered
    },
    refresh: () => {
      startGroupTasks()
      heldRenewals.release()
    },
    close: () => {
      clearInterval(timer)
      for (const group of groupTasks.values()) group.close()
      heldRenewals.release()
    }
  }
}
