import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../rulesStore.js'
import type { RulesStore, RulesUpdate } from '../rulesStore.js'

const LEASE = 3_000

function line (rate: number): string {
  return `accounts."clinic" = { rate = ${rate}, burst = 1, weight = 1 } # asked for by Ana`
}

function createStore (): { store: RulesStore, pass: (milliseconds: number) => void, tell: (change: Partial<RulesUpdate>) => string } {
  let now = 10_000
  const store = createRulesStore({ now: () => now }, LEASE)
  return {
    store,
    pass: milliseconds => { now += milliseconds },
    tell: change => store.update({ number: 1, baseNumber: 0, removed: [], added: [line(1)], fresh: true, ageMilliseconds: 0, askedAt: now, ...change })
  }
}

test('nothing is trusted before a fresh version', () => {
  const { store, tell } = createStore()
  assert.is(store.isFresh(), false)
  tell({ fresh: false })
  assert.is(store.number(), 1)
  assert.is(store.isFresh(), false)
  tell({})
  assert.is(store.isFresh(), true)
})

test('the lease counts from the request, less the age of the proof', () => {
  const { store, pass, tell } = createStore()
  const askedAt = 10_000
  pass(1_000)
  tell({ askedAt, ageMilliseconds: 500 })
  pass(LEASE - 1_501)
  assert.is(store.isFresh(), true)
  pass(1)
  assert.is(store.isFresh(), false)
})

test('a version never steps back', () => {
  const { store, pass, tell } = createStore()
  tell({ number: 5 })
  assert.is(tell({ number: 4, added: [line(9)] }), 'refused')
  assert.is(store.rules().accounts.get('clinic')?.rate, 1)
  pass(LEASE)
  tell({ number: 4 })
  assert.is(store.isFresh(), false, 'an older version renews no lease')
})

test('a change to a version that is not held is refused', () => {
  const { store, tell } = createStore()
  tell({ number: 5 })
  assert.is(tell({ number: 7, baseNumber: 6, added: [line(9)] }), 'refused')
  assert.is(store.number(), 5)
  assert.is(tell({ number: 6, baseNumber: 5, added: [line(9)] }), 'changed')
  assert.is(store.rules().accounts.get('clinic')?.rate, 9)
})

test.run()
