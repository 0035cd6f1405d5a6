import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_POSITION_HISTORY, dropPositionsUntil, oldestSampleWithin, recordPosition } from '../positionHistory.js'

const at = (position: number, term = 1) => ({ term, position })

test('the oldest sample within the maximum age is found', () => {
  const history = [[0, 1], [500, 3], [1_000, 7]].reduce((known, [askedAt, position]) => recordPosition(known, askedAt, at(position)), EMPTY_POSITION_HISTORY)
  assert.equal(oldestSampleWithin(history, 600, 1_050)?.position, at(3))
  assert.equal(oldestSampleWithin(history, 5_000, 1_050)?.position, at(1))
  assert.is(oldestSampleWithin(history, 10, 1_050), undefined)
})

test('samples requested before the end of a suspension are dropped', () => {
  const history = [[0, 1], [500, 3], [1_000, 7]].reduce((known, [askedAt, position]) => recordPosition(known, askedAt, at(position)), EMPTY_POSITION_HISTORY)
  assert.equal(oldestSampleWithin(dropPositionsUntil(history, 700), 5_000, 1_050)?.position, at(7))
  assert.is(oldestSampleWithin(dropPositionsUntil(history, 1_000), 5_000, 1_050), undefined)
  assert.is(dropPositionsUntil(history, -Infinity), history)
})

test('an out-of-order answer does not move the position back', () => {
  const history = recordPosition(recordPosition(EMPTY_POSITION_HISTORY, 100, at(9)), 200, at(8))
  assert.equal(history.samples.map(({ position }) => position), [at(9)])
})

test('a lower position of a later term counts as later', () => {
  const history = recordPosition(recordPosition(EMPTY_POSITION_HISTORY, 100, at(9)), 200, at(2, 2))
  assert.equal(history.samples.at(-1)?.position, at(2, 2))
})

test('the number of samples is bounded', () => {
  let history = EMPTY_POSITION_HISTORY
  for (let index = 0; index < 1_000; index += 1) history = recordPosition(history, index * 30, at(index))
  assert.ok(history.samples.length <= 128)
})

test.run()
