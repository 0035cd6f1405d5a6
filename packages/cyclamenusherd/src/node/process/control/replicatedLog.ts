/** What the control service needs of the log that control instances agree on. */

/** What became of a proposed command. */
export type ProposeOutcome<Result> =
  /** On a majority of synced disks, and applied. */
  | { kind: 'applied', result: Result }
  /** Nothing was written; ask the leader, if one is known. */
  | { kind: 'not leader', leader?: string }
  /** It may or may not be accepted: the answer was lost. */
  | { kind: 'unknown' }

export interface LogStatus {
  role: 'leader' | 'follower' | 'candidate' | 'learner'
  term: number
  leader: string
  commitIndex: number
  voters: string[]
}

export interface ReplicatedLog<Command, Result> {
  propose: (command: Command) => Promise<ProposeOutcome<Result>>
  /**
   * Resolves with true once a majority has confirmed, after the call, that this
   * instance leads and has applied all that was accepted before the call.
   */
  confirmCurrent: () => Promise<boolean>
  status: () => LogStatus
  close: () => Promise<void>
}

/** The state that a log drives. */
export interface StateMachine<Command, Result> {
  apply: (command: Command) => Result
  snapshot: () => string
  restore: (snapshot: string) => void
}
