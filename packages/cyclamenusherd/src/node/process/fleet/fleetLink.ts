/**
 * The lease of an entry instance: renews it with the leader of control, keeps the
 * state that control publishes, and reports whether that state may still be used.
 */

import { randomUUID } from 'node:crypto'
import { EventEmitter } from 'node:events'
import { inflateSync } from 'node:zlib'
import { DECLARATION_TRUST_MILLISECONDS, NO_DECLARATION_TRUST, RENEWAL_HOLD_MILLISECONDS, LEASE_MILLISECONDS, LOAN_MEMORY_MILLISECONDS, drainsKnownUntil, findLender, indexDeclaration, limitDrainBound, limitShareUse, lookUp, mergeServer, listGroupServers, recordNewestVersion, trustedUntil, updateDomainDrains } from '@cyclamenusher/decisions'
import { StreamCallError } from '@cyclamenusher/protocol'
import { pause } from '../clock.js'
import { createSuspensionWatch } from '../suspension.js'
import { LOAN_STREAM, RENEWAL_STREAM } from './fleetStreams.js'
import { createWarmupLedger } from './warmupLedger.js'
import { createWatchedCaller } from './watchedCaller.js'
import type { BorrowReply, BorrowRequest, Declaration, DeclarationDocument, DeclarationIndex, DomainDrain, NamedInstance, PrimaryAssignment, KnownServer, LoanReport, RenewGrant, RenewReply, RenewRequest, SharedGrant } from '@cyclamenusher/decisions'
import type { Address } from '../address.js'
import type { Clock } from '../clock.js'
import type { Peers } from '../peers.js'
import type { ScopedLogger } from '../logger.js'
import type { WarmupLedger } from './warmupLedger.js'
import type { WatchedCaller } from './watchedCaller.js'

/** How long a renewal may take beyond its hold time, in milliseconds: several round trips between regions. */
const RENEWAL_MARGIN_MILLISECONDS = 300
/** Timeouts in a row after which the connection to a control instance is replaced, although it answers pings or knows none: it may have gone silent. A new connection costs an overloaded leader more than a late answer. */
const TIMEOUTS_BEFORE_RECONNECT = 3
/** Timeouts in a row after which the margin of a renewal doubles with each further one: an overloaded leader is slow, and every renewal that is given up adds to its load. */
const TIMEOUTS_BEFORE_LONGER_MARGIN = 2
/** Largest factor by which the margin of a renewal grows. */
const MAXIMUM_MARGIN_FACTOR = 4
/** Timeout of a request to borrow, in milliseconds: shorter than callers wait. */
const BORROW_TIMEOUT_MILLISECONDS = 100
/** Timeout of a request to borrow from an entry instance, in milliseconds: the instance may ask control meanwhile. */
const LENDER_TIMEOUT_MILLISECONDS = 200
/** Interval at which a lender that did not answer is asked again in the background, in milliseconds: control appoints another one about 2 s after an instance is gone. */
const FAILED_LENDER_INTERVAL_MILLISECONDS = 500
/** Age of a lease at which its renewal is overdue, in milliseconds: two hold times and the round trips. */
const RENEWAL_OVERDUE_MILLISECONDS = 1_000
/** Minimum interval between two checks whether the lease has expired, in milliseconds. */
const LEASE_CHECK_INTERVAL_MILLISECONDS = 100
/** Shortest time for which a declaration is trusted, in milliseconds: a renewal takes its hold time and a round trip. */
const MINIMUM_TRUST_MILLISECONDS = 1_000
/** Age up to which a server's state is reported to a new leader, in milliseconds: several times the interval at which a leader writes changed servers to the log. */
const RECENT_SERVERS_MILLISECONDS = 10_000
/** Mean delay after a failed renewal, in milliseconds; drawn at random, so that instances that failed together don't return together. */
const RETRY_DELAY_MILLISECONDS = 40

export interface FleetLinkOptions {
  name: string
  failureDomain: string
  /** Addresses of control instances from the settings; read for each renewal without a known leader. */
  seeds: () => readonly Address[]
  decodeDeclaration: (document: DeclarationDocument) => Declaration
  /** Returns what the instance reports with each renewal. */
  report: () => Pick<RenewRequest, 'demand' | 'sightings' | 'busy' | 'holds'>
  /** Where other entry instances borrow from this one; undefined if it does not lend. */
  lendsAt?: Address
  /** How long operations may run by a declaration after it was known to be the newest, in milliseconds. Not shorter than a second. @default DECLARATION_TRUST_MILLISECONDS */
  declarationTrustMilliseconds?: number
  /** Time after which no statement reaches the servers of a drained failure domain, in milliseconds from the acknowledgement of the order. Undefined: DRAIN_BOUND_MILLISECONDS, and an instance that has no word from control doesn't expect drains. */
  domainDrainMilliseconds?: number
  peers: Peers
  clock: Clock
  logger: ScopedLogger
}

const NO_HOLDERS: readonly NamedInstance[] = []

export interface FleetLink {
  /** Name of this instance. */
  name: string
  failureDomain: string
  /** Starts to renew the lease. */
  start: () => void
  declaration: () => DeclarationIndex | undefined
  primaryAssignment: (group: string) => PrimaryAssignment | undefined
  servers: (group: string) => KnownServer[]
  /** By drained failure domain, what may still be sent to its servers; the same map until it changes. */
  drains: () => ReadonlyMap<string, DomainDrain>
  /** Whether this instance knows of every drain that may be in force by now. */
  areDrainsKnown: () => boolean
  /** Instances that hold the connections to the group's servers; the same list until they change. */
  holders: (group: string) => readonly NamedInstance[]
  /** All instances that hold connections to any group's servers. */
  allHolders: () => NamedInstance[]
  /** Whether the lease is valid, so that the published assignments may be used. */
  isLeased: () => boolean
  /** Whether renewals succeed in time. If not, new callers should be sent to other instances. */
  isConnected: () => boolean
  /** When the lease expires or expired; -Infinity if there is none, or if the process was suspended since it was granted. */
  leasedUntil: () => number
  /** When the last suspension of the process ended, on the steady clock. Times from before it are older than they appear. */
  resumedAt: () => number
  /** This instance's share of an account's rate, from 0 to 1; 0 if it is no longer valid. */
  rateShare: (account: string) => number
  /** Whether this instance borrows an account's operations from another entry instance. */
  hasLender: (account: string) => boolean
  /** Borrows operations of an account from its lender, or from the leader's pool. None are granted if there are none or nobody answers. */
  borrow: (account: string, wanted: number) => Promise<BorrowReply>
  /** Number of entry instances that share the servers. */
  entryCount: () => number
  /** Version of the newest declaration that control has named, -1 if it has named none. */
  newestVersion: () => number
  /** Whether the lease is valid and was granted with the newest declaration, so that what it refuses is refused for good. */
  isDeclarationCurrent: () => boolean
  /** Whether operations may still run by the declaration held: it was the newest a short time ago. */
  isDeclarationTrusted: () => boolean
  /** Cold servers, and this instance's shares of what they may receive. */
  warmups: WarmupLedger
  /** Renews now, so that the leader receives a new report without delay. */
  reportNow: () => void
  /** Calls the listener when the published state or the lease has changed. */
  onChange: (listener: () => void) => void
  close: () => void
}

/** Calls to one instance. */
interface InstanceCalls {
  renewals: WatchedCaller<RenewRequest, RenewReply>
  loans: WatchedCaller<BorrowRequest, BorrowReply>
  reconnect: () => void
}

export function createFleetLink (options: FleetLinkOptions): FleetLink {
  const { name, failureDomain, seeds, peers, clock, logger } = options
  const incarnation = randomUUID()
  const suspension = createSuspensionWatch(clock)
  const trustMilliseconds = Math.max(MINIMUM_TRUST_MILLISECONDS, options.declarationTrustMilliseconds ?? DECLARATION_TRUST_MILLISECONDS)
  const shareMilliseconds = limitShareUse(trustMilliseconds)
  const drainBound = limitDrainBound(options.domainDrainMilliseconds)
  const emitter = new EventEmitter()
  emitter.setMaxListeners(0)
  const links = new Map<string, InstanceCalls>()
  let controlAddresses: Address[] = []
  let leader: Address | undefined
  /** Control instance that has begun to answer, again or on another connection, since the last grant. */
  let answering: Address | undefined
  /** Control instance that is asked. */
  let asked: Address | undefined
  let rotation = Math.floor(Math.random() * 1_000)
  let warmed = Math.floor(Math.random() * 1_000)
  let applied = { term: 0, change: 0 }
  /** Address of the control instance that granted the last renewal, or empty if a renewal has failed since. That control instance already knows the servers and shares of this one. */
  let grantedBy = ''
  let assignments = new Map<string, PrimaryAssignment>()
  const servers = new Map<string, KnownServer>()
  let shares: Record<string, number> = {}
  let lenders = new Map<string, Address | undefined>()
  /** When this instance learned of each server's present state. */
  const learnedAt = new Map<string, number>()
  /** Lenders that did not answer, by address, and when they are asked again. They are passed over until they answer. */
  const failedLenders = new Map<string, number>()
  const startedAt = clock.startedAt ?? clock.now()
  /** Increases with each report of the loans to a control instance. */
  let loanReports = 0
  /** Operations borrowed from control lately, the oldest first. */
  let loansOfControl: Array<{ account: string, operations: number, at: number }> = []
  let holders = new Map<string, NamedInstance[]>()
  let drains: ReadonlyMap<string, DomainDrain> = new Map()
  let declarationIndex: DeclarationIndex | undefined
  let entryCount = 1
  /** When the renewal request was sent from which the lease counts. */
  let leaseStartedAt = -Infinity
  let wasLeased = false
  /** When the last lease was found to be over; undefined before the first one. */
  let leaseLostAt: number | undefined
  let trust = NO_DECLARATION_TRUST
  let currentRenewal: AbortController | undefined
  let reportRequested = false
  /** Renewals that timed out since the last answer, by address. */
  const timeouts = new Map<string, number>()
  /** Failed renewals since the last one that succeeded, by reason. */
  let failedRenewals = new Map<string, number>()
  let closed = false

  /** Time until which anything granted with the lease is valid; -Infinity after a suspension of the process, because the duration of a suspension is unknown. */
  function validUntil (milliseconds: number): number {
    return leaseStartedAt <= suspension.resumedAt() ? -Infinity : leaseStartedAt + milliseconds
  }

  function leasedUntil (): number {
    return validUntil(LEASE_MILLISECONDS)
  }

  const warmups = createWarmupLedger({ clock, leasedUntil })

  /** Whether the shares count: they end with the trust in a declaration that was confirmed with them. */
  function areSharesValid (): boolean {
    return clock.now() < validUntil(shareMilliseconds)
  }

  function isLeased (): boolean {
    return clock.now() < leasedUntil()
  }

  function ensureLink ({ host, port }: Address): InstanceCalls {
    const key = `${host}:${port}`
    const existing = links.get(key)
    if (existing !== undefined) return existing
    const link = peers.link({ host, port })
    const watch = { link, clock, callers: () => entryCount, onReplaced: () => { logger.warn('A connection went silent, and another one is used.', { address: key }) } }
    const calls: InstanceCalls = {
      renewals: createWatchedCaller({ ...watch, name: RENEWAL_STREAM, onAnswering: () => { noteAnswering({ host, port }) } }),
      loans: createWatchedCaller({ ...watch, name: LOAN_STREAM, onAnswering: () => {} }),
      reconnect: link.reconnect
    }
    links.set(key, calls)
    return calls
  }

  /** Asks the control instance that answers now, in place of one that does not. */
  function noteAnswering (address: Address): void {
    answering = address
    if (asked !== undefined && !ensureLink(asked).renewals.isAnswering()) currentRenewal?.abort()
  }

  function listControlInstances (): Address[] {
    return [...new Map([...controlAddresses, ...seeds()].map(address => [`${address.host}:${address.port}`, address])).values()]
  }

  /** The leader if it is known, otherwise the one that has begun to answer or each control instance in turn. */
  function nextTarget (): Address | undefined {
    const found = answering
    answering = undefined
    if (leader !== undefined && (found === undefined || ensureLink(leader).renewals.isAnswering())) return leader
    if (found !== undefined) return found
    const candidates = listControlInstances()
    rotation += 1
    return candidates[rotation % Math.max(1, candidates.length)]
  }

  function buildRequest ({ host, port }: Address): RenewRequest {
    return {
      name,
      incarnation,
      failureDomain,
      knows: applied,
      version: declarationIndex?.version ?? -1,
      ...(options.lendsAt === undefined ? {} : { lendsAt: options.lendsAt }),
      ...options.report(),
      shareMilliseconds,
      ...warmups.report(),
      // A control instance that may not be the leader must reply at once.
      holdMilliseconds: reportRequested || leader === undefined || timeouts.has(`${host}:${port}`) || !isLeased() ? 0 : RENEWAL_HOLD_MILLISECONDS,
      // Another leader receives the servers and shares that this instance knows.
      ...(grantedBy === `${host}:${port}` ? {} : { servers: listRecentServers(), parts: areSharesValid() ? shares : {}, loans: reportLoans() })
    }
  }

  function reportLoans (): LoanReport {
    const now = clock.now()
    loanReports += 1
    return { completeFor: now - startedAt, loans: loansOfControl.map(({ account, operations, at }) => ({ account, operations, ago: now - at })) }
  }

  function adoptDeclaration ({ version, deflated }: NonNullable<SharedGrant['declaration']>): void {
    if (version <= (declarationIndex?.version ?? -1)) return
    const text = inflateSync(Buffer.from(deflated, 'base64')).toString('utf8')
    declarationIndex = indexDeclaration(options.decodeDeclaration({ version, text }))
    logger.info('A declaration is in force here.', { version, leased: isLeased() })
  }

  function adoptAssignments (received: readonly PrimaryAssignment[], whole: boolean): void {
    const next = whole ? new Map<string, PrimaryAssignment>() : new Map(assignments)
    for (const assignment of received) {
      const previous = assignments.get(assignment.group)
      next.set(assignment.group, assignment)
      if (previous?.use === assignment.use && previous.designation === assignment.designation) continue
      logger.info('The belief in a primary changed.', { group: assignment.group, member: assignment.member, designation: assignment.designation, use: assignment.use, term: assignment.term })
    }
    assignments = next
  }

  function adoptServers (received: readonly KnownServer[]): void {
    const now = clock.now()
    for (const server of received) adoptServer(server, now)
  }

  function adoptServer (server: KnownServer, now: number): void {
    if (!mergeServer(servers, server)) return
    learnedAt.set(server.member, now)
    warmups.adoptServer(server)
  }

  function listRecentServers (): KnownServer[] {
    const since = clock.now() - RECENT_SERVERS_MILLISECONDS
    const recent = [...servers.values()].filter(({ member }) => (learnedAt.get(member) ?? -Infinity) >= since)
    return recent.map(server => server.warmupMilliseconds === undefined ? server : { ...server, warmupMilliseconds: warmups.remaining(server.member) })
  }

  /** Takes over the drained failure domains. Called before the lease is extended: a drain that is new here was not acknowledged before the last renewal was sent. */
  function adoptDrains ({ drains: listed, whole }: SharedGrant): void {
    const names = listed ?? (whole ? [] : undefined)
    if (names === undefined || (names.length === drains.size && names.every(name => drains.has(name)))) return
    const previous = drains
    const now = clock.now()
    drains = updateDomainDrains(previous, names, validUntil(0), now, drainBound)
    for (const [failureDomain, { transactionsUntil }] of drains) {
      if (!previous.has(failureDomain)) logger.info('The drain of a failure domain takes effect here.', { failureDomain, transactionsFor: Math.round(Math.max(0, transactionsUntil - now)) })
    }
    for (const failureDomain of previous.keys()) {
      if (drains.has(failureDomain)) continue
      logger.info('The drain of a failure domain is over here.', { failureDomain })
      doubtFailureDomain(failureDomain)
    }
  }

  /** Has the servers of a failure domain count as cold until they announce themselves. Each instance reports that, so that it survives the loss of the leader that applied the withdrawal. */
  function doubtFailureDomain (failureDomain: string): void {
    for (const server of servers.values()) {
      const canBeCold = declarationIndex?.group(server.group)?.warmup !== undefined
      if (canBeCold && !server.gone && server.failureDomain === failureDomain) warmups.doubt(server.member)
    }
  }

  function adoptGrant ({ shared, parts, warmups: warmupShares, settled }: RenewGrant, sentAt: number): void {
    if (shared.term < applied.term) return
    const changed = shared.term !== applied.term || shared.change !== applied.change || shared.declaration !== undefined
    if (shared.declaration !== undefined) adoptDeclaration(shared.declaration)
    adoptAssignments(shared.groups, shared.whole)
    adoptServers(shared.servers)
    adoptDrains(shared)
    if (parts !== undefined) shares = parts
    if (shared.lenders !== undefined) {
      const received = Object.entries(shared.lenders).map(([account, list]): [string, Address | undefined] => [account, findLender(account, name, list)])
      lenders = new Map([...(shared.whole ? [] : lenders), ...received])
    }
    if (shared.holders !== undefined) holders = new Map([...(shared.whole ? [] : holders), ...Object.entries(shared.holders)])
    applied = { term: shared.term, change: shared.change }
    controlAddresses = shared.control.length > 0 ? shared.control : controlAddresses
    entryCount = shared.entries
    warmups.adoptGrant({ warmups: warmupShares, settled, doubted: shared.doubted }, sentAt)
    leaseStartedAt = Math.max(leaseStartedAt, sentAt)
    const { newest: named } = trust
    trust = recordNewestVersion(trust, { held: declarationIndex?.version ?? -1, named: shared.newest, sentAt })
    if (changed || !wasLeased || trust.newest !== named) emitter.emit('change')
    if (!wasLeased) logger.info('The lease is held.', { term: shared.term, change: shared.change, version: declarationIndex?.version, newest: trust.newest, lostFor: leaseLostAt === undefined ? undefined : Math.round(clock.now() - leaseLostAt), failed: [...failedRenewals].map(([reason, count]) => `${count} ${reason}`).join(', ') })
    failedRenewals = new Map()
    wasLeased = true
  }

  function detectLeaseLoss (): void {
    if (!wasLeased || isLeased()) return
    wasLeased = false
    leaseLostAt = clock.now()
    logger.warn('The lease is over.', { ago: Math.round(clock.now() - leaseStartedAt), leaseMilliseconds: LEASE_MILLISECONDS, version: declarationIndex?.version })
    emitter.emit('change')
  }

  /** How long a renewal may take beyond its hold time, in milliseconds. */
  function renewalMargin (key: string): number {
    const factor = 2 ** Math.max(0, (timeouts.get(key) ?? 0) - TIMEOUTS_BEFORE_LONGER_MARGIN + 1)
    return RENEWAL_MARGIN_MILLISECONDS * Math.min(MAXIMUM_MARGIN_FACTOR, factor)
  }

  /** Counts timeouts in a row, and replaces the connection where it has failed or may have gone silent. */
  function recordRenewalFailure (key: string, error: unknown): void {
    const timedOut = error instanceof StreamCallError && error.failure === 'timeout'
    const inRow = timedOut ? (timeouts.get(key) ?? 0) + 1 : 0
    timeouts.set(key, inRow)
    const link = links.get(key)
    const isReplacedAnyway = link?.renewals.isWatched() === true && !link.renewals.isAnswering()
    if (!isReplacedAnyway && (!timedOut || inRow % TIMEOUTS_BEFORE_RECONNECT === 0)) link?.reconnect()
    for (const address of listControlInstances()) ensureLink(address).renewals.search()
  }

  /**
   * Opens the stream to another control instance, one with each renewal.
   *
   * Load pattern: a leader is lost, and all instances come to its successor at once.
   * Their connections would cost it more than their renewals.
   */
  function warmNextControlInstance (): void {
    warmed += 1
    const address = controlAddresses[warmed % Math.max(1, controlAddresses.length)]
    if (address !== undefined) ensureLink(address).renewals.warm()
  }

  async function renewOnce (target: Address): Promise<boolean> {
    const link = ensureLink(target)
    const key = `${target.host}:${target.port}`
    const request = buildRequest(target)
    reportRequested = false
    const sentAt = clock.now()
    currentRenewal = new AbortController()
    asked = target
    try {
      const reply = await link.renewals.call(request, request.holdMilliseconds + renewalMargin(key), currentRenewal.signal)
      timeouts.delete(key)
      if (reply.kind === 'granted') {
        leader = target
        grantedBy = key
        adoptGrant(reply, sentAt)
        warmNextControlInstance()
        return true
      }
      grantedBy = ''
      leader = reply.leader === undefined || (reply.leader.host === target.host && reply.leader.port === target.port) ? undefined : reply.leader
      return false
    } catch (error) {
      if (currentRenewal.signal.aborted) return true
      grantedBy = ''
      leader = undefined
      recordRenewalFailure(key, error)
      const reason = (error as Error).message
      failedRenewals.set(reason, (failedRenewals.get(reason) ?? 0) + 1)
      logger.debug('A control instance did not renew the lease.', { address: key, reason })
      return false
    }
  }

  async function renewUntilClosed (): Promise<void> {
    while (!closed) {
      const target = nextTarget()
      const renewed = target !== undefined && await renewOnce(target)
      detectLeaseLoss()
      if (!renewed) await pause(RETRY_DELAY_MILLISECONDS * (0.5 + Math.random()))
    }
  }

  async function borrowFrom (lender: Address, account: string, wanted: number, timeoutMs: number): Promise<BorrowReply | undefined> {
    const request: BorrowRequest = { account, wanted }
    try {
      return await ensureLink(lender).loans.call(request, timeoutMs)
    } catch (error) {
      logger.debug('Borrowing failed.', { account, lender: `${lender.host}:${lender.port}`, reason: (error as Error).message })
      return undefined
    }
  }

  /** Asks a lender that did not answer for nothing, while the operation goes to control. */
  function tryFailedLender (lender: Address, account: string, key: string): void {
    const now = clock.now()
    if (now < (failedLenders.get(key) ?? -Infinity)) return
    failedLenders.set(key, now + FAILED_LENDER_INTERVAL_MILLISECONDS)
    void borrowFrom(lender, account, 0, LENDER_TIMEOUT_MILLISECONDS).then(reply => { if (reply !== undefined) failedLenders.delete(key) })
  }

  async function borrow (account: string, wanted: number): Promise<BorrowReply> {
    const lender = lenders.get(account)
    const key = lender === undefined ? '' : `${lender.host}:${lender.port}`
    if (lender !== undefined && failedLenders.has(key)) tryFailedLender(lender, account, key)
    else if (lender !== undefined) {
      const reply = await borrowFrom(lender, account, wanted, LENDER_TIMEOUT_MILLISECONDS)
      // A lender asks control itself before it grants less than was wanted.
      if (reply !== undefined && reply.isNoLender !== true) return reply
      if (reply === undefined) failedLenders.set(key, clock.now() + FAILED_LENDER_INTERVAL_MILLISECONDS)
    }
    return await borrowFromControl(account, wanted)
  }

  async function borrowFromControl (account: string, wanted: number): Promise<BorrowReply> {
    const reportsBefore = loanReports
    const reply = leader === undefined ? undefined : await borrowFrom(leader, account, wanted, BORROW_TIMEOUT_MILLISECONDS)
    // A loan that is missing in a report to the next leader must not be spent.
    if (reply === undefined || reportsBefore !== loanReports) return { granted: 0 }
    const now = clock.now()
    loansOfControl = loansOfControl.filter(({ at }) => now - at < LOAN_MEMORY_MILLISECONDS)
    if (reply.granted > 0) loansOfControl.push({ account, operations: reply.granted, at: now })
    return reply
  }

  let timer: NodeJS.Timeout | undefined

  /** Looks at the lease when it is due to end, which a renewal has usually put off by then. */
  function scheduleLeaseCheck (): void {
    const untilEnd = leasedUntil() - clock.now()
    const delay = Math.max(LEASE_CHECK_INTERVAL_MILLISECONDS, Number.isFinite(untilEnd) ? untilEnd : 0)
    timer = setTimeout(() => {
      detectLeaseLoss()
      scheduleLeaseCheck()
    }, delay)
  }

  scheduleLeaseCheck()
  return {
    name,
    failureDomain,
    start: () => { void renewUntilClosed() },
    declaration: () => declarationIndex,
    primaryAssignment: group => assignments.get(group),
    servers: group => listGroupServers(servers, group),
    drains: () => drains,
    areDrainsKnown: () => options.domainDrainMilliseconds === undefined || clock.now() < drainsKnownUntil(validUntil(0), drainBound),
    holders: group => holders.get(group) ?? NO_HOLDERS,
    allHolders: () => [...new Map([...holders.values()].flat().map(holder => [holder.name, holder])).values()],
    isLeased,
    isConnected: () => isLeased() && clock.now() - leaseStartedAt < RENEWAL_OVERDUE_MILLISECONDS,
    leasedUntil,
    resumedAt: suspension.resumedAt,
    rateShare: account => areSharesValid() ? lookUp(shares, account) ?? 0 : 0,
    hasLender: account => lenders.get(account) !== undefined,
    borrow,
    entryCount: () => entryCount,
    newestVersion: () => trust.newest,
    isDeclarationCurrent: () => isLeased() && (declarationIndex?.version ?? -1) >= trust.newest && clock.now() < trustedUntil(trust, Math.min(LEASE_MILLISECONDS, trustMilliseconds), suspension.resumedAt()),
    isDeclarationTrusted: () => clock.now() < trustedUntil(trust, trustMilliseconds, suspension.resumedAt()),
    warmups,
    reportNow: () => {
      if (reportRequested) return
      reportRequested = true
      currentRenewal?.abort()
    },
    onChange: listener => { emitter.on('change', listener) },
    close: () => {
      closed = true
      clearTimeout(timer)
      currentRenewal?.abort()
      for (const { renewals, loans, reconnect } of links.values()) {
        renewals.close()
        loans.close()
        reconnect()
      }
    }
  }
}
