import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { RENEWAL_HOLD_MILLISECONDS, LEASE_MILLISECONDS } from '@cyclamenusher/decisions'
import { createEntryLeases } from '../entryLeases.js'
import type { RenewRequest } from '@cyclamenusher/decisions'

function renewal (name: string): RenewRequest {
  return { name, incarnation: '1', failureDomain: 'a', knows: { term: 1, change: 0 }, version: 1, demand: {}, sightings: {}, busy: [], holdMilliseconds: RENEWAL_HOLD_MILLISECONDS }
}

test('a lease starts when the renewal request arrives, even if the request is held', () => {
  const leases = createEntryLeases()
  leases.renew(renewal('entry-1'), 0, 0)
  leases.grant('entry-1', RENEWAL_HOLD_MILLISECONDS)
  assert.not.ok(leases.isConfirmed(1, LEASE_MILLISECONDS - 1))
  assert.ok(leases.isConfirmed(1, LEASE_MILLISECONDS))
})

test('a renewal that is not granted creates no lease', () => {
  const leases = createEntryLeases()
  leases.renew(renewal('entry-1'), 0, 0)
  assert.is(leases.count(1), 0)
})

test('a renewal confirms the change that the instance has applied', () => {
  const leases = createEntryLeases()
  leases.renew(renewal('entry-1'), 0, 0)
  leases.grant('entry-1', 0)
  leases.renew(renewal('entry-1'), 1, 100)
  assert.ok(leases.isConfirmed(1, 100))
})

test.run()
