import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_POSITION_HISTORY, recordPosition } from '../../session/positionHistory.js'
import { UNKNOWN_LAG, expectsPosition, recordReplicaLack, recordReplicaPosition } from '../replicaLag.js'
import { readNeed } from '../readNeed.js'
import { chooseForRead } from '../serverChoice.js'
import { canServeInTime, compareEntries } from '../requestQueue.js'
import type { PositionHistory } from '../../session/positionHistory.js'
import type { ServerLoad } from '../serverChoice.js'

function historyOf (...samples: Array<[askedAt: number, position: number]>): PositionHistory {
  return samples.reduce((history, [askedAt, position]) => recordPosition(history, askedAt, { term: 1, position }), EMPTY_POSITION_HISTORY)
}

function load (member: string, change: Partial<ServerLoad> = {}): ServerLoad {
  return { member, isPrimary: false, slots: 3, allowed: 24, outstanding: 0, averageMilliseconds: 20, answeredAt: 1_000, failing: false, leaving: false, connection: 'match', lag: { milliseconds: 0, learntAt: 0 }, ...change }
}

const NEED = { kind: 'position', after: { term: 1, position: 10 }, since: 0 } as const

test('a bounded read asks for the oldest position in its bound', () => {
  const history = historyOf([0, 1], [1_000, 5], [2_000, 9])
  assert.equal(readNeed({ policy: 'bounded staleness', maximumStalenessMilliseconds: 1_500, history, term: 1, now: 2_200 }), { kind: 'position', after: { term: 1, position: 5 }, since: 1_000 })
})

test('without a position in the bound the primary answers', () => {
  const history = historyOf([0, 1])
  assert.equal(readNeed({ policy: 'bounded staleness', maximumStalenessMilliseconds: 1_500, history, term: 1, now: 5_000 }), { kind: 'primary' })
})

test('a session sees its own commit', () => {
  const history = historyOf([1_000, 5])
  const session = { position: { term: 1, position: 7 }, at: 1_900 }
  assert.equal(readNeed({ policy: 'read your writes', maximumStalenessMilliseconds: 2_500, session, history, term: 1, now: 2_000 }), { kind: 'position', after: { term: 1, position: 7 }, since: 1_900 })
})

test('a commit of an earlier term is looked for at the primary', () => {
  const session = { position: { term: 1, position: 7 }, at: 1_900 }
  const history = recordPosition(EMPTY_POSITION_HISTORY, 1_950, { term: 2, position: 6 })
  assert.equal(readNeed({ policy: 'read your writes', maximumStalenessMilliseconds: 2_500, session, history, term: 2, now: 2_000 }), { kind: 'primary' })
})

test('a primary read never goes by positions', () => {
  assert.equal(readNeed({ policy: 'primary', history: historyOf([0, 1]), term: 1, now: 1 }), { kind: 'primary' })
})

test('the least expected wait is chosen', () => {
  assert.is(chooseForRead([load('busy', { outstanding: 9 }), load('free')], NEED, 1_000)?.member, 'free')
  assert.is(chooseForRead([load('slow', { averageMilliseconds: 90 }), load('other', { connection: 'spare' })], NEED, 1_000)?.member, 'other')
})

test('reads stay off the primary while replicas can take them', () => {
  assert.is(chooseForRead([load('p', { isPrimary: true }), load('r', { outstanding: 6 })], NEED, 1_000)?.member, 'r')
  assert.is(chooseForRead([load('p', { isPrimary: true }), load('r', { outstanding: 12 })], NEED, 1_000)?.member, 'p')
})

test('a slow server is tried again as its average fades', () => {
  const slow = load('slow', { averageMilliseconds: 400, answeredAt: 0 })
  const busy = load('busy', { outstanding: 15, answeredAt: 60_000 })
  assert.is(chooseForRead([slow, busy], NEED, 1_000)?.member, 'busy')
  assert.is(chooseForRead([slow, { ...busy, answeredAt: 60_000 }], NEED, 60_000)?.member, 'slow')
})

test('a replica that lacks the position is left alone', () => {
  const lacking = load('r', { lacks: { position: { term: 1, position: 9 }, until: 1_200 } })
  const primary = load('p', { isPrimary: true, outstanding: 6 })
  assert.is(chooseForRead([lacking, primary], NEED, 1_000)?.member, 'p')
  assert.is(chooseForRead([lacking, primary], NEED, 1_300)?.member, 'r')
})

test('a leaving or failing server gets nothing', () => {
  assert.is(chooseForRead([load('r', { leaving: true }), load('s', { failing: true })], NEED, 1_000), undefined)
})

test('a replica is asked for what it should hold by now', () => {
  const history = historyOf([0, 1], [100, 2], [200, 3])
  const lag = recordReplicaPosition(UNKNOWN_LAG, history, { term: 1, position: 1 }, 400)
  assert.is(lag.milliseconds, 300)
  assert.ok(expectsPosition(lag, { term: 1, position: 1 }, 400, 400))
  assert.not.ok(expectsPosition(lag, { term: 1, position: 3 }, 200, 400))
  assert.ok(expectsPosition(lag, { term: 1, position: 3 }, 200, 700))
  assert.is(recordReplicaLack(lag, 0, 2_000).milliseconds, 2_000)
})

test('a replica that was far behind is asked again once it may have caught up', () => {
  const lag = recordReplicaLack(UNKNOWN_LAG, 0, 2_000)
  assert.not.ok(expectsPosition(lag, { term: 1, position: 9 }, 1_000, 2_300))
  assert.ok(expectsPosition(lag, { term: 1, position: 90 }, 4_700, 6_000))
})

test('the urgent goes first, then the one whose time ends first', () => {
  const entries = [{ priority: 2, objective: 9, deadline: 10, since: 0 }, { priority: 1, objective: 90, deadline: 90, since: 0 }, { priority: 2, objective: 9, deadline: 5, since: 0 }]
  assert.equal(entries.sort((left, right) => compareEntries(left, right, 0)).map(({ deadline }) => deadline), [90, 5, 10])
})

test('what can not be served in time is refused at once', () => {
  const entry = { priority: 1, objective: 250, deadline: 800, since: 0 }
  assert.ok(canServeInTime(entry, { ahead: 10, servedPerSecond: 100, servedFrom: 0, overloaded: false }, 0))
  assert.not.ok(canServeInTime(entry, { ahead: 100, servedPerSecond: 100, servedFrom: 0, overloaded: false }, 0))
  assert.not.ok(canServeInTime(entry, { ahead: 0, servedPerSecond: 100, servedFrom: 1_300, overloaded: false }, 0))
})

test.run()
