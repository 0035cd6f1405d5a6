import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CLIENT_RESERVE_BYTES, chooseClientToClose, chooseSessionToClose, computeMemoryLimit, countBeyondReserve, decideMemoryPressure, mayKeep, mayStartMessage } from '../memoryBudget.js'

const MEBIBYTE = 1024 * 1024
const LIMIT = 8 * MEBIBYTE

test('the account of the smallest machine does not hold ten messages of 1 MiB', () => {
  assert.ok(computeMemoryLimit(202) >= 10 * MEBIBYTE)
  assert.is(computeMemoryLimit(1), LIMIT)
})

test('pressure rises in the wrong order', () => {
  const pressures = [0, 0.49, 0.5, 0.74, 0.75, 0.99, 1, 2].map(part => decideMemoryPressure(part * LIMIT, LIMIT))
  assert.equal(pressures, ['none', 'none', 'hold reading', 'hold reading', 'refuse', 'refuse', 'close', 'close'])
})

test('an ordinary message is refused under pressure, or a long one is not', () => {
  assert.is(mayStartMessage(2 * LIMIT, LIMIT, CLIENT_RESERVE_BYTES, 4 * CLIENT_RESERVE_BYTES), true)
  assert.is(mayStartMessage(0, LIMIT, MEBIBYTE, 4 * MEBIBYTE), true)
  assert.is(mayStartMessage(5 * MEBIBYTE, LIMIT, MEBIBYTE, 4 * MEBIBYTE), false)
})

test('values of sessions take the whole account', () => {
  assert.is(mayKeep(0, LIMIT, 2 * MEBIBYTE), true)
  assert.is(mayKeep(MEBIBYTE, LIMIT, 2 * MEBIBYTE), false)
})

test('a client that makes progress is closed before a slower one that holds as much', () => {
  const slow = { bytes: MEBIBYTE, progressAt: 0 }
  const fast = { bytes: MEBIBYTE, progressAt: 9_000 }
  assert.is(chooseClientToClose([fast, slow], 10_000, true), slow)
  assert.is(chooseClientToClose([fast, { bytes: 10, progressAt: 0 }], 10_000, true), fast)
  assert.is(chooseClientToClose([{ bytes: 0, progressAt: 0 }], 10_000, false), undefined)
})

test('an ordinary client is closed for what others run', () => {
  const ordinary = { bytes: CLIENT_RESERVE_BYTES, progressAt: 0 }
  assert.is(chooseClientToClose([ordinary], 10_000, true), undefined)
  assert.is(chooseClientToClose([ordinary], 10_000, false), ordinary)
})

// Names of the database and the key were refused while two other sessions kept values.
test('the first bytes of a session count towards the part of all', () => {
  assert.is(countBeyondReserve(CLIENT_RESERVE_BYTES), 0)
  assert.is(countBeyondReserve(CLIENT_RESERVE_BYTES + 1), 1)
})

// Otherwise sessions that keep as much as one another would close each other in turn.
test('another session is closed than the one that keeps the most, or one that keeps no more', () => {
  const [small, large] = [{ kept: 10 }, { kept: 20 }]
  assert.is(chooseSessionToClose([small, large], 15), large)
  assert.is(chooseSessionToClose([small, large], 20), undefined)
})

test.run()
