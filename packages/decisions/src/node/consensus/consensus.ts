/**
 * Raft consensus as a reducer: a state and an event yield the next state and the
 * effects, which the process carries out in order. Besides basic Raft, it
 * implements pre-vote, check-quorum, read-index and learners.
 */

import { receivePreVote, receivePreVoteReply, handleResign, handleTick, receiveVote, receiveVoteReply, scheduleElection } from './election.js'
import { receiveAppend, receiveInstallSnapshot } from './follower.js'
import { entriesFrom, membersAt, termAt } from './log.js'
import { handleMembershipChange } from './membership.js'
import { receiveAppendReply, handleConfirm, receiveInstallSnapshotReply, handlePropose } from './replication.js'
import { DEFAULT_CONSENSUS_LIMITS } from './types.js'
import type { ConsensusEffect, ConsensusEvent, ConsensusLimits, ConsensusMessage, ConsensusState, LogEntry, LogMember, LogSnapshot, Step } from './types.js'

/** State of a member that survives a restart. */
export interface DurableState {
  term: number
  votedFor: string
  snapshot: LogSnapshot
  log: LogEntry[]
}

export const EMPTY_DURABLE_STATE: DurableState = { term: 0, votedFor: '', snapshot: { index: 0, term: 0, members: [], data: '' }, log: [] }

type MessageHandlers = { [Kind in ConsensusMessage['kind']]: (step: Step, from: string, message: Extract<ConsensusMessage, { kind: Kind }>) => void }

const MESSAGE_HANDLERS: MessageHandlers = {
  'pre-vote': receivePreVote,
  'pre-vote reply': receivePreVoteReply,
  vote: receiveVote,
  'vote reply': receiveVoteReply,
  append: receiveAppend,
  'append reply': receiveAppendReply,
  'install snapshot': receiveInstallSnapshot,
  'install snapshot reply': receiveInstallSnapshotReply
}

type EventHandlers = { [Kind in ConsensusEvent['kind']]: (step: Step, event: Extract<ConsensusEvent, { kind: Kind }>) => void }

const EVENT_HANDLERS: EventHandlers = {
  tick: handleTick,
  receive: (step, { from, message }) => {
    const handle = MESSAGE_HANDLERS[message.kind] as (step: Step, from: string, message: ConsensusMessage) => void
    handle(step, from, message)
  },
  resign: handleResign,
  propose: (step, { request, command }) => { handlePropose(step, request, command) },
  confirm: (step, { request }) => { handleConfirm(step, request) },
  'change membership': (step, { request, change }) => { handleMembershipChange(step, request, change) },
  found: (step, { members }) => { foundLog(step, members) },
  compact: (step, { index, data }) => { compactLog(step, index, data) }
}

/** Sets the initial members on the founding member only; the others receive them through the log. */
function foundLog (step: Step, members: LogMember[]): void {
  const { state } = step
  if (state.members.length > 0 || state.log.length > 0 || state.snapshot.index > 0) return
  const snapshot: LogSnapshot = { index: 0, term: 0, members, data: '' }
  Object.assign(state, { snapshot, members, electionDeadline: step.now })
  step.effects.push({ kind: 'persist', snapshot, entries: [] })
}

function compactLog (step: Step, index: number, data: string): void {
  const { state } = step
  if (index <= state.snapshot.index || index > state.appliedIndex) return
  const snapshot: LogSnapshot = { index, term: termAt(state, index) ?? 0, members: [...membersAt(state.snapshot, state.log, index)], data }
  const log = entriesFrom(state, index + 1)
  // Members that are receiving the old snapshot start over with the new one.
  const progress = new Map([...state.progress].map(([identity, peer]) => [identity, { ...peer, snapshotOffset: 0 }]))
  Object.assign(state, { snapshot, log, progress })
  step.effects.push({ kind: 'persist', snapshot, entries: log })
}

/** Creates the state of a member that starts with the given durable state. */
export function startConsensus (self: string, durable: DurableState, now: number, random: () => number, limits: ConsensusLimits = DEFAULT_CONSENSUS_LIMITS): ConsensusState {
  const { term, votedFor, snapshot, log } = durable
  const state: ConsensusState = {
    self,
    limits,
    role: 'follower',
    term,
    votedFor,
    leader: '',
    members: membersAt(snapshot, log),
    snapshot,
    log,
    commitIndex: snapshot.index,
    appliedIndex: snapshot.index,
    electionDeadline: 0,
    lastLeaderContactAt: -Infinity,
    votes: [],
    recentlyStartedVoters: [],
    progress: new Map(),
    nextHeartbeatAt: 0,
    round: 0,
    roundStarts: [],
    votingBlockedUntil: term > 0 ? now + limits.electionTimeoutMilliseconds : -Infinity,
    termStartIndex: 0,
    proposals: [],
    changes: [],
    reads: []
  }
  scheduleElection({ state, effects: [], now, random })
  return state
}

/**
 * Creates the state of a member that takes part again after its disk refused a write. As
 * after a restart, it knows only what is durable; its state machine holds all entries up
 * to `appliedIndex`.
 */
export function resumeConsensus (self: string, durable: DurableState, appliedIndex: number, now: number, random: () => number, limits?: ConsensusLimits): ConsensusState {
  return { ...startConsensus(self, durable, now, random, limits), commitIndex: appliedIndex, appliedIndex }
}

/**
 * Notes who leads, for a member whose disk refuses writes: it handles no message, but can
 * still tell callers where the leader is. The state is not taken over when it resumes.
 */
export function observeLeader (state: ConsensusState, from: string, message: ConsensusMessage): ConsensusState {
  const isFromLeader = message.kind === 'append' || message.kind === 'install snapshot'
  return isFromLeader && message.term >= state.term ? { ...state, term: message.term, leader: from } : state
}

/** Handles one event: returns the next state and the effects to carry out. */
export function stepConsensus (previous: ConsensusState, event: ConsensusEvent, now: number, random: () => number): { state: ConsensusState, effects: ConsensusEffect[] } {
  const step: Step = { state: { ...previous }, effects: [], now, random }
  const handle = EVENT_HANDLERS[event.kind] as (step: Step, event: ConsensusEvent) => void
  handle(step, event)
  return { state: step.state, effects: step.effects }
}

/** Returns the durable state after a persist effect. The log storage also replays its log file with it. */
export function applyPersist (durable: DurableState, { vote, truncateFrom, entries = [], snapshot }: Extract<ConsensusEffect, { kind: 'persist' }>): DurableState {
  const { term, votedFor } = vote ?? durable
  if (snapshot !== undefined) return { term, votedFor, snapshot, log: [...entries] }
  const kept = truncateFrom === undefined ? durable.log : durable.log.filter(({ index }) => index < truncateFrom)
  return { term, votedFor, snapshot: durable.snapshot, log: [...kept, ...entries] }
}
