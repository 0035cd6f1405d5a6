/** Leader duties during one term: grants leases and rate shares, runs the control of the groups, and persists changes. */

import { deflateSync } from 'node:zlib'
import { DEFAULT_WARMUP_TOLERANCE, INITIAL_SHARE, LEASE_MILLISECONDS, awaitsReturn, findServerFault, isLoanHistoryComplete, limitDrainBound, listGroupServers, lookUp, mayHoldUnreportedShares } from '@cyclamenusher/decisions'
import { createHeldRequests } from '../heldRequests.js'
import { createEntryLeases } from './entryLeases.js'
import { createGroupHolders } from './groupHolders.js'
import { SILENCE_INTERVALS, createGroupTask } from './groupTask.js'
import { createLeaderDirectory } from './leaderDirectory.js'
import { createLeaderDrains } from './leaderDrains.js'
import { createLeaderLoad } from './leaderLoad.js'
import { createRatePool } from './ratePool.js'
import { createShareRecord } from './shareRecord.js'
import { createWarmupShares } from './warmupShares.js'
import type { AnnouncementOutcome, BorrowReply, BorrowRequest, ClientAccount, Declaration, FleetCommand, FleetState, GroupEnvironment, RateTolerance, RenewGrant, RenewRequest, ReturningInstances, ServerAnnouncement, ShareHolderChanges, SharedGrant, VerifiedTerm, WarmupTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { SharePlanOptions } from './entryLeases.js'
import type { GroupTask, GroupTaskOptions } from './groupTask.js'

/** Interval between two ticks of the group tasks, in milliseconds: short compared to a promotion, and costs a fifth of a percent of a core. */
const TICK_INTERVAL_MILLISECONDS = 25
/** Interval between two plans of the rate shares, in milliseconds: about the period over which demand is averaged. */
const PLAN_INTERVAL_MILLISECONDS = 500
/** Maximum time for which a new leader holds renewals while it verifies the primaries, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 400
/** Maximum time for which the renewal of an instance that has just started waits for the first plan, in milliseconds: shorter than the instance waits for an answer. */
const FIRST_PLAN_HOLD_MILLISECONDS = 250
/** Maximum time for which a first plan waits until the log holds the bounds of its shares, in milliseconds: several disk syncs. */
const BOUNDS_TIMEOUT_MILLISECONDS = 200
/** Delay before the shares are planned for a new instance, in milliseconds: instances that start together share one plan. */
const NEW_ENTRY_DELAY_MILLISECONDS = 50
/** How long after an election the previous number of entry instances counts, in milliseconds: a startup and a few retries. */
const ENTRY_RETURN_MILLISECONDS = 4_000
/** Minimum interval between two commands that write changed servers to the log, in milliseconds: each costs a disk sync. */
const PERSIST_INTERVAL_MILLISECONDS = 1_000
/** Interval at which terms of primaries are written that the log does not hold, in milliseconds: the next leader would wait for a promotion that is over. */
const TERM_RECORD_INTERVAL_MILLISECONDS = 200
/** Delay with which urgent changes end the held renewals, in milliseconds: short compared to a promotion. */
const RELEASE_DELAY_MILLISECONDS = 40
/** Minimum interval between two documents sent to one entry instance, in milliseconds: in a burst of changes, intermediate versions are skipped. */
const DOCUMENT_INTERVAL_MILLISECONDS = 150

export interface LeadershipOptions extends Pick<GroupTaskOptions, 'administration' | 'promotion' | 'propose' | 'resign' | 'announceIntervalMilliseconds' | 'holder'> {
  term: number
  state: () => FleetState
  declaration: () => Declaration | undefined
  /** Whether this instance holds the leader lease, still in this term. */
  hasLeaderLease: () => boolean
  /** Resolves with whether `state` holds every command that earlier leaders wrote. */
  confirmState: () => Promise<boolean>
  /** Addresses of the control instances, sent with each grant. */
  controlAddresses: () => SharedGrant['control']
  rateTolerance: RateTolerance
  /** How far the declared requests to a cold server may be exceeded. @default DEFAULT_WARMUP_TOLERANCE */
  warmupTolerance?: WarmupTolerance
  /** How long a server takes work after it has announced that it is leaving, in milliseconds. */
  drainMilliseconds: number
  /** Time after which no statement reaches the servers of a drained failure domain, in milliseconds from the acknowledgement of the order. @default DRAIN_BOUND_MILLISECONDS */
  domainDrainMilliseconds?: number
  clock: Clock
  logger: ScopedLogger
}

export interface Leadership {
  /** Lends operations from the pool of an account's rate. */
  lend: (request: BorrowRequest) => BorrowReply
  /** Grants a lease. Holds the request until there is a change to report, at most for the time that the request allows. Resolves with undefined if this instance no longer leads. */
  renew: (request: RenewRequest, signal: AbortSignal) => Promise<RenewGrant | undefined>
  announce: (announcement: ServerAnnouncement) => AnnouncementOutcome
  /** Marks a server as gone, and resolves with whether this is in the log: after a loss of all control instances nobody else would know. */
  deregister: (member: string, bornAt: number | undefined) => Promise<boolean>
  /** Whether a server of the failure domain has announced itself. */
  knowsFailureDomain: (failureDomain: string) => boolean
  /** Handles a change of the log's state: publishes drains, starts tasks for new groups, and lets held renewals continue. */
  refresh: () => void
  close: () => void
}

export function startLeadership (options: LeadershipOptions): Leadership {
  const { term, state, declaration, hasLeaderLease, clock, logger } = options
  const startedAt = clock.now()
  /** A command without the use of shares would be taken for one of an earlier build. */
  const noShareChanges: ShareHolderChanges = { added: [], removed: [], bounds: [], use: { term, milliseconds: [] } }
  const heldRenewals = createHeldRequests()
  const directory = createLeaderDirectory(releaseSoon)
  const drains = createLeaderDrains({
    ...options,
    directory,
    domainDrainMilliseconds: limitDrainBound(options.domainDrainMilliseconds),
    onRestored: failureDomain => { warmups.doubtFailureDomain(failureDomain, clock.now()) }
  })
  const leases = createEntryLeases(options.rateTolerance, startedAt)
  const holders = createGroupHolders()
  const warmups = createWarmupShares({
    startedAt,
    tolerance: options.warmupTolerance ?? DEFAULT_WARMUP_TOLERANCE,
    declaration,
    directory,
    listHolders: group => (lookUp(holders.changesSince(0) ?? {}, group) ?? []).map(({ name }) => name),
    logger
  })
  const groupTasks = new Map<string, GroupTask>()
  const load = createLeaderLoad(logger, clock)
  const shareRecord = createShareRecord({
    term,
    state,
    startedAt,
    confirmState: options.confirmState,
    write: async shares => (await remember({ shares })).kind === 'applied',
    onWritten: ({ added, bounds }) => {
      if (bounds.length > 0) planSoon(0)
      if (added.length > 0) heldRenewals.release()
    }
  })
  const pool = createRatePool(declaration, options.rateTolerance, clock)
  /** Shared parts of the grants of this tick. */
  const sharedGrants = new Map<string, SharedGrant>()
  const documentsSentAt = new Map<string, number>()
  let compressedDocument: { version: number, deflated: string } | undefined
  /** Control instances as last listed, and the number of the change with which they were modified. */
  let control: SharedGrant['control'] = []
  let controlChange = 0
  let releaseTimer: NodeJS.Timeout | undefined
  let sharesPlannedAt = -Infinity
  /** Since when a first plan waits for bounds of shares; Infinity if none does. */
  let boundsAwaitedSince = Infinity
  let persistedAt = startedAt
  let persistedChange = 0
  let termsRecordedAt = startedAt

  /**
   * Ends the held renewals a moment later, together for the changes that come in between.
   *
   * Load pattern: a new leader publishes the primary of each group within a few hundred
   * milliseconds, and each change would end the renewals of all instances.
   */
  function releaseSoon (): void {
    releaseTimer ??= setTimeout(() => {
      releaseTimer = undefined
      heldRenewals.release()
    }, RELEASE_DELAY_MILLISECONDS)
  }

  /** Writes what the next leader must know to the log. */
  async function remember ({ servers = [], entries = state().entries, copies, shares = noShareChanges, verified = [] }: Partial<Omit<Extract<FleetCommand, { kind: 'remember' }>, 'kind'>>): ReturnType<LeadershipOptions['propose']> {
    return await options.propose({ kind: 'remember', servers, entries, shares, ...(copies === undefined ? {} : { copies }), ...(verified.length === 0 ? {} : { verified }) })
  }

  /** Plans the shares after a delay, unless they are planned earlier anyway. */
  function planSoon (delayMilliseconds: number): void {
    sharesPlannedAt = Math.min(sharesPlannedAt, clock.now() - PLAN_INTERVAL_MILLISECONDS + delayMilliseconds)
  }

  function readEnvironment (group: string): Omit<GroupEnvironment, 'verdict' | 'now'> {
    const now = clock.now()
    const synchronousReplicas = declaration()?.groups.find(({ name }) => name === group)?.synchronousReplicas ?? 0
    const copies = state().copies.get(group)
    return {
      servers: listGroupServers(directory.servers, group),
      assignmentConfirmed: leases.isConfirmed(directory.changeOf(group), now),
      busy: leases.busy(group, now),
      earlierLeasesExpireAt: startedAt + LEASE_MILLISECONDS,
      synchronousReplicas,
      copies,
      ...directory.classifyRuns([...copies?.servers ?? [], ...copies?.primary === undefined ? [] : [copies.primary]]),
      announcedBy: startedAt + SILENCE_INTERVALS * options.announceIntervalMilliseconds,
      drainMilliseconds: options.drainMilliseconds,
      drains: drains.deadlines(),
      cold: warmups.listCold(group, now)
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
        mayPromote: () => hasLeaderLease() && clock.now() - startedAt > LEASE_MILLISECONDS,
        readEnvironment,
        listObservations: member => leases.listObservations(member, clock.now()),
        recordCopies: copies => { void remember({ copies }) },
        announcedAt: member => directory.announcedAt.get(member),
        publish: directory.publish
      }))
    }
  }

  function assessReturn (now: number): ReturningInstances {
    return { ledMilliseconds: now - startedAt, sharesReported: leases.hasReportedShares(), returned: leases.countRenewing(now), expected: state().entries, missing: shareRecord.countMissing(leases, now) }
  }

  /** Whether the renewal comes from an instance that has just started, and is to wait until this leader has chosen holders and lenders for the first time. */
  function awaitsFirstPlan ({ knows }: RenewRequest): boolean {
    return knows.term === 0 && sharesPlannedAt === -Infinity && state().entries > 0
  }

  /** Whether the first plan of an instance waits until the log holds the bounds of its shares. */
  function awaitsBounds (accounts: readonly ClientAccount[], now: number, planOptions: SharePlanOptions): boolean {
    if (!leases.hasUnplanned(now) || now - boundsAwaitedSince > BOUNDS_TIMEOUT_MILLISECONDS) return false
    leases.previewShares(accounts, now, planOptions)
    if (!shareRecord.awaitsBounds()) return false
    boundsAwaitedSince = Math.min(boundsAwaitedSince, now)
    return true
  }

  function planShares (now: number): void {
    if (now - sharesPlannedAt < PLAN_INTERVAL_MILLISECONDS) return
    const returning = assessReturn(now)
    if (!shareRecord.isCurrent() || awaitsReturn(returning)) return
    if (isLoanHistoryComplete(returning)) pool.adoptHistory(leases.loanHistory())
    const accounts = declaration()?.accounts ?? []
    holders.plan([...groupTasks.keys()], group => listGroupServers(directory.servers, group).map(({ failureDomain }) => failureDomain), leases.listHolders(now), directory.recordChange)
    const planOptions: SharePlanOptions = { maximumShare: mayHoldUnreportedShares(returning) ? INITIAL_SHARE : 1, preferred: holders.names(), limits: shareRecord.limits(leases, returning.returned, now) }
    if (awaitsBounds(accounts, now, planOptions)) return
    boundsAwaitedSince = Infinity
    sharesPlannedAt = now
    const includesNew = leases.planShares(accounts, directory.recordChange, now, planOptions)
    if (includesNew) releaseSoon()
  }

  /** Number of entry instances that share the servers. Early in a term, the last persisted number counts if it is higher, because not all instances have renewed yet. */
  function countEntries (now: number): number {
    const expected = now - startedAt < ENTRY_RETURN_MILLISECONDS ? state().entries : 0
    return Math.max(leases.count(now), expected)
  }

  /** The terms of primaries that the next leader would not know. */
  function listUnrecordedTerms (): VerifiedTerm[] {
    const verified = [...groupTasks.values()].flatMap(task => task.verifiedTerm() ?? [])
    return verified.filter(({ group, designation, term }) => {
      const recorded = state().designations.get(group)
      return recorded?.number === designation && recorded.term !== term
    })
  }

  /** Writes the terms of primaries, as soon as a promotion is over. */
  function recordTerms (now: number): void {
    if (now - termsRecordedAt < TERM_RECORD_INTERVAL_MILLISECONDS) return
    termsRecordedAt = now
    const verified = listUnrecordedTerms()
    if (verified.length > 0) void remember({ verified })
  }

  /** Writes changed servers and the number of entry instances to the log, in batches. */
  function persistChanges (now: number): void {
    if (now - persistedAt < PERSIST_INTERVAL_MILLISECONDS) return
    persistedAt = now
    const entries = countEntries(now)
    const { servers } = directory.changesSince(persistedChange, now)
    persistedChange = directory.change()
    if (servers.length > 0 || entries !== state().entries) void remember({ servers, entries })
  }

  function refreshControl (): void {
    const listed = options.controlAddresses()
    if (JSON.stringify(listed) === JSON.stringify(control)) return
    control = listed
    controlChange = directory.recordChange()
  }

  let tickedAt = startedAt
  let settled = false
  const timer = setInterval(() => {
    const now = clock.now()
    load.tick(Math.max(0, now - tickedAt - TICK_INTERVAL_MILLISECONDS))
    tickedAt = now
    sharedGrants.clear()
    refreshControl()
    planShares(now)
    warmups.plan(now)
    shareRecord.write(leases, now)
    persistChanges(now)
    for (const group of groupTasks.values()) group.tick()
    recordTerms(now)
    if (!settled && isSettled()) {
      settled = true
      releaseSoon()
    }
  }, TICK_INTERVAL_MILLISECONDS)

  function isSettled (): boolean {
    return clock.now() - startedAt > SETTLE_TIMEOUT_MILLISECONDS || (groupTasks.size > 0 && [...groupTasks.values()].every(group => group.settled()))
  }

  /** When an instance that lacks the newest document may receive it; infinite if it has it. */
  function documentDueAt ({ name, version }: RenewRequest): number {
    const { document } = state()
    if (document === undefined || document.version <= version) return Infinity
    return version < 0 ? -Infinity : (documentsSentAt.get(name) ?? -Infinity) + DOCUMENT_INTERVAL_MILLISECONDS
  }

  function selectDocument (request: RenewRequest, now: number): SharedGrant['declaration'] {
    const { document } = state()
    if (document === undefined || documentDueAt(request) > now) return undefined
    if (compressedDocument?.version !== document.version) compressedDocument = { version: document.version, deflated: deflateSync(document.text).toString('base64') }
    return compressedDocument
  }

  function changeKnownBy (request: RenewRequest): number {
    return request.knows.term === term ? request.knows.change : 0
  }

  /** Changed shares wait for the renewal to end: they are planned for all instances at once, and an earlier answer to all would cost the leader more than the delay costs callers. */
  function hasNews (request: RenewRequest): boolean {
    return directory.urgentChange() > changeKnownBy(request) || leases.awaitsShares(request.name) || selectDocument(request, clock.now()) !== undefined
  }

  /** Builds the part of a grant that instances of one failure domain with the same knowledge share; it is built, and encoded, once in a tick for all of them. */
  function buildSharedGrant ({ name, failureDomain }: RenewRequest, knownChange: number, document: SharedGrant['declaration']): SharedGrant {
    const isPlanned = leases.isPlanned(name)
    // An instance that no plan included has received none of the lenders, whenever they were chosen.
    const lendersKnown = leases.awaitsShares(name) ? 0 : knownChange
    const newest = state().document?.version ?? -1
    const key = `${failureDomain} ${isPlanned} ${lendersKnown} ${knownChange} ${document?.version} ${newest} ${directory.change()}`
    const existing = sharedGrants.get(key)
    if (existing !== undefined) return existing
    const groupHolders = holders.changesSince(knownChange)
    const drained = drains.published()
    const shared: SharedGrant = {
      term,
      change: directory.change(),
      whole: knownChange === 0,
      ...directory.changesSince(knownChange, clock.now()),
      ...warmups.share(clock.now()),
      ...(isPlanned ? { lenders: leases.lendersOf(failureDomain, lendersKnown) } : {}),
      ...(groupHolders === undefined ? {} : { holders: groupHolders }),
      ...(document === undefined ? {} : { declaration: document }),
      newest,
      ...(drained === undefined ? {} : { drains: drained }),
      entries: countEntries(clock.now()),
      control: controlChange > knownChange ? control : []
    }
    sharedGrants.set(key, shared)
    return shared
  }

  function grant (request: RenewRequest, isNew: boolean): RenewGrant | undefined {
    if (!hasLeaderLease()) return undefined
    const now = clock.now()
    const knownChange = isNew ? 0 : changeKnownBy(request)
    const { shares, change: sharesChange } = leases.sharesOf(request.name)
    const document = selectDocument(request, now)
    if (document !== undefined) documentsSentAt.set(request.name, now)
    else if (request.version < (state().document?.version ?? -1)) load.count('grantsBehind')
    leases.grant(request.name, now)
    return {
      kind: 'granted',
      leaseMilliseconds: LEASE_MILLISECONDS,
      shared: buildSharedGrant(request, knownChange, document),
      ...(sharesChange > knownChange || knownChange === 0 ? { parts: shares } : {}),
      ...warmups.grant(request.name)
    }
  }

  refreshControl()
  directory.merge([...state().servers.values()], startedAt)
  startGroupTasks()
  // The first leases wait until the log holds the instances.
  shareRecord.write(leases, startedAt)
  return {
    lend: ({ account, wanted }) => {
      const reply = hasLeaderLease() ? pool.lend(account, wanted) : { granted: 0 }
      load.count('loans')
      if (reply.granted < wanted) load.count('shortLoans')
      return reply
    },
    renew: async (request, signal) => {
      load.count('renewals')
      // An instance that takes this one for the leader that it knows does not say what it holds.
      if (request.knows.term > 0 && request.knows.term !== term && request.parts === undefined) return undefined
      const isNew = leases.renew(request, changeKnownBy(request), clock.now())
      if (request.servers !== undefined) directory.merge(request.servers, clock.now())
      warmups.renew(request, clock.now())
      // Plans the shares soon, because a new instance has none yet.
      if (isNew) planSoon(NEW_ENTRY_DELAY_MILLISECONDS)
      if (isNew) logger.info('An entry instance requested its first lease from this leader.', { name: request.name, failureDomain: request.failureDomain, term })
      const holdUntil = clock.now() + request.holdMilliseconds
      while (!isSettled()) await heldRenewals.hold(Math.max(TICK_INTERVAL_MILLISECONDS, startedAt + SETTLE_TIMEOUT_MILLISECONDS - clock.now()))
      const planUntil = clock.now() + FIRST_PLAN_HOLD_MILLISECONDS
      while (awaitsFirstPlan(request) && clock.now() < planUntil && hasLeaderLease()) {
        // The plan is made for the instances with a lease.
        leases.grant(request.name, clock.now())
        await heldRenewals.hold(Math.min(TICK_INTERVAL_MILLISECONDS, planUntil - clock.now()))
      }
      // An instance that is not in the log would be unknown to the next leader.
      const { name, shareMilliseconds } = request
      if (!shareRecord.isRecorded(name, shareMilliseconds) || (isNew && shareRecord.isUseLonger(name, shareMilliseconds))) shareRecord.add(name, shareMilliseconds)
      while (!shareRecord.isRecorded(name, shareMilliseconds) && hasLeaderLease()) await heldRenewals.hold(TICK_INTERVAL_MILLISECONDS)
      while (!hasNews(request) && clock.now() < holdUntil && hasLeaderLease()) {
        await heldRenewals.hold(Math.min(holdUntil, documentDueAt(request)) - clock.now())
      }
      if (clock.now() < holdUntil) load.count('earlyRenewals')
      if (signal.aborted) load.count('abandonedRenewals')
      return signal.aborted ? undefined : grant(request, isNew)
    },
    announce: announcement => {
      load.count('announcements')
      const outcome = directory.announce(announcement, clock.now())
      if (outcome === 'invalid') logger.warn('An announcement that names no server was left out.', { field: findServerFault(announcement) })
      if (outcome === 'changed') {
        const { member, group, role, leaving, host, port } = announcement
        logger.info('A backend server announced a change.', { member, group, role, leaving, address: `${host}:${port}` })
      }
      return outcome
    },
    deregister: async (member, bornAt) => {
      if (directory.deregister(member, bornAt)) logger.info('A backend server deregistered.', { member })
      const known = directory.servers.get(member)
      const isWritten = known?.gone !== true || state().servers.get(member)?.gone === true
      if (isWritten) return true
      const outcome = await remember({ servers: [known] })
      return outcome.kind === 'applied'
    },
    knowsFailureDomain: failureDomain => [...directory.servers.values()].some(server => server.failureDomain === failureDomain),
    refresh: () => {
      drains.refresh()
      startGroupTasks()
      heldRenewals.release()
    },
    close: () => {
      clearInterval(timer)
      clearTimeout(releaseTimer)
      for (const group of groupTasks.values()) group.close()
      heldRenewals.release()
    }
  }
}
