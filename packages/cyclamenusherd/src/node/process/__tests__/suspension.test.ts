import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSuspensionWatch } from '../suspension.js'

function watchOf () {
  let steady = 0
  let day = 1_000_000
  return { watch: createSuspensionWatch({ now: () => steady }, () => day), pass: (steadyBy: number, dayBy: number) => { steady += steadyBy; day += dayBy } }
}

test('two clocks that run together show nothing', () => {
  const { watch, pass } = watchOf()
  for (let turn = 0; turn < 100; turn += 1) {
    pass(1_000, 1_003)
    assert.is(watch.lastAt(), -Infinity)
  }
})

test('a suspension that the steady clock left out shows', () => {
  const { watch, pass } = watchOf()
  pass(50, 5_050)
  assert.is(watch.lastAt(), 50)
})

test('a step back of the time of day shows nothing, the step forward again does', () => {
  const { watch, pass } = watchOf()
  pass(50, -2_000)
  assert.is(watch.lastAt(), -Infinity)
  pass(50, 2_100)
  assert.is(watch.lastAt(), 100)
})

test.run()
