import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ADMISSION_MILLISECONDS, choosePrimary, decideFailover } from '../failover.js'
import { decideRoute } from '../route.js'
import { createGroupView, hasVote, majorityHolds, recordStatus, recordUnreachable, resizeGroup } from '../view.js'
import type { FailoverLimits } from '../failover.js'
import type { GroupView, MemberStatus } from '../view.js'

const LIMITS: FailoverLimits = { silenceMilliseconds: 500, answerMilliseconds: 1_000 }
/** When the members answered, and a moment soon after it. */
const ASKED = 10_000
const NOW = ASKED + 10

function status (member: string, changes: Partial<MemberStatus> = {}): MemberStatus {
  return { member, role: 'replica', adoptedTerm: 2, logTerm: 2, position: 10, appliedTerm: 2, appliedPosition: 10, primaryMember: 'one', heardMilliseconds: 0, primaryRefused: false, voting: true, incarnation: 'first', leaving: false, openTransactions: 0, ...changes }
}

function answer (view: GroupView, at: number, ...statuses: MemberStatus[]): GroupView {
  return statuses.reduce((next, one) => recordStatus(next, one, at, at + 1), view)
}

function viewOf (...statuses: MemberStatus[]): GroupView {
  return answer(createGroupView('group', 3), ASKED, ...statuses)
}

const primary = status('one', { role: 'primary' })
const silent = { heardMilliseconds: 500 }

test('a majority that hears no primary gets another', () => {
  const view = recordUnreachable(viewOf(primary, status('two', silent), status('three', silent)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'promote')
})

test('one silent replica changes nothing', () => {
  const view = recordUnreachable(viewOf(primary, status('two', silent), status('three')), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
})

test('refused connections show a dead primary at once', () => {
  const refused = { primaryRefused: true, heardMilliseconds: 30 }
  const view = recordUnreachable(viewOf(primary, status('two', refused), status('three', refused)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'promote')
  assert.is(decideFailover(view, { ...LIMITS, trustsRefusal: false }, NOW).kind, 'none')
})

test('an instance cut off from a working primary orders no promotion', () => {
  const view = viewOf(status('two', { heardMilliseconds: 40 }), status('three', { heardMilliseconds: 40 }))
  assert.is(decideFailover(view, LIMITS, NOW + 900).kind, 'none')
})

test('a term that a dead coordinator left without a primary is followed by another', () => {
  const view = viewOf(primary, status('two', { adoptedTerm: 3, primaryMember: '' }), status('three'))
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
  assert.is(decideFailover(view, LIMITS, NOW + 500).kind, 'promote')
})

test('replicas that restarted while their primary is cut off get another', () => {
  const orphan = { primaryMember: '', heardMilliseconds: -1 }
  const first = viewOf(primary, status('two', orphan), status('three', orphan))
  assert.is(decideFailover(first, LIMITS, NOW).kind, 'repair')
  const later = answer(first, ASKED + 1_600, primary, status('two', orphan), status('three', orphan))
  assert.is(decideFailover(later, LIMITS, ASKED + 1_610).kind, 'promote')
})

test('an empty member neither acknowledges nor elects', () => {
  const empty = status('two', { voting: false, logTerm: 2, position: 10 })
  assert.is(majorityHolds(viewOf(primary, empty), { term: 2, position: 10 }), false)
  const view = recordUnreachable(viewOf(primary, { ...empty, ...silent }, status('three', silent)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
})

test('a server that came back with an older disk has no vote until it holds what it had', () => {
  const view = viewOf(primary, status('two'))
  const older = answer(view, ASKED + 1, status('two', { incarnation: 'second', position: 7 }))
  assert.is(hasVote(older.members.get('two')!), false)
  assert.is(majorityHolds(older, { term: 2, position: 7 }), false)
  const again = answer(older, ASKED + 2, status('two', { incarnation: 'second', position: 10 }))
  assert.is(hasVote(again.members.get('two')!), true)
})

test('a restart that lost nothing keeps the vote', () => {
  const view = answer(viewOf(primary, status('two')), ASKED + 1, status('two', { incarnation: 'second', position: 12 }))
  assert.is(hasVote(view.members.get('two')!), true)
})

test('a truncation by the new primary keeps the vote', () => {
  const view = answer(viewOf(status('two', { position: 12 })), ASKED + 1, status('two', { adoptedTerm: 3, position: 10 }))
  assert.is(hasVote(view.members.get('two')!), true)
})

test('a member without its state is admitted once the others confirmed a later place', () => {
  const lost = status('two', { voting: false, incarnation: 'second' })
  const before = answer(createGroupView('group', 3), ASKED, primary, status('three'), lost)
  assert.is(decideFailover(before, LIMITS, NOW).kind, 'none')
  const soon = answer(before, ASKED + ADMISSION_MILLISECONDS - 10, primary, status('three'), lost)
  assert.is(decideFailover(soon, LIMITS, ASKED + ADMISSION_MILLISECONDS).kind, 'none')
  const late = answer(soon, ASKED + ADMISSION_MILLISECONDS + 10, primary, status('three'), lost)
  assert.equal(decideFailover(late, LIMITS, ASKED + ADMISSION_MILLISECONDS + 20), { kind: 'admit', member: 'two', term: 2, position: 10, incarnation: 'second' })
  const behind = answer(soon, ASKED + ADMISSION_MILLISECONDS + 10, primary, status('three'), { ...lost, position: 9 })
  assert.is(decideFailover(behind, LIMITS, ASKED + ADMISSION_MILLISECONDS + 20).kind, 'none')
})

test('its own answer confirms nothing for its admission', () => {
  const lost = status('two', { voting: false, incarnation: 'second' })
  const before = answer(createGroupView('group', 3), ASKED, primary, lost)
  const late = answer(before, ASKED + ADMISSION_MILLISECONDS + 10, primary, lost)
  assert.is(decideFailover(late, LIMITS, ASKED + ADMISSION_MILLISECONDS + 20).kind, 'none')
})

test('a group is formed only with every place there and empty', () => {
  const empty = { adoptedTerm: 0, logTerm: 0, position: 0, appliedTerm: 0, appliedPosition: 0, primaryMember: '', heardMilliseconds: -1, voting: false }
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty)), LIMITS, NOW).kind, 'none')
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty), status('three', empty)), LIMITS, NOW).kind, 'form')
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty), status('three', silent)), LIMITS, NOW).kind, 'none')
})

test('a leaving primary gives way when its transactions are over', () => {
  const leaving = { role: 'primary' as const, leaving: true, openTransactions: 1 }
  const busy = viewOf(status('one', leaving), status('two'), status('three'))
  assert.is(decideFailover(busy, LIMITS, NOW).kind, 'none')
  assert.equal(decideRoute(busy, { kind: 'write' }, new Map(), NOW), { kind: 'none', reason: 'the primary is leaving' })
  const idle = viewOf(status('one', { ...leaving, openTransactions: 0 }), status('two'), status('three'))
  assert.is(decideFailover(idle, LIMITS, NOW).kind, 'hand over')
})

test('a leaving primary without an heir goes on', () => {
  const view = viewOf(status('one', { role: 'primary', leaving: true }), status('two', { voting: false }), status('three'))
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
  assert.is(decideRoute(view, { kind: 'write' }, new Map(), NOW).kind, 'member')
})

test('the furthest log of the newest term is promoted, a leaving one last', () => {
  const far = status('two', { logTerm: 1, position: 99 })
  assert.is(choosePrimary([far, status('three', { position: 3 })], 3)?.member, 'three')
  assert.is(choosePrimary([status('one', { leaving: true, position: 11 }), status('two'), status('three')], 3)?.member, 'two')
  assert.is(choosePrimary([status('one', { leaving: true, position: 11 }), status('two')], 3)?.member, 'one')
  assert.is(choosePrimary([far], 3), undefined)
})

test('a majority is counted of the places that the rules name', () => {
  const view = resizeGroup(viewOf(primary, status('two')), 5)
  assert.is(majorityHolds(view, { term: 2, position: 10 }), false)
})

test.run()
