/** Leader side of replication: sends the log, commits what a majority holds, and confirms its leadership. */

import { entriesFrom, lastIndex, membersAt, membershipIndex, othersOf, highestReachedByMajority, termAt } from './log.js'
import { becomeFollower, createPeerProgress } from './election.js'
import type { AppendReply, CommandEntry, ConsensusState, InstallSnapshotReply, LogEntry, MembershipEntry, PeerProgress, Step } from './types.js'

/** Number of rounds whose start times are kept; a confirmation by an older one would have expired. */
const MAXIMUM_ROUND_STARTS = 64

type NewEntry = Omit<CommandEntry, 'index' | 'term'> | Omit<MembershipEntry, 'index' | 'term'>

function updateProgress (state: ConsensusState, identity: string, changes: Partial<PeerProgress>): void {
  const current = state.progress.get(identity)
  if (current !== undefined) state.progress = new Map(state.progress).set(identity, { ...current, ...changes })
}

function sendSnapshotPart (step: Step, to: string, { snapshotOffset }: PeerProgress): void {
  const { term, snapshot, limits, round } = step.state
  const { index, term: snapshotTerm, members, data } = snapshot
  const part = data.slice(snapshotOffset, snapshotOffset + limits.maximumPartCharacters)
  step.effects.push({ kind: 'send', to, message: { kind: 'install snapshot', term, index, snapshotTerm, members, offset: snapshotOffset, data: part, total: data.length, round } })
}

function sendEntries (step: Step, to: string): void {
  const { state } = step
  const peer = state.progress.get(to)
  if (peer === undefined) return
  const previousIndex = peer.nextIndex - 1
  const previousTerm = termAt(state, previousIndex)
  if (previousTerm === undefined) return sendSnapshotPart(step, to, peer)
  const entries = entriesFrom(state, peer.nextIndex, state.limits.maximumEntries)
  step.effects.push({ kind: 'send', to, message: { kind: 'append', term: state.term, previousIndex, previousTerm, entries, commitIndex: state.commitIndex, round: state.round } })
  // Assumes that the message arrives: if it is lost, the follower rejects the next one.
  if (entries.length > 0) updateProgress(state, to, { nextIndex: peer.nextIndex + entries.length })
}

/** Starts a new round: sends entries, a snapshot part or a heartbeat to every other member. */
export function broadcast (step: Step): void {
  const { state } = step
  state.round += 1
  state.roundStarts = [...state.roundStarts, { round: state.round, at: step.now }].slice(-MAXIMUM_ROUND_STARTS)
  state.nextHeartbeatAt = step.now + state.limits.heartbeatMilliseconds
  for (const to of othersOf(state)) sendEntries(step, to)
  advanceCommit(step)
}

/** Appends to the leader's log; the entry is persisted before it is sent. */
export function appendEntry (step: Step, newEntry: NewEntry): LogEntry {
  const { state } = step
  const entry: LogEntry = { ...newEntry, index: lastIndex(state) + 1, term: state.term }
  state.log = [...state.log, entry]
  step.effects.push({ kind: 'persist', entries: [entry] })
  if (entry.kind === 'membership') adoptMembership(step)
  broadcast(step)
  return entry
}

function adoptMembership (step: Step): void {
  const { state } = step
  state.members = membersAt(state.snapshot, state.log)
  state.progress = new Map(othersOf(state).map(identity => [identity, state.progress.get(identity) ?? createPeerProgress(step)]))
}

/** Applies committed entries, and answers the requests that waited for them. */
export function applyCommitted (step: Step): void {
  const { state } = step
  for (const entry of entriesFrom(state, state.appliedIndex + 1, state.commitIndex - state.appliedIndex)) {
    const proposal = state.proposals.find(({ index }) => index === entry.index)
    step.effects.push({ kind: 'apply', entry, request: proposal?.request })
    const change = state.changes.find(({ index }) => index === entry.index)
    if (change !== undefined) step.effects.push({ kind: 'answer', request: change.request, answer: 'changed' })
  }
  state.appliedIndex = state.commitIndex
  state.proposals = state.proposals.filter(({ index }) => index > state.commitIndex)
  state.changes = state.changes.filter(({ index }) => index > state.commitIndex)
}

function advanceCommit (step: Step): void {
  const { state } = step
  if (state.role !== 'leader') return
  const majorityIndex = highestReachedByMajority(state, identity => identity === state.self ? lastIndex(state) : state.progress.get(identity)?.matchIndex ?? 0)
  // An entry of an older term may still be replaced, even if a majority holds it.
  if (majorityIndex > state.commitIndex && termAt(state, majorityIndex) === state.term) {
    state.commitIndex = majorityIndex
    applyCommitted(step)
  }
  answerConfirmedReads(step)
  const removed = state.members.every(({ identity }) => identity !== state.self)
  if (removed && membershipIndex(state) <= state.commitIndex) becomeFollower(step, state.term, '')
}

function confirmedRound (state: ConsensusState): number {
  return highestReachedByMajority(state, identity => identity === state.self ? state.round : state.progress.get(identity)?.round ?? 0)
}

/**
 * Start time of the latest round that a majority has answered, in milliseconds;
 * -Infinity if there is none, and until the leader has applied what its predecessors
 * committed: a majority may answer the first round before it holds the log. No other
 * member can lead until an election timeout after it.
 */
export function leadershipConfirmedSince (state: ConsensusState): number {
  if (state.role !== 'leader' || state.appliedIndex < state.termStartIndex) return -Infinity
  const confirmed = confirmedRound(state)
  return state.roundStarts.findLast(({ round }) => round <= confirmed)?.at ?? -Infinity
}

function answerConfirmedReads (step: Step): void {
  const { state } = step
  const confirmed = confirmedRound(state)
  const answered = state.reads.filter(({ round, index }) => round <= confirmed && index <= state.appliedIndex)
  for (const { request } of answered) step.effects.push({ kind: 'answer', request, answer: 'confirmed' })
  if (answered.length > 0) state.reads = state.reads.filter(read => !answered.includes(read))
  if (state.reads.some(({ round }) => round > state.round) && confirmed >= state.round) broadcast(step)
}

/** Confirms leadership by a round that starts after the request; waiting requests share one round. */
export function handleConfirm (step: Step, request: number): void {
  const { state } = step
  if (state.role !== 'leader') {
    step.effects.push({ kind: 'answer', request, answer: 'unconfirmed' })
    return
  }
  state.reads = [...state.reads, { request, round: state.round + 1, index: Math.max(state.commitIndex, state.termStartIndex) }]
  answerConfirmedReads(step)
}

export function handlePropose (step: Step, request: number, command: unknown): void {
  const { state } = step
  if (state.role !== 'leader') {
    step.effects.push({ kind: 'answer', request, answer: 'not leader' })
    return
  }
  state.proposals = [...state.proposals, { request, index: lastIndex(state) + 1 }]
  appendEntry(step, { kind: 'command', command })
}

/** Records a reply and returns true, if this member leads in the term of the reply and knows the sender; steps down on a newer term. */
function recordReply (step: Step, from: string, { term, round }: { term: number, round: number }): boolean {
  const { state } = step
  if (term > state.term) becomeFollower(step, term, '')
  const peer = state.progress.get(from)
  if (state.role !== 'leader' || term !== state.term || peer === undefined) return false
  updateProgress(state, from, { lastReplyAt: step.now, round: Math.max(peer.round, round) })
  return true
}

export function receiveAppendReply (step: Step, from: string, message: AppendReply): void {
  if (!recordReply(step, from, message)) return
  const { state } = step
  const { matchIndex, nextIndex } = state.progress.get(from) as PeerProgress
  const matched = message.success ? Math.max(matchIndex, message.index) : matchIndex
  const next = message.success ? Math.max(nextIndex, matched + 1) : Math.max(matched, message.index) + 1
  updateProgress(state, from, { matchIndex: matched, nextIndex: next, ...(message.success ? { snapshotOffset: 0 } : {}) })
  if (next <= lastIndex(state)) sendEntries(step, from)
  advanceCommit(step)
}

export function receiveInstallSnapshotReply (step: Step, from: string, message: InstallSnapshotReply): void {
  if (!recordReply(step, from, message)) return
  const { state } = step
  const { snapshotOffset } = state.progress.get(from) as PeerProgress
  const received = message.index === state.snapshot.index ? message.received : 0
  updateProgress(state, from, { snapshotOffset: received })
  if (received !== snapshotOffset) sendEntries(step, from)
  advanceCommit(step)
}
