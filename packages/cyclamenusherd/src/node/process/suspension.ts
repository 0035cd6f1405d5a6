/**
 * Detects suspensions of the process that the steady clock does not count, such
 * as a suspended machine: the time of day then runs ahead of the steady clock. A
 * forward step of the time of day looks the same; a false alarm is the safe error.
 */

import type { Clock } from './clock.js'

/** Lead of the time of day that counts as a suspension, in milliseconds; above the drift of the two clocks between two checks. */
const MINIMUM_LEAD_MILLISECONDS = 100

export interface SuspensionWatch {
  /** Compares the clocks, and returns when the last suspension was detected, on the steady clock; -Infinity if there was none. */
  resumedAt: () => number
}

export function createSuspensionWatch (clock: Clock, timeOfDay: () => number = Date.now): SuspensionWatch {
  let previousSteady = clock.now()
  let previousTimeOfDay = timeOfDay()
  let resumedAt = -Infinity
  return {
    resumedAt: () => {
      const steadyNow = clock.now()
      const timeOfDayNow = timeOfDay()
      if ((timeOfDayNow - previousTimeOfDay) - (steadyNow - previousSteady) > MINIMUM_LEAD_MILLISECONDS) resumedAt = steadyNow
      previousSteady = steadyNow
      previousTimeOfDay = timeOfDayNow
      return resumedAt
    }
  }
}
