/** Lends operations from a pool of each account's rate to entry instances whose own share is spent. */

import { computePoolLimits, refillBucket } from '@cyclamenusher/decisions'
import type { Bucket, Declaration, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

export interface RatePool {
  /** Takes up to `wanted` operations from the account's pool, and returns how many were granted. */
  lend: (account: string, wanted: number) => number
}

export function createRatePool (declaration: () => Declaration | undefined, tolerance: RateTolerance, clock: Clock): RatePool {
  // The buckets start empty, because the previous leader may have just lent everything.
  const startedAt = clock.now()
  const buckets = new Map<string, Bucket>()
  return {
    lend: (name, wanted) => {
      const account = declaration()?.accounts.find(candidate => candidate.name === name)
      if (account === undefined) return 0
      const limits = computePoolLimits({ rate: account.ratePerSecond, burst: account.burst }, tolerance)
      const bucket = refillBucket(buckets.get(name) ?? { tokens: 0, refilledAt: startedAt }, limits, clock.now())
      const granted = Math.max(0, Math.min(Math.floor(wanted), Math.floor(bucket.tokens)))
      buckets.set(name, { ...bucket, tokens: bucket.tokens - granted })
      return granted
    }
  }
}
