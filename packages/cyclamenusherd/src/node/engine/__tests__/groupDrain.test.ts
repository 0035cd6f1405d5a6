import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupDrain } from '../groupDrain.js'
import type { DrainedRequest, GroupDrain } from '../groupDrain.js'
import type { FleetLink } from '../../process/fleet/fleetLink.js'
import type { ScopedLogger } from '../../process/logger.js'
import type { ServerPool } from '../serverPool.js'

const READ: DrainedRequest = { need: { kind: 'position', position: { term: 1, position: 0 }, reachedAt: 0 }, excluded: new Set() }

/** Drains of a group with primary `p` in failure domain `a`, and replicas `r1` in `b` and `r2` in `c`; each domain is a region. */
function createDrain ({ drained = [], failing = [], leaving = [] }: { drained?: string[], failing?: string[], leaving?: string[] } = {}): GroupDrain {
  const domains = { p: 'a', r1: 'b', r2: 'c' }
  const pools = new Map(Object.entries(domains).map(([member, failureDomain]) => [member, {
    server: () => ({ member, failureDomain, leaving: leaving.includes(member) }),
    observe: () => failing.includes(member) ? { failingFor: 1 } : {}
  } as unknown as ServerPool]))
  const drains = new Map(drained.map(name => [name, { transactionsUntil: 100, statementsUntil: 100 }]))
  const link = { drains: () => drains, areDrainsKnown: () => true, primaryAssignment: () => ({ member: 'p' }) } as unknown as FleetLink
  const isAllowed = (pool: ServerPool, { allowedRegions }: DrainedRequest): boolean => allowedRegions?.includes(pool.server().failureDomain) !== false
  return createGroupDrain({ group: 'g', link, pools, findUsablePrimary: () => 'p', isAllowed, clock: { now: () => 0 }, logger: {} as ScopedLogger })
}

function listMembers (drain: GroupDrain, request: DrainedRequest): string[] {
  return drain.listSelectable(request).map(pool => pool.server().member)
}

// The read waited for a server outside its regions, and was refused.
test('a limited read that failed at its only server has no server left', () => {
  const request = { ...READ, excluded: new Set(['r1']), allowedRegions: ['b'] }
  assert.equal(listMembers(createDrain(), request), ['r1'])
  assert.equal(listMembers(createDrain({ drained: ['c'] }), request), ['r1'])
  assert.ok(createDrain().hasTriedAll(request))
})

// A leaving replica takes no reads, so it was never tried.
test('a read that failed at all servers but a leaving one has no server left', () => {
  const request = { ...READ, excluded: new Set(['p', 'r1']) }
  assert.equal(listMembers(createDrain({ leaving: ['r2'] }), request), ['p', 'r1', 'r2'])
})

test('a read is sent again to a server where it failed before all others were tried', () => {
  const request = { ...READ, excluded: new Set(['r1']), allowedRegions: ['b', 'c'] }
  assert.equal(listMembers(createDrain(), request), ['r2'])
  assert.not.ok(createDrain().hasTriedAll(request))
})

// A server outside the regions counted as able to run the read, which was queued.
test('a limited read whose only server is drained waits in the queue', () => {
  const request = { ...READ, allowedRegions: ['b'] }
  assert.match(createDrain({ drained: ['b'] }).findRefusal(request) ?? '', /drained/)
  assert.is(createDrain({ drained: ['c'] }).findRefusal(request), undefined)
  assert.is(createDrain({ drained: ['b'] }).findRefusal(READ), undefined)
})

test('a refusal names a drain although no server lies in the regions', () => {
  assert.is(createDrain({ drained: ['b'] }).findRefusal({ ...READ, allowedRegions: ['z'] }), undefined)
})

test('a limited read is kept from a drained primary that is its only server', () => {
  const request = { ...READ, allowedRegions: ['a'] }
  assert.equal(listMembers(createDrain({ drained: ['a'] }), request), ['p'])
  assert.is(createDrain({ drained: ['a'] }).findRefusal(request), undefined)
  assert.equal(listMembers(createDrain({ drained: ['a'] }), READ), ['r1', 'r2'])
})

test('a read is kept from a drained primary while all other servers fail', () => {
  const drain = createDrain({ drained: ['a'], failing: ['r1', 'r2'] })
  assert.equal(listMembers(drain, READ), ['r1', 'r2', 'p'])
  assert.equal(listMembers(createDrain({ drained: ['a'], failing: ['r1'] }), READ), ['r1', 'r2'])
})

// A failing server may answer again while the read waits.
test('a read is refused for a drain while a server outside only fails', () => {
  assert.is(createDrain({ drained: ['a', 'b'], failing: ['r2'] }).findRefusal(READ), undefined)
})

test.run()
