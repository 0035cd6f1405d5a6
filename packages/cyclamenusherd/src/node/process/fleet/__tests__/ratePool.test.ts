import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_TOLERANCE } from '@cyclamenusher/decisions'
import { createRatePool } from '../ratePool.js'
import type { Declaration, LoanHistory } from '@cyclamenusher/decisions'

/** A pool of 35 operations, 35 of which come back in a second. */
const DECLARATION: Declaration = { version: 1, routes: [], groups: [], accounts: [{ name: 'clinic', keys: [], ratePerSecond: 100, burst: 100 }], idleTransactionMilliseconds: 1_000 }
const STARTED_AT = 10_000
const UNUSED: LoanHistory = { since: 4_000, loans: new Map() }

function startPool () {
  let now = STARTED_AT
  const pool = createRatePool(() => DECLARATION, NO_TOLERANCE, { now: () => now })
  return { pool, advance: (milliseconds: number) => { now += milliseconds } }
}

// Operations within the rate were refused for seconds after each change of leader.
test('the pools of a new leader stay empty although nothing was lent', () => {
  const { pool } = startPool()
  assert.is(pool.lend('clinic', 10).granted, 0)
  pool.adoptHistory(UNUSED)
  assert.is(pool.lend('clinic', 100).granted, 35)
})

test('what the new leader has lent itself is lent again', () => {
  const { pool, advance } = startPool()
  advance(200)
  assert.is(pool.lend('clinic', 10).granted, 7)
  pool.adoptHistory(UNUSED)
  assert.is(pool.lend('clinic', 100).granted, 28)
})

test('a second history fills the pools again', () => {
  const { pool } = startPool()
  pool.adoptHistory(UNUSED)
  pool.lend('clinic', 100)
  pool.adoptHistory(UNUSED)
  assert.is(pool.lend('clinic', 100).granted, 0)
})

test.run()
