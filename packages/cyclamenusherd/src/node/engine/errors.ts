/** Errors of the session engine. */

import type { FailureKind } from './statement.js'

/** Failure of a statement, as it is reported to the caller. */
export class StatementFailure extends Error {
  override name = 'StatementFailure'
  constructor (readonly kind: FailureKind, explanation: string) {
    super(explanation)
  }
}

export type OpenFailure = 'refused' | 'no answer' | FailureKind

/** A connection to a backend server could not be opened. */
export class OpenError extends Error {
  override name = 'OpenError'
  constructor (readonly failure: OpenFailure, explanation: string) {
    super(explanation)
  }
}
