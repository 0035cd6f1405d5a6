/** Checks of what a session reads against what it wrote. */

import type { Operation, Violation } from '../history.js'

/**
 * Each register is written by one session, with rising numbers. A session reads
 * at least the last number that was acknowledged to it before, at least any that
 * it has read before, and never one that it has not written.
 */
export function checkReadYourWrites (operations: readonly Operation[]): Violation[] {
  const violations: Violation[] = []
  const registers = new Map<string, { minimum: number, highestInvoked: number, shownByOperation: Operation }>()
  for (const operation of [...operations].sort((left, right) => left.invokedAt - right.invokedAt)) {
    const { kind, register, number } = operation
    if (register === undefined || number === undefined) continue
    const registerState = registers.get(register) ?? { minimum: 0, highestInvoked: 0, shownByOperation: operation }
    registers.set(register, registerState)
    if (kind === 'put') registerState.highestInvoked = Math.max(registerState.highestInvoked, number)
    if (operation.outcome !== 'done') continue
    if (kind === 'get' && number < registerState.minimum) {
      violations.push({ problem: `session ${operation.session} read ${number} of ${register} after ${registerState.minimum}`, operations: [registerState.shownByOperation, operation] })
    }
    if (kind === 'get' && number > registerState.highestInvoked) {
      violations.push({ problem: `session ${operation.session} read ${number} of ${register}, which nobody wrote`, operations: [operation] })
    }
    if (number > registerState.minimum) {
      registerState.minimum = number
      registerState.shownByOperation = operation
    }
  }
  return violations
}

/** Each answer holds exactly what was asked for. */
export function checkAnswers (operations: readonly Operation[]): Violation[] {
  return operations
    .filter(({ outcome, expected, given }) => outcome === 'done' && expected !== undefined && expected !== given)
    .map(operation => ({ problem: `an answer is another's, or not whole: wanted ${summarize(operation.expected)}, got ${summarize(operation.given)}`, operations: [operation] }))
}

/** Nothing that another's transaction left behind shows. */
export function checkLeaks (operations: readonly Operation[]): Violation[] {
  return operations.flatMap(operation => operation.leaked === undefined
    ? []
    : [{ problem: `a transaction saw what another left: ${operation.leaked}`, operations: [operation] }])
}

function summarize (text: string | undefined): string {
  return text === undefined ? 'nothing' : text.length > 60 ? `${text.slice(0, 60)}... (${text.length} characters)` : text
}
