/** State, events, effects and environment of the control of one group. */

import type { LogPosition } from '../session/position.js'
import type { CommitCopies, CopyRelease, InheritedLog, ServerRun } from './commitCopies.js'
import type { KnownServer } from './directory.js'
import type { DrainDeadlines } from './drains.js'
import type { PrimaryVerdict } from './evidence.js'
import type { PromotionOrders } from './orderedPromotions.js'
import type { Designation } from './state.js'

/** A server's answer to a status request. */
export interface ServerStatus {
  role: 'primary' | 'replica'
  term: number
  /** Log position of the newest record that the server has received. */
  received: LogPosition
}

/** Whether entry instances may send work to the primary. */
export type PrimaryUse =
  | 'open'
  /** Running transactions may end, no new one begins. */
  | 'closing'
  /** Nothing is sent, and answers that still arrive are discarded. */
  | 'closed'

/** The primary of a group as published to entry instances, and whether they may use it. */
export interface PrimaryAssignment {
  group: string
  /** Number of the designation that chose the primary; 0 if there is none yet. */
  designation: number
  /** The primary; undefined if there is none yet. */
  member?: string
  use: PrimaryUse
  /** Log term of the primary; 0 until it is known. */
  term: number
}

export type GroupPhase =
  /** It is not known yet whether the designated server is primary. */
  'unverified'
  /** The primary is in use. */
  | 'serving'
  /** The primary is about to be replaced; its running transactions may end. */
  | 'closing'
  /** The primary is closed; some entry instances may still use it. */
  | 'fenced'
  /** The primary works, but is closed, because its failure domain is drained and no server outside could replace it. */
  | 'drained'
  /** No entry instance uses the primary; candidates are asked for their status. */
  | 'choosing'
  /** The new designation is proposed to the log. */
  | 'designating'
  /** The promotion of the target is requested. */
  | 'promoting'
  /** The promotion was accepted; the target has not reported yet that it is primary. */
  | 'awaiting'

export interface GroupControlState {
  group: string
  phase: GroupPhase
  phaseSince: number
  designation?: Designation
  term: number
  /** Newest log term that any server has reported; the group may have been led in it. */
  newestTerm: number
  /** Promotions that were ordered, as long as their outcome is not known. */
  orders: PromotionOrders
  /** `bornAt` (start time of the process) of the primary when control last verified that it is primary. */
  bornAt?: number
  /** When this instance first noticed that the primary is leaving; undefined if it is not. */
  leavingSince?: number
  /** The server to promote. */
  target?: string
  /** `bornAt` of the target when it was chosen. */
  targetBornAt?: number
  /** Lowest term in which the target leads the group. */
  leadsFrom?: number
  /** Whether the replacement in progress is planned: the primary still works, but is leaving or in a drained failure domain. */
  planned: boolean
  /** The last answer of each server, and when it was asked for. */
  statuses: ReadonlyMap<string, { status: ServerStatus, at: number }>
  statusAskedAt: number
  /** When the last designation or promotion was ordered in this phase. */
  orderedAt: number
  /** Servers that could not be promoted, with the time until which they are excluded from the candidates. */
  excludedUntil: ReadonlyMap<string, number>
  /** Designated servers that were replaced and may not have stepped down yet. */
  formerPrimaries: ReadonlySet<string>
  /** When servers were last asked to step down, and the sequence number of their last announcement then. */
  stepDownAsked: ReadonlyMap<string, { at: number, sequence: number }>
  /** Newest position that each run of a server, by `describeRun`, has reported since the primary's term began; a promotion may roll servers back. */
  seenPositions: ReadonlyMap<string, LogPosition>
  /** The server that was last verified as primary. */
  lastPrimary?: ServerRun
  /** What the primary held when it was promoted, until the log records it. */
  inherited?: InheritedLog
  /** The position of a leaving primary that a successor must have received before the primary is closed. */
  successorTarget?: LogPosition
  /** Since when the open primary is seen to be drained, in groups without synchronous replicas; statuses from before do not show which candidate follows it. */
  drainedSince?: number
  /** Until when a leaving primary stays open, because no successor caught up. */
  plannedRetryAt?: number
  /** Servers that are being taken off the record of commit copies. */
  copyRelease?: CopyRelease
  /** When the record of commit copies was last proposed to the log. */
  copiesRecordedAt?: number
}

export type GroupEvent =
  | { kind: 'tick' }
  /** `askedAt`: when the status was asked for. @default now */
  | { kind: 'status', member: string, status: ServerStatus, askedAt?: number }
  | { kind: 'designated', designation: Designation | undefined, accepted: boolean }
  | { kind: 'promoted', member: string, outcome: PromotionOutcome }

/** Outcome of the call that promotes a server. */
export type PromotionOutcome = 'done' | 'refused' | 'unknown' | 'not sent'

export type GroupEffect =
  | { kind: 'publish' }
  | { kind: 'ask status', member: string }
  /** `leadsFrom`: lowest term in which the server leads the group, unless the designation is the first. */
  | { kind: 'designate', member: string, after: number, leadsFrom?: number }
  | { kind: 'promote', member: string }
  | { kind: 'step down', member: string, term: number }
  | { kind: 'record copies', copies: CommitCopies }

/** Inputs that the process provides at each step. */
export interface GroupEnvironment {
  now: number
  servers: readonly KnownServer[]
  verdict: PrimaryVerdict
  /** Whether every entry instance has confirmed the assignment that was last published, or has lost its lease. */
  assignmentConfirmed: boolean
  /** Whether an entry instance still has work at the closing primary. */
  busy: boolean
  /** When all leases that an earlier leader may have granted have expired. */
  earlierLeasesExpireAt: number
  /** Number of replicas that must have received a commit before it is acknowledged. */
  synchronousReplicas: number
  /** The servers that may hold acknowledged commits, as the log records them; undefined if none are recorded. */
  copies?: CommitCopies
  /** Recorded runs of servers that have ended, by `describeRun`. */
  endedRuns: ReadonlySet<string>
  /** Recorded runs of servers that have announced that they leave, by `describeRun`. */
  leavingRuns: ReadonlySet<string>
  /** When every server that runs has had time to announce itself to this leader. */
  announcedBy: number
  /** How long a server takes work after it has announced that it is leaving, in milliseconds. */
  drainMilliseconds: number
  /** Drained failure domains. @default none */
  drains?: DrainDeadlines
  /** Servers that are cold; among equal candidates another one is promoted. @default none */
  cold?: ReadonlySet<string>
}

/** A step in progress: the state being changed, and the effects so far. */
export interface GroupStep {
  state: GroupControlState
  effects: GroupEffect[]
  environment: GroupEnvironment
}
