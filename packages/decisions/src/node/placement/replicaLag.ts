/**
 * Estimates how far a replica is behind, from the positions in its answers.
 *
 * Load pattern: sessions that read right after their commit, and replicas that fall
 * behind by seconds and catch up. A read that a replica rejects as "lagging" costs a
 * round trip, so reads are not sent to a replica that is expected to lack the
 * position. The estimate decays over time, because a replica that receives no reads
 * reports no new position: otherwise all later reads would stay at the primary.
 */

import { comparePositions } from '../session/position.js'
import type { LogPosition } from '../session/position.js'
import type { PositionHistory } from '../session/positionHistory.js'

export interface ReplicaLag {
  /** Newest position that the replica is known to hold. */
  newestPosition?: LogPosition
  /** Estimated lag at the last update, in milliseconds: how late the replica applies a commit. */
  milliseconds: number
  updatedAt: number
}

/** Lag that is assumed before the first report, in milliseconds. */
const ASSUMED_LAG_MILLISECONDS = 60
/** Factor applied to the estimate when an answer shows no lag. */
const ESTIMATE_DECAY_FACTOR = 0.9
/** Time in which the estimate returns half way to the assumed lag, in milliseconds: a replica that stays behind is tried a few times per second. */
const ESTIMATE_HALF_LIFE_MILLISECONDS = 500
/** Factor applied to the estimate, because the actual lag sometimes exceeds it. */
const SAFETY_FACTOR = 1.3

export const UNKNOWN_LAG: ReplicaLag = { milliseconds: ASSUMED_LAG_MILLISECONDS, updatedAt: -Infinity }

/** The estimated lag now, in milliseconds. */
function estimateLag ({ milliseconds, updatedAt }: ReplicaLag, now: number): number {
  const weight = 0.5 ** ((now - updatedAt) / ESTIMATE_HALF_LIFE_MILLISECONDS)
  return ASSUMED_LAG_MILLISECONDS + (milliseconds - ASSUMED_LAG_MILLISECONDS) * weight
}

/** Updates the estimate with the position in a replica's answer. */
export function recordReplicaPosition (lag: ReplicaLag, history: PositionHistory, position: LogPosition, now: number): ReplicaLag {
  const newestPosition = lag.newestPosition !== undefined && comparePositions(lag.newestPosition, position) > 0 ? lag.newestPosition : position
  const firstMissing = history.samples.find(sample => comparePositions(sample.position, position) > 0)
  const decayed = estimateLag(lag, now) * ESTIMATE_DECAY_FACTOR
  return { newestPosition, milliseconds: firstMissing === undefined ? decayed : Math.max(decayed, now - firstMissing.askedAt), updatedAt: now }
}

/** Updates the estimate when a replica reports that it lacks a position that the primary had reached by `reachedAt`. */
export function recordMissingPosition (lag: ReplicaLag, reachedAt: number, now: number): ReplicaLag {
  return { ...lag, milliseconds: Math.max(estimateLag(lag, now), now - reachedAt), updatedAt: now }
}

/** Whether a replica is expected to hold a position that the primary had reached by `reachedAt`. */
export function isPositionExpected (lag: ReplicaLag, required: LogPosition, reachedAt: number, now: number): boolean {
  if (lag.newestPosition !== undefined && comparePositions(lag.newestPosition, required) >= 0) return true
  return now - reachedAt >= estimateLag(lag, now) * SAFETY_FACTOR
}
