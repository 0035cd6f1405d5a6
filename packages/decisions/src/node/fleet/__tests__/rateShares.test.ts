import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computeShareLimits, planShares, computePoolLimits } from '../rateShares.js'
import type { ShareHolder } from '../rateShares.js'

function createHolder (name: string, demand: number, held: number, hasLease = true): ShareHolder {
  return { name, demand, held, hasLease }
}

function sumShares (shares: ReadonlyMap<string, number>): number {
  return [...shares.values()].reduce((total, share) => total + share, 0)
}

test('shares follow demand', () => {
  const shares = planShares([createHolder('a', 30, 0), createHolder('b', 10, 0)])
  assert.ok((shares.get('a') ?? 0) > (shares.get('b') ?? 0))
  assert.ok(Math.abs(sumShares(shares) - 1) < 1e-9)
})

test('a share grows only by what no instance may hold', () => {
  const shares = planShares([createHolder('a', 30, 0.2), createHolder('b', 10, 0.8)])
  assert.ok((shares.get('a') ?? 0) <= 0.2)
  assert.ok((shares.get('b') ?? 0) < 0.8)
})

test('an instance without a lease keeps its share', () => {
  const shares = planShares([createHolder('a', 30, 0.3), createHolder('b', 0, 0.6, false), createHolder('c', 30, 0)])
  assert.is(shares.get('b'), 0.6)
  assert.ok(sumShares(shares) <= 1 + 1e-9)
})

test('a new leader grants small shares, and does not reduce existing ones', () => {
  const shares = planShares([createHolder('a', 30, 0), createHolder('b', 10, 0.4)], 0.12)
  assert.ok((shares.get('a') ?? 0) > 0)
  assert.ok((shares.get('a') ?? 0) <= 0.12)
  assert.ok((shares.get('b') ?? 0) > 0.12)
})

test('shares never exceed the rate while demand moves', () => {
  let held = new Map([['a', 0], ['b', 0], ['c', 0]])
  for (let turn = 0; turn < 60; turn += 1) {
    const demand = (name: string): number => (name.charCodeAt(0) + turn) % 3 === 0 ? 50 : 1
    const granted = planShares([...held].map(([name, share]) => createHolder(name, demand(name), share, turn % 7 !== 0 || name !== 'b')))
    // A reduced share is confirmed one turn later, and counts in full until then.
    const outstanding = [...held].reduce((total, [name, share]) => total + Math.max(share, granted.get(name) ?? 0), 0)
    assert.ok(outstanding <= 1 + 1e-9, `turn ${turn}: ${outstanding}`)
    held = granted
  }
})

test('shares and pool stay within the tolerance', () => {
  const limits = { rate: 80, burst: 80 }
  const tolerance = { windowSeconds: 5, overage: 0.1, operations: 20 }
  const share = computeShareLimits(limits, 1, tolerance)
  const pool = computePoolLimits(limits, tolerance)
  const maximum = (share.rate + pool.rate) * 5 + share.burst + pool.burst
  assert.ok(maximum <= (80 * 5 + 80) * 1.1 + 20)
})

test('each of many instances gets a share that follows demand', () => {
  const names = Array.from({ length: 71 }, (_value, index) => `entry-${index}`)
  const first = planShares(names.map(name => createHolder(name, 0, 0)))
  assert.ok([...first.values()].every(share => share > 0), 'an instance without a share')
  assert.ok(sumShares(first) <= 1 + 1e-9)
  const later = planShares(names.map((name, index) => createHolder(name, index === 0 ? 1 : 0, first.get(name) ?? 0)))
  assert.ok((later.get('entry-1') ?? 1) < (first.get('entry-1') ?? 0))
})

test.run()
