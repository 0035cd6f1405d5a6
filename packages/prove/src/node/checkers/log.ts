/** Checks of a history against the logs of the backend servers. */

import type { Operation, Violation } from '../history.js'

export interface CommittedRecord {
  term: number
  position: number
  /** Values that the record appends, in order. */
  values: string[]
}

function countValues (records: readonly CommittedRecord[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { values } of records) for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  return counts
}

function listAppends (operations: readonly Operation[]): Array<Operation & { values: string[] }> {
  return operations.filter((operation): operation is Operation & { values: string[] } => operation.values !== undefined)
}

/** Every acknowledged write is in the last primary's log. */
export function checkAcknowledged (operations: readonly Operation[], log: readonly CommittedRecord[]): Violation[] {
  const counts = countValues(log)
  return listAppends(operations)
    .filter(({ outcome, values }) => outcome === 'done' && values.some(value => !counts.has(value)))
    .map(operation => ({ problem: `an acknowledged write is lost: ${operation.values.join(', ')}`, operations: [operation] }))
}

/** No value is in the log twice. */
export function checkAtMostOnce (operations: readonly Operation[], log: readonly CommittedRecord[]): Violation[] {
  const counts = countValues(log)
  return listAppends(operations)
    .filter(({ values }) => values.some(value => (counts.get(value) ?? 0) > 1))
    .map(operation => ({ problem: `a write ran more than once: ${operation.values.join(', ')}`, operations: [operation] }))
}

/** A write that was reported as not run, or as without effect, is in none of the logs. */
export function checkNotRun (operations: readonly Operation[], logs: ReadonlyArray<readonly CommittedRecord[]>): Violation[] {
  const counts = countValues(logs.flat())
  return listAppends(operations)
    .filter(({ outcome, values }) => (outcome === 'not run' || outcome === 'failed') && values.some(value => counts.has(value)))
    .map(operation => ({ problem: `a write that was reported ${operation.outcome === 'failed' ? 'to have no effect' : 'not to have run'} ran: ${operation.values.join(', ')} (${operation.code})`, operations: [operation] }))
}

/** Each record holds all writes of exactly one operation, in order. */
export function checkTransactions (operations: readonly Operation[], log: readonly CommittedRecord[]): Violation[] {
  const operationsByValue = new Map(listAppends(operations).flatMap(operation => operation.values.map(value => [value, operation] as const)))
  return log.flatMap(({ position, values }) => {
    const knownValues = values.filter(value => operationsByValue.has(value))
    if (knownValues.length === 0) return []
    const expectedOperation = operationsByValue.get(knownValues[0])
    if (expectedOperation?.values.join() === values.join()) return []
    const involved = [...new Set(knownValues.flatMap(value => operationsByValue.get(value) ?? []))]
    return [{ problem: `record ${position} mixes transactions or holds only part of one: ${values.join(', ')}`, operations: involved }]
  })
}
