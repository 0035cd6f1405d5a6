/**
 * Plans the next membership change of a leader. An instance that lost its disk
 * returns under a new identity: it first receives the log as a learner, then the
 * old identity is removed, and only then is the new one promoted to voter.
 */

import { isCaughtUp, hasUncommittedMembership } from './membership.js'
import type { ConsensusState, LogMember, MembershipChange } from './types.js'

/** A running instance, as it introduced itself. */
export type Introduction = Omit<LogMember, 'role'>

/** Silence after which an identity may be replaced by a new one of the same instance, in milliseconds. */
export const REPLACE_IDENTITY_MILLISECONDS = 1_500

/** Silence after which a voter is replaced by a waiting learner, in milliseconds; longer than a restart. */
const REPLACE_VOTER_MILLISECONDS = 3_000
/** Silence after which a learner is removed, in milliseconds. */
const REMOVE_LEARNER_MILLISECONDS = 15_000

/** How instances join and leave without an operator. */
export interface MembershipPolicy {
  /** Whether instances with new names join automatically and replace silent voters. */
  automatic: boolean
  /** Target number of voters: 2n + 1 to tolerate the loss of n. */
  voters: number
}

/** Operators add and remove members; only an instance that lost its disk is replaced automatically. */
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

/** Promotes a learner if there are too few voters; otherwise removes a silent voter, so that the learner can replace it. */
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
  // A learner that was lost never counted towards majorities: it is removed before the new one is added.
  return learner === undefined ? { kind: 'add learner', member: introduced } : { kind: 'remove', identity: learner.identity }
}

/** Returns the next change, if one is due; each change must be committed before the next. */
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
