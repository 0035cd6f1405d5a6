/**
 * What the members of the replicated log hold, tell each other, and ask of the
 * process around them.
 */

/** A voter counts for majorities; a learner only receives the log. */
export type LogMemberRole = 'voter' | 'learner'

/** One member; a lost disk gives the same instance another identity. */
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

/** Takes effect as soon as it is in the log; the latest one counts. */
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

/** The state machine after `index`; entries up to there may be dropped. */
export interface LogSnapshot {
  index: number
  term: number
  members: LogMember[]
  /** The state machine's own text; empty for the initial state. */
  data: string
}

export interface PreVote { kind: 'pre-vote', term: number, lastIndex: number, lastTerm: number }
export interface PreVoteReply {
  kind: 'pre-vote reply'
  term: number
  campaignTerm: number
  granted: boolean
  /** True: not granted for the sole reason that the member started too lately to know whom it heard; it does not lead itself. */
  started?: boolean
}
export interface Vote {
  kind: 'vote'
  term: number
  lastIndex: number
  lastTerm: number
  /** True: every voter has said that it does not lead. */
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
  /** Echoed by the reply, so that the leader knows what the reply came after. */
  round: number
}

export interface AppendReply {
  kind: 'append reply'
  term: number
  success: boolean
  /** On success: the log matches the leader's up to here. Else: where to try next. */
  index: number
  round: number
}

/** A part of a snapshot. */
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
  /** Characters held; the next part starts here. */
  received: number
  round: number
}

export type ConsensusMessage = PreVote | PreVoteReply | Vote | VoteReply | Append | AppendReply | InstallSnapshot | InstallSnapshotReply

/** A change of one member. */
export type MembershipChange =
  | { kind: 'add learner', member: Omit<LogMember, 'role'> }
  | { kind: 'promote', identity: string }
  | { kind: 'remove', identity: string }
  /** Another address or name of a known identity. */
  | { kind: 'describe', member: Omit<LogMember, 'role'> }

export type ConsensusEvent =
  | { kind: 'tick' }
  | { kind: 'receive', from: string, message: ConsensusMessage }
  | { kind: 'propose', request: number, command: unknown }
  /** Asks a majority whether this member leads; answered after the call. */
  | { kind: 'confirm', request: number }
  /** Leaves the lead to others, and does not run for it for a while. */
  | { kind: 'resign' }
  | { kind: 'change membership', request: number, change: MembershipChange }
  /** Makes a log of these members, where nothing is held yet. */
  | { kind: 'found', members: LogMember[] }
  /** The state machine's text after `index`. */
  | { kind: 'compact', index: number, data: string }

/** What must be on a synced disk before the effects behind it are carried out. */
export interface PersistEffect {
  kind: 'persist'
  vote?: { term: number, votedFor: string }
  /** Entries from this index on are gone. */
  truncateFrom?: number
  entries?: LogEntry[]
  /** Replaces all entries up to its index; `entries` is then the whole rest of the log. */
  snapshot?: LogSnapshot
}

export type RequestAnswer = 'not leader' | 'unknown' | 'confirmed' | 'unconfirmed' | 'changed' | 'not now' | 'refused'

/** Effects are carried out in order. */
export type ConsensusEffect =
  | PersistEffect
  | { kind: 'send', to: string, message: ConsensusMessage }
  | { kind: 'apply', entry: LogEntry, request?: number }
  /** The state machine starts anew from this text. */
  | { kind: 'restore', data: string }
  | { kind: 'answer', request: number, answer: RequestAnswer }
  | { kind: 'note', note: 'leads' | 'lost its majority' | 'follows' | 'no longer leads', term: number, leader?: string }

export type ConsensusRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader'

/** What a leader knows of another member. */
export interface PeerProgress {
  nextIndex: number
  matchIndex: number
  /** When it last answered in this term. */
  lastReplyAt: number
  /** Latest round that it answered. */
  round: number
  /** Where the next part of a snapshot starts. */
  snapshotOffset: number
}

export interface ConsensusState {
  self: string
  limits: ConsensusLimits
  role: ConsensusRole
  term: number
  /** Empty: no vote in this term. */
  votedFor: string
  /** Empty: not known. */
  leader: string
  /** The latest membership in the log, committed or not. */
  members: readonly LogMember[]
  snapshot: LogSnapshot
  /** Entries behind the snapshot, without gaps. */
  log: readonly LogEntry[]
  commitIndex: number
  appliedIndex: number
  electionDeadline: number
  lastLeaderContactAt: number
  /** Who granted the vote or pre-vote that is under way. */
  votes: readonly string[]
  /** Who would have granted the pre-vote, had it not started lately. */
  recentlyStartedVoters: readonly string[]
  /** Of a leader: the other members. */
  progress: ReadonlyMap<string, PeerProgress>
  nextHeartbeatAt: number
  /** Latest round of heartbeats that a leader sent. */
  round: number
  /** When the latest rounds began; oldest first. */
  roundStarts: ReadonlyArray<{ round: number, at: number }>
  /** No vote is given before: a member that starts again does not know whom it heard. */
  votingBlockedUntil: number
  /** First entry of the leader's own term. */
  termStartIndex: number
  proposals: ReadonlyArray<{ request: number, index: number }>
  changes: ReadonlyArray<{ request: number, index: number }>
  reads: ReadonlyArray<{ request: number, round: number, index: number }>
  /** A snapshot that is arriving in parts. */
  incomingSnapshot?: { index: number, term: number, data: string }
}

export interface ConsensusLimits {
  heartbeatMilliseconds: number
  /** An election timeout is between this and twice this. */
  electionTimeoutMilliseconds: number
  /** Most entries of one message. */
  maximumEntries: number
  /** Most characters of one part of a snapshot. */
  maximumPartCharacters: number
}

export const DEFAULT_CONSENSUS_LIMITS: ConsensusLimits = { heartbeatMilliseconds: 100, electionTimeoutMilliseconds: 600, maximumEntries: 64, maximumPartCharacters: 512 * 1024 }

/** A step under way: the state that it makes, and the effects so far. */
export interface Step {
  state: ConsensusState
  effects: ConsensusEffect[]
  now: number
  /** A number from 0 to 1. */
  random: () => number
}
