import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { assessPrimary } from '../evidence.js'

const FAILING = { failingFor: 300 }
const ANSWERED = { answeredAgo: 20 }

test('one witness alone decides nothing', () => {
  assert.is(assessPrimary([FAILING], []), 'unknown')
  assert.is(assessPrimary([FAILING], [ANSWERED]), 'reachable')
  assert.is(assessPrimary([], [FAILING]), 'unknown')
})

test('an entry instance and control can not reach it', () => {
  assert.is(assessPrimary([FAILING], [FAILING]), 'failed')
})

test('nobody asks it any more, and control can not reach it', () => {
  assert.is(assessPrimary([], [FAILING, FAILING]), 'failed')
})

test('control alone can not reach it', () => {
  assert.is(assessPrimary([ANSWERED], [FAILING, FAILING]), 'reachable')
})

test('most entry instances can not reach it', () => {
  assert.is(assessPrimary([FAILING, FAILING, FAILING, ANSWERED, ANSWERED], [ANSWERED]), 'failed')
})

test('the failure domain of control is cut off with some entry instances', () => {
  assert.is(assessPrimary([FAILING, FAILING, FAILING, FAILING, ANSWERED, ANSWERED, ANSWERED, ANSWERED, ANSWERED], [FAILING, FAILING]), 'reachable')
})

test('control reaches it, and all entry instances do not', () => {
  assert.is(assessPrimary([FAILING, FAILING], [ANSWERED]), 'failed')
})

test('a short failure does not count', () => {
  assert.is(assessPrimary([{ failingFor: 50 }, { failingFor: 50 }, { failingFor: 50 }], []), 'unknown')
})

test('an old answer says nothing', () => {
  assert.is(assessPrimary([FAILING, FAILING, { answeredAgo: 5_000 }], []), 'failed')
})

test.run()
