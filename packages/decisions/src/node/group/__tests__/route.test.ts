import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { decideRoute } from '../route.js'
import { createGroupView, dataAge, majorityHolds, recordStatus } from '../view.js'
import type { GroupView, MemberStatus } from '../view.js'

function status (member: string, changes: Partial<MemberStatus>): MemberStatus {
  return { member, role: 'replica', adoptedTerm: 2, logTerm: 2, position: 10, appliedTerm: 2, appliedPosition: 10, primaryMember: 'one', heardMilliseconds: 0, primaryRefused: false, voting: true, incarnation: 'first', leaving: false, openTransactions: 0, ...changes }
}

function viewOf (...statuses: MemberStatus[]): GroupView {
  return statuses.reduce((view, next) => recordStatus(view, next, 100, 101), createGroupView('group', 3))
}

const primary = status('one', { role: 'primary', position: 12, appliedPosition: 12 })

test('a write goes to the primary of the highest term', () => {
  const old = status('three', { role: 'primary', adoptedTerm: 1, logTerm: 1, position: 99 })
  const decision = decideRoute(viewOf(old, primary), { kind: 'write' }, new Map(), 200)
  assert.is(decision.kind === 'member' && decision.member, 'one')
})

test('a replaced primary gets no write', () => {
  const view = viewOf(primary, status('two', { adoptedTerm: 3 }))
  assert.is(decideRoute(view, { kind: 'write' }, new Map(), 200).kind, 'none')
})

test('a read goes to a replica that includes the session\'s position', () => {
  const view = viewOf(primary, status('two', { appliedPosition: 8 }), status('three', { appliedPosition: 10 }))
  const decision = decideRoute(view, { kind: 'session-read', requiredPosition: { term: 2, position: 9 } }, new Map(), 200)
  assert.is(decision.kind === 'member' && decision.member, 'three')
})

test('a replica with a higher position of an earlier term does not serve the session', () => {
  const view = viewOf(primary, status('two', { logTerm: 1, position: 99, appliedTerm: 1, appliedPosition: 99 }))
  const decision = decideRoute(view, { kind: 'session-read', requiredPosition: { term: 2, position: 9 } }, new Map(), 200)
  assert.is(decision.kind === 'member' && decision.member, 'one')
})

test('a record that is in the log but not yet visible does not count for a read', () => {
  const view = viewOf(primary, status('two', { appliedTerm: 1, appliedPosition: 8 }))
  const decision = decideRoute(view, { kind: 'session-read', requiredPosition: { term: 1, position: 9 } }, new Map(), 200)
  assert.is(decision.kind === 'member' && decision.member, 'one')
})

test('a session with a position of a later term does not read from the old primary', () => {
  const decision = decideRoute(viewOf(primary), { kind: 'session-read', requiredPosition: { term: 3, position: 1 } }, new Map(), 200)
  assert.is(decision.kind, 'none')
})

test('a replica of unknown data age serves no aged read', () => {
  const view = viewOf(status('two', {}))
  assert.is(decideRoute(view, { kind: 'aged-read', maximumAgeMilliseconds: 60_000 }, new Map(), 200).kind, 'none')
})

test('data age is measured from the request to the primary, once a majority confirms the sample', () => {
  const alone = viewOf(primary)
  const [member] = alone.members.values()
  assert.is(dataAge(alone, member, 150), Infinity)
  const confirmed = viewOf(primary, status('two', { appliedPosition: 12, position: 12 }))
  const [, replica] = confirmed.members.values()
  assert.is(dataAge(confirmed, replica, 150), 50)
})

test('a majority holds a commit only in its own term', () => {
  assert.is(majorityHolds(viewOf(primary, status('two', { position: 12 })), { term: 2, position: 12 }), true)
  assert.is(majorityHolds(viewOf(primary, status('two', { position: 11 })), { term: 2, position: 12 }), false)
  assert.is(majorityHolds(viewOf(primary, status('two', { position: 12 }), status('three', { adoptedTerm: 3 })), { term: 2, position: 12 }), false)
})

test.run()
