/** Errors of the command line, and the exit codes that scripts read. */

/** Exit codes; docs/OPERATORS.md lists them. */
export const EXIT_CODES = { success: 0, unreachable: 1, usage: 2, invalid: 3, conflict: 4, unknown: 5, refused: 6 } as const

export type ErrorKind = Exclude<keyof typeof EXIT_CODES, 'success'>

/** A command that failed. Its message names the problem and a remedy. */
export class CommandError extends Error {
  override readonly name = 'CommandError'
  constructor (readonly kind: ErrorKind, problem: string, remedy: string) {
    super(`${problem}. ${remedy}.`)
  }
}
