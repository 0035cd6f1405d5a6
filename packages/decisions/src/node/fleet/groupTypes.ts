/** What the control of one group knows, is told, and asks of the process around it. */

import type { LogPosition } from '../session/position.js'
import type { KnownServer } from './directory.js'
import type { PrimaryVerdict } from './evidence.js'
import type { Designation } from './state.js'

/** What a server answers when it is asked for its state. */
export interface ServerStatus {
  role: 'primary' | 'replica'
  term: number
  /** Newest record that it has received. */
  received: LogPosition
}

/** Whether entry instances may send work to the primary. */
export type PrimaryUse =
  | 'open'
  /** Running transactions end, no new one begins. */
  | 'closing'
  /** Nothing is sent, and no answer counts any more. */
  | 'closed'

/** What entry instances are told of a group. */
export interface PrimaryAssignment {
  group: string
  /** Number of the designation; 0: none yet. */
  designation: number
  /** The primary; undefined: none is known. */
  member?: string
  use: PrimaryUse
  /** The primary's log term, once it is known. */
  term: number
}

export type GroupPhase = 'unverified' | 'serving' | 'closing' | 'fenced' | 'choosing' | 'designating' | 'promoting' | 'awaiting'

export interface GroupControlState {
  group: string
  phase: GroupPhase
  phaseSince: number
  designation?: Designation
  term: number
  /** Birth of the primary when it was last found to lead. */
  bornAt?: number
  /** Since when the primary has wanted to leave, as far as this leader knows; undefined: it stays. */
  leavingSince?: number
  /** The server that is to be promoted. */
  target?: string
  /** Whether the primary is replaced while it still works. */
  planned: boolean
  statuses: ReadonlyMap<string, { status: ServerStatus, at: number }>
  statusAskedAt: number
  orderedAt: number
  /** Servers that could not be promoted, with when that is forgotten. */
  excludedUntil: ReadonlyMap<string, number>
  /** The primary before, which may not know yet that it was replaced. */
  formerPrimary?: { member: string, until: number }
  stepDownAskedAt: number
}

export type GroupEvent =
  | { kind: 'tick' }
  | { kind: 'status', member: string, status: ServerStatus }
  | { kind: 'designated', designation: Designation | undefined, accepted: boolean }
  | { kind: 'promoted', member: string, outcome: PromotionOutcome }

/** What became of the call that makes a server the primary. */
export type PromotionOutcome = 'done' | 'refused' | 'unknown' | 'not sent'

export type GroupEffect =
  | { kind: 'publish' }
  | { kind: 'ask status', member: string }
  | { kind: 'designate', member: string, after: number }
  | { kind: 'promote', member: string }
  | { kind: 'step down', member: string, term: number }

/** What the process around a group knows, read at each step. */
export interface GroupEnvironment {
  now: number
  servers: readonly KnownServer[]
  verdict: PrimaryVerdict
  /** Whether every entry instance has confirmed what was last published, or lost its lease. */
  confirmed: boolean
  /** Whether an entry instance still has work at a primary that is closing. */
  busy: boolean
  /** When leases that an earlier leader may have given are over. */
  earlierLeasesExpireAt: number
  /** Replicas that hold a commit before it is acknowledged. */
  synchronousReplicas: number
  /** Time for which a server takes work after it has announced that it leaves. */
  drainMilliseconds: number
}

/** A step under way: the state that it makes, and the effects so far. */
export interface GroupStep {
  state: GroupControlState
  effects: GroupEffect[]
  environment: GroupEnvironment
}
