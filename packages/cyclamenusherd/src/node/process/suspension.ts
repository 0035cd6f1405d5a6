/**
 * Detects suspensions of the process that the steady clock does not count, such
 * as a suspended machine: the time of day then runs ahead of the steady clock. A
 * forward step of the time of day looks the same; a false alarm is the safe error.
 */

import type { Clock } from './clock.js'

/** Lead of the time of day that counts as a suspension, in milliseconds; above the drift of the two clocks between two checks. */
const MINIMUM_LEAD_MILLISECONDS = 100
/** Time between the readings of the two clocks up to which they count as taken together, in milliseconds. */
const MAXIMUM_READING_MILLISECONDS = 10
/** Number of times that the clocks are read to get such a pair. */
const MAXIMUM_READINGS = 3

export interface SuspensionWatch {
  /** Compares the clocks, and returns when the last suspension was detected, on the steady clock; -Infinity if there was none. */
  resumedAt: () => number
}

export function createSuspensionWatch (clock: Clock, timeOfDay: () => number = Date.now): SuspensionWatch {
  /** Reads both clocks again if the process did not run in between, which would look like a suspension. */
  function readClocks (): { steady: number, timeOfDay: number } {
    for (let reading = 1; ; reading += 1) {
      const pair = { steady: clock.now(), timeOfDay: timeOfDay() }
      if (clock.now() - pair.steady <= MAXIMUM_READING_MILLISECONDS || reading === MAXIMUM_READINGS) return pair
    }
  }

  let previous = readClocks()
  let resumedAt = -Infinity
  return {
    resumedAt: () => {
      const now = readClocks()
      if ((now.timeOfDay - previous.timeOfDay) - (now.steady - previous.steady) > MINIMUM_LEAD_MILLISECONDS) resumedAt = now.steady
      previous = now
      return resumedAt
    }
  }
}
