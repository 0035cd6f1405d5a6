/** Durations and limits for lending tokens of rate and burst, and arithmetic for clocks that drift. */

/** A safety mechanism that a test disables, to check that its absence is detected. */
export type RateMutation =
  | 'new home starts full'
  | 'no wait for earlier loans'
  | 'home without mandate'
  | 'restart keeps its name'
  | 'voter forgets its promises'
  | 'loans leave room'
  | 'room before refill'
  | 'expired loans are spent'
  | 'any reply is taken'
  | 'clocks are trusted'
  | 'splits overlap'
  | 'open parts by domain'

export interface RatePolicy {
  /** How long lent tokens may be spent, counted from the borrower's request, in milliseconds. */
  loanMilliseconds: number
  /** How long a mandate is valid, counted from the holder's request to the voters, in milliseconds. */
  mandateMilliseconds: number
  /** Interval at which a home renews its mandates, in milliseconds. */
  renewMilliseconds: number
  /** How long a request may wait for a token, in milliseconds. */
  waitMilliseconds: number
  /** Timeout of a request to a lender, in milliseconds. */
  askTimeoutMilliseconds: number
  /** Pause before a lender that lent less than was wanted is asked again, in milliseconds. */
  retryMilliseconds: number
  /** Time for which expected demand is borrowed ahead, in milliseconds. */
  borrowAheadMilliseconds: number
  /** Largest error of a clock's rate, as a fraction of real time. */
  maximumDrift: number
  /** Most requests of one account that may wait at one instance. */
  maximumWaiting: number
  /** @default undefined - nothing is disabled */
  mutation?: RateMutation
}

export const DEFAULT_RATE_POLICY: RatePolicy = {
  loanMilliseconds: 250,
  mandateMilliseconds: 1_500,
  renewMilliseconds: 400,
  waitMilliseconds: 80,
  askTimeoutMilliseconds: 40,
  retryMilliseconds: 10,
  borrowAheadMilliseconds: 50,
  maximumDrift: 0.001,
  maximumWaiting: 256
}

/**
 * How long to wait on one clock until `milliseconds` have passed on any other,
 * when both drift by at most `maximumDrift`.
 */
export function addDriftMargin (milliseconds: number, policy: RatePolicy): number {
  if (policy.mutation === 'clocks are trusted') return milliseconds
  return milliseconds * (1 + policy.maximumDrift) / (1 - policy.maximumDrift)
}

/** The least real time that has passed when a clock has advanced by `milliseconds`. */
export function minimumElapsed (milliseconds: number, policy: RatePolicy): number {
  if (policy.mutation === 'clocks are trusted') return milliseconds
  return Math.max(0, milliseconds) * (1 - policy.maximumDrift)
}
