/**
 * Shares of each client account's rate for the entry instances. A share is held
 * for a long term, so that an instance that control can't reach for a while
 * keeps serving its part; what it may still hold is not given to others. The
 * sum of what all may hold never exceeds the account's rate.
 *
 * Load pattern: demand that moves between instances (a caller's connections are
 * spread by a hash, and failure domains send their callers elsewhere).
 */

import type { BucketLimits } from '../rate/bucket.js'

/** How long a share is valid, in milliseconds: outlasts the cuts and elections that a share must bridge. */
export const SHARE_VALIDITY_MILLISECONDS = 12_000
/** Part of the rate that is spread evenly, so that first requests anywhere find tokens. */
const EVEN_FRACTION = 0.3
/** Change of a share, as part of the rate, below which it stays as it is: each change is told to its holder. */
const MINIMUM_CHANGE = 0.02
/** The same as part of an even share, where many instances make shares small. */
const MINIMUM_CHANGE_OF_EVEN_SHARE = 0.25

export interface ShareHolder {
  name: string
  /** Operations a second that lately asked, admitted or not. */
  demand: number
  /** Part of the rate that it may still hold, from 0 to 1. */
  held: number
  /** Whether its part may change now: it is there to hear of it. */
  hasLease: boolean
}

/** The part of the rate that each holder should have, by its demand. */
function computeTargetShares (holders: readonly ShareHolder[]): number[] {
  const even = EVEN_FRACTION / holders.length
  const total = holders.reduce((sum, { demand }) => sum + demand, 0)
  return holders.map(({ demand }) => total === 0 ? 1 / holders.length : even + (1 - EVEN_FRACTION) * demand / total)
}

/**
 * Most that an instance gets from a leader that does not know yet what others
 * hold.
 *
 * Load pattern: a fleet that starts again as a whole, where nobody holds a part
 * and every caller is back at once.
 */
export const INITIAL_SHARE = 0.12

/**
 * The parts to grant now, by name. A part shrinks at once and grows only by
 * what nobody may still hold, and to `most` at most.
 */
export function planShares (holders: readonly ShareHolder[], maximumShare = 1): Map<string, number> {
  const targets = computeTargetShares(holders).map((target, index) => Math.min(target, Math.max(maximumShare, holders[index].held)))
  const minimumChange = Math.min(MINIMUM_CHANGE, MINIMUM_CHANGE_OF_EVEN_SHARE / holders.length)
  let unallocated = 1 - holders.reduce((sum, { held }) => sum + held, 0)
  const granted = new Map<string, number>()
  for (const [index, { name, held, hasLease }] of holders.entries()) {
    if (!hasLease || Math.abs(targets[index] - held) < minimumChange) {
      granted.set(name, held)
      continue
    }
    const growth = Math.min(Math.max(0, unallocated), Math.max(0, targets[index] - held))
    unallocated -= growth
    granted.set(name, Math.min(targets[index], held) + growth)
  }
  return granted
}

/** How far the operators let an account's operations exceed its rate and burst. */
export interface RateTolerance {
  /** Span over which operations are counted, in seconds. */
  windowSeconds: number
  /** Part of what the limits allow in that span. */
  overage: number
  /** Operations beside that. */
  operations: number
}

export const NO_TOLERANCE: RateTolerance = { windowSeconds: 1, overage: 0, operations: 0 }

/** Part of an account's limits that entry instances hold; the rest is a pool that control lends from at once. */
const DISTRIBUTED_FRACTION = 0.65
/** Part of the tolerance that is used; the rest covers tokens that were spent on the way to a server. */
const TOLERANCE_FRACTION = 0.7

function addTolerance ({ rate, burst }: BucketLimits, { windowSeconds, overage, operations }: RateTolerance): BucketLimits {
  return { rate, burst: burst + TOLERANCE_FRACTION * (overage * (rate * windowSeconds + burst) + operations) }
}

function scaleLimits ({ rate, burst }: BucketLimits, factor: number): BucketLimits {
  return { rate: rate * factor, burst: burst * factor }
}

/** The bucket of an entry instance that holds a part of an account's limits. */
export function computeShareLimits (limits: BucketLimits, share: number, tolerance: RateTolerance): BucketLimits {
  return scaleLimits(addTolerance(limits, tolerance), DISTRIBUTED_FRACTION * share)
}

/**
 * The bucket that control lends from to instances whose own is empty.
 *
 * Load pattern: a small account's operations come in bunches at one instance,
 * whose part alone would refuse what the account's rate allows.
 */
export function computePoolLimits (limits: BucketLimits, tolerance: RateTolerance): BucketLimits {
  return scaleLimits(addTolerance(limits, tolerance), 1 - DISTRIBUTED_FRACTION)
}
