/** Elections: pre-vote, vote, and stepping down. */

import { isMajority, isVoter, lastIndex, lastTerm, othersOf, highestReachedByMajority, votersOf } from './log.js'
import { appendEntry, broadcast } from './replication.js'
import type { ConsensusState, PeerProgress, PreVote, PreVoteReply, Step, Vote, VoteReply } from './types.js'

export function resetElectionDeadline (step: Step): void {
  const { electionTimeoutMilliseconds } = step.state.limits
  step.state.electionDeadline = step.now + electionTimeoutMilliseconds * (1 + step.random())
}

/** Length of a startup slot as a fraction of the election timeout; the first pre-vote after a restart waits for at least one slot. */
const STARTUP_SLOT_FRACTION = 0.1
/** Startup slots between the pre-votes of successive voters: enough for a vote and its sync to disk, so that votes are rarely split. */
const STARTUP_SLOTS_PER_VOTER = 2

function isRecentlyStarted ({ state, now }: Step): boolean {
  return now < state.votingBlockedUntil
}

/**
 * Sets the time of the next election. A member that has started lately tries early, in
 * the startup slots of its rank: if all voters have restarted, there is no leader whose
 * lease must expire first. It does so until an election timeout after it votes again, as
 * others started later and refuse votes for longer; a pre-vote disturbs no leader.
 *
 * Load pattern: all members restart after a loss of power, some without their disks. Each
 * of the others is needed for a majority, and two that try at the same moment split it.
 */
export function scheduleElection (step: Step): void {
  const { state, now, random } = step
  if (now >= state.votingBlockedUntil + state.limits.electionTimeoutMilliseconds) return resetElectionDeadline(step)
  const rank = Math.max(0, votersOf(state).sort().indexOf(state.self))
  state.electionDeadline = now + state.limits.electionTimeoutMilliseconds * STARTUP_SLOT_FRACTION * (1 + STARTUP_SLOTS_PER_VOTER * rank + random())
}

/** Answers all pending requests of a member that stops leading; the outcome of its proposals and changes is unknown. */
function answerPendingRequests (step: Step): void {
  const { proposals, changes, reads } = step.state
  for (const { request } of [...proposals, ...changes]) step.effects.push({ kind: 'answer', request, answer: 'unknown' })
  for (const { request } of reads) step.effects.push({ kind: 'answer', request, answer: 'unconfirmed' })
  Object.assign(step.state, { proposals: [], changes: [], reads: [] })
}

/** Follows `leader` (empty if unknown) in `term`; a new term is persisted before any message is sent. */
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
  answerPendingRequests(step)
}

/** Asks the other members whether they would grant a vote, without disrupting an active leader. */
function startPreVote (step: Step): void {
  const { state } = step
  const selfOnly = [state.self]
  Object.assign(state, { role: 'pre-candidate', leader: '', votes: isRecentlyStarted(step) ? [] : selfOnly, recentlyStartedVoters: selfOnly })
  scheduleElection(step)
  if (isMajority(state, state.votes)) return startElection(step, false)
  const message: PreVote = { kind: 'pre-vote', term: state.term + 1, lastIndex: lastIndex(state), lastTerm: lastTerm(state) }
  for (const to of othersOf(state)) step.effects.push({ kind: 'send', to, message })
}

/** Whether every voter has replied that it does not lead and holds no newer log. */
function isUnanimous (state: ConsensusState): boolean {
  return votersOf(state).every(identity => state.votes.includes(identity) || state.recentlyStartedVoters.includes(identity))
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

export function createPeerProgress (step: Step): PeerProgress {
  return { nextIndex: lastIndex(step.state) + 1, matchIndex: 0, lastReplyAt: step.now, round: 0, snapshotOffset: 0 }
}

function becomeLeader (step: Step): void {
  const { state } = step
  const progress = new Map(othersOf(state).map(identity => [identity, createPeerProgress(step)]))
  Object.assign(state, { role: 'leader', leader: state.self, votes: [], progress, round: 0, roundStarts: [], termStartIndex: lastIndex(state) + 1 })
  step.effects.push({ kind: 'note', note: 'leads', term: state.term, leader: state.self })
  // A leader commits entries only once one of its own term is on a majority. The
  // membership as that entry also reaches members that hold none yet.
  appendEntry(step, { kind: 'membership', members: [...state.members] })
}

/** Whether this member leads, or received a message from its leader within the election timeout; such a leader must not be replaced. */
function hasActiveLeader ({ state, now }: Step): boolean {
  if (state.role === 'leader') return true
  return state.leader !== '' && now - state.lastLeaderContactAt < state.limits.electionTimeoutMilliseconds
}

function isUpToDate (step: Step, request: PreVote | Vote): boolean {
  const ownLastTerm = lastTerm(step.state)
  if (request.lastTerm !== ownLastTerm) return request.lastTerm > ownLastTerm
  return request.lastIndex >= lastIndex(step.state)
}

export function receivePreVote (step: Step, from: string, message: PreVote): void {
  const { state } = step
  const wouldGrant = message.term > state.term && !hasActiveLeader(step) && isUpToDate(step, message)
  const recentlyStarted = isRecentlyStarted(step)
  step.effects.push({ kind: 'send', to: from, message: { kind: 'pre-vote reply', term: state.term, campaignTerm: message.term, granted: wouldGrant && !recentlyStarted, started: wouldGrant && recentlyStarted } })
}

export function receivePreVoteReply (step: Step, from: string, message: PreVoteReply): void {
  const { state } = step
  if (message.term > state.term) return becomeFollower(step, message.term, '')
  if (state.role !== 'pre-candidate' || message.campaignTerm !== state.term + 1) return
  if (message.granted) state.votes = [...new Set([...state.votes, from])]
  if (message.started === true) state.recentlyStartedVoters = [...new Set([...state.recentlyStartedVoters, from])]
  if (isUnanimous(state)) return startElection(step, true)
  if (isMajority(state, state.votes)) startElection(step, false)
}

export function receiveVote (step: Step, from: string, message: Vote): void {
  const { state } = step
  const ignored = hasActiveLeader(step) || (isRecentlyStarted(step) && message.unanimous !== true)
  if (message.term > state.term && ignored) return
  if (message.term > state.term) becomeFollower(step, message.term, '')
  const voteAvailable = state.votedFor === '' || state.votedFor === from
  const granted = message.term === state.term && state.role !== 'leader' && voteAvailable && isUpToDate(step, message)
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

/** Number of election timeouts for which a member that resigned starts no election. */
const RESIGN_BACKOFF_TIMEOUTS = 6

/** Gives up leadership, because another member may reach a service that this one can't. */
export function handleResign (step: Step): void {
  const { state } = step
  if (state.role !== 'leader') return
  becomeFollower(step, state.term, '')
  state.electionDeadline = step.now + RESIGN_BACKOFF_TIMEOUTS * state.limits.electionTimeoutMilliseconds
}

function checkQuorum (step: Step): void {
  const { state, now } = step
  const quorumReplyAt = highestReachedByMajority(state, identity => identity === state.self ? now : state.progress.get(identity)?.lastReplyAt ?? -Infinity)
  if (now - quorumReplyAt < state.limits.electionTimeoutMilliseconds) return
  step.effects.push({ kind: 'note', note: 'lost its majority', term: state.term })
  becomeFollower(step, state.term, '')
}

export function handleTick (step: Step): void {
  const { state, now } = step
  if (state.role === 'leader') checkQuorum(step)
  if (state.role === 'leader' && now >= state.nextHeartbeatAt) return broadcast(step)
  if (state.role === 'leader' || now < state.electionDeadline) return
  if (isVoter(state)) return startPreVote(step)
  state.leader = ''
  resetElectionDeadline(step)
}
