import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runOverload } from '../overload.js'
import type { OverloadOutcome, OverloadRun, WaitingPolicy } from '../overload.js'

const SEEDS = [1, 2, 3]
const BASELINES: WaitingPolicy[] = ['unlimited', 'first come', 'deadline order']

/** Share of the operations answered within their objective: of those offered, or of the server's capacity if that is less. */
function onTimeShare ({ onTime, offered, capacity }: OverloadOutcome): number {
  return onTime / Math.min(offered, capacity)
}

type Load = (time: number) => number

const CALM_LOAD: Load = () => 0.8
/** Constant loads, by their multiple of the server's capacity. */
const LASTING_LOADS: Record<number, Load> = { 1.3: () => 1.3, 2: () => 2 }
const SPELL_LOAD = createSpell(1.6, 5_000, 10_000)
const BURST_LOAD = createSpell(2.5, 5_000, 6_000)

const runs = new Map<string, OverloadRun>()

/** Returns the run for these options; each is run once for all tests. */
function getRun (seed: number, policy: WaitingPolicy, loadAt: Load): OverloadRun {
  const key = `${seed} ${policy} ${[CALM_LOAD, ...Object.values(LASTING_LOADS), SPELL_LOAD, BURST_LOAD].indexOf(loadAt)}`
  const run = runs.get(key) ?? runOverload({ seed, policy, loadAt, milliseconds: 16_500 })
  runs.set(key, run)
  return run
}

function meanOverSeeds (policy: WaitingPolicy, loadAt: Load, from: number, to: number, valueOf = onTimeShare): number {
  return SEEDS.reduce((sum, seed) => sum + valueOf(getRun(seed, policy, loadAt).between(from, to)), 0) / SEEDS.length
}

/** Creates a load that exceeds the server's capacity for a span, given in milliseconds. */
function createSpell (load: number, from: number, to: number): Load {
  return time => time >= from && time < to ? load : 0.8
}

test('a load below capacity is answered on time', () => {
  assert.ok(meanOverSeeds('adaptive', CALM_LOAD, 5_000, 15_000) >= 0.99)
})

for (const [size, load] of Object.entries(LASTING_LOADS)) {
  test(`at ${size} times the capacity, adaptive waiting answers most on time, and more than the baselines`, () => {
    const adaptive = meanOverSeeds('adaptive', load, 5_000, 15_000)
    assert.ok(adaptive >= 0.85, `${adaptive}`)
    for (const policy of BASELINES) assert.ok(meanOverSeeds(policy, load, 5_000, 15_000) < adaptive, policy)
  })
}

test('no operation expires at twice the capacity', () => {
  assert.is(meanOverSeeds('adaptive', LASTING_LOADS[2], 5_000, 15_000, ({ expired }) => expired), 0)
})

test('operations are on time again half a second after an overload', () => {
  assert.ok(meanOverSeeds('adaptive', SPELL_LOAD, 10_500, 15_000, ({ onTime, offered }) => onTime / offered) >= 0.95)
})

test('a burst of one second is served at least as well as under first come', () => {
  assert.ok(meanOverSeeds('adaptive', BURST_LOAD, 5_000, 8_000) >= meanOverSeeds('first come', BURST_LOAD, 5_000, 8_000))
})

test('runs with the same seed are identical', () => {
  const run = (): OverloadOutcome => runOverload({ seed: 7, policy: 'adaptive', loadAt: () => 1.5, milliseconds: 5_000 }).between(0, 3_000)
  assert.equal(run(), run())
})

test.run()
