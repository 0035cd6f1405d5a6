/** Changes of the membership, one member at a time. */

import { appendEntry } from './replication.js'
import { lastIndex, membershipIndex } from './log.js'
import type { ConsensusState, LogMember, MembershipChange, RequestAnswer, Step } from './types.js'

type MembershipChangers = { [Kind in MembershipChange['kind']]: (state: ConsensusState, change: Extract<MembershipChange, { kind: Kind }>) => LogMember[] | undefined }

const MEMBERSHIP_CHANGERS: MembershipChangers = {
  'add learner': ({ members }, { member }) => {
    if (members.some(({ identity }) => identity === member.identity)) return undefined
    return [...members, { ...member, role: 'learner' }]
  },
  promote: (state, { identity }) => {
    if (!isCaughtUp(state, identity)) return undefined
    return state.members.map(member => member.identity === identity ? { ...member, role: 'voter' } : member)
  },
  remove: ({ members }, { identity }) => {
    const remaining = members.filter(member => member.identity !== identity)
    const voters = remaining.filter(({ role }) => role === 'voter')
    return remaining.length === members.length || voters.length === 0 ? undefined : remaining
  },
  describe: ({ members }, { member }) => {
    if (!members.some(({ identity }) => identity === member.identity)) return undefined
    return members.map(existing => existing.identity === member.identity ? { ...member, role: existing.role } : existing)
  }
}

/** Whether a member holds all committed entries on its disk. */
export function isCaughtUp (state: ConsensusState, identity: string): boolean {
  return (state.progress.get(identity)?.matchIndex ?? -1) >= state.commitIndex
}

/** Whether the latest membership is not committed yet; two uncommitted changes could lead to majorities that don't overlap. */
export function hasUncommittedMembership (state: ConsensusState): boolean {
  return membershipIndex(state) > state.commitIndex
}

export function handleMembershipChange (step: Step, request: number, change: MembershipChange): void {
  const { state } = step
  const reply = (answer: RequestAnswer): void => { step.effects.push({ kind: 'answer', request, answer }) }
  if (state.role !== 'leader') return reply('not leader')
  if (hasUncommittedMembership(state)) return reply('not now')
  const applyChange = MEMBERSHIP_CHANGERS[change.kind] as (state: ConsensusState, change: MembershipChange) => LogMember[] | undefined
  const members = applyChange(state, change)
  if (members === undefined) return reply('refused')
  state.changes = [...state.changes, { request, index: lastIndex(state) + 1 }]
  appendEntry(step, { kind: 'membership', members })
}
