/** Decides what a caller is told of a statement that its instance gives up, because it ends. */

/** What of a statement decides what became of it. */
export interface CutStatement {
  /** What the statement does outside and within transactions. */
  access: 'begin' | 'read' | 'write' | 'commit'
  /** Whether it belongs to an open transaction; a commit does. */
  isInTransaction: boolean
  /** Whether the transaction has written. */
  hasWritten: boolean
}

export type CutOutcome =
  /** It did not run. */
  | 'busy'
  /** Nothing of its transaction is kept: the server rolls back when the connection closes. */
  | 'aborted'
  /** It may have run, and has changed nothing. */
  | 'timeout'
  /** It may have taken effect. */
  | 'in doubt'

/** A statement may have reached a server by now, so that only what keeps nothing in any case is promised to keep nothing. */
export function assessCutStatement ({ access, isInTransaction, hasWritten }: CutStatement): CutOutcome {
  if (access === 'begin') return 'busy'
  if (access === 'commit') return hasWritten ? 'in doubt' : 'aborted'
  if (isInTransaction) return 'aborted'
  return access === 'write' ? 'in doubt' : 'timeout'
}
