/**
 * Types of the replicated log: the state of a member, the messages between
 * members, and the effects that the surrounding process carries out.
 */

/** A voter counts towards majorities; a learner only receives the log. */
export type LogMemberRole = 'voter' | 'learner'

/** A member of the log. An instance that loses its disk returns under a new identity. */
export interface LogMember {
  /** Random, kept in the data folder. */
  identity: string
  /** Name of the instance in its settings. */
  name: string
  failureDomain: string
  host: string
  port: number
  role: LogMemberRole
}

interface EntryBase {
  index: number
  term: number
}

/** All members from this entry on. The latest membership in the log applies, even before it is committed. */
export interface MembershipEntry extends EntryBase {
  kind: 'membership'
  members: LogMember[]
}

/** A command for the state machine, as a JSON value. */
export interface CommandEntry extends EntryBase {
  kind: 'command'
  command: unknown
}

export type LogEntry = MembershipEntry | CommandEntry

/** The state after applying the entry at `index`; entries up to that index may be dropped. */
export interface LogSnapshot {
  index: number
  term: number
  members: LogMember[]
  /** Serialized state of the state machine; empty for the initial state. */
  data: string
}

export interface PreVote { kind: 'pre-vote', term: number, lastIndex: number, lastTerm: number }
export interface PreVoteReply {
  kind: 'pre-vote reply'
  term: number
  campaignTerm: number
  granted: boolean
  /** True if the member would grant the pre-vote, but started too recently to know whether a leader is active. It does not lead itself. */
  started?: boolean
}
export interface Vote {
  kind: 'vote'
  term: number
  lastIndex: number
  lastTerm: number
  /** True if every voter has replied that it does not lead, so that recently started voters may grant the vote. */
  unanimous?: boolean
}
export interface VoteReply { kind: 'vote reply', term: number, granted: boolean }

export interface Append {
  kind: 'append'
  term: number
  previousIndex: number
  previousTerm: number
  entries: LogEntry[]
  commitIndex: number
  /** Round in which the message was sent. The reply repeats it, so that the leader knows which round was answered. */
  round: number
}

export interface AppendReply {
  kind: 'append reply'
  term: number
  success: boolean
  /** On success, the index up to which the log matches the leader's; otherwise, the index after which the leader tries next. */
  index: number
  round: number
}

/** One part of a snapshot; `offset` and `total` count the characters of its data. */
export interface InstallSnapshot {
  kind: 'install snapshot'
  term: number
  index: number
  snapshotTerm: number
  members: LogMember[]
  offset: number
  data: string
  total: number
  round: number
}

export interface InstallSnapshotReply {
  kind: 'install snapshot reply'
  term: number
  index: number
  /** Number of characters received so far; the next part starts at this offset. */
  received: number
  round: number
}

export type ConsensusMessage = PreVote | PreVoteReply | Vote | VoteReply | Append | AppendReply | InstallSnapshot | InstallSnapshotReply

/** A change of a single member. */
export type MembershipChange =
  | { kind: 'add learner', member: Omit<LogMember, 'role'> }
  | { kind: 'promote', identity: string }
  | { kind: 'remove', identity: string }
  /** Updates the address, name or failure domain of a known identity. */
  | { kind: 'describe', member: Omit<LogMember, 'role'> }

export type ConsensusEvent =
  | { kind: 'tick' }
  | { kind: 'receive', from: string, message: ConsensusMessage }
  | { kind: 'propose', request: number, command: unknown }
  /** Verifies that this member still leads, by a round that starts after the request. */
  | { kind: 'confirm', request: number }
  /** Gives up leadership, and starts no election for a while. */
  | { kind: 'resign' }
  | { kind: 'change membership', request: number, change: MembershipChange }
  /** Creates the log with these members, unless this member already holds one. */
  | { kind: 'found', members: LogMember[] }
  /** Replaces the entries up to `index` by a snapshot with this serialized state. */
  | { kind: 'compact', index: number, data: string }

/** Data that must be synced to disk before the effects after it are carried out. */
export interface PersistEffect {
  kind: 'persist'
  vote?: { term: number, votedFor: string }
  /** Index from which on entries are deleted. */
  truncateFrom?: number
  entries?: LogEntry[]
  /** Replaces all entries up to its index; `entries` then holds all later ones. */
  snapshot?: LogSnapshot
}

export type RequestAnswer = 'not leader' | 'unknown' | 'confirmed' | 'unconfirmed' | 'changed' | 'not now' | 'refused'

/** Effects are carried out in order. */
export type ConsensusEffect =
  | PersistEffect
  | { kind: 'send', to: string, message: ConsensusMessage }
  | { kind: 'apply', entry: LogEntry, request?: number }
  /** Replaces the state machine's state by this serialized state, which holds all entries up to the index. */
  | { kind: 'restore', index: number, data: string }
  | { kind: 'answer', request: number, answer: RequestAnswer }
  /** Reports a change of leadership, for the process to log. */
  | { kind: 'note', note: 'leads' | 'lost its majority' | 'follows' | 'no longer leads', term: number, leader?: string }

export type ConsensusRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

/** Replication progress of another member, as the leader tracks it. */
export interface PeerProgress {
  nextIndex: number
  matchIndex: number
  /** Time of the last reply in this term, in milliseconds; at first, the time when tracking began. */
  lastReplyAt: number
  /** Latest round that the member answered. */
  round: number
  /** Offset of the next snapshot part, in characters. */
  snapshotOffset: number
}

export interface ConsensusState {
  self: string
  limits: ConsensusLimits
  role: ConsensusRole
  term: number
  /** Identity that got the vote in this term; empty if none did. */
  votedFor: string
  /** Identity of the leader; empty if unknown. */
  leader: string
  /** The latest membership in the log, committed or not. */
  members: readonly LogMember[]
  snapshot: LogSnapshot
  /** Entries after the snapshot, without gaps. */
  log: readonly LogEntry[]
  commitIndex: number
  appliedIndex: number
  electionDeadline: number
  lastLeaderContactAt: number
  /** Identities that granted the current vote or pre-vote. */
  votes: readonly string[]
  /** Identities that withheld the pre-vote only because they started recently, and this member itself. */
  recentlyStartedVoters: readonly string[]
  /** Progress of the other members; empty unless this member leads. */
  progress: ReadonlyMap<string, PeerProgress>
  nextHeartbeatAt: number
  /** Latest round of messages that this leader sent to all members. */
  round: number
  /** Start times of the latest rounds in milliseconds, oldest first. */
  roundStarts: ReadonlyArray<{ round: number, at: number }>
  /** Time before which a restarted member grants no vote, because it can't know whether a leader is active; unanimous elections are exempt. */
  votingBlockedUntil: number
  /** Index of the first entry of the leader's own term. */
  termStartIndex: number
  /** Proposed commands that are not committed yet, with the index of their entries. */
  proposals: ReadonlyArray<{ request: number, index: number }>
  /** Membership changes that are not committed yet, with the index of their entries. */
  changes: ReadonlyArray<{ request: number, index: number }>
  /** Unanswered `confirm` requests; each is confirmed once a majority has answered the round and the entry at the index is applied. */
  reads: ReadonlyArray<{ request: number, round: number, index: number }>
  /** Snapshot that is being received in parts. */
  incomingSnapshot?: { index: number, term: number, data: string }
}

export interface ConsensusLimits {
  heartbeatMilliseconds: number
  /** Minimum election timeout; each one is chosen at random between this and twice this. */
  electionTimeoutMilliseconds: number
  /** Maximum number of entries in one message. */
  maximumEntries: number
  /** Maximum size of one snapshot part. */
  maximumPartCharacters: number
}

export const DEFAULT_CONSENSUS_LIMITS: ConsensusLimits = { heartbeatMilliseconds: 100, electionTimeoutMilliseconds: 600, maximumEntries: 64, maximumPartCharacters: 512 * 1024 }

/** A step in progress: the next state, and the effects so far. */
export interface Step {
  state: ConsensusState
  effects: ConsensusEffect[]
  now: number
  /** Returns a random number from 0 to 1. */
  random: () => number
}
