/**
 * How far a replica is behind, from the positions in its own answers.
 *
 * Load pattern: sessions that read right after their commit, and replicas that
 * fall behind by seconds. A question that ends with "lagging" costs the read a
 * way to the replica and back, so one that lacks the position is not asked.
 */

import { comparePositions } from '../session/position.js'
import type { LogPosition } from '../session/position.js'
import type { PositionHistory } from '../session/positionHistory.js'

export interface ReplicaLag {
  /** Newest position that it is known to hold. */
  holds?: LogPosition
  /** Estimate of how late it applies a commit, in milliseconds. */
  milliseconds: number
}

/** Lag that is assumed before anything is known, in milliseconds. */
const ASSUMED_LAG_MILLISECONDS = 60
/** Part of the estimate that stays when an answer shows no lag. */
const DECAY = 0.9
/** Factor by which an estimate is exceeded now and then. */
const SPREAD = 1.3

export const UNKNOWN_LAG: ReplicaLag = { milliseconds: ASSUMED_LAG_MILLISECONDS }

/** Takes the position of a replica's answer. */
export function recordReplicaPosition (lag: ReplicaLag, history: PositionHistory, position: LogPosition, now: number): ReplicaLag {
  const holds = lag.holds !== undefined && comparePositions(lag.holds, position) > 0 ? lag.holds : position
  const missing = history.samples.find(sample => comparePositions(sample.position, position) > 0)
  if (missing === undefined) return { holds, milliseconds: lag.milliseconds * DECAY }
  return { holds, milliseconds: Math.max(lag.milliseconds * DECAY, now - missing.askedAt) }
}

/** Takes the word of a replica that it lacks a position that the primary reached at `since`. */
export function recordReplicaLack (lag: ReplicaLag, since: number, now: number): ReplicaLag {
  return { ...lag, milliseconds: Math.max(lag.milliseconds, now - since) }
}

/** Whether a replica can be expected to hold a position that the primary reached at `since`. */
export function expectsPosition ({ holds, milliseconds }: ReplicaLag, after: LogPosition, since: number, now: number): boolean {
  if (holds !== undefined && comparePositions(holds, after) >= 0) return true
  return now - since >= milliseconds * SPREAD
}
