/** One account's borrowed tokens at one instance, and what it may ask its lenders. */

import { ROUNDING_TOLERANCE } from './lender.js'
import type { LoanRequest } from './lender.js'
import type { RatePolicy } from './policy.js'

/** Tokens of one loan that are not spent. */
interface ReceivedLoan {
  lender: string
  number: number
  tokens: number
  until: number
}

interface LenderState {
  number: number
  pending: boolean
  /** The answer to the newest request has come, in time or late. */
  answered: boolean
  askedAt: number
  wanted: number
  /** The lender is left alone until then. */
  retryAt: number
  /** The last answer fell short of what was wanted. */
  fellShort: boolean
  /** Requests in a row that had no answer in time. */
  consecutiveTimeouts: number
}

export interface Borrower {
  receivedLoans: ReceivedLoan[]
  lenderStates: Map<string, LenderState>
  /** Requests a second, smoothed. */
  demand: number
  demandAt: number
  /** Which lender comes first, when not all are asked. */
  rotation: number
}

/** Time over which demand is smoothed, in milliseconds. */
const DEMAND_MILLISECONDS = 300

export function createBorrower (now: number): Borrower {
  return { receivedLoans: [], lenderStates: new Map(), demand: 0, demandAt: now, rotation: 0 }
}

export function recordDemand (borrower: Borrower, now: number): void {
  borrower.demand = demandOf(borrower, now) + 1000 / DEMAND_MILLISECONDS
  borrower.demandAt = now
}

/** Requests a second that this instance sees now. */
export function demandOf (borrower: Borrower, now: number): number {
  return borrower.demand * Math.exp(-Math.max(0, now - borrower.demandAt) / DEMAND_MILLISECONDS)
}

function dropExpired (borrower: Borrower, now: number, policy: RatePolicy): void {
  if (policy.mutation === 'expired loans are spent') return
  borrower.receivedLoans = borrower.receivedLoans.filter(({ until }) => now < until)
}

export function heldTokens (borrower: Borrower, now: number, policy: RatePolicy): number {
  dropExpired(borrower, now, policy)
  return borrower.receivedLoans.reduce((sum, { tokens }) => sum + tokens, 0)
}

/** Spends one borrowed token, of the loans that expire first. */
export function spendToken (borrower: Borrower, now: number, policy: RatePolicy): boolean {
  if (heldTokens(borrower, now, policy) < 1 - ROUNDING_TOLERANCE) return false
  let missing = 1
  for (const loan of borrower.receivedLoans) {
    const spent = Math.min(missing, loan.tokens)
    loan.tokens -= spent
    missing -= spent
  }
  borrower.receivedLoans = borrower.receivedLoans.filter(({ tokens }) => tokens > ROUNDING_TOLERANCE)
  return true
}

function lenderStateOf (borrower: Borrower, lender: string): LenderState {
  const known = borrower.lenderStates.get(lender) ?? { number: 0, pending: false, answered: true, askedAt: -Infinity, wanted: 0, retryAt: -Infinity, fellShort: false, consecutiveTimeouts: 0 }
  borrower.lenderStates.set(lender, known)
  return known
}

/** Gives up an answer that does not come; a lender that stays silent is asked ever less often. */
function expireRequest (state: LenderState, now: number, policy: RatePolicy): void {
  if (!state.pending || now - state.askedAt < policy.askTimeoutMilliseconds) return
  state.pending = false
  state.fellShort = true
  state.consecutiveTimeouts += 1
  state.retryAt = now + Math.min(MAXIMUM_BACKOFF_MILLISECONDS, policy.askTimeoutMilliseconds * 2 ** state.consecutiveTimeouts)
}

/** Longest pause before a silent lender is asked again, in milliseconds. */
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000

/** Whether the lender can be asked now. */
export function mayAsk (borrower: Borrower, lender: string, now: number, policy: RatePolicy): boolean {
  const state = lenderStateOf(borrower, lender)
  expireRequest(state, now, policy)
  return !state.pending && now >= state.retryAt
}

/** Whether the lender left the last request without an answer. */
export function isUnresponsive (borrower: Borrower, lender: string): boolean {
  return lenderStateOf(borrower, lender).consecutiveTimeouts > 0
}

export function lenderFellShort (borrower: Borrower, lender: string): boolean {
  return lenderStateOf(borrower, lender).fellShort
}

/** Tokens that are likely on their way, at most. */
export function pendingTokens (borrower: Borrower, now: number, policy: RatePolicy): number {
  let sum = 0
  for (const state of borrower.lenderStates.values()) {
    expireRequest(state, now, policy)
    if (state.pending && state.consecutiveTimeouts === 0) sum += state.wanted
  }
  return sum
}

export function buildLoanRequest (borrower: Borrower, lender: string, name: string, wanted: number, now: number): LoanRequest {
  const state = lenderStateOf(borrower, lender)
  state.number += 1
  Object.assign(state, { pending: true, answered: false, askedAt: now, wanted })
  const unsettled = borrower.receivedLoans.filter(loan => loan.lender === lender).map(({ number }) => number)
  return { borrower: name, number: state.number, settled: Math.min(state.number, ...unsettled), wanted }
}

/** Takes the answer to the newest request, once, also a late one; any other is dropped with its tokens. */
export function receiveLoan (borrower: Borrower, lender: string, number: number, tokens: number, now: number, policy: RatePolicy): void {
  const state = lenderStateOf(borrower, lender)
  const expected = !state.answered && state.number === number
  if (!expected && policy.mutation !== 'any reply is taken') return
  state.pending = false
  state.answered = true
  state.consecutiveTimeouts = 0
  state.fellShort = tokens < state.wanted
  if (state.fellShort) state.retryAt = now + policy.retryMilliseconds
  const until = state.askedAt + policy.loanMilliseconds
  if (tokens <= 0 || until <= now) return
  borrower.receivedLoans.push({ lender, number, tokens, until })
  borrower.receivedLoans.sort((left, right) => left.until - right.until)
}
