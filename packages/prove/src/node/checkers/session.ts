/** Checks of what a session reads against what it wrote. */

import type { Operation, Violation } from '../history.js'

/**
 * Checks read-your-writes on registers, each of which one session writes with
 * increasing numbers. A read returns at least the last number acknowledged to the
 * session, at least any number that it has read before, and never one that it has
 * not written.
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

/** Each answer holds exactly the expected rows. */
export function checkAnswers (operations: readonly Operation[]): Violation[] {
  return operations
    .filter(({ outcome, expected, given }) => outcome === 'done' && expected !== undefined && expected !== given)
    .map(operation => ({ problem: `an answer belongs to another request or is incomplete: expected ${summarize(operation.expected)}, received ${summarize(operation.given)}`, operations: [operation] }))
}

/** No transaction sees a setting that another transaction left. */
export function checkLeaks (operations: readonly Operation[]): Violation[] {
  return operations.flatMap(operation => operation.leaked === undefined
    ? []
    : [{ problem: `a transaction saw a setting that another left: ${operation.leaked}`, operations: [operation] }])
}

function summarize (text: string | undefined): string {
  return text === undefined ? 'nothing' : text.length > 60 ? `${text.slice(0, 60)}... (${text.length} characters)` : text
}
