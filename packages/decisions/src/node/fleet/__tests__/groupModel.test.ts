import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runGroup } from './groupModel.js'

const SEEDS = 300

const results = Array.from({ length: SEEDS }, (_value, seed) => {
  const logsSurvive = seed % 2 === 0
  return { seed, logsSurvive, ...runGroup({ seed, logsSurvive }) }
})

test('an acknowledged commit is missing at a promoted server', () => {
  assert.equal(results.filter(({ lost }) => lost.length > 0).map(({ seed, lost }) => ({ seed, lost: lost[0] })), [])
})

// Without synchronous replicas every commit is acknowledged at once.
const asynchronous = Array.from({ length: SEEDS / 2 }, (_value, seed) => ({ seed, logsSurvive: true, ...runGroup({ seed, isSynchronous: false, logsSurvive: true }) }))

test('a server acknowledges commits after another one has begun to lead', () => {
  assert.equal([...results, ...asynchronous].filter(({ outdated }) => outdated.length > 0).map(({ seed, outdated }) => ({ seed, outdated: outdated[0] })), [])
})

test('a group stays closed after all faults are over', () => {
  assert.equal([...results, ...asynchronous].filter(({ serves, logsSurvive }) => logsSurvive && !serves).map(({ seed }) => seed), [])
})

test('the model promotes no server, or acknowledges nothing', () => {
  assert.ok(results.reduce((sum, { promotions }) => sum + promotions, 0) > SEEDS)
  assert.ok(results.every(({ acknowledged }) => acknowledged > 0))
})

test.run()
