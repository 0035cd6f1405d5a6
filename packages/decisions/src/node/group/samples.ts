/** Keeps samples of a primary's log position: all of the most recent ones and some older ones. */

import type { PrimarySample } from './view.js'

/** Maximum number of samples that are kept. */
const MAXIMUM_SAMPLES = 512
/** Number of most recent samples that are kept regardless of their spacing. */
const RECENT_SAMPLES = 32
/** Minimum time between two older samples, in milliseconds. */
const MINIMUM_SPACING_MILLISECONDS = 20

/**
 * Removes excess samples after a new one was appended, and passes the most recent
 * ones to `confirm`. Without the minimum spacing, a busy group would push out the
 * older samples that determine the data age of a slow replica.
 */
export function updateSamples (samples: PrimarySample[], confirm: (sample: PrimarySample) => PrimarySample): PrimarySample[] {
  const olderCount = samples.length - RECENT_SAMPLES
  if (olderCount > 1 && samples[olderCount - 1].askedAt - samples[olderCount - 2].askedAt < MINIMUM_SPACING_MILLISECONDS) samples.splice(olderCount - 1, 1)
  if (samples.length > MAXIMUM_SAMPLES) samples.splice(0, samples.length - MAXIMUM_SAMPLES)
  for (let index = Math.max(0, samples.length - RECENT_SAMPLES); index < samples.length; index += 1) samples[index] = confirm(samples[index])
  return samples
}
