import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { INITIAL_PREFETCH_CREDIT, chargeUnusedToken, earnPrefetchCredit, pausePrefetch, shortenPauses, shouldPrefetchToken } from '../tokenPrefetch.js'
import type { PrefetchSituation } from '../tokenPrefetch.js'

const SITUATION: PrefetchSituation = { kind: 'set', pauses: {}, unclaimed: 0, credit: INITIAL_PREFETCH_CREDIT, outstanding: 0, tokenMilliseconds: Infinity, isPoolEmpty: false }

test('no token is borrowed while the first operation is prepared', () => {
  for (const kind of ['start', 'set', 'prepare'] as const) assert.ok(shouldPrefetchToken({ ...SITUATION, kind }))
})

test('a token is borrowed although one was borrowed for the account', () => {
  assert.not(shouldPrefetchToken({ ...SITUATION, unclaimed: 1 }))
})

test('a token is borrowed although the own share holds one, or will in time', () => {
  assert.not(shouldPrefetchToken({ ...SITUATION, tokenMilliseconds: 0 }))
  assert.not(shouldPrefetchToken({ ...SITUATION, tokenMilliseconds: 5 }))
})

test('an empty pool is asked again', () => {
  assert.not(shouldPrefetchToken({ ...SITUATION, isPoolEmpty: true }))
})

test('more tokens are outstanding than may be unused', () => {
  assert.not(shouldPrefetchToken({ ...SITUATION, outstanding: 1 }))
  let credit = INITIAL_PREFETCH_CREDIT
  for (let operation = 0; operation < 100_000; operation += 1) credit = earnPrefetchCredit(credit)
  assert.ok(shouldPrefetchToken({ ...SITUATION, credit, outstanding: 3 }))
  assert.not(shouldPrefetchToken({ ...SITUATION, credit, outstanding: 4 }))
})

// Callers that keep idle sessions would take tokens from all others.
test('tokens are borrowed again at once for a preparation after which no operation came', () => {
  let pauses = pausePrefetch({}, 'start')
  assert.not(shouldPrefetchToken({ ...SITUATION, kind: 'start', pauses }))
  assert.ok(shouldPrefetchToken({ ...SITUATION, kind: 'set', pauses }))
  for (let operation = 0; operation < 9; operation += 1) pauses = shortenPauses(pauses)
  assert.not(shouldPrefetchToken({ ...SITUATION, kind: 'start', pauses }))
  assert.ok(shouldPrefetchToken({ ...SITUATION, kind: 'start', pauses: shortenPauses(pauses) }))
})

test('unused tokens add more than three percent to the loans', () => {
  const operations = 10_000
  let credit = INITIAL_PREFETCH_CREDIT
  let unused = 0
  for (let operation = 0; operation < operations; operation += 1) {
    credit = earnPrefetchCredit(credit)
    for (const kind of ['start', 'set', 'prepare'] as const) {
      if (!shouldPrefetchToken({ ...SITUATION, kind, credit })) continue
      credit = chargeUnusedToken(credit, kind)
      unused += 1
    }
  }
  assert.ok(unused <= 0.03 * operations + 3, `${unused}`)
  assert.ok(unused > 3, 'it is tried again')
})

// Sessions that are opened ahead took the credit of operations that are prepared right before they are sent.
test('unused tokens of one kind of preparation keep those of another from being borrowed', () => {
  const credit = chargeUnusedToken(INITIAL_PREFETCH_CREDIT, 'start')
  assert.not(shouldPrefetchToken({ ...SITUATION, kind: 'start', credit }))
  assert.ok(shouldPrefetchToken({ ...SITUATION, kind: 'set', credit }))
})

test.run()
