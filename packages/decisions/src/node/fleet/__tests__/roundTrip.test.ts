import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeSilenceTimeout, recordRoundTrip } from '../roundTrip.js'
import type { RoundTrips } from '../roundTrip.js'

const OLD = 60_000

function measure (milliseconds: readonly number[], known?: RoundTrips): RoundTrips | undefined {
  return milliseconds.reduce<RoundTrips | undefined>(recordRoundTrip, known)
}

test('a path without a measurement has the timeout of a near one', () => {
  assert.is(computeSilenceTimeout(undefined, OLD), 300)
})

test('a near instance has a longer timeout than 90 ms, or a shorter one', () => {
  assert.is(computeSilenceTimeout(measure([3, 4, 3, 2, 3]), OLD), 90)
  assert.is(computeSilenceTimeout(measure([0, 0, 0]), OLD), 90)
})

test('an instance whose answers vary keeps a short timeout', () => {
  const timeout = computeSilenceTimeout(measure([20, 80, 30, 110, 25, 70]), OLD)
  assert.ok(timeout > 150 && timeout < 300, `${timeout}`)
})

// A freeze of seconds made the next silence go unnoticed for as long.
test('a freeze keeps the timeout long', () => {
  const frozen = measure([3, 3, 3, 8_000])
  assert.is(computeSilenceTimeout(frozen, OLD), 600)
  assert.is(computeSilenceTimeout(measure(Array.from({ length: 20 }, () => 3), frozen), OLD), 90)
})

// Answers are fast right after a start, until all callers are back.
test('the first fast answers of an instance that has started make its timeout short', () => {
  assert.is(computeSilenceTimeout(measure([3, 3, 3]), 500), 300)
  assert.is(computeSilenceTimeout(measure([3, 3, 3]), 3_000), 90)
})

test.run()
