/** Checks of what a session reads against what it wrote. */

import type { Operation, Violation } from '../history.js'

/**
 * Each register is written by one session, with rising numbers. A session reads
 * at least the last number that was acknowledged to it before, at least any that
 * it has read before, and never one that it has not written.
 */
export function checkReadYourWrites (operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = []
  const registers = new Map<string, { least: number, invoked: number, shownBy: Operation }>()
  for (const operation of [...operations].sort((left, right) => left.invokedAt - right.invokedAt)) {
    const { kind, register, number } = operation
    if (register === undefined || number === undefined) continue
    const known = registers.get(register) ?? { least: 0, invoked: 0, shownBy: operation }
    registers.set(register, known)
    if (kind === 'put') known.invoked = Math.max(known.invoked, number)
    if (operation.outcome !== 'done') continue
    if (kind === 'get' && number < known.least) {
      violations.push({ problem: `session ${operation.session} read ${number} of ${register} after ${known.least}`, operations: [known.shownBy, operation] })
    }
    if (kind === 'get' && number > known.invoked) {
      violations.push({ problem: `session ${operation.session} read ${number} of ${register}, which nobody wrote`, operations: [operation] })
    }
    if (number > known.least) {
      known.least = number
      known.shownBy = operation
    }
  }
  return violations
}

/** Each answer holds exactly what was asked for. */
export function checkAnswers (operations: readonly Operation[]): Violation[] {
  return operations
    .filter(({ outcome, expected, given }) => outcome === 'done' && expected !== undefined && expected !== given)
    .map(operation => ({ problem: `an answer is another's, or not whole: wanted ${summary(operation.expected)}, got ${summary(operation.given)}`, operations: [operation] }))
}

/** Nothing that another's transaction left behind shows. */
export function checkLeaks (operations: readonly Operation[]): Violation[] {
  return operations.flatMap(operation => operation.leaked === undefined
    ? []
    : [{ problem: `a transaction saw what another left: ${operation.leaked}`, operations: [operation] }])
}

function summary (text: string | undefined): string {
  return text === undefined ? 'nothing' : text.length > 60 ? `${text.slice(0, 60)}... (${text.length} characters)` : text
}
