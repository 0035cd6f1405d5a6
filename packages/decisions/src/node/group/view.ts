/**
 * What one instance knows of a group of backend servers, as plain data, and the
 * questions that decisions ask of it. Times are milliseconds of the instance's
 * own monotonic clock.
 */

import { includesPosition } from '../session/position.js'
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
  /** Position of the last record that its reads show. */
  appliedPosition: number
  /** The member that it follows; empty: none. */
  primaryMember: string
  /** Time since it heard from that primary; -1: never. */
  heardMilliseconds: number
  leaving: boolean
}

/** A member's newest answer. */
export interface MemberView {
  status: MemberStatus
  /** When the question left that this answers; the answer holds at some time after it. */
  askedAt: number
  answeredAt: number
  /** Whether the link on which it answered still works. */
  reachable: boolean
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
}

/** Samples that are kept. */
const MAXIMUM_SAMPLES = 512

export function createGroupView (group: string, size: number): GroupView {
  return { group, size, members: new Map(), samples: [] }
}

/** Members that make a majority of `size` places. */
export function majorityOf (size: number): number {
  return Math.floor(size / 2) + 1
}

/** The highest term that any member has shown. */
export function highestTerm (view: GroupView): number {
  return Math.max(0, ...[...view.members.values()].map(({ status }) => status.adoptedTerm))
}

function confirmSamples (view: GroupView, samples: readonly PrimarySample[]): PrimarySample[] {
  const majority = majorityOf(view.size)
  return samples.map(sample => {
    if (sample.confirmed) return sample
    const agreeing = [...view.members.values()].filter(member => member.askedAt >= sample.takenAt && member.status.adoptedTerm === sample.term)
    return { ...sample, confirmed: agreeing.length >= majority }
  })
}

/** The view after a member answered. Answers that arrive out of order are dropped. */
export function recordStatus (view: GroupView, status: MemberStatus, askedAt: number, answeredAt: number): GroupView {
  const known = view.members.get(status.member)
  if (known !== undefined && known.askedAt > askedAt) return view
  const members = new Map(view.members).set(status.member, { status, askedAt, answeredAt, reachable: true })
  const isPrimary = status.role === 'primary' && status.logTerm === status.adoptedTerm
  const taken: PrimarySample[] = isPrimary
    ? [{ takenAt: askedAt, term: status.adoptedTerm, position: status.position, confirmed: false }]
    : []
  const changed = { ...view, members }
  const samples = confirmSamples(changed, [...view.samples, ...taken].slice(-MAXIMUM_SAMPLES))
  return { ...changed, samples }
}

/** The view after the link to a member broke. */
export function recordUnreachable (view: GroupView, member: string): GroupView {
  const known = view.members.get(member)
  if (known === undefined || !known.reachable) return view
  return { ...view, members: new Map(view.members).set(member, { ...known, reachable: false }) }
}

/** The view without a member that has left. */
export function forgetMember (view: GroupView, member: string): GroupView {
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
  const holders = [...view.members.values()].filter(({ status }) =>
    status.adoptedTerm === at.term && status.logTerm === at.term && status.position >= at.position)
  return holders.length >= majorityOf(view.size)
}

/** Where reads of a member stand. */
export function appliedPlace (status: MemberStatus): LogPosition {
  return { term: status.logTerm, position: status.appliedPosition }
}

/**
 * Bound on the age of what a member's reads show, in milliseconds: the time
 * since the newest confirmed sample that it includes was asked for. Infinity if
 * it includes none.
 */
export function memberAge (view: GroupView, member: MemberView, now: number): number {
  const applied = appliedPlace(member.status)
  const sample = view.samples.findLast(candidate => candidate.confirmed && includesPosition(applied, candidate))
  return sample === undefined ? Infinity : now - sample.takenAt
}

/** The newest confirmed sample that was asked for at or after `since`. */
export function confirmedSince (view: GroupView, since: number): PrimarySample | undefined {
  return view.samples.findLast(sample => sample.confirmed && sample.takenAt >= since)
}
