/**
 * What one instance knows of a group of backend servers, as plain data, and the
 * questions that decisions ask of it. Times are milliseconds of the instance's
 * own monotonic clock.
 */

import { includesPosition } from '../session/position.js'
import { updateSamples } from './samples.js'
import type { LogPosition } from '../session/position.js'

export type MemberRole = 'primary' | 'replica'

/** What a member answered about itself. */
export interface MemberStatus {
  member: string
  role: MemberRole
  /** Highest term that the member adopted; it takes nothing from earlier ones. */
  adoptedTerm: number
  /** Term of the last record of its log. */
  logTerm: number
  /** Position of the last record that it holds. */
  position: number
  /** Term of the last record that its reads show. */
  appliedTerm: number
  /** Position of that record. */
  appliedPosition: number
  /** The member that it follows; empty: none. */
  primaryMember: string
  /** Time since it heard from that primary; -1: never. */
  heardMilliseconds: number
  /** The primary that it follows refuses connections: nothing listens there. */
  primaryRefused: boolean
  /** It holds what it ever held; false on a server that began with an empty disk, until it is admitted. */
  voting: boolean
  /** Another one each time the server starts. */
  incarnation: string
  leaving: boolean
  /** Transactions of callers that are open there. */
  openTransactions: number
}

/** A member's newest answer. */
export interface MemberView {
  status: MemberStatus
  /** When the question left that this answers; the answer holds at some time after it. */
  askedAt: number
  answeredAt: number
  /** Whether the link on which it answered still works. */
  reachable: boolean
  /** When this incarnation was first seen without a vote; undefined while it has one. */
  withoutVoteSince?: number
  /** When it was first seen as a replica that never heard a primary; undefined once it did. */
  withoutPrimarySince?: number
  /** When it was first seen leaving; undefined while it stays. */
  leavingSince?: number
  /** The state that an earlier incarnation had shown and that this one lacks. */
  lost?: { adoptedTerm: number, log: LogPosition }
}

/** A place that the group's current primary had reached when `takenAt` had passed. */
export interface PrimarySample extends LogPosition {
  takenAt: number
  /** A majority showed no later term after `takenAt`. */
  confirmed: boolean
}

export interface GroupView {
  group: string
  /** Number of places in the group; a majority is of this many. */
  size: number
  members: ReadonlyMap<string, MemberView>
  /** Oldest first. */
  samples: readonly PrimarySample[]
  /** When the highest term was first shown. */
  highestTermSeenAt: number
}

export function createGroupView (group: string, size: number): GroupView {
  return { group, size, members: new Map(), samples: [], highestTermSeenAt: 0 }
}

/** The view with another number of places, as the rules name it. */
export function resizeGroup (view: GroupView, size: number): GroupView {
  // Samples were confirmed by majorities of the former size.
  return size === view.size ? view : { ...view, size, samples: [] }
}

/** Members that make a majority of `size` places. */
export function majorityOf (size: number): number {
  return Math.floor(size / 2) + 1
}

/** Where the log of a member ends. */
export function lastLogPosition (status: MemberStatus): LogPosition {
  return { term: status.logTerm, position: status.position }
}

/**
 * Whether a member counts in a majority. A server that lost its disk, or came
 * back with an older one, may have forgotten a vote or an acknowledged record.
 */
export function hasVote ({ status, lost }: MemberView): boolean {
  if (!status.voting) return false
  if (lost === undefined) return true
  return status.adoptedTerm >= lost.adoptedTerm && includesPosition(lastLogPosition(status), lost.log)
}

/** The members that count in a majority. */
export function voters (view: GroupView): MemberView[] {
  return [...view.members.values()].filter(hasVote)
}

/** The highest term that any member has shown. */
export function highestTerm (view: GroupView): number {
  return Math.max(0, ...[...view.members.values()].map(({ status }) => status.adoptedTerm))
}

function confirmSample (view: GroupView, sample: PrimarySample): PrimarySample {
  if (sample.confirmed) return sample
  const agreeing = voters(view).filter(member => member.askedAt >= sample.takenAt && member.status.adoptedTerm === sample.term)
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

/** The view after a member answered. Answers that arrive out of order are dropped. */
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
    ? [...view.samples, { takenAt: askedAt, term: status.adoptedTerm, position: status.position, confirmed: false }]
    : [...view.samples]
  return { ...updated, samples: updateSamples(samples, sample => confirmSample(updated, sample)) }
}

/** The view after the link to a member broke. */
export function recordUnreachable (view: GroupView, member: string): GroupView {
  const known = view.members.get(member)
  if (known === undefined || !known.reachable) return view
  return { ...view, members: new Map(view.members).set(member, { ...known, reachable: false }) }
}

/** The view without a member that has left. */
export function removeMember (view: GroupView, member: string): GroupView {
  const members = new Map(view.members)
  members.delete(member)
  return { ...view, members }
}

/** The primary of the highest term shown, if one is known. */
export function currentPrimary (view: GroupView): MemberView | undefined {
  const term = highestTerm(view)
  return [...view.members.values()].find(({ status }) =>
    status.role === 'primary' && status.adoptedTerm === term && status.logTerm === term)
}

/** Whether a majority holds `at` in its own term and no member has shown a later one. */
export function majorityHolds (view: GroupView, at: LogPosition): boolean {
  if (highestTerm(view) > at.term) return false
  const holders = voters(view).filter(({ status }) =>
    status.adoptedTerm === at.term && status.logTerm === at.term && status.position >= at.position)
  return holders.length >= majorityOf(view.size)
}

/** Where reads of a member stand. */
export function lastAppliedPosition (status: MemberStatus): LogPosition {
  return { term: status.appliedTerm, position: status.appliedPosition }
}

/**
 * Bound on the age of what a member's reads show, in milliseconds: the time
 * since the newest confirmed sample that it includes was asked for. Infinity if
 * it includes none.
 */
export function dataAge (view: GroupView, member: MemberView, now: number): number {
  const applied = lastAppliedPosition(member.status)
  const sample = view.samples.findLast(candidate => candidate.confirmed && includesPosition(applied, candidate))
  return sample === undefined ? Infinity : now - sample.takenAt
}

/** The newest confirmed sample that was asked for at or after `since`. */
export function findConfirmedSample (view: GroupView, since: number): PrimarySample | undefined {
  return view.samples.findLast(sample => sample.confirmed && sample.takenAt >= since)
}
