/**
 * Finds out that the process stood still in a way that the steady clock does
 * not count, as a suspended machine does: the time of day then runs ahead of
 * it. A step of the time of day looks the same, which is the safe mistake.
 */

import type { Clock } from './clock.js'

/** Lead of the time of day that counts as a suspension, in milliseconds: above what two clocks drift apart between two looks. */
const MINIMUM_LEAD_MILLISECONDS = 100

export interface SuspensionWatch {
  /** When the last suspension ended, on the steady clock; minus infinity: none was seen. */
  lastAt: () => number
}

export function createSuspensionWatch (clock: Clock, timeOfDay: () => number = Date.now): SuspensionWatch {
  let previousSteady = clock.now()
  let previousTimeOfDay = timeOfDay()
  let lastSuspensionAt = -Infinity
  return {
    lastAt: () => {
      const steadyNow = clock.now()
      const timeOfDayNow = timeOfDay()
      if ((timeOfDayNow - previousTimeOfDay) - (steadyNow - previousSteady) > MINIMUM_LEAD_MILLISECONDS) lastSuspensionAt = steadyNow
      previousSteady = steadyNow
      previousTimeOfDay = timeOfDayNow
      return lastSuspensionAt
    }
  }
}
