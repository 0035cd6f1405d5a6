import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { assessPrimary } from '../evidence.js'

const FAILING = { failingFor: 300 }
const ANSWERED = { answeredAgo: 20 }

test('one observer alone decides nothing', () => {
  assert.is(assessPrimary([FAILING], []), 'unknown')
  assert.is(assessPrimary([FAILING], [ANSWERED]), 'reachable')
  assert.is(assessPrimary([], [FAILING]), 'unknown')
})

test('a primary has failed when one entry instance and control can not reach it', () => {
  assert.is(assessPrimary([FAILING], [FAILING]), 'failed')
})

test('a primary has failed when no entry instance observes it and control can not reach it', () => {
  assert.is(assessPrimary([], [FAILING, FAILING]), 'failed')
})

test('a primary stays reachable when only control can not reach it', () => {
  assert.is(assessPrimary([ANSWERED], [FAILING, FAILING]), 'reachable')
})

test('a primary has failed when most entry instances can not reach it', () => {
  assert.is(assessPrimary([FAILING, FAILING, FAILING, ANSWERED, ANSWERED], [ANSWERED]), 'failed')
})

test('a primary stays reachable when control and a minority of the entry instances are isolated', () => {
  assert.is(assessPrimary([FAILING, FAILING, FAILING, FAILING, ANSWERED, ANSWERED, ANSWERED, ANSWERED, ANSWERED], [FAILING, FAILING]), 'reachable')
})

test('a primary has failed when control reaches it but no entry instance does', () => {
  assert.is(assessPrimary([FAILING, FAILING], [ANSWERED]), 'failed')
})

test('a short failure does not count', () => {
  assert.is(assessPrimary([{ failingFor: 50 }, { failingFor: 50 }, { failingFor: 50 }], []), 'unknown')
})

test('an old answer does not count', () => {
  assert.is(assessPrimary([FAILING, FAILING, { answeredAgo: 5_000 }], []), 'failed')
})

test.run()
