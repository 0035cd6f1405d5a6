/** One account's borrowed tokens at one instance, and the state of its requests to lenders. */

import { ROUNDING_TOLERANCE } from './lender.js'
import type { LoanRequest } from './lender.js'
import type { RatePolicy } from './policy.js'

/** The unspent tokens of one loan. */
interface ReceivedLoan {
  lender: string
  number: number
  tokens: number
  until: number
}

/** The state of requests to one lender. */
interface LenderState {
  /** Number of the newest request. */
  number: number
  pending: boolean
  /** Whether the newest request was answered, in time or late. */
  answered: boolean
  askedAt: number
  wanted: number
  /** Earliest time of the next request. */
  retryAt: number
  /** Whether the newest request brought fewer tokens than wanted, or timed out. */
  fellShort: boolean
  /** Consecutive requests that timed out. */
  consecutiveTimeouts: number
}

export interface Borrower {
  receivedLoans: ReceivedLoan[]
  lenderStates: Map<string, LenderState>
  /** Smoothed demand at `demandAt`, in requests a second. */
  demand: number
  demandAt: number
  /** Rotation of the lenders' order, so that each comes first in turn when not all are asked. */
  rotation: number
}

/** Time constant of the smoothed demand, in milliseconds. */
const DEMAND_AVERAGING_MILLISECONDS = 300

export function createBorrower (now: number): Borrower {
  return { receivedLoans: [], lenderStates: new Map(), demand: 0, demandAt: now, rotation: 0 }
}

export function recordDemand (borrower: Borrower, now: number): void {
  borrower.demand = demandOf(borrower, now) + 1000 / DEMAND_AVERAGING_MILLISECONDS
  borrower.demandAt = now
}

/** Smoothed demand at this instance now, in requests a second. */
export function demandOf (borrower: Borrower, now: number): number {
  return borrower.demand * Math.exp(-Math.max(0, now - borrower.demandAt) / DEMAND_AVERAGING_MILLISECONDS)
}

function dropExpired (borrower: Borrower, now: number, policy: RatePolicy): void {
  if (policy.mutation === 'expired loans are spent') return
  borrower.receivedLoans = borrower.receivedLoans.filter(({ until }) => now < until)
}

export function heldTokens (borrower: Borrower, now: number, policy: RatePolicy): number {
  dropExpired(borrower, now, policy)
  return borrower.receivedLoans.reduce((sum, { tokens }) => sum + tokens, 0)
}

/** Spends one borrowed token, if there is one, from the loans that expire first. */
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
  const state = borrower.lenderStates.get(lender) ?? { number: 0, pending: false, answered: true, askedAt: -Infinity, wanted: 0, retryAt: -Infinity, fellShort: false, consecutiveTimeouts: 0 }
  borrower.lenderStates.set(lender, state)
  return state
}

/** Times out the pending request if it is due. Each further timeout in a row doubles the pause before the next request. */
function expireRequest (state: LenderState, now: number, policy: RatePolicy): void {
  if (!state.pending || now - state.askedAt < policy.askTimeoutMilliseconds) return
  state.pending = false
  state.fellShort = true
  state.consecutiveTimeouts += 1
  state.retryAt = now + Math.min(MAXIMUM_BACKOFF_MILLISECONDS, policy.askTimeoutMilliseconds * 2 ** state.consecutiveTimeouts)
}

/** Longest pause before an unresponsive lender is asked again, in milliseconds. */
const MAXIMUM_BACKOFF_MILLISECONDS = 1_000

/** Whether the lender can be asked now. */
export function mayAsk (borrower: Borrower, lender: string, now: number, policy: RatePolicy): boolean {
  const state = lenderStateOf(borrower, lender)
  expireRequest(state, now, policy)
  return !state.pending && now >= state.retryAt
}

/** Whether the lender's latest requests timed out. */
export function isUnresponsive (borrower: Borrower, lender: string): boolean {
  return lenderStateOf(borrower, lender).consecutiveTimeouts > 0
}

export function lenderFellShort (borrower: Borrower, lender: string): boolean {
  return lenderStateOf(borrower, lender).fellShort
}

/** Most tokens that pending requests may bring; requests to unresponsive lenders are left out. */
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

/** Accepts the first answer to the newest request, even a late one. Any other answer is dropped with its tokens. */
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
