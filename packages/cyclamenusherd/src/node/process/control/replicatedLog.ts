/** Interface of the log that the control instances agree on, as the control service uses it. */

import type { Introduction, LogMember } from '@cyclamenusher/decisions'

/** Outcome of a proposed command. */
export type ProposeOutcome<Result> =
  /** Synced to the disks of a majority, and applied. */
  | { kind: 'applied', result: Result }
  /** Nothing was written; propose it to the leader, if one is known. */
  | { kind: 'not leader', leader?: string }
  /** It may or may not be accepted: no answer arrived in time. */
  | { kind: 'unknown' }

/** Outcome of a membership change. */
export type MembershipChangeOutcome = 'changed' | 'refused' | 'not leader' | 'unknown' | 'no candidate' | 'no member'

export interface LogStatus {
  /** `awaiting disk`: the disk refuses writes, and the instance takes no part in consensus until it takes them again. `failed`: it takes no part any more until it is restarted. */
  role: 'leader' | 'follower' | 'candidate' | 'learner' | 'awaiting disk' | 'failed'
  term: number
  /** Name of the leader; empty if it is not known. */
  leader: string
  commitIndex: number
  voters: string[]
  members: readonly LogMember[]
  /** Running instances that are not members. */
  candidates: readonly Introduction[]
}

export interface ReplicatedLog<Command, Result> {
  propose: (command: Command) => Promise<ProposeOutcome<Result>>
  /**
   * Resolves with true once a majority has confirmed, after the call, that this
   * instance leads, and this instance has applied every command accepted before
   * the call: its state is then current.
   */
  confirmLeadership: () => Promise<boolean>
  /** Adds a candidate as a learner, which is promoted once it holds the state, or removes a member. */
  changeMember: (action: 'add' | 'remove', name: string) => Promise<MembershipChangeOutcome>
  status: () => LogStatus
  close: () => Promise<void>
}

/** The state machine to which the commands of a log are applied. */
export interface StateMachine<Command, Result> {
  apply: (command: Command) => Result
  snapshot: () => string
  restore: (snapshot: string) => void
}
