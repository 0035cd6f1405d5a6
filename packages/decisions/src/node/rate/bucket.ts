/** A token bucket on a clock that the caller passes in. */

export interface Bucket {
  tokens: number
  /** Time of the last refill, in milliseconds. */
  refilledAt: number
}

export interface BucketLimits {
  /** Tokens a second. */
  rate: number
  /** Most tokens that the bucket holds. */
  burst: number
}

/** Returns the bucket with the tokens accrued since its last refill. A clock that goes back adds none. */
export function refillBucket (bucket: Bucket, limits: BucketLimits, now: number): Bucket {
  const elapsed = Math.max(0, now - bucket.refilledAt)
  const tokens = Math.min(limits.burst, bucket.tokens + elapsed * limits.rate / 1000)
  return { tokens, refilledAt: Math.max(now, bucket.refilledAt) }
}

/** Takes one token if there is one. */
export function takeFromBucket (bucket: Bucket, limits: BucketLimits, now: number): { bucket: Bucket, taken: boolean } {
  const refilled = refillBucket(bucket, limits, now)
  if (refilled.tokens < 1) return { bucket: refilled, taken: false }
  return { bucket: { ...refilled, tokens: refilled.tokens - 1 }, taken: true }
}

/** How long until the bucket holds a whole token, in milliseconds, if none is taken; infinite if it never will. */
export function timeUntilToken (bucket: Bucket, limits: BucketLimits, now: number): number {
  const { tokens } = refillBucket(bucket, limits, now)
  if (tokens >= 1) return 0
  return limits.burst < 1 || limits.rate <= 0 ? Infinity : (1 - tokens) * 1000 / limits.rate
}
