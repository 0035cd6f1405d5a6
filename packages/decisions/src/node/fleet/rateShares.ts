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
export const SHARE_MILLISECONDS = 12_000
/** Part of the rate that is spread evenly, so that first requests anywhere find tokens. */
const EVEN_PART = 0.3
/** Change of a share, as part of the rate, below which it stays as it is. */
const MINIMUM_CHANGE = 0.02

export interface ShareHolder {
  name: string
  /** Operations a second that lately asked, admitted or not. */
  demand: number
  /** Part of the rate that it may still hold, from 0 to 1. */
  held: number
  /** Whether its part may change now: it is there to hear of it. */
  present: boolean
}

/** The part of the rate that each holder should have, by its demand. */
function wantedParts (holders: readonly ShareHolder[]): number[] {
  const even = EVEN_PART / holders.length
  const total = holders.reduce((sum, { demand }) => sum + demand, 0)
  return holders.map(({ demand }) => total === 0 ? 1 / holders.length : even + (1 - EVEN_PART) * demand / total)
}

/**
 * The parts to grant now, by name. A part shrinks at once and grows only by
 * what nobody may still hold.
 */
export function planShares (holders: readonly ShareHolder[]): Map<string, number> {
  const wanted = wantedParts(holders)
  let free = 1 - holders.reduce((sum, { held }) => sum + held, 0)
  const granted = new Map<string, number>()
  for (const [place, { name, held, present }] of holders.entries()) {
    if (!present || Math.abs(wanted[place] - held) < MINIMUM_CHANGE) {
      granted.set(name, held)
      continue
    }
    const growth = Math.min(Math.max(0, free), Math.max(0, wanted[place] - held))
    free -= growth
    granted.set(name, Math.min(wanted[place], held) + growth)
  }
  return granted
}

/** The bucket that a part of an account's limits makes. */
export function partLimits ({ rate, burst }: BucketLimits, part: number): BucketLimits {
  return { rate: rate * part, burst: burst * part }
}
