import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { awaitsReturn, isLoanHistoryComplete, mayHoldUnreportedShares } from '../../index.js'
import type { ReturningInstances } from '../../index.js'

function describeReturn (changes: Partial<ReturningInstances>): ReturningInstances {
  return { ledMilliseconds: 300, sharesReported: false, returned: 0, expected: 100, ...changes }
}

for (const expected of [9, 71, 195, 1_000, 3_888]) {
  // Shares moved away from all that had not come back yet.
  test(`a leader plans although one of ${expected} instances that hold shares is missing`, () => {
    assert.ok(awaitsReturn(describeReturn({ sharesReported: true, returned: expected - 1, expected })))
    assert.not.ok(awaitsReturn(describeReturn({ sharesReported: true, returned: expected, expected })))
  })

  // After a loss of power the last instances to start kept all others waiting.
  test(`the first plan waits for the last of ${expected} instances that restart`, () => {
    assert.ok(awaitsReturn(describeReturn({ returned: Math.floor(expected / 2), expected })))
    assert.not.ok(awaitsReturn(describeReturn({ returned: Math.ceil(expected * 0.9), expected })))
  })
}

test('instances that are gone are waited for without end', () => {
  assert.ok(awaitsReturn(describeReturn({ sharesReported: true, ledMilliseconds: 1_499 })))
  assert.not.ok(awaitsReturn(describeReturn({ sharesReported: true, ledMilliseconds: 1_500 })))
  assert.ok(awaitsReturn(describeReturn({ ledMilliseconds: 599 })))
  assert.not.ok(awaitsReturn(describeReturn({ ledMilliseconds: 600 })))
})

test('a founding waits for instances that nobody has counted', () => {
  assert.not.ok(awaitsReturn(describeReturn({ expected: 0 })))
})

// An instance that has not reported may still use its share.
test('whole shares are granted before all instances have reported theirs', () => {
  assert.ok(mayHoldUnreportedShares(describeReturn({ returned: 99 })))
  assert.not.ok(mayHoldUnreportedShares(describeReturn({ returned: 100 })))
  assert.ok(mayHoldUnreportedShares(describeReturn({ expected: 0, returned: 5 })))
  assert.not.ok(mayHoldUnreportedShares(describeReturn({ returned: 99, ledMilliseconds: 800 })))
})

test('loans of an instance that has not returned are left out of the history', () => {
  assert.not.ok(isLoanHistoryComplete(describeReturn({ returned: 99 })))
  assert.ok(isLoanHistoryComplete(describeReturn({ returned: 100 })))
  assert.not.ok(isLoanHistoryComplete(describeReturn({ expected: 0 })))
})

// One that returned in place of another one made the number right.
test('the number of instances hides one that is missing', () => {
  assert.not.ok(isLoanHistoryComplete(describeReturn({ returned: 100, missing: 1 })))
  assert.ok(mayHoldUnreportedShares(describeReturn({ returned: 100, missing: 1 })))
})

// A leader stops counting an instance that stays away, and forgot what that one had borrowed.
test('a history counts as complete once missing instances are no longer expected', () => {
  assert.ok(isLoanHistoryComplete(describeReturn({ ledMilliseconds: 2_999, returned: 100 })))
  assert.not.ok(isLoanHistoryComplete(describeReturn({ ledMilliseconds: 3_000, returned: 99, expected: 99 })))
})

test.run()
