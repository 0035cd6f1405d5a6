/**
 * How long an answer of another instance may take before the instance counts as silent,
 * by the round trips measured on the stream to it: their smoothed time and deviation, as
 * TCP computes its retransmission timeout.
 *
 * Load patterns:
 * - All instances start after a loss of power. They answer within a few milliseconds at
 *   first, and a few tenths of a second later, when all callers are back and their code is
 *   not compiled yet. With a short timeout each takes others for silent, sends its reads
 *   again and opens second streams, which adds to the load.
 * - An instance that freezes while its streams stay open, in a deployment that is not busy:
 *   a short timeout finds it soon.
 */

/** Timeout before the first measurement, and for a stream that was opened lately, in milliseconds. */
const FIRST_TIMEOUT_MILLISECONDS = 300
/** How long after its opening a stream keeps at least that timeout, in milliseconds: the time in which the code of an instance that has started is compiled under load. */
const YOUNG_STREAM_MILLISECONDS = 3_000
/** Limits of the timeout, in milliseconds. */
const SHORTEST_TIMEOUT_MILLISECONDS = 90
const LONGEST_TIMEOUT_MILLISECONDS = 600
/** Weights of a new measurement in the smoothed time and in the deviation, and the number of deviations allowed; those of RFC 6298. */
const TIME_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const DEVIATIONS = 4

/** Round trips on one stream, in milliseconds. */
export interface RoundTrips {
  smoothed: number
  deviation: number
}

/** Takes over a measurement. One beyond the longest timeout counts as that, so that a freeze does not keep the timeout long. */
export function recordRoundTrip (known: RoundTrips | undefined, milliseconds: number): RoundTrips {
  const measured = Math.min(LONGEST_TIMEOUT_MILLISECONDS, Math.max(0, milliseconds))
  if (known === undefined) return { smoothed: measured, deviation: measured / 2 }
  const { smoothed, deviation } = known
  return {
    smoothed: smoothed + TIME_WEIGHT * (measured - smoothed),
    deviation: deviation + DEVIATION_WEIGHT * (Math.abs(measured - smoothed) - deviation)
  }
}

/** Time without an answer after which the other instance counts as silent, in milliseconds; `age` is that of the stream. */
export function computeSilenceTimeout (known: RoundTrips | undefined, age: number): number {
  if (known === undefined) return FIRST_TIMEOUT_MILLISECONDS
  const shortest = age < YOUNG_STREAM_MILLISECONDS ? FIRST_TIMEOUT_MILLISECONDS : SHORTEST_TIMEOUT_MILLISECONDS
  return Math.min(LONGEST_TIMEOUT_MILLISECONDS, Math.max(shortest, known.smoothed + DEVIATIONS * known.deviation))
}
