/** The leases that the leader has granted to entry instances, and the rate shares that the instances hold. */

import { LEASE_MILLISECONDS, SHARE_VALIDITY_MILLISECONDS, planShares } from '@cyclamenusher/decisions'
import type { RenewRequest, ServerObservation, ShareHolder } from '@cyclamenusher/decisions'

interface EntryLease {
  name: string
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
  /** Shares that the instance may use until it has confirmed the planned ones. */
  heldShares: Map<string, number>
  /** When the validity of the shares ends. */
  sharesUntil: number
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
  /** Plans the shares of the accounts; no share grows beyond `maximumShare`. Calls `recordChange` for each modified share, to number the change. */
  planShares: (accounts: readonly string[], maximumShare: number, recordChange: () => number, now: number) => void
  /** The planned shares of an instance, and the number of the change with which they were last modified. */
  sharesOf: (name: string) => { shares: Record<string, number>, change: number }
}

function addAge ({ answeredAgo, failingFor }: ServerObservation, elapsedMilliseconds: number): ServerObservation {
  return {
    ...(answeredAgo === undefined ? {} : { answeredAgo: answeredAgo + elapsedMilliseconds }),
    ...(failingFor === undefined ? {} : { failingFor: failingFor + elapsedMilliseconds })
  }
}

function createLease ({ name, incarnation, parts = {} }: RenewRequest, now: number): EntryLease {
  const heldShares = new Map(Object.entries(parts))
  return { name, incarnation, leaseUntil: -Infinity, renewedAt: now, appliedChange: 0, demand: {}, observations: {}, busy: new Set(), shares: new Map(heldShares), sharesChange: 0, heldShares, sharesUntil: now + SHARE_VALIDITY_MILLISECONDS }
}

export function createEntryLeases (): EntryLeases {
  const leases = new Map<string, EntryLease>()

  function listActiveLeases (now: number): EntryLease[] {
    return [...leases.values()].filter(({ leaseUntil }) => leaseUntil > now)
  }

  function removeExpired (now: number): void {
    for (const [name, { leaseUntil, sharesUntil, renewedAt }] of leases) {
      if (Math.max(leaseUntil, sharesUntil, renewedAt + LEASE_MILLISECONDS) < now) leases.delete(name)
    }
  }

  function confirmShares (lease: EntryLease): void {
    if (lease.appliedChange >= lease.sharesChange) lease.heldShares = new Map(lease.shares)
  }

  function planAccount (account: string, maximumShare: number, recordChange: () => number, now: number): void {
    const holders = [...leases.values()].map((lease): ShareHolder => ({
      name: lease.name,
      demand: lease.leaseUntil > now ? lease.demand[account] ?? 0 : 0,
      held: Math.max(lease.heldShares.get(account) ?? 0, lease.shares.get(account) ?? 0),
      hasLease: lease.leaseUntil > now
    }))
    if (holders.length === 0) return
    for (const [name, share] of planShares(holders, maximumShare)) {
      const lease = leases.get(name)
      if (lease === undefined || (lease.shares.get(account) ?? 0) === share) continue
      lease.shares.set(account, share)
      lease.sharesChange = recordChange()
    }
  }

  return {
    renew: (request, appliedChange, now) => {
      const existing = leases.get(request.name)
      const isNew = existing === undefined || existing.incarnation !== request.incarnation
      const lease = isNew ? createLease(request, now) : existing
      leases.set(request.name, lease)
      Object.assign(lease, { appliedChange, renewedAt: now, demand: request.demand, observations: request.sightings, busy: new Set(request.busy) })
      confirmShares(lease)
      return isNew
    },
    grant: (name, now) => {
      const lease = leases.get(name)
      if (lease === undefined) return
      // The instance counts its lease from when it sent the request, which is earlier, so the lease expires there first.
      lease.leaseUntil = lease.renewedAt + LEASE_MILLISECONDS
      lease.sharesUntil = now + SHARE_VALIDITY_MILLISECONDS
    },
    isConfirmed: (change, now) => listActiveLeases(now).every(({ appliedChange }) => appliedChange >= change),
    busy: (group, now) => listActiveLeases(now).some(lease => lease.busy.has(group)),
    listObservations: (member, now) => listActiveLeases(now).flatMap(({ observations, renewedAt }) => observations[member] === undefined ? [] : [addAge(observations[member], now - renewedAt)]),
    count: now => listActiveLeases(now).length,
    planShares: (accounts, maximumShare, recordChange, now) => {
      removeExpired(now)
      for (const account of accounts) planAccount(account, maximumShare, recordChange, now)
    },
    sharesOf: name => {
      const lease = leases.get(name)
      return { shares: Object.fromEntries(lease?.shares ?? []), change: lease?.sharesChange ?? 0 }
    }
  }
}
