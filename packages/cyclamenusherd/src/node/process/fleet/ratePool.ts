/** Lends operations from a pool of each account's rate to entry instances whose own share is spent. */

import { computePoolLimits, refillBucket, timeUntilToken } from '@cyclamenusher/decisions'
import type { BorrowReply, Bucket, Declaration, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

export interface RatePool {
  /** Takes up to `wanted` operations from the account's pool. */
  lend: (account: string, wanted: number) => BorrowReply
}

export function createRatePool (declaration: () => Declaration | undefined, tolerance: RateTolerance, clock: Clock): RatePool {
  // The buckets start empty, because the previous leader may have just lent everything.
  const startedAt = clock.now()
  const buckets = new Map<string, Bucket>()
  return {
    lend: (name, wanted) => {
      const account = declaration()?.accounts.find(candidate => candidate.name === name)
      if (account === undefined) return { granted: 0 }
      const limits = computePoolLimits({ rate: account.ratePerSecond, burst: account.burst }, tolerance)
      const bucket = refillBucket(buckets.get(name) ?? { tokens: 0, refilledAt: startedAt }, limits, clock.now())
      const granted = Math.max(0, Math.min(Math.floor(wanted), Math.floor(bucket.tokens)))
      const remaining = { ...bucket, tokens: bucket.tokens - granted }
      buckets.set(name, remaining)
      const emptyMilliseconds = Math.ceil(timeUntilToken(remaining, limits, clock.now()))
      return granted < wanted && emptyMilliseconds < Infinity ? { granted, emptyMilliseconds } : { granted }
    }
  }
}
