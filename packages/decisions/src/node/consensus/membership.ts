/** Changes of the membership, one member at a time. */

import { appendEntry } from './replication.js'
import { lastIndex, membershipIndex } from './log.js'
import type { ConsensusState, LogMember, MembershipChange, RequestAnswer, Step } from './types.js'

type Changers = { [Kind in MembershipChange['kind']]: (state: ConsensusState, change: Extract<MembershipChange, { kind: Kind }>) => LogMember[] | undefined }

const CHANGERS: Changers = {
  'add learner': ({ members }, { member }) => {
    if (members.some(({ identity }) => identity === member.identity)) return undefined
    return [...members, { ...member, role: 'learner' }]
  },
  promote: (state, { identity }) => {
    if (!isCaughtUp(state, identity)) return undefined
    return state.members.map(member => member.identity === identity ? { ...member, role: 'voter' } : member)
  },
  remove: ({ members }, { identity }) => {
    const rest = members.filter(member => member.identity !== identity)
    const voters = rest.filter(({ role }) => role === 'voter')
    return rest.length === members.length || voters.length === 0 ? undefined : rest
  },
  describe: ({ members }, { member }) => {
    if (!members.some(({ identity }) => identity === member.identity)) return undefined
    return members.map(known => known.identity === member.identity ? { ...member, role: known.role } : known)
  }
}

/** Whether a member holds, on its disk, all that is committed. */
export function isCaughtUp (state: ConsensusState, identity: string): boolean {
  return (state.progress.get(identity)?.matchIndex ?? -1) >= state.commitIndex
}

/** Two changes that are not committed could make majorities that do not meet. */
export function isChanging (state: ConsensusState): boolean {
  return membershipIndex(state) > state.commitIndex
}

export function receiveChange (step: Step, request: number, change: MembershipChange): void {
  const { state } = step
  const answer = (text: RequestAnswer): void => { step.effects.push({ kind: 'answer', request, answer: text }) }
  if (state.role !== 'leader') return answer('not leader')
  if (isChanging(state)) return answer('not now')
  const changer = CHANGERS[change.kind] as (state: ConsensusState, change: MembershipChange) => LogMember[] | undefined
  const members = changer(state, change)
  if (members === undefined) return answer('refused')
  state.changes = [...state.changes, { request, index: lastIndex(state) + 1 }]
  appendEntry(step, { kind: 'membership', members })
}
