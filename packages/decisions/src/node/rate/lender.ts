/**
 * One account's tokens at its home in a failure domain. Lent tokens count towards
 * the burst until they are known to be spent or have expired at the borrower, so
 * that tokens here and lent tokens together never exceed the burst.
 */

import { addDriftMargin, minimumElapsed } from './policy.js'
import type { BucketLimits } from './bucket.js'
import type { RatePolicy } from './policy.js'

/** Tokens that were lent to one borrower on one request. */
interface Loan {
  borrower: string
  number: number
  tokens: number
  /** When the loan has certainly expired at the borrower, on the lender's clock. */
  until: number
}

export interface LoanRequest {
  /** Name and incarnation of the borrower. */
  borrower: string
  /** Increases with each request of one borrower to one lender. */
  number: number
  /** Every loan with a lower number is spent or expired. */
  settled: number
  wanted: number
}

export interface Lender {
  tokens: number
  refilledAt: number
  /** Loans that count towards the burst, in order of expiry. */
  loans: Loan[]
  /** Highest request number received from each borrower. */
  lastRequestNumbers: Map<string, number>
}

/** Most borrowers whose request numbers are kept. */
const MAXIMUM_BORROWERS = 5_000

/** Creates a lender whose tokens have accrued for `elapsed` milliseconds. */
export function createLender (share: BucketLimits, now: number, elapsed: number, policy: RatePolicy): Lender {
  const tokens = policy.mutation === 'new home starts full' ? share.burst : Math.min(share.burst, minimumElapsed(elapsed, policy) * share.rate / 1000)
  return { tokens, refilledAt: now, loans: [], lastRequestNumbers: new Map() }
}

function lentTokens (lender: Lender, policy: RatePolicy): number {
  if (policy.mutation === 'loans leave room') return 0
  return lender.loans.reduce((sum, { tokens }) => sum + tokens, 0)
}

function addTokens (lender: Lender, share: BucketLimits, now: number, policy: RatePolicy): void {
  const added = minimumElapsed(now - lender.refilledAt, policy) * share.rate / 1000
  const room = Math.max(0, share.burst - lentTokens(lender, policy))
  lender.tokens = Math.min(room, lender.tokens + added)
  lender.refilledAt = Math.max(now, lender.refilledAt)
}

/** Adds the tokens accrued since the last refill. An expired loan frees room for new tokens from its expiry on, not before. */
export function refillLender (lender: Lender, share: BucketLimits, now: number, policy: RatePolicy): void {
  while (lender.loans.length > 0 && lender.loans[0].until <= now) {
    if (policy.mutation !== 'room before refill') addTokens(lender, share, lender.loans[0].until, policy)
    lender.loans.shift()
  }
  addTokens(lender, share, now, policy)
}

/** Removes the loans that the borrower reports as settled, which frees room for new tokens. */
function settleLoans (lender: Lender, { borrower, settled }: LoanRequest): void {
  lender.loans = lender.loans.filter(loan => loan.borrower !== borrower || loan.number >= settled)
}

function recordRequestNumber (lender: Lender, borrower: string, number: number): void {
  lender.lastRequestNumbers.delete(borrower)
  lender.lastRequestNumbers.set(borrower, number)
  if (lender.lastRequestNumbers.size <= MAXIMUM_BORROWERS) return
  const [oldest] = lender.lastRequestNumbers.keys()
  lender.lastRequestNumbers.delete(oldest)
}

/** Tokens to lend now: whole ones, unless the share is too small to ever hold one; then fractions are lent. */
function lendableTokens (lender: Lender, share: BucketLimits, wanted: number): number {
  const tokens = Math.max(0, Math.min(lender.tokens, wanted))
  if (share.burst >= 1) return Math.floor(tokens + ROUNDING_TOLERANCE)
  return tokens >= MINIMUM_LOAN_TOKENS ? tokens : 0
}

/** Smallest fraction of a token that is lent. */
const MINIMUM_LOAN_TOKENS = 0.1
/** Largest rounding error expected in a sum of fractions of tokens. */
export const ROUNDING_TOLERANCE = 1e-9

/** Lends tokens; a repeated request, or one that a newer one has overtaken, gets none. */
export function lendTokens (lender: Lender, share: BucketLimits, request: LoanRequest, now: number, policy: RatePolicy): number {
  const { borrower, number, wanted } = request
  if (policy.mutation === 'room before refill') settleLoans(lender, request)
  refillLender(lender, share, now, policy)
  settleLoans(lender, request)
  if (number <= (lender.lastRequestNumbers.get(borrower) ?? -1)) return 0
  recordRequestNumber(lender, borrower, number)
  const tokens = lendableTokens(lender, share, wanted)
  if (tokens === 0) return 0
  lender.tokens -= tokens
  lender.loans.push({ borrower, number, tokens, until: now + addDriftMargin(policy.loanMilliseconds, policy) })
  return tokens
}

/** Takes one token for a request at the home itself, if there is one. */
export function takeFromLender (lender: Lender, share: BucketLimits, now: number, policy: RatePolicy): boolean {
  refillLender(lender, share, now, policy)
  if (lender.tokens < 1) return false
  lender.tokens -= 1
  return true
}
