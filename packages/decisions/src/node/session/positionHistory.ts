/**
 * Samples of the primary's log position, taken from its answers. An answer proves
 * that every commit acknowledged before its request was sent is at or before the
 * answer's position. So a server that holds the position may serve a read if the
 * request is no older than the read's maximum age.
 */

import { comparePositions } from './position.js'
import type { LogPosition } from './position.js'

/** A position of the primary's log, and when it was requested. */
export interface PositionSample {
  /** When the request was sent, in milliseconds. */
  askedAt: number
  position: LogPosition
}

export interface PositionHistory {
  /** Oldest first. */
  samples: readonly PositionSample[]
}

export const EMPTY_POSITION_HISTORY: PositionHistory = { samples: [] }

/** Maximum number of samples: at one per `SAMPLE_SPACING_MILLISECONDS` they reach back further than the usual maximum ages. */
const MAXIMUM_SAMPLES = 128
/** Minimum time between two samples, in milliseconds; closer ones would add no information. */
const SAMPLE_SPACING_MILLISECONDS = 25

/** Adds the position that an answer of the primary reported. */
export function recordPosition (history: PositionHistory, askedAt: number, position: LogPosition): PositionHistory {
  const last = history.samples.at(-1)
  if (last !== undefined && askedAt - last.askedAt < SAMPLE_SPACING_MILLISECONDS) return history
  if (last !== undefined && comparePositions(position, last.position) < 0) return history
  return { samples: [...history.samples, { askedAt, position }].slice(-MAXIMUM_SAMPLES) }
}

/** Removes samples requested at or before `time`, such as the end of a suspension that the monotonic clock did not count. */
export function dropPositionsUntil (history: PositionHistory, time: number): PositionHistory {
  const [oldest] = history.samples
  if (oldest === undefined || oldest.askedAt > time) return history
  return { samples: history.samples.filter(({ askedAt }) => askedAt > time) }
}

/** The oldest sample that includes every commit acknowledged `maximumAge` milliseconds ago or earlier; undefined if none is known. */
export function oldestSampleWithin (history: PositionHistory, maximumAge: number, now: number): PositionSample | undefined {
  return history.samples.find(({ askedAt }) => askedAt >= now - maximumAge)
}
