/** When a group needs another primary, which member it is, and what keeps the rest in line. */

import { includesPosition } from '../session/position.js'
import { currentPrimary, findConfirmedSample, hasVote, highestTerm, lastLogPosition, majorityOf, voters } from './view.js'
import type { LogPosition } from '../session/position.js'
import type { GroupView, MemberStatus, MemberView } from './view.js'

/**
 * Time in which a member's grant of a term must arrive to count, in
 * milliseconds, from when the member was asked.
 */
export const GRANT_VALIDITY_MILLISECONDS = 1_000
/**
 * Time without a vote after which a member may be admitted, in milliseconds. A
 * grant from before its loss no longer counts anywhere by then, also when
 * clocks run at rates that differ by half.
 */
export const ADMISSION_DELAY_MILLISECONDS = 2 * GRANT_VALIDITY_MILLISECONDS
/** Time in which a replica that was told to follow a primary should hear it, in milliseconds. */
const FOLLOW_TIMEOUT_MILLISECONDS = 1_000
/** Longest time that a leaving primary waits for its transactions to end, in milliseconds. */
const HAND_OVER_TIMEOUT_MILLISECONDS = 5_000

export interface FailoverLimits {
  /** Silence of a primary before a replica calls it failed, in milliseconds. */
  silenceMilliseconds: number
  /** Age of an answer that still counts, in milliseconds. */
  answerMilliseconds: number
  /** Whether a refused connection to a primary counts as its failure at once. @default true */
  countsRefusalAsFailure?: boolean
}

export type FailoverDecision =
  | { kind: 'none' }
  /** The group has never had a primary. */
  | { kind: 'form' }
  /** A majority of the members has no primary. */
  | { kind: 'promote', reason: string }
  /** The primary is leaving and another member can take over. */
  | { kind: 'hand over', reason: string }
  /** These members do not follow the primary that the group has. */
  | { kind: 'repair', primary: string, term: number, members: string[] }
  /** This member, which lost its state, holds again what it may have held. */
  | { kind: 'admit', member: string, term: number, position: number, incarnation: string }

function hasFreshAnswer (member: MemberView, limits: FailoverLimits, now: number): boolean {
  return member.reachable && now - member.askedAt <= limits.answerMilliseconds
}

/** Whether a member's own view says that it has no working primary. */
function lacksPrimary (member: MemberView, limits: FailoverLimits, primary: MemberView | undefined, now: number): boolean {
  const { status, withoutPrimarySince } = member
  if (status.role === 'primary') return false
  const refused = status.primaryRefused && limits.countsRefusalAsFailure !== false
  if (primary !== undefined) {
    if (status.adoptedTerm < primary.status.adoptedTerm) return false
    // It may have been told to follow this primary a moment ago.
    if (status.primaryMember === '' && !refused) return withoutPrimarySince !== undefined && now - withoutPrimarySince >= limits.silenceMilliseconds + FOLLOW_TIMEOUT_MILLISECONDS
  }
  return refused || status.heardMilliseconds < 0 || status.heardMilliseconds >= limits.silenceMilliseconds
}

function isEmpty ({ status }: MemberView): boolean {
  return !status.voting && status.logTerm === 0 && status.position === 0
}

/** Whether a member that belongs to the highest term hears its primary, which this instance may not. */
function followsLivePrimary ({ status }: MemberView, term: number, limits: FailoverLimits): boolean {
  return status.adoptedTerm === term && status.primaryMember !== '' && !status.primaryRefused &&
    status.heardMilliseconds >= 0 && status.heardMilliseconds < limits.silenceMilliseconds
}

function decidePromotion (view: GroupView, freshMembers: readonly MemberView[], primary: MemberView | undefined, limits: FailoverLimits, now: number): FailoverDecision | undefined {
  if (freshMembers.length >= view.size && freshMembers.every(isEmpty)) return { kind: 'form' }
  const freshVoters = freshMembers.filter(hasVote)
  const majority = majorityOf(view.size)
  if (freshVoters.length < majority) return undefined
  const withoutPrimary = freshVoters.filter(member => lacksPrimary(member, limits, primary, now))
  if (withoutPrimary.length >= majority) return { kind: 'promote', reason: `${withoutPrimary.length} of ${view.size} members hear no primary` }
  if (currentPrimary(view) !== undefined) return undefined
  // A coordinator that died after a minority adopted its term leaves the term without a primary.
  const term = highestTerm(view)
  if (now - view.highestTermSeenAt < limits.silenceMilliseconds || freshMembers.some(member => followsLivePrimary(member, term, limits))) return undefined
  return { kind: 'promote', reason: `term ${term} has no primary` }
}

/** Decides what a group needs now. */
export function decideFailover (view: GroupView, limits: FailoverLimits, now: number): FailoverDecision {
  const freshMembers = [...view.members.values()].filter(member => hasFreshAnswer(member, limits, now))
  const primary = currentPrimary(view)
  const freshPrimary = primary !== undefined && hasFreshAnswer(primary, limits, now) ? primary : undefined
  const promotion = decidePromotion(view, freshMembers, freshPrimary, limits, now)
  if (promotion !== undefined) return promotion
  if (freshPrimary === undefined) return { kind: 'none' }
  const notFollowing = freshMembers.filter(({ status }) => status.member !== freshPrimary.status.member && isNotFollowing(status, freshPrimary.status))
  if (notFollowing.length > 0) return { kind: 'repair', primary: freshPrimary.status.member, term: freshPrimary.status.adoptedTerm, members: notFollowing.map(({ status }) => status.member) }
  return decideAdmission(view, freshMembers, freshPrimary) ?? decideHandOver(view, freshPrimary, now) ?? { kind: 'none' }
}

function isNotFollowing (status: MemberStatus, primary: MemberStatus): boolean {
  if (status.adoptedTerm > primary.adoptedTerm) return false
  return status.adoptedTerm < primary.adoptedTerm || status.primaryMember !== primary.member
}

/**
 * A member that lost its state may have granted a term or held a record that it
 * no longer knows. Its old grants have run out after `ADMISSION_MILLISECONDS`;
 * a sample that the others confirmed after that belongs to the newest term, and
 * a log of that term up to the sample holds all that it may have held.
 */
function decideAdmission (view: GroupView, freshMembers: readonly MemberView[], primary: MemberView): FailoverDecision | undefined {
  for (const { status, withoutVoteSince } of freshMembers) {
    if (withoutVoteSince === undefined || status.role === 'primary') continue
    const sample = findConfirmedSample(view, withoutVoteSince + ADMISSION_DELAY_MILLISECONDS)
    if (sample === undefined || sample.term !== primary.status.adoptedTerm) continue
    if (status.adoptedTerm !== sample.term || status.logTerm !== sample.term || status.position < sample.position) continue
    return { kind: 'admit', member: status.member, term: sample.term, position: sample.position, incarnation: status.incarnation }
  }
  return undefined
}

/** The members that could take over from a leaving primary, the furthest first. */
function findSuccessors (view: GroupView, primary: MemberView): MemberView[] {
  return voters(view)
    .filter(member => member !== primary && member.reachable && !member.status.leaving && member.status.logTerm === primary.status.logTerm)
    .sort((left, right) => right.status.position - left.status.position)
}

/** Whether new transactions should wait, because a leaving primary can be replaced. */
export function isHandingOver (view: GroupView): boolean {
  const primary = currentPrimary(view)
  if (primary === undefined || !primary.status.leaving) return false
  return findSuccessors(view, primary).length >= majorityOf(view.size)
}

/**
 * A leaving primary gives way once its transactions have ended and another
 * member holds everything that it does, or when it has waited long enough.
 */
function decideHandOver (view: GroupView, primary: MemberView, now: number): FailoverDecision | undefined {
  if (primary.leavingSince === undefined || !isHandingOver(view)) return undefined
  const [successor] = findSuccessors(view, primary)
  const canHandOver = primary.status.openTransactions === 0 && successor.status.position >= primary.status.position
  if (!canHandOver && now - primary.leavingSince < HAND_OVER_TIMEOUT_MILLISECONDS) return undefined
  return { kind: 'hand over', reason: `${primary.status.member} is leaving` }
}

/** The term that a promotion asks the members to adopt. */
export function nextTerm (view: GroupView): number {
  return highestTerm(view) + 1
}

function isAhead (left: LogPosition, right: LogPosition): boolean {
  return includesPosition(left, right) && !includesPosition(right, left)
}

/**
 * The member to promote, among those that adopted the new term and have a vote:
 * the one whose log goes furthest. Undefined when they are no majority. A
 * leaving member is passed over where the others are a majority by themselves.
 */
export function choosePrimary (granted: readonly MemberStatus[], size: number): MemberStatus | undefined {
  const staying = granted.filter(({ leaving }) => !leaving)
  const candidates = staying.length >= majorityOf(size) ? staying : granted
  if (candidates.length < majorityOf(size)) return undefined
  return candidates.reduce((best, status) => isAhead(lastLogPosition(status), lastLogPosition(best)) ? status : best)
}
