import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FULL_ALLOWANCE, computeAllowedConnections, recordFullServer } from '../../index.js'

test('a server that never refused a connection is not used fully', () => {
  assert.is(computeAllowedConnections(FULL_ALLOWANCE, 9, 1_000), 9)
})

// After a loss of power instances opened connections again and again that a full server refused.
test('a connection is opened right after the server refused one', () => {
  const allowance = recordFullServer(3, 1_000)
  assert.is(computeAllowedConnections(allowance, 9, 1_000), 3)
  assert.is(computeAllowedConnections(allowance, 9, 1_249), 3)
})

test('the allowance never returns', () => {
  const allowance = recordFullServer(3, 1_000)
  assert.is(computeAllowedConnections(allowance, 9, 1_250), 4)
  assert.is(computeAllowedConnections(allowance, 9, 60_000), 9)
})

test('an instance without connections never tries again', () => {
  assert.is(computeAllowedConnections(recordFullServer(0, 1_000), 9, 1_000), 1)
})

test.run()
