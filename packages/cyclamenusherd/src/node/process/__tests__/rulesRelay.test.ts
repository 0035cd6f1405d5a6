import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../../version/rulesStore.js'
import { createRulesRelay } from '../rulesRelay.js'
import type { RulesStore } from '../../version/rulesStore.js'
import type { RelayedAnswer, RulesRelay } from '../rulesRelay.js'

const LEASE_MILLISECONDS = 3_000
const PEER = { name: 'entry-1', failureDomain: 'a', role: 'entry', host: '127.0.0.1', port: 1 }

function createRuleLine (rate: number): string {
  return `accounts."clinic" = { rate = ${rate}, burst = 1, weight = 1 } # asked for by Ana`
}

interface Fixture {
  relay: RulesRelay
  store: RulesStore
  advance: (milliseconds: number) => void
  now: () => number
  updateRules: (number: number, rate: number) => void
  watch: (knownNumber: number, knownInstances?: bigint) => Promise<RelayedAnswer>
}

function createFixture (): Fixture {
  let now = 50_000
  const store = createRulesStore({ now: () => now }, LEASE_MILLISECONDS, () => now)
  const relay = createRulesRelay({ store, peers: () => [PEER], peersRevision: () => 9n, clock: { now: () => now } })
  return {
    relay,
    store,
    advance: milliseconds => { now += milliseconds },
    now: () => now,
    updateRules: (number, rate) => { store.update({ number, baseNumber: 0, removed: [], added: [createRuleLine(rate)], fresh: true, ageMilliseconds: 0, askedAt: now }) },
    watch: async (knownNumber, knownInstances = 0n) => await relay.watch({
      $typeName: 'cyclamenusher.v1.WatchRequest',
      instance: { $typeName: 'cyclamenusher.v1.Instance', ...PEER, name: 'entry-2' },
      knownNumber: BigInt(knownNumber),
      knownInstances,
      holdMilliseconds: knownInstances === 0n ? 0 : 60_000,
      behind: []
    })
  }
}

test('answers carry the age of the proof, and are not fresh once it is too old', async () => {
  const fixture = createFixture()
  fixture.updateRules(1, 1)
  fixture.advance(400)
  const answer = await fixture.watch(0)
  assert.equal([answer.fresh, answer.ageMilliseconds, answer.baseNumber], [true, 400, 0n])
  fixture.advance(700)
  assert.is((await fixture.watch(1)).fresh, false)
})

test('rules from a relay become stale when the relay\'s own do', async () => {
  const fixture = createFixture()
  fixture.updateRules(1, 1)
  const provenAt = fixture.now()
  fixture.advance(900)
  const askedAt = fixture.now()
  const { number, added, fresh, ageMilliseconds } = await fixture.watch(0)
  let now = askedAt
  const downstreamStore = createRulesStore({ now: () => now }, LEASE_MILLISECONDS, () => now)
  downstreamStore.update({ number: Number(number), baseNumber: 0, removed: [], added, fresh, ageMilliseconds, askedAt })
  now = provenAt + LEASE_MILLISECONDS - 1
  assert.is(downstreamStore.isFresh(), true)
  now = provenAt + LEASE_MILLISECONDS
  assert.is(downstreamStore.isFresh(), false)
})

test('a watcher gets the changes since its version, or all rules', async () => {
  const fixture = createFixture()
  for (let number = 1; number <= 6; number += 1) {
    fixture.updateRules(number, number)
    const { baseNumber, added } = await fixture.watch(number - 1)
    assert.equal([baseNumber, added], [BigInt(number - 1), [createRuleLine(number)]])
  }
  assert.is((await fixture.watch(1)).baseNumber, 0n)
})

test('a relay that is behind its watcher answers as not fresh', async () => {
  const fixture = createFixture()
  fixture.updateRules(1, 1)
  assert.is((await fixture.watch(2)).fresh, false)
})

test('a new version ends a hold, a new list of instances does not', async () => {
  const fixture = createFixture()
  fixture.updateRules(1, 1)
  // The stream delivers its first version one turn of the event loop later.
  await fixture.watch(0)
  const held = fixture.watch(1, 7n)
  fixture.updateRules(2, 2)
  const { number, instances } = await held
  assert.is(number, 2n, 'the hold ended before the version came')
  assert.is(instances.length, 1)
})

test('a relay lists its watchers until they time out', async () => {
  const fixture = createFixture()
  await fixture.watch(0)
  assert.equal(fixture.relay.behind().map(({ name }) => name), ['entry-2'])
  fixture.advance(3_001)
  assert.equal(fixture.relay.behind(), [])
})

test.run()
