import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ADMISSION_DELAY_MILLISECONDS, choosePrimary, decideFailover } from '../failover.js'
import { decideRoute } from '../route.js'
import { createGroupView, hasVote, majorityHolds, recordStatus, recordUnreachable, resizeGroup } from '../view.js'
import type { FailoverLimits } from '../failover.js'
import type { GroupView, MemberStatus } from '../view.js'

const LIMITS: FailoverLimits = { silenceMilliseconds: 500, answerMilliseconds: 1_000 }
/** When the members are asked, and a time shortly after it, in milliseconds. */
const ASKED = 10_000
const NOW = ASKED + 10

function status (member: string, changes: Partial<MemberStatus> = {}): MemberStatus {
  return { member, role: 'replica', adoptedTerm: 2, logTerm: 2, position: 10, appliedTerm: 2, appliedPosition: 10, primaryMember: 'one', heardMilliseconds: 0, primaryRefused: false, voting: true, incarnation: 'first', leaving: false, openTransactions: 0, ...changes }
}

function recordAnswers (view: GroupView, at: number, ...statuses: MemberStatus[]): GroupView {
  return statuses.reduce((next, memberStatus) => recordStatus(next, memberStatus, at, at + 1), view)
}

function viewOf (...statuses: MemberStatus[]): GroupView {
  return recordAnswers(createGroupView('group', 3), ASKED, ...statuses)
}

const primary = status('one', { role: 'primary' })
const lostContact = { heardMilliseconds: 500 }

test('a primary is promoted when a majority has no contact with the old one', () => {
  const view = recordUnreachable(viewOf(primary, status('two', lostContact), status('three', lostContact)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'promote')
})

test('one replica without contact to the primary causes no promotion', () => {
  const view = recordUnreachable(viewOf(primary, status('two', lostContact), status('three')), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
})

test('refused connections cause a promotion at once, unless that is disabled', () => {
  const refused = { primaryRefused: true, heardMilliseconds: 30 }
  const view = recordUnreachable(viewOf(primary, status('two', refused), status('three', refused)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'promote')
  assert.is(decideFailover(view, { ...LIMITS, countsRefusalAsFailure: false }, NOW).kind, 'none')
})

test('an instance cut off from a working primary orders no promotion', () => {
  const view = viewOf(status('two', { heardMilliseconds: 40 }), status('three', { heardMilliseconds: 40 }))
  assert.is(decideFailover(view, LIMITS, NOW + 900).kind, 'none')
})

test('a term without a primary after its coordinator died leads to a promotion', () => {
  const view = viewOf(primary, status('two', { adoptedTerm: 3, primaryMember: '' }), status('three'))
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
  assert.is(decideFailover(view, LIMITS, NOW + 500).kind, 'promote')
})

test('replicas that restart while their primary is cut off get a new primary', () => {
  const withoutPrimary = { primaryMember: '', heardMilliseconds: -1 }
  const first = viewOf(primary, status('two', withoutPrimary), status('three', withoutPrimary))
  assert.is(decideFailover(first, LIMITS, NOW).kind, 'repair')
  const later = recordAnswers(first, ASKED + 1_600, primary, status('two', withoutPrimary), status('three', withoutPrimary))
  assert.is(decideFailover(later, LIMITS, ASKED + 1_610).kind, 'promote')
})

test('a member without a vote counts neither for a commit nor for a promotion', () => {
  const empty = status('two', { voting: false, logTerm: 2, position: 10 })
  assert.is(majorityHolds(viewOf(primary, empty), { term: 2, position: 10 }), false)
  const view = recordUnreachable(viewOf(primary, { ...empty, ...lostContact }, status('three', lostContact)), 'one')
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
})

test('a server that restarts with an older disk has no vote until it has caught up', () => {
  const view = viewOf(primary, status('two'))
  const older = recordAnswers(view, ASKED + 1, status('two', { incarnation: 'second', position: 7 }))
  assert.is(hasVote(older.members.get('two')!), false)
  assert.is(majorityHolds(older, { term: 2, position: 7 }), false)
  const again = recordAnswers(older, ASKED + 2, status('two', { incarnation: 'second', position: 10 }))
  assert.is(hasVote(again.members.get('two')!), true)
})

test('a member that restarts without loss keeps its vote', () => {
  const view = recordAnswers(viewOf(primary, status('two')), ASKED + 1, status('two', { incarnation: 'second', position: 12 }))
  assert.is(hasVote(view.members.get('two')!), true)
})

test('a member whose log the new primary truncates keeps its vote', () => {
  const view = recordAnswers(viewOf(status('two', { position: 12 })), ASKED + 1, status('two', { adoptedTerm: 3, position: 10 }))
  assert.is(hasVote(view.members.get('two')!), true)
})

test('a member that lost its state is admitted once the others have confirmed a later position', () => {
  const withoutState = status('two', { voting: false, incarnation: 'second' })
  const before = recordAnswers(createGroupView('group', 3), ASKED, primary, status('three'), withoutState)
  assert.is(decideFailover(before, LIMITS, NOW).kind, 'none')
  const soon = recordAnswers(before, ASKED + ADMISSION_DELAY_MILLISECONDS - 10, primary, status('three'), withoutState)
  assert.is(decideFailover(soon, LIMITS, ASKED + ADMISSION_DELAY_MILLISECONDS).kind, 'none')
  const late = recordAnswers(soon, ASKED + ADMISSION_DELAY_MILLISECONDS + 10, primary, status('three'), withoutState)
  assert.equal(decideFailover(late, LIMITS, ASKED + ADMISSION_DELAY_MILLISECONDS + 20), { kind: 'admit', member: 'two', term: 2, position: 10, incarnation: 'second' })
  const behind = recordAnswers(soon, ASKED + ADMISSION_DELAY_MILLISECONDS + 10, primary, status('three'), { ...withoutState, position: 9 })
  assert.is(decideFailover(behind, LIMITS, ASKED + ADMISSION_DELAY_MILLISECONDS + 20).kind, 'none')
})

test('a member\'s own answer does not confirm its admission', () => {
  const withoutState = status('two', { voting: false, incarnation: 'second' })
  const before = recordAnswers(createGroupView('group', 3), ASKED, primary, withoutState)
  const late = recordAnswers(before, ASKED + ADMISSION_DELAY_MILLISECONDS + 10, primary, withoutState)
  assert.is(decideFailover(late, LIMITS, ASKED + ADMISSION_DELAY_MILLISECONDS + 20).kind, 'none')
})

test('a group is formed only when all members answer and are empty', () => {
  const empty = { adoptedTerm: 0, logTerm: 0, position: 0, appliedTerm: 0, appliedPosition: 0, primaryMember: '', heardMilliseconds: -1, voting: false }
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty)), LIMITS, NOW).kind, 'none')
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty), status('three', empty)), LIMITS, NOW).kind, 'form')
  assert.is(decideFailover(viewOf(status('one', empty), status('two', empty), status('three', lostContact)), LIMITS, NOW).kind, 'none')
})

test('a leaving primary is replaced when its transactions have ended', () => {
  const leaving = { role: 'primary' as const, leaving: true, openTransactions: 1 }
  const busy = viewOf(status('one', leaving), status('two'), status('three'))
  assert.is(decideFailover(busy, LIMITS, NOW).kind, 'none')
  assert.equal(decideRoute(busy, { kind: 'write' }, new Map(), NOW), { kind: 'none', reason: 'the primary is leaving' })
  const idle = viewOf(status('one', { ...leaving, openTransactions: 0 }), status('two'), status('three'))
  assert.is(decideFailover(idle, LIMITS, NOW).kind, 'hand over')
})

test('a leaving primary without enough successors stays primary', () => {
  const view = viewOf(status('one', { role: 'primary', leaving: true }), status('two', { voting: false }), status('three'))
  assert.is(decideFailover(view, LIMITS, NOW).kind, 'none')
  assert.is(decideRoute(view, { kind: 'write' }, new Map(), NOW).kind, 'member')
})

test('the member with the latest log position is promoted, a leaving one only if needed', () => {
  const olderTerm = status('two', { logTerm: 1, position: 99 })
  assert.is(choosePrimary([olderTerm, status('three', { position: 3 })], 3)?.member, 'three')
  assert.is(choosePrimary([status('one', { leaving: true, position: 11 }), status('two'), status('three')], 3)?.member, 'two')
  assert.is(choosePrimary([status('one', { leaving: true, position: 11 }), status('two')], 3)?.member, 'one')
  assert.is(choosePrimary([olderTerm], 3), undefined)
})

test('a majority is counted of the configured number of members', () => {
  const view = resizeGroup(viewOf(primary, status('two')), 5)
  assert.is(majorityHolds(view, { term: 2, position: 10 }), false)
})

test.run()
