/**
 * Divides each client account's rate into shares for its lenders, the entry instances
 * that `chooseLenders` selects. A share stays valid for as long as an instance that
 * control can't reach may serve by its declaration. A share that an instance
 * may still hold is not given to others, so the sum of all shares never exceeds the
 * account's rate.
 *
 * Load pattern: demand that moves between instances (a hash distributes a caller's
 * connections, and failure domains send their callers elsewhere).
 */

import type { BucketLimits } from '../rate/bucket.js'

/** Longest time for which any instance uses its shares after a grant, in milliseconds; what instances of earlier builds do, which state no time. */
export const SHARE_VALIDITY_MILLISECONDS = 12_000
/** Fraction by which the clocks of two machines may differ over a time. */
const CLOCK_DRIFT = 1 / 1_000
/** Fraction of the rate that is divided evenly, so that the first requests at any instance find tokens. */
const EVEN_FRACTION = 0.3
/** Smallest change of a share that is made, as a fraction of the rate: each change is sent to its holder. */
const MINIMUM_CHANGE = 0.02
/** Smallest change as a fraction of an even share; applies where many instances make the shares small. */
const MINIMUM_CHANGE_OF_EVEN_SHARE = 0.25

export interface ShareHolder {
  name: string
  /** Recent demand in operations per second, admitted or not. */
  demand: number
  /** Share of the rate that the instance may still hold, from 0 to 1. */
  held: number
  /** Whether the instance is to hold a share. @default true */
  isLender?: boolean
  /** Whether the instance holds a lease. Without one it can't be notified, and its share does not change. */
  hasLease: boolean
}

/**
 * How long an instance uses its shares after it asked for the grant, in milliseconds: until
 * it may no longer decide by its declaration.
 *
 * Load pattern: half of the instances are cut off for seconds. What they hold is of no use
 * to them once they refuse all operations, and the others lack it until it ends.
 */
export function limitShareUse (trustMilliseconds: number): number {
  return Math.min(SHARE_VALIDITY_MILLISECONDS, trustMilliseconds)
}

/** How long a leader counts shares after it has granted them, in milliseconds, by what the instance states of its use; undefined: an instance of an earlier build. */
export function countShareUse (statedMilliseconds: number | undefined): number {
  return limitShareUse(statedMilliseconds ?? SHARE_VALIDITY_MILLISECONDS) * (1 + CLOCK_DRIFT)
}

/** The share that each holder should have by its demand. */
function computeTargetShares (holders: readonly ShareHolder[]): number[] {
  const lenders = holders.filter(({ isLender = true }) => isLender)
  const even = EVEN_FRACTION / lenders.length
  const total = lenders.reduce((sum, { demand }) => sum + demand, 0)
  return holders.map(({ demand, isLender = true }) => {
    if (!isLender) return 0
    return total === 0 ? 1 / lenders.length : even + (1 - EVEN_FRACTION) * demand / total
  })
}

/**
 * Largest share that a new leader grants before it knows what other instances hold.
 *
 * Load pattern: the whole fleet restarts, no instance holds a share, and all
 * callers return at once.
 */
export const INITIAL_SHARE = 0.12

/**
 * Plans the shares to grant, by holder name. A share shrinks immediately. It grows
 * only by what no instance may still hold, and up to `maximumShare`. `heldElsewhere`
 * is what instances may hold that are not among the holders.
 */
export function planShares (holders: readonly ShareHolder[], maximumShare = 1, heldElsewhere = 0): Map<string, number> {
  const targets = computeTargetShares(holders).map((target, index) => Math.min(target, Math.max(maximumShare, holders[index].held)))
  const minimumChange = Math.min(MINIMUM_CHANGE, MINIMUM_CHANGE_OF_EVEN_SHARE / holders.length)
  let unallocated = 1 - heldElsewhere - holders.reduce((sum, { held }) => sum + held, 0)
  const granted = new Map<string, number>()
  for (const [index, { name, held, hasLease }] of holders.entries()) {
    const isSmallChange = targets[index] > 0 && Math.abs(targets[index] - held) < minimumChange
    if (!hasLease || isSmallChange) {
      granted.set(name, held)
      continue
    }
    const growth = Math.min(Math.max(0, unallocated), Math.max(0, targets[index] - held))
    unallocated -= growth
    granted.set(name, Math.min(targets[index], held) + growth)
  }
  return granted
}

/** How far an account's operations may exceed its rate and burst. */
export interface RateTolerance {
  /** Length of the window over which operations are counted, in seconds. */
  windowSeconds: number
  /** Allowed excess as a fraction of what the limits allow in the window. */
  overage: number
  /** Allowed excess in operations, in addition to `overage`. */
  operations: number
}

export const NO_TOLERANCE: RateTolerance = { windowSeconds: 1, overage: 0, operations: 0 }

/** Fraction of an account's limits that is divided into shares; the rest is a pool from which control lends on request. */
const DISTRIBUTED_FRACTION = 0.65
/** Fraction of the tolerance that is used; the rest covers tokens that were spent for requests still on their way to a server. */
const TOLERANCE_FRACTION = 0.7

function addTolerance ({ rate, burst }: BucketLimits, { windowSeconds, overage, operations }: RateTolerance): BucketLimits {
  return { rate, burst: burst + TOLERANCE_FRACTION * (overage * (rate * windowSeconds + burst) + operations) }
}

function scaleLimits ({ rate, burst }: BucketLimits, factor: number): BucketLimits {
  return { rate: rate * factor, burst: burst * factor }
}

/** The bucket limits of an entry instance with the given share. */
export function computeShareLimits (limits: BucketLimits, share: number, tolerance: RateTolerance): BucketLimits {
  return scaleLimits(addTolerance(limits, tolerance), DISTRIBUTED_FRACTION * share)
}

/**
 * The limits of the bucket from which control lends to instances whose own bucket
 * is empty.
 *
 * Load pattern: a small account's operations arrive in bursts at one instance. Its
 * share alone would refuse operations that the account's rate allows.
 */
export function computePoolLimits (limits: BucketLimits, tolerance: RateTolerance): BucketLimits {
  return scaleLimits(addTolerance(limits, tolerance), 1 - DISTRIBUTED_FRACTION)
}
