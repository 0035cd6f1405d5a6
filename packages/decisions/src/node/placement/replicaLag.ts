/**
 * How far a replica is behind, from the positions in its own answers.
 *
 * Load pattern: sessions that read right after their commit, and replicas that
 * fall behind by seconds and catch up. A question that ends with "lagging" costs
 * the read a way to the replica and back, so one that lacks the position is not
 * asked. What was learnt fades, because a replica that is not asked shows nothing
 * new: without that, reads would stay at the primary for good.
 */

import { comparePositions } from '../session/position.js'
import type { LogPosition } from '../session/position.js'
import type { PositionHistory } from '../session/positionHistory.js'

export interface ReplicaLag {
  /** Newest position that it is known to hold. */
  newestPosition?: LogPosition
  /** Estimate of how late it applied a commit, in milliseconds, when it last showed. */
  milliseconds: number
  updatedAt: number
}

/** Lag that is assumed before anything is known, in milliseconds. */
const ASSUMED_LAG_MILLISECONDS = 60
/** Part of the estimate that stays when an answer shows no lag. */
const ESTIMATE_DECAY_FACTOR = 0.9
/** Time in which the estimate comes half way back to the assumed one, in milliseconds: a few tries a second at a replica that stays behind. */
const ESTIMATE_HALF_LIFE_MILLISECONDS = 500
/** Factor by which an estimate is exceeded now and then. */
const SAFETY_FACTOR = 1.3

export const UNKNOWN_LAG: ReplicaLag = { milliseconds: ASSUMED_LAG_MILLISECONDS, updatedAt: -Infinity }

/** What can be expected of the replica's lag by now, in milliseconds. */
function estimateLag ({ milliseconds, updatedAt }: ReplicaLag, now: number): number {
  const weight = 0.5 ** ((now - updatedAt) / ESTIMATE_HALF_LIFE_MILLISECONDS)
  return ASSUMED_LAG_MILLISECONDS + (milliseconds - ASSUMED_LAG_MILLISECONDS) * weight
}

/** Takes the position of a replica's answer. */
export function recordReplicaPosition (lag: ReplicaLag, history: PositionHistory, position: LogPosition, now: number): ReplicaLag {
  const newestPosition = lag.newestPosition !== undefined && comparePositions(lag.newestPosition, position) > 0 ? lag.newestPosition : position
  const firstMissing = history.samples.find(sample => comparePositions(sample.position, position) > 0)
  const decayed = estimateLag(lag, now) * ESTIMATE_DECAY_FACTOR
  return { newestPosition, milliseconds: firstMissing === undefined ? decayed : Math.max(decayed, now - firstMissing.askedAt), updatedAt: now }
}

/** Takes the word of a replica that it lacks a position that the primary reached at `since`. */
export function recordMissingPosition (lag: ReplicaLag, reachedAt: number, now: number): ReplicaLag {
  return { ...lag, milliseconds: Math.max(estimateLag(lag, now), now - reachedAt), updatedAt: now }
}

/** Whether a replica can be expected to hold a position that the primary reached at `since`. */
export function isPositionExpected (lag: ReplicaLag, required: LogPosition, reachedAt: number, now: number): boolean {
  if (lag.newestPosition !== undefined && comparePositions(lag.newestPosition, required) >= 0) return true
  return now - reachedAt >= estimateLag(lag, now) * SAFETY_FACTOR
}
