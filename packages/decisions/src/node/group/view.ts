/**
 * What one instance knows about a group of backend servers, as plain data, and
 * the queries on it that decisions use. Times are in milliseconds of the
 * instance's own monotonic clock.
 */

import { includesPosition } from '../session/position.js'
import { updateSamples } from './samples.js'
import type { LogPosition } from '../session/position.js'

export type MemberRole = 'primary' | 'replica'

/** The state that a member reports about itself. */
export interface MemberStatus {
  member: string
  role: MemberRole
  /** Highest term that the member has adopted; it rejects commands and records of earlier terms. */
  adoptedTerm: number
  /** Term of the last record in its log. */
  logTerm: number
  /** Position of the last record in its log. */
  position: number
  /** Term of the last record that is visible to reads. */
  appliedTerm: number
  /** Position of the last record that is visible to reads. */
  appliedPosition: number
  /** The primary that it follows; empty if it follows none. */
  primaryMember: string
  /** Time since its last contact with that primary, in milliseconds; -1 if there was none. */
  heardMilliseconds: number
  /** Whether the primary that it follows refuses connections because nothing listens there. */
  primaryRefused: boolean
  /** Whether it holds all state that it ever had, and so may count towards majorities. False on a server that started with an empty disk, until it is admitted. */
  voting: boolean
  /** Identifier that is new each time the server starts. */
  incarnation: string
  leaving: boolean
  /** Number of open transactions of callers. */
  openTransactions: number
}

/** The latest status of a member and what this instance has observed of it. */
export interface MemberView {
  status: MemberStatus
  /** When the status was requested; it describes the member at some time between this and `answeredAt`. */
  askedAt: number
  answeredAt: number
  /** Whether the link over which it answered still works. */
  reachable: boolean
  /** When this incarnation first reported that it has no vote; undefined while it has one. */
  withoutVoteSince?: number
  /** When it first reported that it is a replica that follows no primary or has not had contact with it yet; undefined otherwise. */
  withoutPrimarySince?: number
  /** When it first reported that it is leaving; undefined otherwise. */
  leavingSince?: number
  /** State that an earlier incarnation reported and that this one lacks. */
  lost?: { adoptedTerm: number, log: LogPosition }
}

/**
 * Position of the primary's log at some time after `askedAt`. Once confirmed, it
 * includes every record that was acknowledged before `askedAt`.
 */
export interface PrimarySample extends LogPosition {
  /** When the primary's status was requested. */
  askedAt: number
  /** Whether a majority, asked at or after `askedAt`, was still in the sample's term. */
  confirmed: boolean
}

export interface GroupView {
  group: string
  /** Configured number of members, of which a majority is counted. */
  size: number
  members: ReadonlyMap<string, MemberView>
  /** Oldest first. */
  samples: readonly PrimarySample[]
  /** When the highest term was first reported. */
  highestTermSeenAt: number
}

export function createGroupView (group: string, size: number): GroupView {
  return { group, size, members: new Map(), samples: [], highestTermSeenAt: 0 }
}

/** Returns the view with another configured number of members. */
export function resizeGroup (view: GroupView, size: number): GroupView {
  // The samples were confirmed by majorities of the previous size.
  return size === view.size ? view : { ...view, size, samples: [] }
}

/** Number of members that form a majority of `size`. */
export function majorityOf (size: number): number {
  return Math.floor(size / 2) + 1
}

/** Position of the last record in a member's log. */
export function lastLogPosition (status: MemberStatus): LogPosition {
  return { term: status.logTerm, position: status.position }
}

/**
 * Whether a member counts towards a majority. A server that lost its disk, or
 * restarted with an older one, may no longer know a term that it granted or a
 * record that was acknowledged.
 */
export function hasVote ({ status, lost }: MemberView): boolean {
  if (!status.voting) return false
  if (lost === undefined) return true
  return status.adoptedTerm >= lost.adoptedTerm && includesPosition(lastLogPosition(status), lost.log)
}

/** The members that count towards a majority. */
export function voters (view: GroupView): MemberView[] {
  return [...view.members.values()].filter(hasVote)
}

/** The highest term that any member has reported. */
export function highestTerm (view: GroupView): number {
  return Math.max(0, ...[...view.members.values()].map(({ status }) => status.adoptedTerm))
}

function confirmSample (view: GroupView, sample: PrimarySample): PrimarySample {
  if (sample.confirmed) return sample
  const agreeing = voters(view).filter(member => member.askedAt >= sample.askedAt && member.status.adoptedTerm === sample.term)
  return agreeing.length >= majorityOf(view.size) ? { ...sample, confirmed: true } : sample
}

function findLostState (known: MemberView | undefined, status: MemberStatus): MemberView['lost'] {
  if (known === undefined || known.status.incarnation === status.incarnation) return known?.lost
  const reported = { adoptedTerm: known.status.adoptedTerm, log: lastLogPosition(known.status) }
  const isKept = status.adoptedTerm >= reported.adoptedTerm && includesPosition(lastLogPosition(status), reported.log)
  return isKept ? known.lost : reported
}

function withoutVoteSince (known: MemberView | undefined, status: MemberStatus, answeredAt: number): number | undefined {
  if (status.voting) return undefined
  return known?.status.incarnation === status.incarnation ? known.withoutVoteSince ?? answeredAt : answeredAt
}

function withoutPrimarySince (known: MemberView | undefined, status: MemberStatus, answeredAt: number): number | undefined {
  if (status.role === 'primary' || (status.primaryMember !== '' && status.heardMilliseconds >= 0)) return undefined
  return known?.withoutPrimarySince ?? answeredAt
}

/** Returns the view with a member's answer recorded. Drops an answer whose request is older than that of the known one. */
export function recordStatus (view: GroupView, status: MemberStatus, askedAt: number, answeredAt: number): GroupView {
  const known = view.members.get(status.member)
  if (known !== undefined && known.askedAt > askedAt) return view
  const member: MemberView = {
    status,
    askedAt,
    answeredAt,
    reachable: true,
    withoutVoteSince: withoutVoteSince(known, status, answeredAt),
    withoutPrimarySince: withoutPrimarySince(known, status, answeredAt),
    leavingSince: status.leaving ? known?.leavingSince ?? answeredAt : undefined,
    lost: findLostState(known, status)
  }
  const members = new Map(view.members).set(status.member, member)
  const highestTermSeenAt = status.adoptedTerm > highestTerm(view) ? answeredAt : view.highestTermSeenAt
  const updated = { ...view, members, highestTermSeenAt }
  const isPrimary = status.role === 'primary' && status.logTerm === status.adoptedTerm
  const samples: PrimarySample[] = isPrimary
    ? [...view.samples, { askedAt, term: status.adoptedTerm, position: status.position, confirmed: false }]
    : [...view.samples]
  return { ...updated, samples: updateSamples(samples, sample => confirmSample(updated, sample)) }
}

/** Returns the view after the link to a member was lost. */
export function recordUnreachable (view: GroupView, member: string): GroupView {
  const known = view.members.get(member)
  if (known === undefined || !known.reachable) return view
  return { ...view, members: new Map(view.members).set(member, { ...known, reachable: false }) }
}

/** Returns the view without a member that is no longer announced. */
export function removeMember (view: GroupView, member: string): GroupView {
  const members = new Map(view.members)
  members.delete(member)
  return { ...view, members }
}

/** The primary of the highest reported term, if one is known. */
export function currentPrimary (view: GroupView): MemberView | undefined {
  const term = highestTerm(view)
  return [...view.members.values()].find(({ status }) =>
    status.role === 'primary' && status.adoptedTerm === term && status.logTerm === term)
}

/** Whether a majority holds the record at `at` in its own term and no member has reported a later term. */
export function majorityHolds (view: GroupView, at: LogPosition): boolean {
  if (highestTerm(view) > at.term) return false
  const holders = voters(view).filter(({ status }) =>
    status.adoptedTerm === at.term && status.logTerm === at.term && status.position >= at.position)
  return holders.length >= majorityOf(view.size)
}

/** Position of the last record that is visible to a member's reads. */
export function lastAppliedPosition (status: MemberStatus): LogPosition {
  return { term: status.appliedTerm, position: status.appliedPosition }
}

/**
 * Upper bound on the age of the data that a member's reads show, in
 * milliseconds: the time since the newest confirmed sample that the data
 * includes was requested. Infinity if it includes none.
 */
export function dataAge (view: GroupView, member: MemberView, now: number): number {
  const applied = lastAppliedPosition(member.status)
  const sample = view.samples.findLast(candidate => candidate.confirmed && includesPosition(applied, candidate))
  return sample === undefined ? Infinity : now - sample.askedAt
}

/** The newest confirmed sample that was requested at or after `since`. */
export function findConfirmedSample (view: GroupView, since: number): PrimarySample | undefined {
  return view.samples.findLast(sample => sample.confirmed && sample.askedAt >= since)
}
