/** Checks of keys, access and rates. */

import type { Operation, Violation } from '../history.js'

/** Account of a key, and when the withdrawal of the key was accepted. */
export interface KeyRecord {
  account: string
  withdrawnAt?: number
}

/** Nothing runs for an account without a key of that account, or on a database that the account may not use. */
export function checkIsolation (operations: readonly Operation[], keys: ReadonlyMap<string, KeyRecord>, allowedDatabases: ReadonlyMap<string, ReadonlySet<string>>): Violation[] {
  return operations
    .filter(({ outcome }) => outcome === 'done' || outcome === 'unknown')
    .filter(({ account, key, database }) => keys.get(key)?.account !== account || allowedDatabases.get(account)?.has(database) !== true)
    .map(operation => ({ problem: `work ran for ${operation.account} on ${operation.database} that its key does not allow`, operations: [operation] }))
}

/** No write runs for callers without a key. */
export function checkOpenRoutes (operations: readonly Operation[], openAccount: string): Violation[] {
  return operations
    .filter(({ account, outcome, values }) => account === openAccount && values !== undefined && outcome !== 'not run' && outcome !== 'failed')
    .map(operation => ({ problem: 'a write ran on a route that is open for reads', operations: [operation] }))
}

/** A cut-off instance keeps serving reads on open routes. */
export function checkServedWhileCut (operations: readonly Operation[], openAccount: string, instances: readonly string[], from: number, until: number, minimum: number): Violation[] {
  return instances.flatMap(instance => {
    const served = operations.filter(({ account, kind, outcome, invokedAt, answeredAt, ...operation }) =>
      operation.instance === instance && account === openAccount && kind === 'read' && outcome === 'done' && invokedAt > from && answeredAt < until)
    return served.length >= minimum ? [] : [{ problem: `${instance}, cut off, served ${served.length} open reads, fewer than ${minimum}`, operations: [] }]
  })
}

/** Nothing runs for a key from `milliseconds` after its withdrawal was accepted. */
export function checkWithdrawn (operations: readonly Operation[], keys: ReadonlyMap<string, KeyRecord>, milliseconds: number): Violation[] {
  return operations.flatMap(operation => {
    const withdrawnAt = keys.get(operation.key)?.withdrawnAt
    if (withdrawnAt === undefined || operation.outcome !== 'done' || operation.invokedAt < withdrawnAt + milliseconds) return []
    return [{ problem: `a key worked ${Math.round(operation.invokedAt - withdrawnAt)} ms after its withdrawal was accepted`, operations: [operation] }]
  })
}

export interface RateLimit {
  rate: number
  burst: number
}

/**
 * In no interval does more run for an account than its rate and burst allow. Only
 * requests that were both invoked and answered within the interval count.
 */
export function checkRate (operations: readonly Operation[], limits: ReadonlyMap<string, RateLimit>): Violation[] {
  return [...limits].flatMap(([account, limit]) => {
    const completed = operations.filter(operation => operation.account === account && operation.outcome === 'done' && operation.kind !== 'connect')
    const worstInterval = findWorstInterval(completed, limit.rate)
    if (worstInterval.excess <= limit.burst) return []
    return [{
      problem: `${account} ran ${worstInterval.count} requests in ${Math.round(worstInterval.until - worstInterval.from)} ms, ${Math.round(worstInterval.excess - limit.burst)} more than ${limit.rate} a second and ${limit.burst} at once`,
      operations: worstInterval.operations.slice(0, 5)
    }]
  })
}

interface RequestInterval {
  from: number
  until: number
  count: number
  /** Requests beyond what the rate alone allows. */
  excess: number
  operations: Operation[]
}

/** Finds the interval with the most requests beyond what the rate alone allows. */
export function findWorstInterval (completed: readonly Operation[], rate: number): RequestInterval {
  const byAnswer = [...completed].sort((left, right) => left.answeredAt - right.answeredAt)
  let worst: RequestInterval = { from: 0, until: 0, count: 0, excess: 0, operations: [] }
  for (const { invokedAt: from } of completed) {
    let count = 0
    for (const { invokedAt, answeredAt: until } of byAnswer) {
      if (invokedAt < from) continue
      count += 1
      const excess = count - rate * (until - from) / 1000
      if (excess > worst.excess) worst = { from, until, count, excess, operations: [] }
    }
  }
  worst.operations = byAnswer.filter(({ invokedAt, answeredAt }) => invokedAt >= worst.from && answeredAt <= worst.until)
  return worst
}

/** No server received a secret text; `found` lists each text that one did. */
export function checkKeysHidden (found: ReadonlyArray<{ member: string, text: string }>): Violation[] {
  return found.map(({ member, text }) => ({ problem: `${member} received ${text}`, operations: [] }))
}
