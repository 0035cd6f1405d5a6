/**
 * Which operations of the pools of rates are spent when the leader of control changes.
 * The pools are in the leader's memory; what it lent is known to the instances that
 * borrowed, and they report it to the next leader.
 *
 * Load pattern: accounts near their rate while the leader changes. Pools that start empty
 * lend one operation at a time, so that the new leader is asked again and again while
 * operations within the rate are refused.
 */

import { refillBucket } from '../rate/bucket.js'
import type { Bucket, BucketLimits } from '../rate/bucket.js'

/** How long an instance remembers what it borrowed from control, in milliseconds: longer than most pools take to fill. */
export const LOAN_MEMORY_MILLISECONDS = 6_000

/** Operations of an account that an instance borrowed from control. One that was lent in an answer that came too late is not spent by anyone, and not reported. */
export interface ReportedLoan {
  account: string
  operations: number
  /** Time since the answer came, in milliseconds. */
  ago: number
}

/** What an instance remembers of its loans. */
export interface LoanReport {
  /** How far back the list is complete, in milliseconds. */
  completeFor: number
  loans: ReportedLoan[]
}

export interface PoolLoan {
  operations: number
  /** On the leader's clock, in milliseconds; not earlier than the loan. */
  at: number
}

/** All loans of the pools since a time. What a pool held then is not known, and taken to be nothing. */
export interface LoanHistory {
  since: number
  loans: ReadonlyMap<string, readonly PoolLoan[]>
}

/** Combines the reports of all instances, each with the time at which it was received. */
export function combineLoanReports (reports: ReadonlyArray<{ report: LoanReport | undefined, receivedAt: number }>): LoanHistory {
  const since = Math.max(...reports.map(({ report, receivedAt }) => receivedAt - Math.min(LOAN_MEMORY_MILLISECONDS, report?.completeFor ?? 0)))
  const loans = new Map<string, PoolLoan[]>()
  for (const { report, receivedAt } of reports) {
    for (const { account, operations, ago } of report?.loans ?? []) loans.set(account, [...loans.get(account) ?? [], { operations, at: receivedAt - ago }])
  }
  return { since, loans }
}

/** The least that a pool holds now after these loans, whatever it held at `since`. */
export function replayLoans (limits: BucketLimits, loans: readonly PoolLoan[], since: number, now: number): Bucket {
  const inOrder = [...loans].sort((left, right) => left.at - right.at)
  const spent = inOrder.reduce<Bucket>((bucket, { operations, at }) => {
    const refilled = refillBucket(bucket, limits, at)
    return { ...refilled, tokens: Math.max(0, refilled.tokens - operations) }
  }, { tokens: 0, refilledAt: since })
  return refillBucket(spent, limits, now)
}
