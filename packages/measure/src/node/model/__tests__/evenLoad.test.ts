import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LOAD_NAMES, computeImbalance, computeWeightedShare, runEvenLoad } from '../evenLoad.js'
import type { EvenLoadOutcome, LoadName, SharingPolicy } from '../evenLoad.js'
import type { ServerChoiceName } from '../serverChoices.js'

const SEEDS = [1, 2, 3]
/** Largest ratio of the busiest server to the mean for reads that any of the compared servers can run. */
const MAXIMUM_IMBALANCE = 1.2

const runs = new Map<string, EvenLoadOutcome>()

/** Returns the run for these options; each is run once for all tests. */
function getRun (seed: number, load: LoadName, choice: ServerChoiceName, sharing: SharingPolicy, density: number): EvenLoadOutcome {
  const key = `${seed} ${load} ${choice} ${sharing} ${density}`
  const run = runs.get(key) ?? runEvenLoad({ seed, load, choice, sharing, density })
  runs.set(key, run)
  return run
}

function meanOverSeeds (load: LoadName, way: 'before' | 'now', valueOf: (run: EvenLoadOutcome) => number, density = 1): number {
  const [choice, sharing]: [ServerChoiceName, SharingPolicy] = way === 'now' ? ['even', 'reserved'] : ['least wait', 'before']
  return SEEDS.reduce((sum, seed) => sum + valueOf(getRun(seed, load, choice, sharing, density)), 0) / SEEDS.length
}

const countOpened = ({ opened, bound, free }: EvenLoadOutcome): number => opened / [...bound, ...free].reduce((sum, count) => sum + count, 0)
const measureReplicas = ({ free }: EvenLoadOutcome): number => computeImbalance(free.slice(1))
const shareOf = (name: 'urgent' | 'least urgent') => ({ classes }: EvenLoadOutcome): number => classes[name].onTime / classes[name].offered

// Guards against replicas that are overloaded in turn because all holders choose the same one.
test('reads are even among the replicas, at low load too', () => {
  for (const load of ['calm', 'burst of the least urgent', 'burst of the urgent', 'one account'] as const) {
    for (const density of [1, 1 / 6]) assert.ok(meanOverSeeds(load, 'now', measureReplicas, density) <= MAXIMUM_IMBALANCE, `${load} ${density}`)
  }
})

// Guards against an even load that is paid for with connections, each of which occupies a slot longer than a statement.
test('no more connections are opened than by least expected wait', () => {
  for (const load of LOAD_NAMES) assert.ok(meanOverSeeds(load, 'now', countOpened) <= meanOverSeeds(load, 'before', countOpened), load)
})

// Guards against a reserve that costs other classes more than it gives to the urgent one.
test('more is answered on time under bursts, weighted by class', () => {
  for (const load of ['burst of the least urgent', 'burst of the urgent', 'one account'] as const) {
    const now = meanOverSeeds(load, 'now', ({ weighted }) => weighted)
    assert.ok(now > meanOverSeeds(load, 'before', ({ weighted }) => weighted) || now === 1, load)
  }
})

// Guards against urgent requests that wait behind a burst of long ones.
test('a burst of the least urgent class leaves the urgent class on time', () => {
  assert.ok(meanOverSeeds('burst of the least urgent', 'now', shareOf('urgent')) >= 0.98)
})

// Guards against a reserve that starves the least urgent class.
test('the least urgent class is still served under its own burst', () => {
  assert.ok(meanOverSeeds('burst of the least urgent', 'now', shareOf('least urgent')) >= meanOverSeeds('burst of the least urgent', 'before', shareOf('least urgent')) - 0.05)
})

// Guards against an account whose surplus is paid for by the others.
test('other accounts are answered better while one sends many times its usual load', () => {
  const ofOthers = ({ others }: EvenLoadOutcome): number => computeWeightedShare(others)
  assert.ok(meanOverSeeds('one account', 'now', ofOthers) > meanOverSeeds('one account', 'before', ofOthers))
})

test('runs with the same seed are identical', () => {
  const run = (): EvenLoadOutcome => runEvenLoad({ seed: 9, load: 'one account', choice: 'even', sharing: 'reserved', density: 1 / 6 })
  assert.equal(run(), run())
})

test.run()
