import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  checkAcknowledged, checkAnswers, checkAtMostOnce, checkConfigurations, checkIsolation, checkKeysHidden, checkLeaks, checkLeaving, checkNotRun,
  checkRate, checkOpenRoutes, checkReadYourWrites, checkServedWhileCut, checkShutdown, checkSubmissions, checkTransactions, checkWithdrawn
} from '../index.js'
import type { Operation } from '../../history.js'

let nextId = 1

function operation (given: Partial<Operation>): Operation {
  nextId += 1
  return { id: nextId, kind: 'append', session: 's', account: 'a', key: 'k', database: 'd', instance: 'i', invokedAt: 0, answeredAt: 1, outcome: 'done', ...given }
}

function record (position: number, ...values: string[]): { term: number, position: number, values: string[] } {
  return { term: 1, position, values }
}

function count (violations: unknown[], expected: number): void {
  assert.is(violations.length, expected, JSON.stringify(violations))
}

test('a read behind the session\'s own write', () => {
  const put = operation({ kind: 'put', register: 'r', number: 2, invokedAt: 1, answeredAt: 2 })
  const get = (number: number): Operation => operation({ kind: 'get', register: 'r', number, invokedAt: 3, answeredAt: 4 })
  count(checkReadYourWrites([put, get(2)]), 0)
  count(checkReadYourWrites([put, get(1)]), 1)
  count(checkReadYourWrites([put, get(3)]), 1)
})

test('a write of unknown outcome, seen and then unseen', () => {
  const put = operation({ kind: 'put', register: 'r', number: 1, invokedAt: 1, outcome: 'unknown' })
  const get = (number: number, invokedAt: number): Operation => operation({ kind: 'get', register: 'r', number, invokedAt })
  count(checkReadYourWrites([put, get(0, 2), get(1, 3)]), 0)
  count(checkReadYourWrites([put, get(1, 2), get(0, 3)]), 1)
})

test('an acknowledged write that the last primary lacks', () => {
  count(checkAcknowledged([operation({ values: ['x'] })], [record(1, 'x')]), 0)
  count(checkAcknowledged([operation({ values: ['x'] })], [record(1, 'y')]), 1)
  count(checkAcknowledged([operation({ values: ['x'], outcome: 'unknown' })], []), 0)
})

test('a write in the log twice', () => {
  count(checkAtMostOnce([operation({ values: ['x'], outcome: 'unknown' })], [record(1, 'x')]), 0)
  count(checkAtMostOnce([operation({ values: ['x'], outcome: 'unknown' })], [record(1, 'x'), record(2, 'x')]), 1)
})

test('a "not run" that ran', () => {
  count(checkNotRun([operation({ values: ['x'], outcome: 'not run' })], [[record(1, 'y')]]), 0)
  count(checkNotRun([operation({ values: ['x'], outcome: 'not run' })], [[], [record(1, 'x')]]), 1)
  count(checkNotRun([operation({ values: ['x'], outcome: 'failed' })], [[record(1, 'x')]]), 1)
})

test('a record of two transactions, and one torn', () => {
  const both = [operation({ values: ['a1', 'a2'] }), operation({ values: ['b1'] })]
  count(checkTransactions(both, [record(1, 'a1', 'a2'), record(2, 'b1')]), 0)
  count(checkTransactions(both, [record(1, 'a1', 'b1', 'a2')]), 1)
  count(checkTransactions(both, [record(1, 'a1')]), 1)
})

test('an answer that belongs to another request', () => {
  count(checkAnswers([operation({ expected: 'mine', given: 'mine' })]), 0)
  count(checkAnswers([operation({ expected: 'mine', given: 'yours' })]), 1)
  count(checkAnswers([operation({ expected: 'mine', outcome: 'failed' })]), 0)
})

test('a setting that another transaction left', () => {
  count(checkLeaks([operation({})]), 0)
  count(checkLeaks([operation({ leaked: 'x' })]), 1)
})

test('work under a key of another account, and beyond its reach', () => {
  const keys = new Map([['k', { account: 'a' }], ['l', { account: 'b' }]])
  const reach = new Map([['a', new Set(['d'])]])
  count(checkIsolation([operation({})], keys, reach), 0)
  count(checkIsolation([operation({ key: 'l' })], keys, reach), 1)
  count(checkIsolation([operation({ database: 'e' })], keys, reach), 1)
  count(checkIsolation([operation({ key: 'l', outcome: 'not run' })], keys, reach), 0)
})

test('a write on an open route', () => {
  count(checkOpenRoutes([operation({ account: 'open', kind: 'read' }), operation({ account: 'open', values: ['x'], outcome: 'not run' })], 'open'), 0)
  count(checkOpenRoutes([operation({ account: 'open', values: ['x'] })], 'open'), 1)
})

test('a cut-off instance that serves nothing', () => {
  const read = operation({ account: 'open', kind: 'read', invokedAt: 20, answeredAt: 30 })
  count(checkServedWhileCut([read], 'open', ['i'], 10, 40, 1), 0)
  count(checkServedWhileCut([read], 'open', ['i'], 25, 40, 1), 1)
  count(checkServedWhileCut([{ ...read, outcome: 'not run' }], 'open', ['i'], 10, 40, 1), 1)
})

test('a key that works long after its withdrawal', () => {
  const keys = new Map([['k', { account: 'a', withdrawnAt: 1000 }]])
  count(checkWithdrawn([operation({ invokedAt: 3000 })], keys, 5000), 0)
  count(checkWithdrawn([operation({ invokedAt: 6001 })], keys, 5000), 1)
})

test('more than rate and burst', () => {
  const limits = new Map([['a', { rate: 10, burst: 5 }]])
  const burst = (size: number, at: number): Operation[] => Array.from({ length: size }, () => operation({ invokedAt: at, answeredAt: at }))
  count(checkRate([...burst(5, 0), ...burst(5, 500)], limits), 0)
  count(checkRate([...burst(5, 0), ...burst(6, 500)], limits), 1)
  count(checkRate(burst(6, 0), limits), 1)
})

test('a key that a server received', () => {
  count(checkKeysHidden([]), 0)
  count(checkKeysHidden([{ member: 'm', text: 'a key' }]), 1)
})

test('a leaving server that gets work', () => {
  const served = operation({ member: 'm', invokedAt: 4000, answeredAt: 4001 })
  count(checkLeaving([served], 'm', 0, 5000, 9000), 0)
  count(checkLeaving([served], 'm', 0, 3000, 9000), 1)
  count(checkLeaving([served], 'other', 0, 3000, 9000), 0)
})

test('a request cut by a shutdown', () => {
  const shutdown = { instance: 'i', signalledAt: 10, endedAt: 100, exitCode: 0 }
  const asked = { invokedAt: 5, answeredAt: 20 }
  count(checkShutdown([operation(asked), operation({ ...asked, outcome: 'not run' })], [shutdown]), 0)
  count(checkShutdown([operation({ ...asked, outcome: 'unknown' })], [shutdown]), 1)
  count(checkShutdown([], [{ ...shutdown, exitCode: 1 }]), 1)
  count(checkShutdown([], [{ instance: 'i', signalledAt: 10 }]), 1)
})

test('a configuration late, and one that went back', () => {
  const configurations = [{ number: 1, key: 'k1', acceptedAt: 0 }, { number: 2, key: 'k2', acceptedAt: 1000 }]
  const probe = (key: string, at: number, verdict: 'admitted' | 'refused'): Parameters<typeof checkConfigurations>[0][number] => ({ instance: 'i', key, invokedAt: at, answeredAt: at + 1, verdict })
  count(checkConfigurations([probe('k1', 500, 'admitted'), probe('k2', 1500, 'admitted'), probe('k1', 1600, 'refused')], configurations, 5000), 0)
  count(checkConfigurations([probe('k2', 1500, 'admitted'), probe('k1', 1600, 'admitted')], configurations, 5000), 1)
  count(checkConfigurations([probe('k2', 7000, 'refused')], configurations, 5000), 1)
  count(checkConfigurations([probe('k1', 7000, 'admitted')], configurations, 5000), 1)
})

test('one number with two contents', () => {
  const accepted = (content: string): Parameters<typeof checkSubmissions>[0][number] => ({ number: 1, content, outcome: 'accepted' })
  count(checkSubmissions([accepted('x'), accepted('x'), { number: 1, content: 'y', outcome: 'conflict' }]), 0)
  count(checkSubmissions([accepted('x'), accepted('y')]), 1)
})

test.run()
