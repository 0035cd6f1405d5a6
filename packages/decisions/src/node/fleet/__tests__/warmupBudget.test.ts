import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeWarmupLimit, isAnnouncedSince, isWarmupChanged, planWarmupShares, splitWarmupLimit } from '../warmupBudget.js'
import type { WarmupShare } from '../warmupBudget.js'

const HOLDERS = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']
const NOTHING_HELD = new Map<string, WarmupShare>()

function sum (shares: Iterable<WarmupShare>): WarmupShare {
  return [...shares].reduce((total, { rate, burst }) => ({ rate: total.rate + rate, burst: total.burst + burst }), { rate: 0, burst: 0 })
}

test('the shares of all holders exceed the limit', () => {
  for (const requestsPerSecond of [0, 1, 3, 10, 40, 200]) {
    for (let count = 0; count <= 30; count += 1) {
      const limit = computeWarmupLimit(requestsPerSecond, { overage: 1.5, requests: 5 })
      const shares = planWarmupShares('s', limit, Array.from({ length: count }, (_, index) => `e${index}`), NOTHING_HELD)
      const { rate, burst } = sum(shares.values())
      assert.ok(rate * 1.1 + burst <= limit + 1e-6, `${rate} and ${burst} of ${limit} at ${count} holders`)
      assert.is(shares.size > 0, count > 0, `${count} holders, ${requestsPerSecond} a second`)
    }
  }
})

test('the holders of a group get different shares', () => {
  const shares = [...planWarmupShares('s', 50, HOLDERS, NOTHING_HELD).values()]
  assert.ok(shares.every(({ rate, burst }) => Math.abs(rate - shares[0].rate) < 1e-9 && Math.abs(burst - shares[0].burst) < 1e-9))
})

test('a share has less than one token', () => {
  assert.ok([...planWarmupShares('s', 6, HOLDERS, NOTHING_HELD).values()].every(({ burst }) => burst >= 1))
  assert.is(planWarmupShares('s', 0.9, HOLDERS, NOTHING_HELD).size, 0)
})

test('the declared rate of ten requests a second or more is not reached', () => {
  for (const requestsPerSecond of [5, 10, 20, 100]) assert.ok(splitWarmupLimit(computeWarmupLimit(requestsPerSecond, { overage: 1.5, requests: 5 })).rate >= requestsPerSecond)
})

test('what another instance may still hold is given away', () => {
  const held = new Map([['gone', { rate: 15, burst: 6 }]])
  const limit = 40
  const total = splitWarmupLimit(limit)
  const shares = sum(planWarmupShares('s', limit, HOLDERS, held).values())
  assert.ok(shares.rate + 15 <= total.rate + 1e-9 && shares.burst + 6 <= total.burst + 1e-9)
  assert.is(planWarmupShares('s', limit, HOLDERS, new Map([['gone', total]])).size, 0)
})

test('each announcement of a cold server is published, or a restart is not', () => {
  assert.not.ok(isWarmupChanged(10_000, 8_000, 2_050))
  assert.not.ok(isWarmupChanged(10_000, 0, 11_000))
  assert.ok(isWarmupChanged(10_000, 0, 2_000))
  assert.ok(isWarmupChanged(-Infinity, 5_000, 2_000))
})

test('an announcement that was on its way during the loss counts as newer', () => {
  assert.not.ok(isAnnouncedSince(1_000, undefined))
  assert.not.ok(isAnnouncedSince(1_000, 1_200))
  assert.ok(isAnnouncedSince(1_000, 1_301))
})

test.run()
