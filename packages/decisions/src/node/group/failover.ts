/**
 * Failover decisions for a group: when to promote another primary, which member
 * to promote, which members to redirect to the primary and which to admit to
 * majorities again.
 */

import { includesPosition } from '../session/position.js'
import { currentPrimary, findConfirmedSample, hasVote, highestTerm, lastLogPosition, majorityOf, voters } from './view.js'
import type { LogPosition } from '../session/position.js'
import type { GroupView, MemberStatus, MemberView } from './view.js'

/**
 * Time from asking a member for a term until its grant must have arrived to
 * count, in milliseconds.
 */
export const GRANT_VALIDITY_MILLISECONDS = 1_000
/**
 * Time that a member must have been without a vote before it is admitted, in
 * milliseconds. By then no instance counts a grant from before the member lost
 * its state, even if one clock runs at half the rate of another.
 */
export const ADMISSION_DELAY_MILLISECONDS = 2 * GRANT_VALIDITY_MILLISECONDS
/** Time that a replica has to make contact with a primary that it was ordered to follow, in milliseconds. */
const FOLLOW_TIMEOUT_MILLISECONDS = 1_000
/** Maximum time that a hand-over waits for transactions to end and for a successor to catch up, in milliseconds. */
const HAND_OVER_TIMEOUT_MILLISECONDS = 5_000

export interface FailoverLimits {
  /** Time without contact after which a replica considers its primary failed, in milliseconds. */
  silenceMilliseconds: number
  /** Maximum age of a member's answer that a decision uses, in milliseconds. */
  answerMilliseconds: number
  /** Whether a refused connection counts as a failure of the primary at once, before `silenceMilliseconds` have passed. @default true */
  countsRefusalAsFailure?: boolean
}

export type FailoverDecision =
  | { kind: 'none' }
  /** The group has never had a primary. */
  | { kind: 'form' }
  /** A majority of the members has no contact with a primary, or the highest term has no primary. */
  | { kind: 'promote', reason: string }
  /** The primary is leaving and another member can take over. */
  | { kind: 'hand over', reason: string }
  /** These members do not follow the group's primary. */
  | { kind: 'repair', primary: string, term: number, members: string[] }
  /** This member lost its state and again holds every record that it may have held. */
  | { kind: 'admit', member: string, term: number, position: number, incarnation: string }

function hasFreshAnswer (member: MemberView, limits: FailoverLimits, now: number): boolean {
  return member.reachable && now - member.askedAt <= limits.answerMilliseconds
}

/** Whether a member's own status shows that it has no working primary. */
function lacksPrimary (member: MemberView, limits: FailoverLimits, primary: MemberView | undefined, now: number): boolean {
  const { status, withoutPrimarySince } = member
  if (status.role === 'primary') return false
  const refused = status.primaryRefused && limits.countsRefusalAsFailure !== false
  if (primary !== undefined) {
    if (status.adoptedTerm < primary.status.adoptedTerm) return false
    // The order to follow this primary may have reached the member only just now.
    if (status.primaryMember === '' && !refused) return withoutPrimarySince !== undefined && now - withoutPrimarySince >= limits.silenceMilliseconds + FOLLOW_TIMEOUT_MILLISECONDS
  }
  return refused || status.heardMilliseconds < 0 || status.heardMilliseconds >= limits.silenceMilliseconds
}

function isEmpty ({ status }: MemberView): boolean {
  return !status.voting && status.logTerm === 0 && status.position === 0
}

/** Whether a member of the highest term has contact with its primary, even if this instance does not. */
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
  if (withoutPrimary.length >= majority) return { kind: 'promote', reason: `${withoutPrimary.length} of ${view.size} members have no contact with a primary` }
  if (currentPrimary(view) !== undefined) return undefined
  // A term has no primary if its coordinator died after only a minority adopted it.
  const term = highestTerm(view)
  if (now - view.highestTermSeenAt < limits.silenceMilliseconds || freshMembers.some(member => followsLivePrimary(member, term, limits))) return undefined
  return { kind: 'promote', reason: `term ${term} has no primary` }
}

/** Decides which failover step a group needs now, if any. */
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
 * Finds a member that lost its state and can be admitted to majorities again.
 *
 * Such a member may have granted a term or held a record that it no longer
 * knows. Its old grants have expired after `ADMISSION_DELAY_MILLISECONDS`. A
 * sample that the other members confirm after that belongs to the newest term,
 * so a log of that term that reaches the sample holds every record that the
 * member may have held.
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

/** The members that could take over from a leaving primary, those with the highest position first. */
function findSuccessors (view: GroupView, primary: MemberView): MemberView[] {
  return voters(view)
    .filter(member => member !== primary && member.reachable && !member.status.leaving && member.status.logTerm === primary.status.logTerm)
    .sort((left, right) => right.status.position - left.status.position)
}

/** Whether new transactions should wait because the primary is leaving and can be replaced. */
export function isHandingOver (view: GroupView): boolean {
  const primary = currentPrimary(view)
  if (primary === undefined || !primary.status.leaving) return false
  return findSuccessors(view, primary).length >= majorityOf(view.size)
}

/**
 * Replaces a leaving primary once its transactions have ended and another member
 * holds its whole log, or after `HAND_OVER_TIMEOUT_MILLISECONDS`.
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
 * Chooses the member to promote among those that granted the new term and have a
 * vote: the one with the latest log position. Returns undefined if they are not
 * a majority. Leaving members are excluded if the others are a majority by
 * themselves.
 */
export function choosePrimary (granted: readonly MemberStatus[], size: number): MemberStatus | undefined {
  const staying = granted.filter(({ leaving }) => !leaving)
  const candidates = staying.length >= majorityOf(size) ? staying : granted
  if (candidates.length < majorityOf(size)) return undefined
  return candidates.reduce((best, status) => isAhead(lastLogPosition(status), lastLogPosition(best)) ? status : best)
}
