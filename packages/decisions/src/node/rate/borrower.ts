/** One account's borrowed tokens at one instance, and what it may ask its lenders. */

import { ROUNDING } from './lender.js'
import type { LoanRequest } from './lender.js'
import type { RatePolicy } from './policy.js'

/** Tokens of one loan that are not spent. */
interface Lot {
  lender: string
  number: number
  tokens: number
  until: number
}

interface Ask {
  number: number
  pending: boolean
  /** The answer to the newest request has come, in time or late. */
  answered: boolean
  askedAt: number
  wanted: number
  /** The lender is left alone until then. */
  retryAt: number
  /** The last answer fell short of what was wanted. */
  short: boolean
  /** Requests in a row that had no answer in time. */
  silences: number
}

export interface Borrower {
  lots: Lot[]
  asks: Map<string, Ask>
  /** Requests a second, smoothed. */
  demand: number
  demandAt: number
  /** Which lender comes first, when not all are asked. */
  turn: number
}

/** Time over which demand is smoothed, in milliseconds. */
const DEMAND_MILLISECONDS = 300

export function openBorrower (now: number): Borrower {
  return { lots: [], asks: new Map(), demand: 0, demandAt: now, turn: 0 }
}

export function noteDemand (borrower: Borrower, now: number): void {
  borrower.demand = demandOf(borrower, now) + 1000 / DEMAND_MILLISECONDS
  borrower.demandAt = now
}

/** Requests a second that this instance sees now. */
export function demandOf (borrower: Borrower, now: number): number {
  return borrower.demand * Math.exp(-Math.max(0, now - borrower.demandAt) / DEMAND_MILLISECONDS)
}

function dropExpired (borrower: Borrower, now: number, policy: RatePolicy): void {
  if (policy.mutation === 'expired loans are spent') return
  borrower.lots = borrower.lots.filter(({ until }) => now < until)
}

export function heldTokens (borrower: Borrower, now: number, policy: RatePolicy): number {
  dropExpired(borrower, now, policy)
  return borrower.lots.reduce((sum, { tokens }) => sum + tokens, 0)
}

/** Spends one borrowed token, of the loans that expire first. */
export function spendToken (borrower: Borrower, now: number, policy: RatePolicy): boolean {
  if (heldTokens(borrower, now, policy) < 1 - ROUNDING) return false
  let missing = 1
  for (const lot of borrower.lots) {
    const spent = Math.min(missing, lot.tokens)
    lot.tokens -= spent
    missing -= spent
  }
  borrower.lots = borrower.lots.filter(({ tokens }) => tokens > ROUNDING)
  return true
}

function askOf (borrower: Borrower, lender: string): Ask {
  const known = borrower.asks.get(lender) ?? { number: 0, pending: false, answered: true, askedAt: -Infinity, wanted: 0, retryAt: -Infinity, short: false, silences: 0 }
  borrower.asks.set(lender, known)
  return known
}

/** Gives up an answer that does not come; a lender that stays silent is asked ever less often. */
function giveUp (ask: Ask, now: number, policy: RatePolicy): void {
  if (!ask.pending || now - ask.askedAt < policy.askMilliseconds) return
  ask.pending = false
  ask.short = true
  ask.silences += 1
  ask.retryAt = now + Math.min(MAXIMUM_SILENCE_MILLISECONDS, policy.askMilliseconds * 2 ** ask.silences)
}

/** Longest pause before a silent lender is asked again, in milliseconds. */
const MAXIMUM_SILENCE_MILLISECONDS = 1_000

/** Whether the lender can be asked now. */
export function mayAsk (borrower: Borrower, lender: string, now: number, policy: RatePolicy): boolean {
  const ask = askOf(borrower, lender)
  giveUp(ask, now, policy)
  return !ask.pending && now >= ask.retryAt
}

/** Whether the lender left the last request without an answer. */
export function isSilent (borrower: Borrower, lender: string): boolean {
  return askOf(borrower, lender).silences > 0
}

export function isShort (borrower: Borrower, lender: string): boolean {
  return askOf(borrower, lender).short
}

/** Tokens that are likely on their way, at most. */
export function pendingTokens (borrower: Borrower, now: number, policy: RatePolicy): number {
  let sum = 0
  for (const ask of borrower.asks.values()) {
    giveUp(ask, now, policy)
    if (ask.pending && ask.silences === 0) sum += ask.wanted
  }
  return sum
}

export function buildAsk (borrower: Borrower, lender: string, name: string, wanted: number, now: number): LoanRequest {
  const ask = askOf(borrower, lender)
  ask.number += 1
  Object.assign(ask, { pending: true, answered: false, askedAt: now, wanted })
  const open = borrower.lots.filter(lot => lot.lender === lender).map(({ number }) => number)
  return { borrower: name, number: ask.number, settled: Math.min(ask.number, ...open), wanted }
}

/** Takes the answer to the newest request, once, also a late one; any other is dropped with its tokens. */
export function receiveLoan (borrower: Borrower, lender: string, number: number, tokens: number, now: number, policy: RatePolicy): void {
  const ask = askOf(borrower, lender)
  const expected = !ask.answered && ask.number === number
  if (!expected && policy.mutation !== 'any reply is taken') return
  ask.pending = false
  ask.answered = true
  ask.silences = 0
  ask.short = tokens < ask.wanted
  if (ask.short) ask.retryAt = now + policy.retryMilliseconds
  const until = ask.askedAt + policy.loanMilliseconds
  if (tokens <= 0 || until <= now) return
  borrower.lots.push({ lender, number, tokens, until })
  borrower.lots.sort((left, right) => left.until - right.until)
}
