/** Keeps samples of a primary's place: all of the newest ones, and of older ones some. */

import type { PrimarySample } from './view.js'

/** Samples that are kept. */
const MAXIMUM_SAMPLES = 512
/** Newest samples that are kept however close together they are. */
const DENSE_SAMPLES = 32
/** Older samples are at least this far apart, in milliseconds. */
const SPACING_MILLISECONDS = 20

/**
 * The samples that are kept once the newest was added, each passed to `confirm`
 * while it may still be confirmed. Without the spacing, a busy group would push
 * out the samples that a slow replica is measured by.
 */
export function addSample (samples: PrimarySample[], confirm: (sample: PrimarySample) => PrimarySample): PrimarySample[] {
  const sparse = samples.length - DENSE_SAMPLES
  if (sparse > 1 && samples[sparse - 1].takenAt - samples[sparse - 2].takenAt < SPACING_MILLISECONDS) samples.splice(sparse - 1, 1)
  if (samples.length > MAXIMUM_SAMPLES) samples.splice(0, samples.length - MAXIMUM_SAMPLES)
  for (let index = Math.max(0, samples.length - DENSE_SAMPLES); index < samples.length; index += 1) samples[index] = confirm(samples[index])
  return samples
}
