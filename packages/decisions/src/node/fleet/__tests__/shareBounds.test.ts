import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyBounds, encodeBounds, isWrittenBounds, lowerBounds, raiseBound, removeInstances, sumBounds } from '../../index.js'
import type { ShareBounds } from '../../index.js'

const BOUNDS: ShareBounds = new Map([['clinic', new Map([['entry-1', 1], ['entry-2', 0.25]])]])

test('a bound lies below the share', () => {
  for (const share of [0, 0.01, 0.3, 0.6, 1]) assert.ok(raiseBound(share, 9) >= share && raiseBound(share, 9) <= 1)
  assert.is(raiseBound(0.3, 0), 1)
})

test('missing instances hold more than the whole rate', () => {
  assert.is(sumBounds(BOUNDS, 'clinic', ['entry-1', 'entry-2']), 1)
  assert.is(sumBounds(BOUNDS, 'clinic', ['entry-2', 'entry-3']), 0.25)
  assert.is(sumBounds(BOUNDS, 'constructor', ['entry-1']), 0)
})

test('bounds that have grown loose stay', () => {
  const loose = applyBounds(new Map(), [['clinic', Array.from({ length: 9 }, (_value, index) => [`entry-${index}`, 1])]])
  const held = new Map([['entry-0', 0.5], ['entry-1', 0.1]])
  const lowered = lowerBounds(loose, 'clinic', name => name === 'entry-8' ? undefined : held.get(name) ?? 0)
  for (const [name, share] of held) assert.ok((lowered.get(name) ?? 0) >= share && (lowered.get(name) ?? 1) < 1)
  assert.is(lowered.get('entry-2'), 0)
  assert.not.ok(lowered.has('entry-8'), 'what it holds is not known')
  assert.equal(lowerBounds(BOUNDS, 'clinic', () => 0), new Map())
})

test('a bound of nothing stays in the log', () => {
  const next = applyBounds(BOUNDS, [['clinic', [['entry-1', 0]]], ['__proto__', [['constructor', 0.5]]]])
  assert.equal(encodeBounds(next), [['clinic', [['entry-2', 0.25]]], ['__proto__', [['constructor', 0.5]]]])
  assert.equal(encodeBounds(removeInstances(next, ['entry-2'])), [['__proto__', [['constructor', 0.5]]]])
})

test('broken bounds are applied', () => {
  assert.ok(isWrittenBounds(encodeBounds(BOUNDS)))
  for (const broken of [undefined, {}, [['clinic']], [['clinic', [['entry-1', null]]]], [['clinic', [['entry-1', 2]]]], [[1, []]]]) assert.not.ok(isWrittenBounds(broken))
})

test.run()
