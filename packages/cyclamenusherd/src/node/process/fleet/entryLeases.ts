/** The leases that the leader has granted to entry instances, and the rate shares that the instances hold. */

import { LEASE_MILLISECONDS, SHARE_VALIDITY_MILLISECONDS, chooseLenders, combineLoanReports, countLenders, countShareUse, listNearLenders, lookUp, planShares } from '@cyclamenusher/decisions'
import type { AvailableHolder } from './groupHolders.js'
import type { ClientAccount, ControlAddress, LoanHistory, LoanReport, RateTolerance, RenewRequest, ServerObservation, ShareHolder, NamedInstance } from '@cyclamenusher/decisions'

interface EntryLease {
  name: string
  failureDomain: string
  lendsAt?: ControlAddress
  holds: boolean
  incarnation: string
  leaseUntil: number
  /** When the last renewal request arrived. */
  renewedAt: number
  /** Number of the newest change that the instance has applied. */
  appliedChange: number
  demand: Record<string, number>
  observations: Record<string, ServerObservation>
  /** Groups at whose closing primary the instance still has work. */
  busy: ReadonlySet<string>
  /** Shares as last planned, by account. */
  shares: Map<string, number>
  /** Number of the change with which the shares were last modified. */
  sharesChange: number
  /** Number of a change after the first plan that included the instance. */
  firstPlanChange?: number
  /** Shares that the instance may use until it has confirmed the planned ones. */
  heldShares: Map<string, number>
  /** How long the shares count after a grant, in milliseconds, and until when they do. */
  shareUse: number
  sharesUntil: number
  /** Until when the instance is remembered: what it borrowed counts for longer than its shares. */
  rememberedUntil: number
  /** What the instance had borrowed from control when it first renewed here. */
  loans: { report: LoanReport | undefined, receivedAt: number }
}

/** What the log says of the shares that instances may hold. */
export interface ShareLimits {
  /** The part of an account's rate that instances may hold which have not renewed at this leader, from 0 to 1. */
  missing: (account: string) => number
  /** The largest share of an account that an instance may be granted. */
  boundOf: (account: string, name: string) => number
  /** Called for a share that is to grow beyond its bound; `lenders` is the number of instances that share the account's rate. */
  exceed: (account: string, name: string, share: number, lenders: number) => void
}

export const NO_SHARE_LIMITS: ShareLimits = { missing: () => 0, boundOf: () => Infinity, exceed: () => {} }

export interface SharePlanOptions {
  /** No share grows beyond it. @default 1 */
  maximumShare?: number
  /** Instances among which lenders are chosen if there are any, as others have connections to them already. */
  preferred?: ReadonlySet<string>
  /** @default NO_SHARE_LIMITS */
  limits?: ShareLimits
}

export interface EntryLeases {
  /** Records a renewal request, and returns whether the instance is new to this leader. */
  renew: (request: RenewRequest, appliedChange: number, now: number) => boolean
  /** Extends the lease from the arrival of the last renewal request, and the validity of the shares from now. */
  grant: (name: string, now: number) => void
  /** Whether every instance that holds a lease has applied the change. */
  isConfirmed: (change: number, now: number) => boolean
  /** Whether an instance still has work at the closing primary of the group. */
  busy: (group: string, now: number) => boolean
  /** Observations of a server by the instances that hold a lease, aged until now. */
  listObservations: (member: string, now: number) => ServerObservation[]
  /** Number of entry instances that hold a lease. */
  count: (now: number) => number
  /** Number of entry instances that have asked for a lease lately, granted or not. */
  countRenewing: (now: number) => number
  /** Instances with a lease that hold connections for others. */
  listHolders: (now: number) => AvailableHolder[]
  /** Whether an instance has reported shares that an earlier leader granted. */
  hasReportedShares: () => boolean
  /** What the instances had borrowed from earlier leaders. */
  loanHistory: () => LoanHistory
  /** Chooses the lenders of the accounts and plans their shares within the limits. Calls `recordChange` for each modified share or choice, to number the change. Returns whether the plan is the first one of an instance. */
  planShares: (accounts: readonly ClientAccount[], recordChange: () => number, now: number, options?: SharePlanOptions) => boolean
  /** Reports the shares that a plan would let grow beyond their bounds, and plans nothing. */
  previewShares: (accounts: readonly ClientAccount[], now: number, options?: SharePlanOptions) => void
  /** Whether a plan would be the first one of an instance. */
  hasUnplanned: (now: number) => boolean
  /** Whether the instance has renewed at this leader, so that its shares and loans are known. */
  has: (name: string) => boolean
  /** Share of an account that the instance may hold. */
  heldBy: (name: string, account: string) => number
  /** The planned shares of an instance, and the number of the change with which they were last modified. */
  sharesOf: (name: string) => { shares: Record<string, number>, change: number }
  /** From whom the instances of a failure domain borrow, by account, as far as it was modified after `change`. */
  lendersOf: (failureDomain: string, change: number) => Record<string, NamedInstance[]>
  /** Whether a plan includes the instance. Until then it keeps the lenders that it knows: a plan that was made without it may have been made without the others, too. */
  isPlanned: (name: string) => boolean
  /** Whether the instance has not received its first plan of shares and lenders yet, although there is one. */
  awaitsShares: (name: string) => boolean
}

function addAge ({ answeredAgo, failingFor }: ServerObservation, elapsedMilliseconds: number): ServerObservation {
  return {
    ...(answeredAgo === undefined ? {} : { answeredAgo: answeredAgo + elapsedMilliseconds }),
    ...(failingFor === undefined ? {} : { failingFor: failingFor + elapsedMilliseconds })
  }
}

interface AccountLenders {
  /** Identifies the instances and limits from which the lenders were chosen. */
  basis: string
  leases: readonly EntryLease[]
  /** Number of the change with which the lenders were last modified. */
  change: number
}

/** `ledSince` is when this leader was elected. Shares of earlier leaders that are reported after their time have been granted to others. */
function createLease ({ name, incarnation, failureDomain, lendsAt, holds = false, parts = {}, shareMilliseconds, loans }: RenewRequest, now: number, ledSince: number): EntryLease {
  const shareUse = countShareUse(shareMilliseconds)
  const heldShares = new Map(now - ledSince > shareUse ? [] : Object.entries(parts))
  return { name, incarnation, failureDomain, lendsAt, holds, leaseUntil: -Infinity, renewedAt: now, appliedChange: 0, demand: {}, observations: {}, busy: new Set(), shares: new Map(heldShares), sharesChange: 0, heldShares, shareUse, sharesUntil: now + shareUse, rememberedUntil: now + SHARE_VALIDITY_MILLISECONDS, loans: { report: loans, receivedAt: now } }
}

/** `ledSince` is when this leader was elected; if it is not given, shares of earlier leaders count whenever they are reported. */
export function createEntryLeases (tolerance: RateTolerance, ledSince = Infinity): EntryLeases {
  const leases = new Map<string, EntryLease>()
  const lenders = new Map<string, AccountLenders>()
  let candidatesKey = ''
  let sharesReported = false
  /** By account, the sum of the shares that instances held when they first renewed here. */
  const reportedShares = new Map<string, number>()
  /** Increases when the instances with a lease change. */
  let generation = 0

  function listActiveLeases (now: number): EntryLease[] {
    return [...leases.values()].filter(({ leaseUntil }) => leaseUntil > now)
  }

  function removeExpired (now: number): void {
    for (const [name, { leaseUntil, rememberedUntil, renewedAt }] of leases) {
      if (Math.max(leaseUntil, rememberedUntil, renewedAt + LEASE_MILLISECONDS) < now) leases.delete(name)
    }
  }

  /** Takes back the shares whose time is over. An instance that returns is told that it has none. */
  function endShares (now: number, recordChange: () => number): void {
    for (const lease of leases.values()) {
      const isOver = lease.leaseUntil < now && lease.sharesUntil < now && lease.shares.size + lease.heldShares.size > 0
      if (isOver) Object.assign(lease, { shares: new Map(), heldShares: new Map(), sharesChange: recordChange() })
    }
  }

  function confirmShares (lease: EntryLease): void {
    if (lease.appliedChange >= lease.sharesChange) lease.heldShares = new Map(lease.shares)
  }

  function selectLenders ({ name, ratePerSecond, burst }: ClientAccount, candidates: readonly EntryLease[]): EntryLease[] {
    // An instance that can't be asked would leave the others without a lender.
    const canLend = candidates.every(({ lendsAt }) => lendsAt !== undefined)
    const count = canLend ? countLenders({ rate: ratePerSecond, burst }, tolerance, candidates) : candidates.length
    const chosen = new Set(chooseLenders(name, candidates, count))
    return candidates.filter(lease => chosen.has(lease.name))
  }

  /** Chooses the lenders of an account anew when the instances with a lease, or the account's limits, have changed. */
  function refreshLenders (account: ClientAccount, candidates: readonly EntryLease[], recordChange: () => number): AccountLenders {
    const { name, ratePerSecond, burst } = account
    const basis = `${ratePerSecond} ${burst} ${generation}`
    const existing = lenders.get(name)
    if (existing?.basis === basis) return existing
    const chosenLeases = selectLenders(account, candidates)
    // A restarted instance has another lease, and possibly another address.
    const isUnchanged = existing !== undefined && existing.leases.length === chosenLeases.length && chosenLeases.every(lease => existing.leases.includes(lease))
    const refreshed = { basis, leases: chosenLeases, change: isUnchanged ? existing.change : recordChange() }
    lenders.set(name, refreshed)
    return refreshed
  }

  function heldBy (lease: EntryLease, account: string): number {
    return Math.max(lease.heldShares.get(account) ?? 0, lease.shares.get(account) ?? 0)
  }

  /** Plans the shares of an account, by name, among the chosen lenders. */
  function computeShares (account: string, chosen: ReadonlySet<string>, now: number, { maximumShare = 1, limits = NO_SHARE_LIMITS }: SharePlanOptions): Map<string, number> {
    // Instances that neither hold a share nor are to hold one don't change the plan.
    const concerned = [...leases.values()].filter(({ name, heldShares, shares }) => chosen.has(name) || heldShares.has(account) || shares.has(account))
    const holders = concerned.map((lease): ShareHolder => ({
      name: lease.name,
      demand: lease.leaseUntil > now ? lookUp(lease.demand, account) ?? 0 : 0,
      held: heldBy(lease, account),
      isLender: chosen.has(lease.name),
      hasLease: lease.leaseUntil > now
    }))
    // What missing instances hold was not granted to those that have reported.
    const missing = Math.min(limits.missing(account), Math.max(0, 1 - (reportedShares.get(account) ?? 0)))
    const planned = planShares(holders, maximumShare, missing)
    for (const { name, held } of holders) {
      const share = planned.get(name) ?? 0
      const bound = limits.boundOf(account, name)
      if (share <= held || share <= bound) continue
      limits.exceed(account, name, share, chosen.size)
      planned.set(name, Math.max(held, bound))
    }
    return planned
  }

  function planAccount (account: ClientAccount, candidates: readonly EntryLease[], recordChange: () => number, now: number, options: SharePlanOptions): void {
    if (candidates.length === 0) return
    const chosen = new Set(refreshLenders(account, candidates, recordChange).leases.map(({ name }) => name))
    for (const [name, share] of computeShares(account.name, chosen, now, options)) {
      const lease = leases.get(name)
      if (lease === undefined || (lease.shares.get(account.name) ?? 0) === share) continue
      if (share === 0) lease.shares.delete(account.name)
      else lease.shares.set(account.name, share)
      lease.sharesChange = recordChange()
    }
  }

  function listLenderCandidates (now: number, preferred: ReadonlySet<string> | undefined): EntryLease[] {
    const candidates = listActiveLeases(now)
    const preferredCandidates = candidates.filter(({ name }) => preferred?.has(name) === true)
    return preferredCandidates.length > 0 ? preferredCandidates : candidates
  }

  return {
    renew: (request, appliedChange, now) => {
      const existing = leases.get(request.name)
      const isNew = existing === undefined || existing.incarnation !== request.incarnation
      const lease = isNew ? createLease(request, now, ledSince) : existing
      leases.set(request.name, lease)
      if (isNew && lease.heldShares.size > 0) sharesReported = true
      if (isNew) for (const [account, share] of lease.heldShares) reportedShares.set(account, (reportedShares.get(account) ?? 0) + share)
      Object.assign(lease, { appliedChange, renewedAt: now, shareUse: countShareUse(request.shareMilliseconds), lendsAt: request.lendsAt, holds: request.holds === true, demand: request.demand, observations: request.sightings, busy: new Set(request.busy) })
      confirmShares(lease)
      return isNew
    },
    grant: (name, now) => {
      const lease = leases.get(name)
      if (lease === undefined) return
      // The instance counts its lease from when it sent the request, which is earlier, so the lease expires there first.
      lease.leaseUntil = lease.renewedAt + LEASE_MILLISECONDS
      lease.sharesUntil = Math.max(lease.sharesUntil, now + lease.shareUse)
      lease.rememberedUntil = now + SHARE_VALIDITY_MILLISECONDS
    },
    isConfirmed: (change, now) => listActiveLeases(now).every(({ appliedChange }) => appliedChange >= change),
    busy: (group, now) => listActiveLeases(now).some(lease => lease.busy.has(group)),
    listObservations: (member, now) => listActiveLeases(now).flatMap(({ observations, renewedAt }) => {
      const observation = lookUp(observations, member)
      return observation === undefined ? [] : [addAge(observation, now - renewedAt)]
    }),
    count: now => listActiveLeases(now).length,
    countRenewing: now => [...leases.values()].filter(({ renewedAt }) => renewedAt + LEASE_MILLISECONDS > now).length,
    listHolders: now => listActiveLeases(now).flatMap(({ name, failureDomain, lendsAt, holds }) => holds && lendsAt !== undefined ? [{ name, failureDomain, ...lendsAt }] : []),
    hasReportedShares: () => sharesReported,
    loanHistory: () => combineLoanReports([...leases.values()].map(({ loans }) => loans)),
    planShares: (accounts, recordChange, now, options = {}) => {
      removeExpired(now)
      endShares(now, recordChange)
      const candidates = listActiveLeases(now)
      const lenderCandidates = listLenderCandidates(now, options.preferred)
      const key = lenderCandidates.map(({ name, incarnation }) => `${name} ${incarnation}`).sort().join()
      if (key !== candidatesKey) generation += 1
      candidatesKey = key
      const declared = new Set(accounts.map(({ name }) => name))
      for (const name of lenders.keys()) if (!declared.has(name)) lenders.delete(name)
      for (const account of accounts) planAccount(account, lenderCandidates, recordChange, now, options)
      const added = candidates.filter(({ firstPlanChange }) => firstPlanChange === undefined)
      if (added.length === 0) return false
      const change = recordChange()
      for (const lease of added) lease.firstPlanChange = change
      return true
    },
    previewShares: (accounts, now, options = {}) => {
      const candidates = listLenderCandidates(now, options.preferred)
      if (candidates.length === 0) return
      for (const account of accounts) computeShares(account.name, new Set(selectLenders(account, candidates).map(({ name }) => name)), now, options)
    },
    hasUnplanned: now => listActiveLeases(now).some(({ firstPlanChange }) => firstPlanChange === undefined),
    has: name => leases.has(name),
    heldBy: (name, account) => {
      const lease = leases.get(name)
      return lease === undefined ? 0 : heldBy(lease, account)
    },
    sharesOf: name => {
      const lease = leases.get(name)
      return { shares: Object.fromEntries(lease?.shares ?? []), change: lease?.sharesChange ?? 0 }
    },
    lendersOf: (failureDomain, change) => {
      const changed = [...lenders].filter(([, accountLenders]) => accountLenders.change > change)
      return Object.fromEntries(changed.map(([account, accountLenders]) => [
        account,
        listNearLenders(failureDomain, accountLenders.leases).flatMap(({ name, lendsAt }) => lendsAt === undefined ? [] : [{ name, ...lendsAt }])
      ]))
    },
    isPlanned: name => leases.get(name)?.firstPlanChange !== undefined,
    awaitsShares: name => {
      const lease = leases.get(name)
      return lease?.firstPlanChange !== undefined && lease.appliedChange < lease.firstPlanChange
    }
  }
}
