import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_DURABLE_STATE, startConsensus, stepConsensus } from '../consensus.js'
import { planMembershipChange } from '../repair.js'
import { leadershipConfirmedSince } from '../replication.js'
import { LIMITS, member } from './network.js'
import type { ConsensusEvent, ConsensusState, LogMember, PeerProgress } from '../types.js'

const AUTOMATIC = { automatic: true, voters: 3 }
const NOW = 100_000

function voter (identity: string): LogMember {
  return { ...member(identity), role: 'voter' }
}

/** A leader whose members last replied the given time ago. */
function createLeader (members: LogMember[], silenceMilliseconds: Record<string, number>): ConsensusState {
  const state = startConsensus('a', EMPTY_DURABLE_STATE, NOW, () => 0, LIMITS)
  const progress = new Map(Object.entries(silenceMilliseconds).map(([identity, silence]): [string, PeerProgress] => [identity, { nextIndex: 1, matchIndex: 0, lastReplyAt: NOW - silence, round: 0, snapshotOffset: 0 }]))
  return { ...state, role: 'leader', members, progress }
}

test('an instance with a new name joins automatically, as a learner', () => {
  const state = createLeader([voter('a'), voter('b'), voter('c')], { b: 10, c: 10 })
  assert.equal(planMembershipChange(state, [member('d')], NOW, AUTOMATIC), { kind: 'add learner', member: member('d') })
  assert.is(planMembershipChange(state, [member('d')], NOW), undefined)
})

test('a learner is not promoted while all voters reply', () => {
  const state = createLeader([voter('a'), voter('b'), voter('c'), { ...member('d'), role: 'learner' }], { b: 10, c: 10, d: 10 })
  assert.is(planMembershipChange(state, [], NOW, AUTOMATIC), undefined)
})

test('a silent voter is replaced by a learner that holds the log', () => {
  const members: LogMember[] = [voter('a'), voter('b'), voter('c'), { ...member('d'), role: 'learner' }]
  assert.is(planMembershipChange(createLeader(members, { b: 10, c: 2_000, d: 10 }), [], NOW, AUTOMATIC), undefined)
  assert.equal(planMembershipChange(createLeader(members, { b: 10, c: 4_000, d: 10 }), [], NOW, AUTOMATIC), { kind: 'remove', identity: 'c' })
  const remaining = members.filter(({ identity }) => identity !== 'c')
  assert.equal(planMembershipChange(createLeader(remaining, { b: 10, d: 10 }), [], NOW, AUTOMATIC), { kind: 'promote', identity: 'd' })
})

test('a silent voter is not removed while no learner can replace it', () => {
  assert.is(planMembershipChange(createLeader([voter('a'), voter('b'), voter('c')], { b: 10, c: 60_000 }), [], NOW, AUTOMATIC), undefined)
})

test('a learner that stays silent is removed', () => {
  const members: LogMember[] = [voter('a'), voter('b'), voter('c'), { ...member('d'), role: 'learner' }]
  assert.equal(planMembershipChange(createLeader(members, { b: 10, c: 10, d: 20_000 }), [], NOW, AUTOMATIC), { kind: 'remove', identity: 'd' })
})

/** Applies events at one point in time. */
function step (state: ConsensusState, now: number, ...events: ConsensusEvent[]) {
  let current = state
  const effects = events.flatMap(event => {
    const next = stepConsensus(current, event, now, () => 0)
    current = next.state
    return next.effects
  })
  return { state: current, effects }
}

test('a member that has just started grants no vote', () => {
  const started = startConsensus('b', { ...EMPTY_DURABLE_STATE, term: 3, snapshot: { index: 0, term: 0, members: [voter('a'), voter('b'), voter('c')], data: '' } }, NOW, () => 0, LIMITS)
  const vote: ConsensusEvent = { kind: 'receive', from: 'a', message: { kind: 'vote', term: 4, lastIndex: 0, lastTerm: 0 } }
  assert.equal(step(started, NOW + 10, vote).effects, [])
  const later = step(started, NOW + LIMITS.electionTimeoutMilliseconds + 10, vote)
  assert.ok(later.effects.some(effect => effect.kind === 'send' && effect.message.kind === 'vote reply' && effect.message.granted))
})

test('leadership is confirmed since the start of the round that a majority answered', () => {
  const founded = step(startConsensus('a', EMPTY_DURABLE_STATE, NOW, () => 0, LIMITS), NOW, { kind: 'found', members: [voter('a'), voter('b'), voter('c')] }, { kind: 'tick' })
  const elected = step(founded.state, NOW + 5, { kind: 'receive', from: 'b', message: { kind: 'pre-vote reply', term: 0, campaignTerm: 1, granted: true } }, { kind: 'receive', from: 'b', message: { kind: 'vote reply', term: 1, granted: true } })
  assert.is(elected.state.role, 'leader')
  assert.is(leadershipConfirmedSince(elected.state), -Infinity)
  const { round } = elected.state
  const confirmed = step(elected.state, NOW + 80, { kind: 'receive', from: 'b', message: { kind: 'append reply', term: 1, success: true, index: 1, round } })
  assert.is(leadershipConfirmedSince(confirmed.state), NOW + 5)
})

test('a leader that resigns does not start an election at once', () => {
  const state = { ...createLeader([voter('a'), voter('b'), voter('c')], { b: 10, c: 10 }), term: 4 }
  const resigned = step(state, NOW, { kind: 'resign' })
  assert.is(resigned.state.role, 'follower')
  const waiting = step(resigned.state, NOW + 3 * LIMITS.electionTimeoutMilliseconds, { kind: 'tick' })
  assert.is(waiting.state.role, 'follower')
})

test.run()
