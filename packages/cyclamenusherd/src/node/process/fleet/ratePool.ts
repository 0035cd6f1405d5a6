/** Lends operations from a pool of each account's rate to entry instances whose own share is spent. */

import { LOAN_HISTORY_TIMEOUT_MILLISECONDS, computePoolLimits, refillBucket, replayLoans, timeUntilToken } from '@cyclamenusher/decisions'
import type { BorrowReply, Bucket, Declaration, LoanHistory, PoolLoan, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

export interface RatePool {
  /** Takes up to `wanted` operations from the account's pool. */
  lend: (account: string, wanted: number) => BorrowReply
  /** Fills the pools by what earlier leaders lent; without effect after the first time. */
  adoptHistory: (history: LoanHistory) => void
}

export function createRatePool (declaration: () => Declaration | undefined, tolerance: RateTolerance, clock: Clock): RatePool {
  // The buckets start empty, because the previous leader may have just lent everything.
  const startedAt = clock.now()
  const buckets = new Map<string, Bucket>()
  /** Loans of this leader until it knows those of earlier ones, by account. */
  const ownLoans = new Map<string, PoolLoan[]>()
  let history: LoanHistory | undefined

  /** The bucket of an account that has not been lent from since the history is known. */
  function createBucket (name: string, limits: { rate: number, burst: number }): Bucket {
    if (history === undefined) return { tokens: 0, refilledAt: startedAt }
    return replayLoans(limits, [...history.loans.get(name) ?? [], ...ownLoans.get(name) ?? []], Math.min(history.since, startedAt), clock.now())
  }

  return {
    lend: (name, wanted) => {
      const account = declaration()?.accounts.find(candidate => candidate.name === name)
      if (account === undefined) return { granted: 0 }
      const now = clock.now()
      const limits = computePoolLimits({ rate: account.ratePerSecond, burst: account.burst }, tolerance)
      const bucket = refillBucket(buckets.get(name) ?? createBucket(name, limits), limits, now)
      const granted = Math.max(0, Math.min(Math.floor(wanted), Math.floor(bucket.tokens)))
      const remaining = { ...bucket, tokens: bucket.tokens - granted }
      buckets.set(name, remaining)
      const mayLearnHistory = history === undefined && now - startedAt < LOAN_HISTORY_TIMEOUT_MILLISECONDS
      if (mayLearnHistory && granted > 0) ownLoans.set(name, [...ownLoans.get(name) ?? [], { operations: granted, at: now }])
      const emptyMilliseconds = Math.ceil(timeUntilToken(remaining, limits, now))
      return granted < wanted && emptyMilliseconds < Infinity ? { granted, emptyMilliseconds } : { granted }
    },
    adoptHistory: received => {
      if (history !== undefined) return
      history = received
      buckets.clear()
    }
  }
}
