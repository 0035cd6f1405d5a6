/** Keeps samples of a primary's place: all of the newest ones, and of older ones some. */

import type { PrimarySample } from './view.js'

/** Samples that are kept. */
const MAXIMUM_SAMPLES = 512
/** Newest samples that are kept however close together they are. */
const RECENT_SAMPLES = 32
/** Older samples are at least this far apart, in milliseconds. */
const MINIMUM_SPACING_MILLISECONDS = 20

/**
 * The samples that are kept once the newest was added, each passed to `confirm`
 * while it may still be confirmed. Without the spacing, a busy group would push
 * out the samples that a slow replica is measured by.
 */
export function updateSamples (samples: PrimarySample[], confirm: (sample: PrimarySample) => PrimarySample): PrimarySample[] {
  const olderCount = samples.length - RECENT_SAMPLES
  if (olderCount > 1 && samples[olderCount - 1].takenAt - samples[olderCount - 2].takenAt < MINIMUM_SPACING_MILLISECONDS) samples.splice(olderCount - 1, 1)
  if (samples.length > MAXIMUM_SAMPLES) samples.splice(0, samples.length - MAXIMUM_SAMPLES)
  for (let index = Math.max(0, samples.length - RECENT_SAMPLES); index < samples.length; index += 1) samples[index] = confirm(samples[index])
  return samples
}
