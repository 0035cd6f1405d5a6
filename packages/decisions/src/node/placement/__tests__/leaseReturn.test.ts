import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { estimateLeaseReturn } from '../../index.js'

// Operations were refused at all instances while control was away for half a second.
test('a lease that has just ended never returns', () => {
  assert.is(estimateLeaseReturn(1_000, 1_000), 1_000)
  assert.is(estimateLeaseReturn(1_000, 2_199), 2_199)
})

// Callers of an instance that is cut off were held, one operation after the other.
test('a lease that is overdue is waited for', () => {
  assert.is(estimateLeaseReturn(1_000, 2_200), Infinity)
  assert.is(estimateLeaseReturn(-Infinity, 0), Infinity)
})

test.run()
