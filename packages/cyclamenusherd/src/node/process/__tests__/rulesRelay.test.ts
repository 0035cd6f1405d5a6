import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../../version/rulesStore.js'
import { createRulesRelay } from '../rulesRelay.js'
import type { RulesStore } from '../../version/rulesStore.js'
import type { RelayedAnswer, RulesRelay } from '../rulesRelay.js'

const LEASE = 3_000
const PEER = { name: 'entry-1', failureDomain: 'a', role: 'entry', host: '127.0.0.1', port: 1 }

function line (rate: number): string {
  return `accounts."clinic" = { rate = ${rate}, burst = 1, weight = 1 } # asked for by Ana`
}

interface Bench {
  relay: RulesRelay
  store: RulesStore
  pass: (milliseconds: number) => void
  now: () => number
  tell: (number: number, rate: number) => void
  ask: (known: number, knownInstances?: bigint) => Promise<RelayedAnswer>
}

function createBench (): Bench {
  let now = 50_000
  const store = createRulesStore({ now: () => now }, LEASE)
  const relay = createRulesRelay({ store, peers: () => [PEER], peersRevision: () => 9n, clock: { now: () => now } })
  return {
    relay,
    store,
    pass: milliseconds => { now += milliseconds },
    now: () => now,
    tell: (number, rate) => { store.update({ number, baseNumber: 0, removed: [], added: [line(rate)], fresh: true, ageMilliseconds: 0, askedAt: now }) },
    ask: async (known, knownInstances = 0n) => await relay.watch({
      $typeName: 'cyclamenusher.v1.WatchRequest',
      instance: { $typeName: 'cyclamenusher.v1.Instance', ...PEER, name: 'entry-2' },
      knownNumber: BigInt(known),
      knownInstances,
      holdMilliseconds: knownInstances === 0n ? 0 : 60_000,
      behind: []
    })
  }
}

test('the age of the proof goes on, and ends', async () => {
  const bench = createBench()
  bench.tell(1, 1)
  bench.pass(400)
  const answer = await bench.ask(0)
  assert.equal([answer.fresh, answer.ageMilliseconds, answer.baseNumber], [true, 400, 0n])
  bench.pass(700)
  assert.is((await bench.ask(1)).fresh, false)
})

test('a key is trusted no longer through a relay than the lease', async () => {
  const bench = createBench()
  bench.tell(1, 1)
  const provenAt = bench.now()
  bench.pass(900)
  const askedAt = bench.now()
  const { number, added, fresh, ageMilliseconds } = await bench.ask(0)
  let now = askedAt
  const behind = createRulesStore({ now: () => now }, LEASE)
  behind.update({ number: Number(number), baseNumber: 0, removed: [], added, fresh, ageMilliseconds, askedAt })
  now = provenAt + LEASE - 1
  assert.is(behind.isFresh(), true)
  now = provenAt + LEASE
  assert.is(behind.isFresh(), false)
})

test('a watcher gets what changed, or the whole', async () => {
  const bench = createBench()
  for (let number = 1; number <= 6; number += 1) {
    bench.tell(number, number)
    const { baseNumber, added } = await bench.ask(number - 1)
    assert.equal([baseNumber, added], [BigInt(number - 1), [line(number)]])
  }
  assert.is((await bench.ask(1)).baseNumber, 0n)
})

test('a relay that is behind its watcher claims nothing', async () => {
  const bench = createBench()
  bench.tell(1, 1)
  assert.is((await bench.ask(2)).fresh, false)
})

test('only a new version ends a hold early', async () => {
  const bench = createBench()
  bench.tell(1, 1)
  // The first version of a stream reaches its readers a turn later.
  await bench.ask(0)
  const held = bench.ask(1, 7n)
  bench.tell(2, 2)
  const { number, instances } = await held
  assert.is(number, 2n, 'the hold ended before the version came')
  assert.is(instances.length, 1)
})

test('a relay tells who watches through it', async () => {
  const bench = createBench()
  await bench.ask(0)
  assert.equal(bench.relay.behind().map(({ name }) => name), ['entry-2'])
  bench.pass(3_001)
  assert.equal(bench.relay.behind(), [])
})

test.run()
