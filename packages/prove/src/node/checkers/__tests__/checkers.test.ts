import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  checkAcknowledged, checkAnswers, checkAtMostOnce, checkConfigurations, checkIsolation, checkKeysHidden, checkLeaks, checkLeaving, checkNotRun,
  checkRate, checkOpenRoutes, checkReadYourWrites, checkServedWhileCut, checkShutdown, checkSubmissions, checkTransactions, checkWithdrawn
} from '../index.js'
import type { Operation } from '../../history.js'

let nextId = 1

function createOperation (overrides: Partial<Operation>): Operation {
  nextId += 1
  return { id: nextId, kind: 'append', session: 's', account: 'a', key: 'k', database: 'd', instance: 'i', invokedAt: 0, answeredAt: 1, outcome: 'done', ...overrides }
}

function createRecord (position: number, ...values: string[]): { term: number, position: number, values: string[] } {
  return { term: 1, position, values }
}

function expectViolations (violations: unknown[], expected: number): void {
  assert.is(violations.length, expected, JSON.stringify(violations))
}

test('a read that misses the session\'s own write is a violation', () => {
  const put = createOperation({ kind: 'put', register: 'r', number: 2, invokedAt: 1, answeredAt: 2 })
  const get = (number: number): Operation => createOperation({ kind: 'get', register: 'r', number, invokedAt: 3, answeredAt: 4 })
  expectViolations(checkReadYourWrites([put, get(2)]), 0)
  expectViolations(checkReadYourWrites([put, get(1)]), 1)
  expectViolations(checkReadYourWrites([put, get(3)]), 1)
})

test('a write of unknown outcome may not disappear once it was read', () => {
  const put = createOperation({ kind: 'put', register: 'r', number: 1, invokedAt: 1, outcome: 'unknown' })
  const get = (number: number, invokedAt: number): Operation => createOperation({ kind: 'get', register: 'r', number, invokedAt })
  expectViolations(checkReadYourWrites([put, get(0, 2), get(1, 3)]), 0)
  expectViolations(checkReadYourWrites([put, get(1, 2), get(0, 3)]), 1)
})

test('an acknowledged write missing from the primary\'s log is a violation', () => {
  expectViolations(checkAcknowledged([createOperation({ values: ['x'] })], [createRecord(1, 'x')]), 0)
  expectViolations(checkAcknowledged([createOperation({ values: ['x'] })], [createRecord(1, 'y')]), 1)
  expectViolations(checkAcknowledged([createOperation({ values: ['x'], outcome: 'unknown' })], []), 0)
})

test('a write that is in the log twice is a violation', () => {
  expectViolations(checkAtMostOnce([createOperation({ values: ['x'], outcome: 'unknown' })], [createRecord(1, 'x')]), 0)
  expectViolations(checkAtMostOnce([createOperation({ values: ['x'], outcome: 'unknown' })], [createRecord(1, 'x'), createRecord(2, 'x')]), 1)
})

test('a write reported as not run must not be in any log', () => {
  expectViolations(checkNotRun([createOperation({ values: ['x'], outcome: 'not run' })], [[createRecord(1, 'y')]]), 0)
  expectViolations(checkNotRun([createOperation({ values: ['x'], outcome: 'not run' })], [[], [createRecord(1, 'x')]]), 1)
  expectViolations(checkNotRun([createOperation({ values: ['x'], outcome: 'failed' })], [[createRecord(1, 'x')]]), 1)
})

test('a record that mixes transactions or lacks part of one is a violation', () => {
  const both = [createOperation({ values: ['a1', 'a2'] }), createOperation({ values: ['b1'] })]
  expectViolations(checkTransactions(both, [createRecord(1, 'a1', 'a2'), createRecord(2, 'b1')]), 0)
  expectViolations(checkTransactions(both, [createRecord(1, 'a1', 'b1', 'a2')]), 1)
  expectViolations(checkTransactions(both, [createRecord(1, 'a1')]), 1)
})

test('an answer that belongs to another request is a violation', () => {
  expectViolations(checkAnswers([createOperation({ expected: 'mine', given: 'mine' })]), 0)
  expectViolations(checkAnswers([createOperation({ expected: 'mine', given: 'yours' })]), 1)
  expectViolations(checkAnswers([createOperation({ expected: 'mine', outcome: 'failed' })]), 0)
})

test('a setting left by another transaction is a violation', () => {
  expectViolations(checkLeaks([createOperation({})]), 0)
  expectViolations(checkLeaks([createOperation({ leaked: 'x' })]), 1)
})

test('work with another account\'s key or on a forbidden database is a violation', () => {
  const keys = new Map([['k', { account: 'a' }], ['l', { account: 'b' }]])
  const allowedDatabases = new Map([['a', new Set(['d'])]])
  expectViolations(checkIsolation([createOperation({})], keys, allowedDatabases), 0)
  expectViolations(checkIsolation([createOperation({ key: 'l' })], keys, allowedDatabases), 1)
  expectViolations(checkIsolation([createOperation({ database: 'e' })], keys, allowedDatabases), 1)
  expectViolations(checkIsolation([createOperation({ key: 'l', outcome: 'not run' })], keys, allowedDatabases), 0)
})

test('a write on an open route is a violation', () => {
  expectViolations(checkOpenRoutes([createOperation({ account: 'open', kind: 'read' }), createOperation({ account: 'open', values: ['x'], outcome: 'not run' })], 'open'), 0)
  expectViolations(checkOpenRoutes([createOperation({ account: 'open', values: ['x'] })], 'open'), 1)
})

test('a cut-off instance must keep serving open reads', () => {
  const read = createOperation({ account: 'open', kind: 'read', invokedAt: 20, answeredAt: 30 })
  expectViolations(checkServedWhileCut([read], 'open', ['i'], 10, 40, 1), 0)
  expectViolations(checkServedWhileCut([read], 'open', ['i'], 25, 40, 1), 1)
  expectViolations(checkServedWhileCut([{ ...read, outcome: 'not run' }], 'open', ['i'], 10, 40, 1), 1)
})

test('a withdrawn key that works past the limit is a violation', () => {
  const keys = new Map([['k', { account: 'a', withdrawnAt: 1000 }]])
  expectViolations(checkWithdrawn([createOperation({ invokedAt: 3000 })], keys, 5000), 0)
  expectViolations(checkWithdrawn([createOperation({ invokedAt: 6001 })], keys, 5000), 1)
})

test('more requests than rate and burst allow are a violation', () => {
  const limits = new Map([['a', { rate: 10, burst: 5 }]])
  const burst = (size: number, at: number): Operation[] => Array.from({ length: size }, () => createOperation({ invokedAt: at, answeredAt: at }))
  expectViolations(checkRate([...burst(5, 0), ...burst(5, 500)], limits), 0)
  expectViolations(checkRate([...burst(5, 0), ...burst(6, 500)], limits), 1)
  expectViolations(checkRate(burst(6, 0), limits), 1)
})

test('a key that a server received is a violation', () => {
  expectViolations(checkKeysHidden([]), 0)
  expectViolations(checkKeysHidden([{ member: 'm', text: 'a key' }]), 1)
})

test('new work for a leaving server past the limit is a violation', () => {
  const served = createOperation({ member: 'm', invokedAt: 4000, answeredAt: 4001 })
  expectViolations(checkLeaving([served], 'm', 0, 5000, 9000), 0)
  expectViolations(checkLeaving([served], 'm', 0, 3000, 9000), 1)
  expectViolations(checkLeaving([served], 'other', 0, 3000, 9000), 0)
})

test('an interrupted request or a failed shutdown is a violation', () => {
  const shutdown = { instance: 'i', signalledAt: 10, endedAt: 100, exitCode: 0 }
  const timing = { invokedAt: 5, answeredAt: 20 }
  expectViolations(checkShutdown([createOperation(timing), createOperation({ ...timing, outcome: 'not run' })], [shutdown]), 0)
  expectViolations(checkShutdown([createOperation({ ...timing, outcome: 'unknown' })], [shutdown]), 1)
  expectViolations(checkShutdown([], [{ ...shutdown, exitCode: 1 }]), 1)
  expectViolations(checkShutdown([], [{ instance: 'i', signalledAt: 10 }]), 1)
})

test('a configuration that is late or reverts is a violation', () => {
  const configurations = [{ number: 1, key: 'k1', acceptedAt: 0 }, { number: 2, key: 'k2', acceptedAt: 1000 }]
  const probe = (key: string, at: number, verdict: 'admitted' | 'refused'): Parameters<typeof checkConfigurations>[0][number] => ({ instance: 'i', key, invokedAt: at, answeredAt: at + 1, verdict })
  expectViolations(checkConfigurations([probe('k1', 500, 'admitted'), probe('k2', 1500, 'admitted'), probe('k1', 1600, 'refused')], configurations, 5000), 0)
  expectViolations(checkConfigurations([probe('k2', 1500, 'admitted'), probe('k1', 1600, 'admitted')], configurations, 5000), 1)
  expectViolations(checkConfigurations([probe('k2', 7000, 'refused')], configurations, 5000), 1)
  expectViolations(checkConfigurations([probe('k1', 7000, 'admitted')], configurations, 5000), 1)
})

test('two accepted contents under one number are a violation', () => {
  const accepted = (content: string): Parameters<typeof checkSubmissions>[0][number] => ({ number: 1, content, outcome: 'accepted' })
  expectViolations(checkSubmissions([accepted('x'), accepted('x'), { number: 1, content: 'y', outcome: 'conflict' }]), 0)
  expectViolations(checkSubmissions([accepted('x'), accepted('y')]), 1)
})

test.run()
