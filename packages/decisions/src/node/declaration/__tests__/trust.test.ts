import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_DECLARATION_TRUST, recordNewestVersion, trustedUntil } from '../trust.js'

const CONFIRMED = recordNewestVersion(NO_DECLARATION_TRUST, { held: 4, named: 4, sentAt: 100 })

test('a declaration is trusted from when control was asked', () => {
  assert.is(trustedUntil(CONFIRMED, 3_000, -Infinity), 3_100)
  assert.is(trustedUntil(NO_DECLARATION_TRUST, 3_000, -Infinity), -Infinity)
})

test('a lease without the newest declaration extends the trust in an older one', () => {
  const behind = recordNewestVersion(CONFIRMED, { held: 4, named: 5, sentAt: 900 })
  assert.equal(behind, { newest: 5, confirmedAt: 100 })
  assert.is(recordNewestVersion(behind, { held: 5, named: 5, sentAt: 950 }).confirmedAt, 950)
})

test('an answer of an earlier leader hides a version that control has named', () => {
  const behind = recordNewestVersion(CONFIRMED, { held: 4, named: 5, sentAt: 900 })
  assert.equal(recordNewestVersion(behind, { held: 4, named: 4, sentAt: 950 }), behind)
})

test('an answer of an earlier build names no version', () => {
  assert.is(recordNewestVersion(CONFIRMED, { held: 4, sentAt: 900 }).confirmedAt, 900)
})

test('an answer that comes late shortens the trust', () => {
  assert.is(recordNewestVersion(CONFIRMED, { held: 4, named: 4, sentAt: 50 }).confirmedAt, 100)
})

test('trust from before a suspension is kept', () => {
  assert.is(trustedUntil(CONFIRMED, 3_000, 100), -Infinity)
  assert.is(trustedUntil(CONFIRMED, 3_000, 99), 3_100)
})

test.run()
