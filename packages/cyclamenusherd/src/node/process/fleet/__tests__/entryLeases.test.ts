import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_TOLERANCE, RENEWAL_HOLD_MILLISECONDS, LEASE_MILLISECONDS } from '@cyclamenusher/decisions'
import { createEntryLeases } from '../entryLeases.js'
import type { ClientAccount, RenewRequest } from '@cyclamenusher/decisions'
import type { EntryLeases } from '../entryLeases.js'

const ACCOUNT: ClientAccount = { name: 'clinic', keys: [], ratePerSecond: 10, burst: 10 }

function renewal (name: string, changes: Partial<RenewRequest> = {}): RenewRequest {
  return { name, incarnation: '1', failureDomain: 'a', knows: { term: 1, change: 0 }, version: 1, demand: {}, sightings: {}, busy: [], holdMilliseconds: RENEWAL_HOLD_MILLISECONDS, ...changes }
}

/** Grants leases to six instances of one failure domain and plans their shares. */
function planForSix (describe: (index: number) => Partial<RenewRequest>) {
  const leases = createEntryLeases(NO_TOLERANCE)
  const names = Array.from({ length: 6 }, (_, index) => `entry-${index}`)
  for (const [index, name] of names.entries()) {
    leases.renew(renewal(name, describe(index)), 0, 0)
    leases.grant(name, 0)
  }
  let change = 0
  const plan = (): void => {
    leases.planShares([ACCOUNT], () => {
      change += 1
      return change
    }, 1)
  }
  plan()
  return { leases, names, plan, change: () => change }
}

test('a lease starts when the renewal request arrives, even if the request is held', () => {
  const leases = createEntryLeases(NO_TOLERANCE)
  leases.renew(renewal('entry-1'), 0, 0)
  leases.grant('entry-1', RENEWAL_HOLD_MILLISECONDS)
  assert.not.ok(leases.isConfirmed(1, LEASE_MILLISECONDS - 1))
  assert.ok(leases.isConfirmed(1, LEASE_MILLISECONDS))
})

test('a renewal that is not granted creates no lease', () => {
  const leases = createEntryLeases(NO_TOLERANCE)
  leases.renew(renewal('entry-1'), 0, 0)
  assert.is(leases.count(1), 0)
})

test('a renewal confirms the change that the instance has applied', () => {
  const leases = createEntryLeases(NO_TOLERANCE)
  leases.renew(renewal('entry-1'), 0, 0)
  leases.grant('entry-1', 0)
  leases.renew(renewal('entry-1'), 1, 100)
  assert.ok(leases.isConfirmed(1, 100))
})

function listLenders (leases: EntryLeases): string[] {
  return leases.lendersOf('a', 0).clinic.map(({ name }) => name)
}

test('instances without a share have a lender, and lenders have none', () => {
  const { leases, names } = planForSix(index => ({ lendsAt: { host: 'entry', port: index } }))
  const lenders = listLenders(leases)
  assert.is(lenders.length, 2)
  for (const name of names) assert.is(leases.sharesOf(name).shares.clinic !== undefined, lenders.includes(name))
})

// An instance of an earlier build neither lends nor borrows from another instance.
test('an instance that can not lend is left without a share', () => {
  const { leases, names } = planForSix(index => index === 0 ? {} : { lendsAt: { host: 'entry', port: index } })
  assert.ok(names.every(name => leases.sharesOf(name).shares.clinic > 0))
})

// Borrowers kept asking at the address of the process before.
test('a lender that restarts at another address is not announced', () => {
  const { leases, plan, change } = planForSix(index => ({ lendsAt: { host: 'entry', port: index } }))
  const [lender] = listLenders(leases)
  const known = change()
  leases.renew(renewal(lender, { incarnation: '2', lendsAt: { host: 'entry', port: 100 } }), 0, 0)
  leases.grant(lender, 0)
  plan()
  assert.ok(leases.lendersOf('a', known).clinic.some(({ port }) => port === 100))
})

// Lenders of dropped accounts were kept, and sent to each new instance.
test('a dropped account keeps its lenders', () => {
  const { leases } = planForSix(index => ({ lendsAt: { host: 'entry', port: index } }))
  leases.planShares([], () => 100, 1)
  assert.equal(leases.lendersOf('a', 0), {})
})

test.run()
