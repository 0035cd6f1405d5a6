import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseReadServer } from '../serverChoice.js'
import { canMeetObjectiveBehindUrgent, estimateQueueWait, isExcessOfAccount } from '../requestQueue.js'
import type { EvenChoice, ServerLoad } from '../serverChoice.js'

const REQUIREMENT = { kind: 'position', position: { term: 1, position: 10 }, reachedAt: 0 } as const

function createLoad (member: string, change: Partial<ServerLoad> = {}): ServerLoad {
  return { member, isPrimary: false, slots: 4, allowed: 24, outstanding: 0, averageMilliseconds: 10, answeredAt: 1_000, failing: false, leaving: false, connection: 'match', lag: { milliseconds: 0, updatedAt: 0 }, choosers: 6, ...change }
}

function choose (servers: ServerLoad[], choice?: EvenChoice): string | undefined {
  return chooseReadServer(servers, REQUIREMENT, 1_000, choice)?.member
}

// Guards against traffic between failure domains that nothing requires.
test('among about equal servers the nearest one is chosen', () => {
  assert.is(choose([createLoad('far'), createLoad('near', { isNear: true, averageMilliseconds: 13 })]), 'near')
  assert.is(choose([createLoad('far'), createLoad('near', { isNear: true, averageMilliseconds: 30 })]), 'far')
})

// Guards against holders that all choose the same server, as each counts its own statements only.
test('the statements of other instances are counted as many as the own ones', () => {
  const near = createLoad('near', { isNear: true, outstanding: 1 })
  assert.is(choose([near, createLoad('far')]), 'far')
  assert.is(choose([{ ...near, choosers: 1 }, createLoad('far', { choosers: 1 })]), 'near')
})

// Guards against new connections that cost more than a short wait.
test('a server with a connection of the account is preferred to one without', () => {
  assert.is(choose([createLoad('spare', { connection: 'spare' }), createLoad('match', { outstanding: 1 })]), 'match')
})

// Guards against a change between primary and replicas for deployments of one priority.
test('with the same role, the choice between primary and replicas is by expected wait', () => {
  const servers = [createLoad('p', { isPrimary: true }), createLoad('r', { outstanding: 6 })]
  assert.is(choose(servers, 'same role'), 'r')
  assert.is(choose(servers, 'any role'), 'p')
})

// Guards against long reads in front of urgent work that only the primary can run.
test('a less urgent read avoids a primary with urgent work while a replica can serve', () => {
  const primary = createLoad('p', { isPrimary: true, runsUrgentWork: true })
  assert.is(choose([primary, createLoad('r', { outstanding: 12 })], 'any role'), 'r')
  assert.is(choose([primary, createLoad('r', { outstanding: 24 })], 'any role'), 'p')
  assert.is(choose([primary, createLoad('r', { failing: true })], 'any role'), 'p')
})

test('no server is chosen if none can take the read', () => {
  for (const choice of ['same role', 'any role'] as const) assert.is(choose([createLoad('r', { failing: true }), createLoad('s', { outstanding: 24 })], choice), undefined)
})

test('the wait in the queue follows from what is ahead', () => {
  assert.is(estimateQueueWait({ ahead: 10, servedPerSecond: 100, servedFrom: 0 }, 0), 100)
  assert.is(estimateQueueWait({ ahead: 0, servedPerSecond: 0, servedFrom: 300 }, 100), 200)
  assert.is(estimateQueueWait({ ahead: 1, servedPerSecond: 0, servedFrom: 0 }, 0), Infinity)
})

// Guards against capacity that is spent on late answers while urgent requests wait.
test('a request that would be late is refused only while something more urgent waits', () => {
  const request = { priority: 1, objective: 200, deadline: 2_000, queuedAt: 0 }
  assert.not.ok(canMeetObjectiveBehindUrgent(request, [{ priority: 0 }], 300, 0))
  assert.ok(canMeetObjectiveBehindUrgent(request, [{ priority: 0 }], 100, 0))
  assert.ok(canMeetObjectiveBehindUrgent(request, [{ priority: 1 }, { priority: 2 }], 300, 0))
})

// Guards against an account that fills the queue, and against refusals of one that waits alone.
test('an account may have its share of the queue waiting, by weight', () => {
  const share = { waiting: 10, weight: 1, totalWeight: 2 }
  assert.ok(isExcessOfAccount(share, 100, 200))
  assert.not.ok(isExcessOfAccount({ ...share, weight: 3, totalWeight: 4 }, 100, 200))
  assert.not.ok(isExcessOfAccount({ ...share, totalWeight: 1 }, 100, 200))
  assert.not.ok(isExcessOfAccount({ ...share, waiting: 3 }, 10, 200))
})

test.run()
