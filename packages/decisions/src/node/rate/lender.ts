/**
 * One account's tokens at its home in a failure domain. Tokens that are lent
 * leave no room for new ones until they are known to be spent, or have expired
 * at the borrower: what is here and what is lent never exceed the burst together.
 */

import { addDriftMargin, minimumElapsed } from './policy.js'
import type { BucketLimits } from './bucket.js'
import type { RatePolicy } from './policy.js'

/** Tokens that one borrower got with one request. */
interface Loan {
  borrower: string
  number: number
  tokens: number
  /** When they have expired at the borrower, on this clock. */
  until: number
}

export interface LoanRequest {
  /** Name and incarnation of the borrower. */
  borrower: string
  /** Rises with each request of one borrower to one lender. */
  number: number
  /** Every loan below this number is spent or expired. */
  settled: number
  wanted: number
}

export interface Lender {
  tokens: number
  refilledAt: number
  /** In order of expiry. */
  loans: Loan[]
  /** Highest request number seen of each borrower. */
  lastRequestNumbers: Map<string, number>
}

/** Borrowers whose numbers are remembered. */
const MAXIMUM_BORROWERS = 5_000

/** A lender that has had `elapsed` milliseconds to fill. */
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

/** Adds what time has earned; expired loans make room from their expiry on, not before. */
export function refillLender (lender: Lender, share: BucketLimits, now: number, policy: RatePolicy): void {
  while (lender.loans.length > 0 && lender.loans[0].until <= now) {
    if (policy.mutation !== 'room before refill') addTokens(lender, share, lender.loans[0].until, policy)
    lender.loans.shift()
  }
  addTokens(lender, share, now, policy)
}

/** Forgets what the borrower has spent: it leaves room again. */
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

/** Whole tokens, unless the share is too small to ever hold one: then parts of tokens are lent. */
function lendableTokens (lender: Lender, share: BucketLimits, wanted: number): number {
  const tokens = Math.max(0, Math.min(lender.tokens, wanted))
  if (share.burst >= 1) return Math.floor(tokens + ROUNDING_TOLERANCE)
  return tokens >= MINIMUM_LOAN_TOKENS ? tokens : 0
}

/** Parts of tokens below this are not lent. */
const MINIMUM_LOAN_TOKENS = 0.1
/** Sums of parts of tokens may be this far off. */
export const ROUNDING_TOLERANCE = 1e-9

/** Lends tokens; a request that comes again, or late, gets none. */
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

/** Takes one token for a request at the home itself. */
export function takeFromLender (lender: Lender, share: BucketLimits, now: number, policy: RatePolicy): boolean {
  refillLender(lender, share, now, policy)
  if (lender.tokens < 1) return false
  lender.tokens -= 1
  return true
}
