/** What the control service needs of the log that control instances agree on. */

import type { Introduction, LogMember } from '@cyclamenusher/decisions'

/** What became of a proposed command. */
export type ProposeOutcome<Result> =
  /** On a majority of synced disks, and applied. */
  | { kind: 'applied', result: Result }
  /** Nothing was written; ask the leader, if one is known. */
  | { kind: 'not leader', leader?: string }
  /** It may or may not be accepted: the answer was lost. */
  | { kind: 'unknown' }

/** What became of a change of the membership. */
export type MembershipChangeOutcome = 'changed' | 'refused' | 'not leader' | 'unknown' | 'no candidate' | 'no member'

export interface LogStatus {
  /** Failed: the disk failed, and the instance takes no part. */
  role: 'leader' | 'follower' | 'candidate' | 'learner' | 'failed'
  term: number
  /** Name of the leader; empty when it is not known. */
  leader: string
  commitIndex: number
  voters: string[]
  members: readonly LogMember[]
  /** Instances that run and are no members. */
  candidates: readonly Introduction[]
}

export interface ReplicatedLog<Command, Result> {
  propose: (command: Command) => Promise<ProposeOutcome<Result>>
  /**
   * Resolves with true once a majority has confirmed, after the call, that this
   * instance leads and has applied all that was accepted before the call.
   */
  confirmCurrent: () => Promise<boolean>
  /** Adds a candidate as learner, to be promoted once it holds the state, or removes a member. */
  changeMember: (action: 'add' | 'remove', name: string) => Promise<MembershipChangeOutcome>
  status: () => LogStatus
  close: () => Promise<void>
}

/** The state that a log drives. */
export interface StateMachine<Command, Result> {
  apply: (command: Command) => Result
  snapshot: () => string
  restore: (snapshot: string) => void
}
