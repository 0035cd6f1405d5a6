/** Messages between entry instances and the leader of control. */

import type { KnownServer } from './directory.js'
import type { ServerObservation } from './evidence.js'
import type { PrimaryAssignment } from './groupTypes.js'
import type { LoanReport } from './loanHistory.js'
import type { WarmupShare } from './warmupBudget.js'

/** Duration of an entry instance's lease, in milliseconds, counted from when it sent the renewal: long enough to outlast an election in control. */
export const LEASE_MILLISECONDS = 1_500
/** How long control holds a renewal while there is no change to report, in milliseconds. */
export const RENEWAL_HOLD_MILLISECONDS = 400

export interface ControlAddress {
  host: string
  port: number
}

/** An entry instance, and where others reach it. */
export interface NamedInstance extends ControlAddress {
  name: string
  /** Sent for holders of connections. Undefined: granted by a control instance of an earlier build. */
  failureDomain?: string
}

export interface RenewRequest {
  name: string
  /** Identifies the run of the process; differs after each restart. */
  incarnation: string
  failureDomain: string
  /** The newest change that the instance has applied, and the term of the leader that sent it. */
  knows: { term: number, change: number }
  /** Version of the declaration that the instance holds; -1 if it has none. */
  version: number
  /** Recent demand in operations per second, admitted or not, by client account of which the instance holds a share. */
  demand: Record<string, number>
  /** Observations of the servers that the instance has used or tried, by member. */
  sightings: Record<string, ServerObservation>
  /** Groups whose closing primary still has work of this instance. */
  busy: string[]
  /** Where other entry instances reach this one to borrow; undefined if it does not lend. */
  lendsAt?: ControlAddress
  /** Whether the instance, reached at `lendsAt`, holds connections for others; not while it drains. @default false */
  holds?: boolean
  /** How long control may hold the renewal, in milliseconds. */
  holdMilliseconds: number
  /** The servers of which the instance has learned lately; sent only to a control instance that did not grant the last lease. What is older is in control's log. */
  servers?: KnownServer[]
  /** The shares of the rates that the instance holds, by account, from 0 to 1; sent together with `servers`. */
  parts?: Record<string, number>
  /** How long the instance uses its shares after it has sent a renewal, in milliseconds. Undefined: an instance of an earlier build, which uses them for `SHARE_VALIDITY_MILLISECONDS`. */
  shareMilliseconds?: number
  /** What the instance borrowed from control lately; sent together with `servers`. */
  loans?: LoanReport
  /** By cold server, the share that the instance may use until this renewal is answered. */
  warmups?: Record<string, WarmupShare>
  /** Servers that count as cold until they announce themselves, and how long ago that began, in milliseconds. */
  doubted?: Record<string, number>
}

/** The part of a grant that is the same for all instances of a failure domain that know as much. */
export interface SharedGrant {
  term: number
  change: number
  /** Whether the lists are complete and replace what the instance knows; otherwise they hold only changes. */
  whole: boolean
  groups: PrimaryAssignment[]
  servers: KnownServer[]
  /** By account, the lenders from which instances of this failure domain borrow. Holds only changes, unless `whole`. Undefined: not planned yet, and what the instance knows stays. */
  lenders?: Record<string, NamedInstance[]>
  /** By group, the instances that hold the connections to its servers; only those that have changed, unless `whole`. Undefined: not planned yet, and what the instance knows stays. */
  holders?: Record<string, NamedInstance[]>
  /** A newer declaration, compressed with deflate and encoded in base64. */
  declaration?: { version: number, deflated: string }
  /** Version of the newest declaration when the grant was made, -1 if there is none. Undefined: granted by a control instance of an earlier build. */
  newest?: number
  /** All drained failure domains, in each grant once one has been drained. Undefined: none has, if `whole`; otherwise what the instance knows stays. */
  drains?: string[]
  /** Number of entry instances that share the servers. */
  entries: number
  /** Servers that count as cold until they announce themselves, and how long ago that began, in milliseconds. Complete; undefined: none. */
  doubted?: Record<string, number>
  /** Control instances to try when this one is unreachable; empty if they have not changed. */
  control: ControlAddress[]
}

export interface RenewGrant {
  kind: 'granted'
  leaseMilliseconds: number
  shared: SharedGrant
  /** The instance's shares of the rates by account, from 0 to 1; undefined if they have not changed. */
  parts?: Record<string, number>
  /** The instance's shares of what cold servers may receive, by server; they are valid as long as the lease. Complete; undefined: none. */
  warmups?: Record<string, WarmupShare>
  /** Servers among those that the request doubts which have announced themselves since. */
  settled?: string[]
}

export type RenewReply = RenewGrant | { kind: 'not leader', leader?: ControlAddress }

/** Request of an entry instance whose share of an account's rate is spent, for a number of operations. */
export interface BorrowRequest {
  account: string
  wanted: number
}

export interface BorrowReply {
  granted: number
  /** If fewer were granted than wanted: how long until there is another one, in milliseconds. Undefined: not known. */
  emptyMilliseconds?: number
  /** Whether the instance that was asked holds no share of this account, so that control must be asked. */
  isNoLender?: boolean
}
