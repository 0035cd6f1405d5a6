import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_POSITION_HISTORY, recordPosition } from '../../session/positionHistory.js'
import { UNKNOWN_LAG, isPositionExpected, recordMissingPosition, recordReplicaPosition } from '../replicaLag.js'
import { resolveReadRequirement } from '../readNeed.js'
import { chooseReadServer } from '../serverChoice.js'
import { canServeInTime, compareRequests } from '../requestQueue.js'
import type { PositionHistory } from '../../session/positionHistory.js'
import type { ServerLoad } from '../serverChoice.js'

function createHistory (...samples: Array<[askedAt: number, position: number]>): PositionHistory {
  return samples.reduce((history, [askedAt, position]) => recordPosition(history, askedAt, { term: 1, position }), EMPTY_POSITION_HISTORY)
}

function createLoad (member: string, change: Partial<ServerLoad> = {}): ServerLoad {
  return { member, isPrimary: false, slots: 3, allowed: 24, outstanding: 0, averageMilliseconds: 20, answeredAt: 1_000, failing: false, leaving: false, connection: 'match', lag: { milliseconds: 0, updatedAt: 0 }, ...change }
}

const REQUIREMENT = { kind: 'position', position: { term: 1, position: 10 }, reachedAt: 0 } as const

test('a bounded read requires the oldest position within its bound', () => {
  const history = createHistory([0, 1], [1_000, 5], [2_000, 9])
  assert.equal(resolveReadRequirement({ policy: 'bounded staleness', maximumStalenessMilliseconds: 1_500, history, term: 1, now: 2_200 }), { kind: 'position', position: { term: 1, position: 5 }, reachedAt: 1_000 })
})

test('without a position within the bound the primary answers', () => {
  const history = createHistory([0, 1])
  assert.equal(resolveReadRequirement({ policy: 'bounded staleness', maximumStalenessMilliseconds: 1_500, history, term: 1, now: 5_000 }), { kind: 'primary' })
})

test('a session sees its own commit', () => {
  const history = createHistory([1_000, 5])
  const session = { position: { term: 1, position: 7 }, at: 1_900 }
  assert.equal(resolveReadRequirement({ policy: 'read your writes', maximumStalenessMilliseconds: 2_500, session, history, term: 1, now: 2_000 }), { kind: 'position', position: { term: 1, position: 7 }, reachedAt: 1_900 })
})

test('a session with a commit of an earlier term reads from the primary', () => {
  const session = { position: { term: 1, position: 7 }, at: 1_900 }
  const history = recordPosition(EMPTY_POSITION_HISTORY, 1_950, { term: 2, position: 6 })
  assert.equal(resolveReadRequirement({ policy: 'read your writes', maximumStalenessMilliseconds: 2_500, session, history, term: 2, now: 2_000 }), { kind: 'primary' })
})

test('a primary read requires no position', () => {
  assert.equal(resolveReadRequirement({ policy: 'primary', history: createHistory([0, 1]), term: 1, now: 1 }), { kind: 'primary' })
})

test('the server with the shortest expected wait is chosen', () => {
  assert.is(chooseReadServer([createLoad('busy', { outstanding: 9 }), createLoad('free')], REQUIREMENT, 1_000)?.member, 'free')
  assert.is(chooseReadServer([createLoad('slow', { averageMilliseconds: 90 }), createLoad('other', { connection: 'spare' })], REQUIREMENT, 1_000)?.member, 'other')
})

test('reads avoid the primary while replicas can take them', () => {
  assert.is(chooseReadServer([createLoad('p', { isPrimary: true }), createLoad('r', { outstanding: 6 })], REQUIREMENT, 1_000)?.member, 'r')
  assert.is(chooseReadServer([createLoad('p', { isPrimary: true }), createLoad('r', { outstanding: 12 })], REQUIREMENT, 1_000)?.member, 'p')
})

test('a slow server is tried again as its average fades', () => {
  const slow = createLoad('slow', { averageMilliseconds: 400, answeredAt: 0 })
  const busy = createLoad('busy', { outstanding: 15, answeredAt: 60_000 })
  assert.is(chooseReadServer([slow, busy], REQUIREMENT, 1_000)?.member, 'busy')
  assert.is(chooseReadServer([slow, { ...busy, answeredAt: 60_000 }], REQUIREMENT, 60_000)?.member, 'slow')
})

test('a replica that lacks the position is not chosen until it may hold it', () => {
  const lacking = createLoad('r', { missing: { position: { term: 1, position: 9 }, until: 1_200 } })
  const primary = createLoad('p', { isPrimary: true, outstanding: 6 })
  assert.is(chooseReadServer([lacking, primary], REQUIREMENT, 1_000)?.member, 'p')
  assert.is(chooseReadServer([lacking, primary], REQUIREMENT, 1_300)?.member, 'r')
})

test('a leaving replica or a failing server receives no reads', () => {
  assert.is(chooseReadServer([createLoad('r', { leaving: true }), createLoad('s', { failing: true })], REQUIREMENT, 1_000), undefined)
})

test('a replica is expected to hold a position after its estimated lag', () => {
  const history = createHistory([0, 1], [100, 2], [200, 3])
  const lag = recordReplicaPosition(UNKNOWN_LAG, history, { term: 1, position: 1 }, 400)
  assert.is(lag.milliseconds, 300)
  assert.ok(isPositionExpected(lag, { term: 1, position: 1 }, 400, 400))
  assert.not.ok(isPositionExpected(lag, { term: 1, position: 3 }, 200, 400))
  assert.ok(isPositionExpected(lag, { term: 1, position: 3 }, 200, 700))
  assert.is(recordMissingPosition(lag, 0, 2_000).milliseconds, 2_000)
})

test('a replica that was far behind is tried again once it may have caught up', () => {
  const lag = recordMissingPosition(UNKNOWN_LAG, 0, 2_000)
  assert.not.ok(isPositionExpected(lag, { term: 1, position: 9 }, 1_000, 2_300))
  assert.ok(isPositionExpected(lag, { term: 1, position: 90 }, 4_700, 6_000))
})

test('the most urgent priority comes first, then the earliest deadline', () => {
  const entries = [{ priority: 2, objective: 9, deadline: 10, queuedAt: 0 }, { priority: 1, objective: 90, deadline: 90, queuedAt: 0 }, { priority: 2, objective: 9, deadline: 5, queuedAt: 0 }]
  assert.equal(entries.sort((left, right) => compareRequests(left, right, 0)).map(({ deadline }) => deadline), [90, 5, 10])
})

test('a request that can not be served in time is not admitted', () => {
  const entry = { priority: 1, objective: 250, deadline: 800, queuedAt: 0 }
  assert.ok(canServeInTime(entry, { ahead: 10, servedPerSecond: 100, servedFrom: 0, overloaded: false }, 0))
  assert.not.ok(canServeInTime(entry, { ahead: 100, servedPerSecond: 100, servedFrom: 0, overloaded: false }, 0))
  assert.not.ok(canServeInTime(entry, { ahead: 0, servedPerSecond: 100, servedFrom: 1_300, overloaded: false }, 0))
})

test.run()
