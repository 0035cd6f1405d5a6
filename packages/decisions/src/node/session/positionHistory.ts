/**
 * When the primary's log stood where, as its own answers tell. An answer proves
 * that every commit acknowledged before its question was sent lies at or before
 * the answer's position. So a read may see data as old as a bound allows if the
 * server holds the position of an answer whose question is no older than that.
 */

import { comparePositions } from './position.js'
import type { LogPosition } from './position.js'

/** A position of the primary's log, and when the question was sent that it answered. */
export interface PositionSample {
  /** When the question was sent. */
  askedAt: number
  position: LogPosition
}

export interface PositionHistory {
  /** Oldest first. */
  samples: readonly PositionSample[]
}

export const EMPTY_POSITION_HISTORY: PositionHistory = { samples: [] }

/** Samples kept: at one per `SAMPLE_MILLISECONDS` they reach back further than the usual bounds. */
const MAXIMUM_SAMPLES = 128
/** Samples closer together than this say nothing more, in milliseconds. */
const SAMPLE_SPACING_MILLISECONDS = 25

/** Takes the position that an answer of the primary carried. */
export function recordPosition (history: PositionHistory, askedAt: number, position: LogPosition): PositionHistory {
  const last = history.samples.at(-1)
  if (last !== undefined && askedAt - last.askedAt < SAMPLE_SPACING_MILLISECONDS) return history
  if (last !== undefined && comparePositions(position, last.position) < 0) return history
  return { samples: [...history.samples, { askedAt, position }].slice(-MAXIMUM_SAMPLES) }
}

/** The history without questions sent up to a time, such as the end of a suspension that the steady clock did not count. */
export function dropPositionsUntil (history: PositionHistory, time: number): PositionHistory {
  const [oldest] = history.samples
  if (oldest === undefined || oldest.askedAt > time) return history
  return { samples: history.samples.filter(({ askedAt }) => askedAt > time) }
}

/** The position that holds all that was acknowledged `age` ago; undefined: not known. */
export function oldestSampleWithin (history: PositionHistory, maximumAge: number, now: number): PositionSample | undefined {
  return history.samples.find(({ askedAt }) => askedAt >= now - maximumAge)
}
