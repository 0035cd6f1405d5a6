import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { createFairQueue } from '../fairQueue.js'
import { computeConnectionShare } from '../share.js'
import type { QueuePolicy } from '../fairQueue.js'

interface Entry { account: string, weight: number, arrivedAt: number }

/** Serves entries with five connections in simulated time; `gaps` are the milliseconds between two entries of an account. */
function simulate (policy: QueuePolicy, weights: Record<string, number>, gaps: Record<string, number>): Record<string, { served: number, worstWait: number }> {
  const queue = createFairQueue<Entry>({ maximumWaiting: 100_000 }, policy)
  const figures = Object.fromEntries(Object.keys(weights).map(name => [name, { served: 0, worstWait: 0 }]))
  const ends: Array<{ at: number, account: string }> = []
  const durationMilliseconds = 10
  for (let now = 0; now < 10_000; now += 1) {
    for (let index = ends.length - 1; index >= 0; index -= 1) {
      if (ends[index].at > now) continue
      queue.release(ends[index].account, durationMilliseconds)
      ends.splice(index, 1)
    }
    for (const [account, gap] of Object.entries(gaps)) {
      if (gap < 1) for (let count = 0; count < 1 / gap; count += 1) queue.add({ account, weight: weights[account], arrivedAt: now })
      else if (now % gap === 0) queue.add({ account, weight: weights[account], arrivedAt: now })
    }
    while (ends.length < 5) {
      const entry = queue.take()
      if (entry === undefined) break
      figures[entry.account].served += 1
      figures[entry.account].worstWait = Math.max(figures[entry.account].worstWait, now - entry.arrivedAt)
      ends.push({ at: now + durationMilliseconds, account: entry.account })
    }
  }
  return figures
}

test('one account\'s surge hardly delays the others', () => {
  const demand = { surge: 0.5, small: 20, other: 25 }
  const fair = simulate('weighted fair', { surge: 1, small: 1, other: 1 }, demand)
  const first = simulate('first come', { surge: 1, small: 1, other: 1 }, demand)
  assert.ok(fair.small.worstWait <= 20, `${fair.small.worstWait} ms`)
  assert.ok(fair.other.worstWait <= 20, `${fair.other.worstWait} ms`)
  assert.ok(first.small.worstWait > 1_000, 'the baseline must show the delay')
})

test('connections are divided by weight', () => {
  const figures = simulate('weighted fair', { heavy: 3, light: 1 }, { heavy: 0.5, light: 0.5 })
  const ratio = figures.heavy.served / figures.light.served
  assert.ok(ratio > 2.7 && ratio < 3.3, `ratio ${ratio}`)
})

test('connection time while no entry waits is not charged', () => {
  const queue = createFairQueue<Entry>({ maximumWaiting: 100 })
  for (let count = 0; count < 1_000; count += 1) {
    queue.acquire({ account: 'alone', weight: 1 })
    queue.release('alone', 1_000)
  }
  for (let count = 0; count < 10; count += 1) {
    queue.add({ account: 'alone', weight: 1, arrivedAt: 0 })
    queue.add({ account: 'new', weight: 1, arrivedAt: 0 })
  }
  const served: string[] = []
  for (let count = 0; count < 10; count += 1) {
    const account = queue.take()?.account ?? ''
    served.push(account)
    queue.release(account, 10)
  }
  assert.ok(served.filter(account => account === 'alone').length >= 3, served.join())
})

test('a full queue drops the newest entry of the longest queue', () => {
  const queue = createFairQueue<Entry>({ maximumWaiting: 3 })
  for (let arrivedAt = 0; arrivedAt < 3; arrivedAt += 1) assert.is(queue.add({ account: 'surge', weight: 1, arrivedAt }), undefined)
  const dropped = queue.add({ account: 'small', weight: 1, arrivedAt: 3 })
  assert.equal(dropped, { account: 'surge', weight: 1, arrivedAt: 2 })
  assert.is(queue.size(), 3)
})

test('no entry is lost or served twice', () => {
  fc.assert(fc.property(fc.array(fc.record({ account: fc.constantFrom('a', 'b', 'c'), act: fc.constantFrom('add', 'take', 'remove', 'release') }), { maxLength: 200 }), steps => {
    const queue = createFairQueue<Entry>({ maximumWaiting: 20 })
    const waiting = new Set<Entry>()
    for (const [arrivedAt, { account, act }] of steps.entries()) {
      if (act === 'add') {
        const entry = { account, weight: 1, arrivedAt }
        waiting.add(entry)
        const dropped = queue.add(entry)
        if (dropped !== undefined) assert.ok(waiting.delete(dropped))
      } else if (act === 'take') {
        const entry = queue.take()
        assert.is(entry === undefined, waiting.size === 0)
        if (entry !== undefined) assert.ok(waiting.delete(entry))
      } else if (act === 'remove') {
        const [entry] = waiting
        if (entry === undefined) continue
        waiting.delete(entry)
        queue.remove(entry)
      } else {
        queue.release(account, 5)
      }
      assert.is(queue.size(), waiting.size)
    }
  }), { numRuns: 300, seed: 7 })
})

test('shares add up to the whole', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']
  assert.is(names.reduce((sum, name) => sum + computeConnectionShare(25, name, names), 0), 25)
  assert.is(computeConnectionShare(25, 'a', []), 25)
  assert.is(computeConnectionShare(4, 'i', names), 1)
})

test.run()
