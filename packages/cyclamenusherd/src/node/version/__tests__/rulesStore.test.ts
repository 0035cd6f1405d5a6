import { createHash } from 'node:crypto'
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

function keyLine (name: string, key: string): string {
  return `keys."${name}" = { account = "clinic", digest = "sha256:${createHash('sha256').update(key).digest('hex')}" } # asked for by Ana`
}

test('a key opens its account only, and is not kept', () => {
  const { store, tell } = createStore()
  tell({ added: [line(1), keyLine('one', 'secret-of-one')] })
  assert.is(store.identify('clinic', 'wrong'), undefined)
  assert.is(store.identify('other', 'secret-of-one'), undefined)
  const identity = store.identify('clinic', 'secret-of-one')
  assert.is(identity?.key, 'one')
  assert.not.match(JSON.stringify(identity), /secret-of-one/)
})

test('a withdrawn key stands no longer', () => {
  const { store, tell } = createStore()
  tell({ added: [line(1), keyLine('one', 'first')] })
  const identity = store.identify('clinic', 'first')
  assert.is(store.isValid(identity ?? { account: '' }), true)
  tell({ number: 2, baseNumber: 1, removed: ['keys.one'], added: [] })
  assert.is(store.isValid(identity ?? { account: '' }), false)
})

test('another key under the same name withdraws the one before', () => {
  const { store, tell } = createStore()
  tell({ added: [line(1), keyLine('one', 'first')] })
  const identity = store.identify('clinic', 'first')
  tell({ number: 2, baseNumber: 1, removed: [], added: [keyLine('one', 'second')] })
  assert.is(store.isValid(identity ?? { account: '' }), false)
  assert.is(store.identify('clinic', 'first'), undefined)
  assert.is(store.identify('clinic', 'second')?.key, 'one')
})

test.run()
