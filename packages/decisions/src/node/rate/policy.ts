/** Times and bounds of the escrow of rate and burst, and arithmetic on clocks that drift. */

/** A mechanism that a test takes out, to see its guard fail. */
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
  /** How long lent tokens may be spent, from when the borrower asked, in milliseconds. */
  loanMilliseconds: number
  /** How long a home may lend, from when it asked the voters, in milliseconds. */
  mandateMilliseconds: number
  /** How often a home asks the voters again, in milliseconds. */
  renewMilliseconds: number
  /** How long a request may wait for a token, in milliseconds. */
  waitMilliseconds: number
  /** How long an answer to a request for tokens is waited for, in milliseconds. */
  askTimeoutMilliseconds: number
  /** Pause before a lender that gave too little is asked again, in milliseconds. */
  retryMilliseconds: number
  /** Demand that is borrowed ahead, in milliseconds. */
  borrowAheadMilliseconds: number
  /** Largest error of a clock's rate, as a share of real time. */
  maximumDrift: number
  /** Requests of one account that may wait at one instance. */
  maximumWaiting: number
  /** @default undefined - nothing is taken out */
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
 * Time on one clock after which `milliseconds` on any other clock are over,
 * when both err by at most `maximumDrift`.
 */
export function addDriftMargin (milliseconds: number, policy: RatePolicy): number {
  if (policy.mutation === 'clocks are trusted') return milliseconds
  return milliseconds * (1 + policy.maximumDrift) / (1 - policy.maximumDrift)
}

/** Real time that has passed for sure when a clock shows `milliseconds`. */
export function minimumElapsed (milliseconds: number, policy: RatePolicy): number {
  if (policy.mutation === 'clocks are trusted') return milliseconds
  return Math.max(0, milliseconds) * (1 - policy.maximumDrift)
}
