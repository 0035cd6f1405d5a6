import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSuspensionWatch } from '../suspension.js'

function createWatch () {
  let steady = 0
  let timeOfDay = 1_000_000
  return { watch: createSuspensionWatch({ now: () => steady }, () => timeOfDay), advance: (steadyMilliseconds: number, timeOfDayMilliseconds: number) => { steady += steadyMilliseconds; timeOfDay += timeOfDayMilliseconds } }
}

test('small drift between the clocks is no suspension', () => {
  const { watch, advance } = createWatch()
  for (let step = 0; step < 100; step += 1) {
    advance(1_000, 1_003)
    assert.is(watch.resumedAt(), -Infinity)
  }
})

test('a suspension that the steady clock does not count is detected', () => {
  const { watch, advance } = createWatch()
  advance(50, 5_050)
  assert.is(watch.resumedAt(), 50)
})

test('a backward step of the time of day is no suspension, a forward step counts as one', () => {
  const { watch, advance } = createWatch()
  advance(50, -2_000)
  assert.is(watch.resumedAt(), -Infinity)
  advance(50, 2_100)
  assert.is(watch.resumedAt(), 100)
})

test('a process that is stopped between the readings of the two clocks was not suspended', () => {
  let steady = 0
  let pauseMilliseconds = 0
  const readTimeOfDay = (): number => {
    steady += pauseMilliseconds
    pauseMilliseconds = 0
    return 1_000_000 + steady
  }
  const watch = createSuspensionWatch({ now: () => steady }, readTimeOfDay)
  pauseMilliseconds = 5_000
  assert.is(watch.resumedAt(), -Infinity)
  assert.is(watch.resumedAt(), -Infinity)
})

test.run()
