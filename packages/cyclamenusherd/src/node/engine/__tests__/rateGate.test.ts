import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_TOLERANCE } from '@cyclamenusher/decisions'
import { createRateGate } from '../rateGate.js'
import type { ClientAccount } from '@cyclamenusher/decisions'

const ACCOUNT: ClientAccount = { name: 'clinic', keys: [], ratePerSecond: 10, burst: 10 }

/** A gate in virtual time, whose loans the test gives. */
function gateOf (part: number, lend: (wanted: number) => number = () => 0) {
  let now = 0
  const asked: number[] = []
  const gate = createRateGate({
    clock: { now: () => now },
    partOf: () => part,
    borrow: async (_account, wanted) => {
      asked.push(wanted)
      return lend(wanted)
    },
    tolerance: NO_TOLERANCE
  })
  return {
    gate,
    asked,
    pass: (milliseconds: number) => { now += milliseconds },
    admitted: async (count: number) => (await Promise.all(Array.from({ length: count }, async () => await gate.admit(ACCOUNT)))).filter(Boolean).length
  }
}

test('a start brings no burst', async () => {
  const { admitted } = gateOf(1)
  assert.is(await admitted(5), 0)
})

test('tokens come by the part of the rate', async () => {
  const { admitted, pass } = gateOf(0.5)
  pass(1_000)
  assert.is(await admitted(20), 3)
})

test('those that come while a loan is on its way get one too', async () => {
  const { admitted, asked } = gateOf(0, wanted => wanted)
  assert.is(await admitted(8), 8)
  assert.ok(asked.length <= 2)
})

test('of those that wait as many are admitted as were lent', async () => {
  let pool = 3
  const { admitted } = gateOf(0, wanted => {
    const granted = Math.min(wanted, pool)
    pool -= granted
    return granted
  })
  assert.is(await admitted(8), 3)
})

test('an empty pool is not asked again at once', async () => {
  const { admitted, asked, pass } = gateOf(0)
  for (let turn = 0; turn < 5; turn += 1) assert.is(await admitted(1), 0)
  assert.is(asked.length, 1)
  pass(200)
  await admitted(1)
  assert.is(asked.length, 2)
})

test('demand counts what was refused too, and fades', async () => {
  const { gate, admitted, pass } = gateOf(0)
  await admitted(20)
  assert.is(gate.demand().clinic, 10)
  pass(60_000)
  assert.equal(gate.demand(), {})
})

test.run()
