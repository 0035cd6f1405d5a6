/** What entry instances and the leader of control tell each other. */

import type { KnownServer } from './directory.js'
import type { ServerObservation } from './evidence.js'
import type { PrimaryAssignment } from './groupTypes.js'

/** How long an entry instance may use what it was told, from when it asked, in milliseconds: bridges an election of control. */
export const LEASE_MILLISECONDS = 1_500
/** How long control holds a renewal that has no news, in milliseconds. */
export const RENEWAL_HOLD_MILLISECONDS = 400

export interface ControlAddress {
  host: string
  port: number
}

export interface RenewRequest {
  name: string
  /** Differs each time that the process starts. */
  incarnation: string
  failureDomain: string
  /** The newest change that the instance acts by, in the term of the leader that told it. */
  knows: { term: number, change: number }
  /** Version of the declaration that it holds; -1: none. */
  version: number
  /** Operations a second that lately asked, by client account. */
  demand: Record<string, number>
  /** What it sees of servers that it lately used or tried, by member. */
  sightings: Record<string, ServerObservation>
  /** Groups whose primary is closing and still has work from it. */
  busy: string[]
  holdMilliseconds: number
  /** Only to a control instance that did not give the last lease: what the instance knows and holds. */
  servers?: KnownServer[]
  parts?: Record<string, number>
}

export interface RenewGrant {
  kind: 'granted'
  term: number
  change: number
  leaseMilliseconds: number
  /** True: the lists are whole, and what they do not name is gone. */
  whole: boolean
  groups: PrimaryAssignment[]
  servers: KnownServer[]
  /** The instance's parts of the accounts' rates; undefined: as before. */
  parts?: Record<string, number>
  /** A newer declaration, deflated, in base64. */
  declaration?: { version: number, deflated: string }
  /** Entry instances that share the servers. */
  entries: number
  /** Control instances, to ask when this one is gone. */
  control: ControlAddress[]
}

export type RenewReply = RenewGrant | { kind: 'not leader', leader?: ControlAddress }

/** An entry instance whose own part is spent asks for operations of an account. */
export interface BorrowRequest {
  account: string
  wanted: number
}

export interface BorrowReply {
  granted: number
}
