/**
 * Which change of the membership a leader makes next. An instance that lost
 * its disk comes back under another identity: it learns the log first, then
 * the old identity goes, and only then does the new one count as a voter.
 */

import { isCaughtUp, hasUncommittedMembership } from './membership.js'
import type { ConsensusState, LogMember, MembershipChange } from './types.js'

/** An instance that runs, as it introduced itself. */
export type Introduction = Omit<LogMember, 'role'>

/** Silence after which an identity may be replaced, in milliseconds. */
export const REPLACE_IDENTITY_MILLISECONDS = 1_500

/** Silence after which a voter gives its place to a learner that waits, in milliseconds: longer than a restart. */
const REPLACE_VOTER_MILLISECONDS = 3_000
/** Silence after which a learner is forgotten, in milliseconds. */
const REMOVE_LEARNER_MILLISECONDS = 15_000

/** How instances come and go without an operator. */
export interface MembershipPolicy {
  /** Instances with new names join by themselves, and replace voters that are gone. */
  automatic: boolean
  /** Voters wanted: two for each loss that is to be borne, and one. */
  voters: number
}

/** Operators add and remove members; only a lost disk is repaired. */
export const MANUAL_MEMBERSHIP: MembershipPolicy = { automatic: false, voters: Infinity }

function silenceMilliseconds ({ progress, self }: ConsensusState, identity: string, now: number): number {
  return identity === self ? 0 : now - (progress.get(identity)?.lastReplyAt ?? -Infinity)
}

function isSilent ({ progress, self }: ConsensusState, identity: string, now: number): boolean {
  const lastReplyAt = progress.get(identity)?.lastReplyAt
  return identity !== self && (lastReplyAt === undefined || now - lastReplyAt >= REPLACE_IDENTITY_MILLISECONDS)
}

function planLearnerChange (state: ConsensusState, learner: LogMember, now: number, policy: MembershipPolicy): MembershipChange | undefined {
  if (policy.automatic && silenceMilliseconds(state, learner.identity, now) > REMOVE_LEARNER_MILLISECONDS) return { kind: 'remove', identity: learner.identity }
  if (isSilent(state, learner.identity, now) || !isCaughtUp(state, learner.identity)) return undefined
  const predecessor = state.members.find(({ name, identity }) => name === learner.name && identity !== learner.identity)
  if (predecessor === undefined) return planPromotion(state, learner, now, policy)
  return isSilent(state, predecessor.identity, now) ? { kind: 'remove', identity: predecessor.identity } : undefined
}

/** A learner becomes a voter where one is wanted, or where one has gone for good. */
function planPromotion (state: ConsensusState, learner: LogMember, now: number, { voters: wanted }: MembershipPolicy): MembershipChange | undefined {
  const voters = state.members.filter(({ role }) => role === 'voter')
  if (voters.length < wanted) return { kind: 'promote', identity: learner.identity }
  const silentVoter = voters.find(({ identity }) => silenceMilliseconds(state, identity, now) > REPLACE_VOTER_MILLISECONDS)
  return silentVoter === undefined ? undefined : { kind: 'remove', identity: silentVoter.identity }
}

function planIntroductionChange (state: ConsensusState, introduced: Introduction, now: number, policy: MembershipPolicy): MembershipChange | undefined {
  const known = state.members.find(({ identity }) => identity === introduced.identity)
  if (known !== undefined) {
    const changed = known.host !== introduced.host || known.port !== introduced.port || known.name !== introduced.name || known.failureDomain !== introduced.failureDomain
    return changed ? { kind: 'describe', member: introduced } : undefined
  }
  const predecessors = state.members.filter(({ name }) => name === introduced.name)
  if (policy.automatic && predecessors.length === 0) return { kind: 'add learner', member: introduced }
  if (predecessors.length === 0 || !predecessors.every(({ identity }) => isSilent(state, identity, now))) return undefined
  const learner = predecessors.find(({ role }) => role === 'learner')
  // A learner that was lost again never counted; its place goes to the new one.
  return learner === undefined ? { kind: 'add learner', member: introduced } : { kind: 'remove', identity: learner.identity }
}

/** The next change, if one is due; one at a time, each committed before the next. */
export function planMembershipChange (state: ConsensusState, introductions: readonly Introduction[], now: number, policy: MembershipPolicy = MANUAL_MEMBERSHIP): MembershipChange | undefined {
  if (state.role !== 'leader' || hasUncommittedMembership(state)) return undefined
  for (const introduced of introductions) {
    const change = planIntroductionChange(state, introduced, now, policy)
    if (change !== undefined) return change
  }
  for (const learner of state.members.filter(({ role }) => role === 'learner')) {
    const change = planLearnerChange(state, learner, now, policy)
    if (change !== undefined) return change
  }
  return undefined
}
