import { createHash } from 'node:crypto'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../rulesStore.js'
import type { RulesStore, RulesUpdate } from '../rulesStore.js'

const LEASE_MILLISECONDS = 3_000

function line (rate: number): string {
  return `accounts."clinic" = { rate = ${rate}, burst = 1, weight = 1 } # asked for by Ana`
}

function createStore (): { store: RulesStore, advance: (milliseconds: number) => void, suspend: (milliseconds: number) => void, applyUpdate: (change: Partial<RulesUpdate>) => string } {
  let now = 10_000
  let suspendedMilliseconds = 0
  const store = createRulesStore({ now: () => now }, LEASE_MILLISECONDS, () => now + suspendedMilliseconds)
  return {
    store,
    advance: milliseconds => { now += milliseconds },
    suspend: milliseconds => { suspendedMilliseconds += milliseconds },
    applyUpdate: change => store.update({ number: 1, baseNumber: 0, removed: [], added: [line(1)], fresh: true, ageMilliseconds: 0, askedAt: now, ...change })
  }
}

test('rules are not fresh before control confirms them', () => {
  const { store, applyUpdate } = createStore()
  assert.is(store.isFresh(), false)
  applyUpdate({ fresh: false })
  assert.is(store.number(), 1)
  assert.is(store.isFresh(), false)
  applyUpdate({})
  assert.is(store.isFresh(), true)
})

test('the lease starts when the request was sent, minus the age of the confirmation', () => {
  const { store, advance, applyUpdate } = createStore()
  const askedAt = 10_000
  advance(1_000)
  applyUpdate({ askedAt, ageMilliseconds: 500 })
  advance(LEASE_MILLISECONDS - 1_501)
  assert.is(store.isFresh(), true)
  advance(1)
  assert.is(store.isFresh(), false)
})

// The steady clock stands still while a machine is suspended, so a withdrawn key worked again after it.
test('a suspension of the machine ends the lease', () => {
  const { store, advance, suspend, applyUpdate } = createStore()
  applyUpdate({})
  assert.is(store.isFresh(), true)
  advance(1)
  suspend(10_000)
  assert.is(store.isFresh(), false)
  assert.is(store.lastFreshAt(), -Infinity)
  applyUpdate({ askedAt: 10_000 })
  assert.is(store.isFresh(), false, 'an answer to a request from before it proves nothing')
  advance(1)
  applyUpdate({ askedAt: 10_002 })
  assert.is(store.isFresh(), true)
})

test('the version number never decreases', () => {
  const { store, advance, applyUpdate } = createStore()
  applyUpdate({ number: 5 })
  assert.is(applyUpdate({ number: 4, added: [line(9)] }), 'refused')
  assert.is(store.rules().accounts.get('clinic')?.rate, 1)
  advance(LEASE_MILLISECONDS)
  applyUpdate({ number: 4 })
  assert.is(store.isFresh(), false, 'an older version does not renew the freshness')
})

test('a change to another version than the current one is refused', () => {
  const { store, applyUpdate } = createStore()
  applyUpdate({ number: 5 })
  assert.is(applyUpdate({ number: 7, baseNumber: 6, added: [line(9)] }), 'refused')
  assert.is(store.number(), 5)
  assert.is(applyUpdate({ number: 6, baseNumber: 5, added: [line(9)] }), 'changed')
  assert.is(store.rules().accounts.get('clinic')?.rate, 9)
})

function keyLine (name: string, key: string): string {
  return `keys."${name}" = { account = "clinic", digest = "sha256:${createHash('sha256').update(key).digest('hex')}" } # asked for by Ana`
}

test('a key is valid for its own account only, and is not stored', () => {
  const { store, applyUpdate } = createStore()
  applyUpdate({ added: [line(1), keyLine('one', 'secret-of-one')] })
  assert.is(store.identify('clinic', 'wrong'), undefined)
  assert.is(store.identify('other', 'secret-of-one'), undefined)
  const identity = store.identify('clinic', 'secret-of-one')
  assert.is(identity?.key, 'one')
  assert.not.match(JSON.stringify(identity), /secret-of-one/)
})

test('a removed key is no longer valid', () => {
  const { store, applyUpdate } = createStore()
  applyUpdate({ added: [line(1), keyLine('one', 'first')] })
  const identity = store.identify('clinic', 'first')
  assert.is(store.isValid(identity ?? { account: '' }), true)
  applyUpdate({ number: 2, baseNumber: 1, removed: ['keys.one'], added: [] })
  assert.is(store.isValid(identity ?? { account: '' }), false)
})

test('a key is no longer valid when another key takes its name', () => {
  const { store, applyUpdate } = createStore()
  applyUpdate({ added: [line(1), keyLine('one', 'first')] })
  const identity = store.identify('clinic', 'first')
  applyUpdate({ number: 2, baseNumber: 1, removed: [], added: [keyLine('one', 'second')] })
  assert.is(store.isValid(identity ?? { account: '' }), false)
  assert.is(store.identify('clinic', 'first'), undefined)
  assert.is(store.identify('clinic', 'second')?.key, 'one')
})

test.run()
