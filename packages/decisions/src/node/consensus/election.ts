/** Elections: pre-vote, vote, and when a member stops leading. */

import { isMajority, isVoter, lastIndex, lastTerm, othersOf, reachedByMajority, votersOf } from './log.js'
import { appendEntry, broadcast } from './replication.js'
import type { ConsensusState, PeerProgress, PreVote, PreVoteReply, Step, Vote, VoteReply } from './types.js'

export function resetElectionDeadline (step: Step): void {
  const { electionMilliseconds } = step.state.limits
  step.state.electionDeadline = step.now + electionMilliseconds * (1 + step.random())
}

/** Part of the election timeout after which the first member that started lately asks whether all have. */
const STARTED_PART = 0.1
/** Such parts between one voter's turn and the next one's: a vote and its sync, so that votes are rarely split. */
const TURN_PARTS = 2

function isStarting ({ state, now }: Step): boolean {
  return now < state.quietUntil
}

/**
 * One that starts with a log asks soon: where all have started again, nobody leads
 * and nobody's promise has to be waited out.
 */
export function scheduleElection (step: Step): void {
  if (!isStarting(step)) return resetElectionDeadline(step)
  const { state, now, random } = step
  const turn = Math.max(0, votersOf(state).sort().indexOf(state.self))
  state.electionDeadline = now + state.limits.electionMilliseconds * STARTED_PART * (1 + TURN_PARTS * turn + random())
}

/** Answers all that waits for this member as leader: nobody can tell what becomes of it. */
function releaseRequests (step: Step): void {
  const { proposals, changes, reads } = step.state
  for (const { request } of [...proposals, ...changes]) step.effects.push({ kind: 'answer', request, answer: 'unknown' })
  for (const { request } of reads) step.effects.push({ kind: 'answer', request, answer: 'unconfirmed' })
  Object.assign(step.state, { proposals: [], changes: [], reads: [] })
}

/** Follows `leader` (empty: not known) in `term`; a new term is on disk before anything else happens. */
export function becomeFollower (step: Step, term: number, leader: string): void {
  const { state } = step
  if (state.role === 'leader') {
    step.effects.push({ kind: 'note', note: 'no longer leads', term: state.term })
    resetElectionDeadline(step)
  }
  if (term > state.term) {
    Object.assign(state, { term, votedFor: '' })
    step.effects.push({ kind: 'persist', vote: { term, votedFor: '' } })
  }
  if (leader !== '' && state.leader !== leader) step.effects.push({ kind: 'note', note: 'follows', term, leader })
  Object.assign(state, { role: 'follower', leader, votes: [], progress: new Map() })
  releaseRequests(step)
}

/** Asks whether an election could be won, without disturbing a leader that others hear. */
function startPreVote (step: Step): void {
  const { state } = step
  const own = [state.self]
  Object.assign(state, { role: 'pre-candidate', leader: '', votes: isStarting(step) ? [] : own, startedVotes: own })
  scheduleElection(step)
  if (isMajority(state, state.votes)) return startElection(step, false)
  const message: PreVote = { kind: 'pre-vote', term: state.term + 1, lastIndex: lastIndex(state), lastTerm: lastTerm(state) }
  for (const to of othersOf(state)) step.effects.push({ kind: 'send', to, message })
}

/** Whether every voter has said that it does not lead, and knows nothing newer. */
function isUnanimous (state: ConsensusState): boolean {
  return votersOf(state).every(identity => state.votes.includes(identity) || state.startedVotes.includes(identity))
}

function startElection (step: Step, unanimous: boolean): void {
  const { state } = step
  Object.assign(state, { role: 'candidate', term: state.term + 1, votedFor: state.self, leader: '', votes: [state.self] })
  scheduleElection(step)
  step.effects.push({ kind: 'persist', vote: { term: state.term, votedFor: state.self } })
  if (isMajority(state, state.votes)) return becomeLeader(step)
  const message: Vote = { kind: 'vote', term: state.term, lastIndex: lastIndex(state), lastTerm: lastTerm(state), unanimous }
  for (const to of othersOf(state)) step.effects.push({ kind: 'send', to, message })
}

export function initialProgress (step: Step): PeerProgress {
  return { nextIndex: lastIndex(step.state) + 1, matchIndex: 0, heardAt: step.now, round: 0, snapshotOffset: 0 }
}

function becomeLeader (step: Step): void {
  const { state } = step
  const progress = new Map(othersOf(state).map(identity => [identity, initialProgress(step)]))
  Object.assign(state, { role: 'leader', leader: state.self, votes: [], progress, round: 0, roundTimes: [], termStartIndex: lastIndex(state) + 1 })
  step.effects.push({ kind: 'note', note: 'leads', term: state.term, leader: state.self })
  // Only an entry of the own term may be counted for a commit; restating the
  // membership as that entry also tells it to members that hold none yet.
  appendEntry(step, { kind: 'membership', members: [...state.members] })
}

/** A leader that others hear is not to be replaced. */
function hearsLeader ({ state, now }: Step): boolean {
  if (state.role === 'leader') return true
  return state.leader !== '' && now - state.heardLeaderAt < state.limits.electionMilliseconds
}

function isUpToDate (step: Step, request: PreVote | Vote): boolean {
  const own = lastTerm(step.state)
  if (request.lastTerm !== own) return request.lastTerm > own
  return request.lastIndex >= lastIndex(step.state)
}

export function receivePreVote (step: Step, from: string, message: PreVote): void {
  const { state } = step
  const agrees = message.term > state.term && !hearsLeader(step) && isUpToDate(step, message)
  const started = isStarting(step)
  step.effects.push({ kind: 'send', to: from, message: { kind: 'pre-vote reply', term: state.term, campaignTerm: message.term, granted: agrees && !started, started: agrees && started } })
}

export function receivePreVoteReply (step: Step, from: string, message: PreVoteReply): void {
  const { state } = step
  if (message.term > state.term) return becomeFollower(step, message.term, '')
  if (state.role !== 'pre-candidate' || message.campaignTerm !== state.term + 1) return
  if (message.granted) state.votes = [...new Set([...state.votes, from])]
  if (message.started === true) state.startedVotes = [...new Set([...state.startedVotes, from])]
  if (isUnanimous(state)) return startElection(step, true)
  if (isMajority(state, state.votes)) startElection(step, false)
}

export function receiveVote (step: Step, from: string, message: Vote): void {
  const { state } = step
  const waits = hearsLeader(step) || (isStarting(step) && message.unanimous !== true)
  if (message.term > state.term && waits) return
  if (message.term > state.term) becomeFollower(step, message.term, '')
  const free = state.votedFor === '' || state.votedFor === from
  const granted = message.term === state.term && state.role !== 'leader' && free && isUpToDate(step, message)
  if (granted && state.votedFor === '') {
    state.votedFor = from
    step.effects.push({ kind: 'persist', vote: { term: state.term, votedFor: from } })
  }
  if (granted) resetElectionDeadline(step)
  step.effects.push({ kind: 'send', to: from, message: { kind: 'vote reply', term: state.term, granted } })
}

export function receiveVoteReply (step: Step, from: string, message: VoteReply): void {
  const { state } = step
  if (message.term > state.term) return becomeFollower(step, message.term, '')
  if (state.role !== 'candidate' || message.term !== state.term || !message.granted) return
  state.votes = [...new Set([...state.votes, from])]
  if (isMajority(state, state.votes)) becomeLeader(step)
}

/** Election timeouts that a member which resigned leaves to others. */
const RESIGNED_TIMEOUTS = 6

/** Leaves the lead: another member may reach what this one can't. */
export function receiveResign (step: Step): void {
  const { state } = step
  if (state.role !== 'leader') return
  becomeFollower(step, state.term, '')
  state.electionDeadline = step.now + RESIGNED_TIMEOUTS * state.limits.electionMilliseconds
}

function checkQuorum (step: Step): void {
  const { state, now } = step
  const heardAt = reachedByMajority(state, identity => identity === state.self ? now : state.progress.get(identity)?.heardAt ?? -Infinity)
  if (now - heardAt < state.limits.electionMilliseconds) return
  step.effects.push({ kind: 'note', note: 'lost its majority', term: state.term })
  becomeFollower(step, state.term, '')
}

export function receiveTick (step: Step): void {
  const { state, now } = step
  if (state.role === 'leader') checkQuorum(step)
  if (state.role === 'leader' && now >= state.heartbeatAt) return broadcast(step)
  if (state.role === 'leader' || now < state.electionDeadline) return
  if (isVoter(state)) return startPreVote(step)
  state.leader = ''
  resetElectionDeadline(step)
}
