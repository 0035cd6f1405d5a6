/**
 * Divides the statements that a cold server may receive among the holders of its group.
 *
 * Load pattern: a backend server is slow for a time after its start, and several holders
 * that choose it at the same moment would overload it, whether or not they reach control.
 *
 * In any second an instance sends at most its burst and one second of its rate. The sums of
 * both over all valid shares never exceed those of the rule, whoever holds them. A bucket
 * starts empty, so that a window in which a share moves counts no burst twice.
 */

import { rankManyNodes } from '../group/rendezvous.js'
import type { BucketLimits } from '../rate/bucket.js'

/** Statements that a cold server may receive: a token bucket at one instance. */
export type WarmupShare = BucketLimits

export interface WarmupTolerance {
  /** Factor by which the declared rate may be exceeded. */
  overage: number
  /** Requests a second that are allowed in addition. */
  requests: number
}

export const DEFAULT_WARMUP_TOLERANCE: WarmupTolerance = { overage: 1.5, requests: 5 }

export const NO_WARMUP_SHARE: WarmupShare = { rate: 0, burst: 0 }

/** Fraction of the limit that may be sent at once. */
const BURST_FRACTION = 0.4
/** Largest total burst: a token for each of the holders of a group in six failure domains. */
const MAXIMUM_BURST = 12
/** Window in which a share stays within the rule, in seconds: statements sent over one second may arrive within 0.1 s less. */
const WINDOW_SECONDS = 1.1

/** Most requests that all instances together may send a cold server within a second. */
export function computeWarmupLimit (requestsPerSecond: number, { overage, requests }: WarmupTolerance): number {
  return requestsPerSecond * overage + requests
}

/** Rate and burst of all instances together. */
export function splitWarmupLimit (limit: number): WarmupShare {
  const burst = Math.min(limit, Math.max(1, Math.min(limit * BURST_FRACTION, MAXIMUM_BURST)))
  return { burst, rate: (limit - burst) / WINDOW_SECONDS }
}

/** The larger rate and the larger burst of two shares, of which an instance holds one. */
export function joinWarmupShares (left: WarmupShare, right: WarmupShare): WarmupShare {
  return { rate: Math.max(left.rate, right.rate), burst: Math.max(left.burst, right.burst) }
}

/** Chooses the holders that get a share: each share needs at least one whole token. */
function chooseShareHolders (member: string, total: WarmupShare, holders: readonly string[]): string[] {
  return rankManyNodes(member, [...holders]).slice(0, Math.floor(total.burst + 1e-9))
}

/**
 * Plans the shares of one cold server. `held` is what each instance may still use, also
 * instances that are no holders any more; it is given to nobody else.
 */
export function planWarmupShares (member: string, limit: number, holders: readonly string[], held: ReadonlyMap<string, WarmupShare>): Map<string, WarmupShare> {
  const total = splitWarmupLimit(limit)
  const chosen = chooseShareHolders(member, total, holders)
  const free = { ...total }
  for (const { rate, burst } of held.values()) {
    free.rate -= rate
    free.burst -= burst
  }
  const planned = new Map<string, WarmupShare>()
  for (const name of chosen) {
    const own = held.get(name) ?? NO_WARMUP_SHARE
    const rate = Math.min(total.rate / chosen.length, own.rate + Math.max(0, free.rate))
    const burst = Math.min(total.burst / chosen.length, own.burst + Math.max(0, free.burst))
    free.rate -= Math.max(0, rate - own.rate)
    free.burst -= Math.max(0, burst - own.burst)
    // A bucket that holds no whole token is of no use.
    if (burst >= 1 - 1e-9 && rate > 0) planned.set(name, { rate, burst: Math.max(1, burst) })
  }
  return planned
}

/** Difference between the announced and the known end of a cold phase that is published, in milliseconds: above the jitter of announcements. */
const PUBLISHED_DIFFERENCE_MILLISECONDS = 300

/** Whether an announcement changes when a server is expected to be warm. */
export function isWarmupChanged (knownUntil: number, announcedMilliseconds: number, now: number): boolean {
  const known = Math.max(0, knownUntil - now)
  return Math.abs(known - announcedMilliseconds) > PUBLISHED_DIFFERENCE_MILLISECONDS
}

/** How much later than a loss an announcement must arrive to be newer than it, in milliseconds: one that was sent before may have been on its way. */
const ANNOUNCEMENT_DELAY_MILLISECONDS = 300

/** Whether an announcement is newer than the loss of a connection to its server, both by when the leader learned of them. */
export function isAnnouncedSince (lostAt: number, announcedAt: number | undefined): boolean {
  return announcedAt !== undefined && announcedAt > lostAt + ANNOUNCEMENT_DELAY_MILLISECONDS
}
