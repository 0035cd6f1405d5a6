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
  holds?: LogPosition
  /** Estimate of how late it applied a commit, in milliseconds, when it last showed. */
  milliseconds: number
  learntAt: number
}

/** Lag that is assumed before anything is known, in milliseconds. */
const ASSUMED_LAG_MILLISECONDS = 60
/** Part of the estimate that stays when an answer shows no lag. */
const DECAY = 0.9
/** Time in which the estimate comes half way back to the assumed one, in milliseconds: a few tries a second at a replica that stays behind. */
const FADE_MILLISECONDS = 500
/** Factor by which an estimate is exceeded now and then. */
const SPREAD = 1.3

export const UNKNOWN_LAG: ReplicaLag = { milliseconds: ASSUMED_LAG_MILLISECONDS, learntAt: -Infinity }

/** What can be expected of the replica's lag by now, in milliseconds. */
function expectedLag ({ milliseconds, learntAt }: ReplicaLag, now: number): number {
  const weight = 0.5 ** ((now - learntAt) / FADE_MILLISECONDS)
  return ASSUMED_LAG_MILLISECONDS + (milliseconds - ASSUMED_LAG_MILLISECONDS) * weight
}

/** Takes the position of a replica's answer. */
export function recordReplicaPosition (lag: ReplicaLag, history: PositionHistory, position: LogPosition, now: number): ReplicaLag {
  const holds = lag.holds !== undefined && comparePositions(lag.holds, position) > 0 ? lag.holds : position
  const missing = history.samples.find(sample => comparePositions(sample.position, position) > 0)
  const decayed = expectedLag(lag, now) * DECAY
  return { holds, milliseconds: missing === undefined ? decayed : Math.max(decayed, now - missing.askedAt), learntAt: now }
}

/** Takes the word of a replica that it lacks a position that the primary reached at `since`. */
export function recordReplicaLack (lag: ReplicaLag, since: number, now: number): ReplicaLag {
  return { ...lag, milliseconds: Math.max(expectedLag(lag, now), now - since), learntAt: now }
}

/** Whether a replica can be expected to hold a position that the primary reached at `since`. */
export function expectsPosition (lag: ReplicaLag, after: LogPosition, since: number, now: number): boolean {
  if (lag.holds !== undefined && comparePositions(lag.holds, after) >= 0) return true
  return now - since >= expectedLag(lag, now) * SPREAD
}
