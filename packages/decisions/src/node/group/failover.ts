/** When a group needs another primary, which member it is, and what keeps the rest in line. */

import { includesPosition } from '../session/position.js'
import { currentPrimary, highestTerm, majorityOf } from './view.js'
import type { GroupView, MemberStatus, MemberView } from './view.js'

export interface FailoverLimits {
  /** Silence of a primary before a replica calls it failed, in milliseconds. */
  silenceMilliseconds: number
  /** Age of an answer that still counts, in milliseconds. */
  answerMilliseconds: number
}

export type FailoverDecision =
  | { kind: 'none' }
  /** A majority of the members hears no primary. */
  | { kind: 'promote', reason: string }
  /** These members do not follow the primary that the group has. */
  | { kind: 'repair', primary: string, term: number, members: string[] }

function isFreshAnswer (member: MemberView, limits: FailoverLimits, now: number): boolean {
  return member.reachable && now - member.askedAt <= limits.answerMilliseconds
}

/** Whether a member's own view says that it has no working primary. */
function hearsNoPrimary (member: MemberView, limits: FailoverLimits, primary: MemberView | undefined): boolean {
  const { status } = member
  if (status.role === 'primary') return false
  if (primary !== undefined && (status.adoptedTerm < primary.status.adoptedTerm || status.primaryMember === '')) return false
  return status.heardMilliseconds < 0 || status.heardMilliseconds >= limits.silenceMilliseconds
}

/** Decides what a group needs now. */
export function decideFailover (view: GroupView, limits: FailoverLimits, now: number): FailoverDecision {
  const answers = [...view.members.values()].filter(member => isFreshAnswer(member, limits, now))
  const primary = currentPrimary(view)
  const primaryAnswers = primary !== undefined && isFreshAnswer(primary, limits, now)
  const silent = answers.filter(member => hearsNoPrimary(member, limits, primaryAnswers ? primary : undefined))
  if (silent.length >= majorityOf(view.size)) {
    return { kind: 'promote', reason: `${silent.length} of ${view.size} members hear no primary` }
  }
  if (primary === undefined || !primaryAnswers) return { kind: 'none' }
  const astray = answers.filter(({ status }) => status.member !== primary.status.member && isAstray(status, primary.status))
  if (astray.length === 0) return { kind: 'none' }
  return { kind: 'repair', primary: primary.status.member, term: primary.status.adoptedTerm, members: astray.map(({ status }) => status.member) }
}

function isAstray (status: MemberStatus, primary: MemberStatus): boolean {
  if (status.adoptedTerm > primary.adoptedTerm) return false
  return status.adoptedTerm < primary.adoptedTerm || status.primaryMember !== primary.member
}

/** The term that a promotion asks the members to adopt. */
export function nextTerm (view: GroupView): number {
  return highestTerm(view) + 1
}

/**
 * The member to promote, among those that adopted the new term: the one whose
 * log goes furthest. Undefined when they are no majority.
 */
export function choosePrimary (granted: readonly MemberStatus[], size: number): MemberStatus | undefined {
  if (granted.length < majorityOf(size)) return undefined
  return granted.reduce((best, status) => {
    const place = { term: status.logTerm, position: status.position }
    const bestPlace = { term: best.logTerm, position: best.position }
    return includesPosition(place, bestPlace) && !includesPosition(bestPlace, place) ? status : best
  })
}
