/** The leases that the leader has given to entry instances, and the parts of rates that they hold. */

import { LEASE_MILLISECONDS, SHARE_VALIDITY_MILLISECONDS, planShares } from '@cyclamenusher/decisions'
import type { RenewRequest, ServerObservation, ShareHolder } from '@cyclamenusher/decisions'

interface EntryLease {
  name: string
  incarnation: string
  leaseUntil: number
  heardAt: number
  /** Newest change that it acts by. */
  applied: number
  demand: Record<string, number>
  sightings: Record<string, ServerObservation>
  busy: ReadonlySet<string>
  /** Parts as last granted, and the change that told of them. */
  parts: Map<string, number>
  partsChange: number
  /** Parts that it may hold until it has confirmed a smaller one. */
  heldParts: Map<string, number>
  partsUntil: number
}

export interface EntryLeases {
  /** Takes a renewal; true: the instance is new to this leader. */
  renew: (request: RenewRequest, applied: number, now: number) => boolean
  grant: (name: string, now: number) => void
  /** Whether everyone has confirmed the change, or lost its lease. */
  confirmed: (change: number, now: number) => boolean
  busy: (group: string, now: number) => boolean
  sightings: (member: string, now: number) => ServerObservation[]
  /** Entry instances that hold a lease. */
  count: (now: number) => number
  /** Plans the parts of the accounts anew, `most` for each instance that holds less; `touch` numbers a change. */
  plan: (accounts: readonly string[], most: number, touch: () => number, now: number) => void
  parts: (name: string) => { parts: Record<string, number>, change: number }
}

function aged ({ answeredAgo, failingFor }: ServerObservation, by: number): ServerObservation {
  return {
    ...(answeredAgo === undefined ? {} : { answeredAgo: answeredAgo + by }),
    ...(failingFor === undefined ? {} : { failingFor: failingFor + by })
  }
}

function openLease ({ name, incarnation, parts = {} }: RenewRequest, now: number): EntryLease {
  const held = new Map(Object.entries(parts))
  return { name, incarnation, leaseUntil: -Infinity, heardAt: now, applied: 0, demand: {}, sightings: {}, busy: new Set(), parts: new Map(held), partsChange: 0, heldParts: held, partsUntil: now + SHARE_VALIDITY_MILLISECONDS }
}

export function createEntryLeases (): EntryLeases {
  const leases = new Map<string, EntryLease>()

  function present (now: number): EntryLease[] {
    return [...leases.values()].filter(({ leaseUntil }) => leaseUntil > now)
  }

  function forgetGone (now: number): void {
    for (const [name, { leaseUntil, partsUntil, heardAt }] of leases) {
      if (Math.max(leaseUntil, partsUntil, heardAt + LEASE_MILLISECONDS) < now) leases.delete(name)
    }
  }

  function confirmParts (lease: EntryLease): void {
    if (lease.applied >= lease.partsChange) lease.heldParts = new Map(lease.parts)
  }

  function planAccount (account: string, most: number, touch: () => number, now: number): void {
    const holders = [...leases.values()].map((lease): ShareHolder => ({
      name: lease.name,
      demand: lease.leaseUntil > now ? lease.demand[account] ?? 0 : 0,
      held: Math.max(lease.heldParts.get(account) ?? 0, lease.parts.get(account) ?? 0),
      hasLease: lease.leaseUntil > now
    }))
    if (holders.length === 0) return
    for (const [name, part] of planShares(holders, most)) {
      const lease = leases.get(name)
      if (lease === undefined || (lease.parts.get(account) ?? 0) === part) continue
      lease.parts.set(account, part)
      lease.partsChange = touch()
    }
  }

  return {
    renew: (request, applied, now) => {
      const known = leases.get(request.name)
      const fresh = known === undefined || known.incarnation !== request.incarnation
      const lease = fresh ? openLease(request, now) : known
      leases.set(request.name, lease)
      Object.assign(lease, { applied, heardAt: now, demand: request.demand, sightings: request.sightings, busy: new Set(request.busy) })
      confirmParts(lease)
      return fresh
    },
    grant: (name, now) => {
      const lease = leases.get(name)
      if (lease === undefined) return
      // The instance counts from when it sent the renewal, which was before it came here.
      lease.leaseUntil = lease.heardAt + LEASE_MILLISECONDS
      lease.partsUntil = now + SHARE_VALIDITY_MILLISECONDS
    },
    confirmed: (change, now) => present(now).every(({ applied }) => applied >= change),
    busy: (group, now) => present(now).some(lease => lease.busy.has(group)),
    sightings: (member, now) => present(now).flatMap(({ sightings, heardAt }) => sightings[member] === undefined ? [] : [aged(sightings[member], now - heardAt)]),
    count: now => present(now).length,
    plan: (accounts, most, touch, now) => {
      forgetGone(now)
      for (const account of accounts) planAccount(account, most, touch, now)
    },
    parts: name => {
      const lease = leases.get(name)
      return { parts: Object.fromEntries(lease?.parts ?? []), change: lease?.partsChange ?? 0 }
    }
  }
}
