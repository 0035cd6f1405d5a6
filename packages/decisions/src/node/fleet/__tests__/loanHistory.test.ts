import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { combineLoanReports, refillBucket, replayLoans } from '../../index.js'
import { createRandom } from '../../model/world.js'
import type { Bucket, PoolLoan } from '../../index.js'

const LIMITS = { rate: 2, burst: 8 }

test('a pool from which nothing was lent is empty at a new leader', () => {
  assert.is(replayLoans(LIMITS, [], 0, 4_000).tokens, 8)
  assert.is(replayLoans(LIMITS, [], 0, 1_000).tokens, 2)
})

test('a loan is forgotten by a new leader', () => {
  assert.is(replayLoans(LIMITS, [{ operations: 5, at: 4_000 }], 0, 4_500).tokens, 4)
})

test('loans are replayed in the order of their reports', () => {
  assert.is(replayLoans(LIMITS, [{ operations: 3, at: 6_000 }, { operations: 8, at: 4_000 }], 0, 6_000).tokens, 1)
})

// An instance that restarted does not know what it borrowed before.
test('the history reaches back behind the start of an instance', () => {
  const reports = [{ report: { completeFor: 60_000, loans: [] }, receivedAt: 10_000 }, { report: { completeFor: 300, loans: [{ account: 'clinic', operations: 1, ago: 100 }] }, receivedAt: 9_000 }]
  const history = combineLoanReports(reports)
  assert.is(history.since, 8_700)
  assert.equal(history.loans.get('clinic'), [{ operations: 1, at: 8_900 }])
})

// An instance of an earlier build reports no loans.
test('the history reaches back although an instance reports none', () => {
  assert.is(combineLoanReports([{ report: undefined, receivedAt: 500 }, { report: { completeFor: 60_000, loans: [] }, receivedAt: 600 }]).since, 500)
})

// More would be lent than the rate allows.
test('a replayed pool holds more than the leader before had left', () => {
  for (let seed = 1; seed <= 300; seed += 1) {
    const random = createRandom(seed)
    let bucket: Bucket = { tokens: random() * LIMITS.burst, refilledAt: 0 }
    const loans: PoolLoan[] = []
    let now = 0
    for (let step = 0; step < 40; step += 1) {
      now += random() * 800
      bucket = refillBucket(bucket, LIMITS, now)
      const operations = Math.min(Math.floor(bucket.tokens), Math.floor(random() * 4))
      bucket = { ...bucket, tokens: bucket.tokens - operations }
      // The instance learns of the loan a little later.
      if (operations > 0) loans.push({ operations, at: now + random() * 50 })
    }
    const later = now + 50 + random() * 2_000
    const replayed = replayLoans(LIMITS, loans, 0, later).tokens
    assert.ok(replayed <= refillBucket(bucket, LIMITS, later).tokens + 1e-9, `seed ${seed}`)
  }
})

test.run()
