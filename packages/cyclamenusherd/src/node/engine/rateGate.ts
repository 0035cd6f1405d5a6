/** Charges each operation to its client account's rate: to this instance's share, or else to a loan from control's pool. */

import { computeShareLimits, refillBucket, takeFromBucket, timeUntilToken } from '@cyclamenusher/decisions'
import { pause } from '../process/clock.js'
import type { BorrowReply, Bucket, BucketLimits, ClientAccount, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Time constant of the demand average, in milliseconds: several renewals of the shares. */
const DEMAND_AVERAGING_MILLISECONDS = 2_000
/** Demand below which an account is not reported, in operations per second. */
const MINIMUM_REPORTED_DEMAND = 0.01
/** How long no loan is requested at first after there were too few tokens, in milliseconds: longer than a round trip to control, and shorter than callers wait. */
const INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS = 100
/** Requests per second that all instances together send for an account without tokens. The pause doubles at each repetition until it keeps them to this. */
const REQUESTS_PER_EMPTY_POOL = 100
/** Longest pause that a pool without tokens may ask for, in milliseconds: another leader may have tokens sooner. */
const MAXIMUM_EMPTY_POOL_PAUSE_MILLISECONDS = 1_000
/** Longest time for which an operation waits for the next token, in milliseconds: a fraction of an objective, and shorter than an operation that is refused takes to come back. */
const MAXIMUM_TOKEN_WAIT_MILLISECONDS = 100
/** Most operations that are lent at once, so that one request can't queue without limit. */
const MAXIMUM_LOAN = 1_000
/** Period whose expected demand is borrowed ahead, in milliseconds: a lender asks control once or twice a second, whatever its demand. */
const BORROW_AHEAD_MILLISECONDS = 750

export interface RateGate {
  /** Whether the operation may run. */
  admit: (account: ClientAccount) => Promise<boolean>
  /** Lends operations of this instance's share to another instance, and borrows from control what is missing. Resolves with the number lent, which counts as demand here. */
  lend: (account: ClientAccount, wanted: number) => Promise<number>
  /** Operations per second that were requested, by account; refused ones count too. Only accounts of which this instance holds a share: shares are divided by the demand at those that hold them, and others borrow from these. */
  demand: () => Record<string, number>
}

interface AccountState {
  bucket: Bucket
  demand: number
  demandAt: number
  /** Operations that wait for a loan, the oldest first. */
  waiting: Array<{ since: number, admit: (admitted: boolean) => void }>
  /** Until when there are taken to be no tokens to borrow, and the length of that pause in milliseconds; 0: the last loan was granted in full. */
  poolEmptyUntil: number
  emptyPoolPause: number
}

export interface RateGateOptions {
  clock: Clock
  /** This instance's share of an account's limits, from 0 to 1. */
  shareOf: (account: string) => number
  /** Borrows tokens, one for each operation. None are granted if there are none, or if nobody answers. */
  borrow: (account: string, wanted: number) => Promise<BorrowReply>
  /** Number of entry instances that may ask for the same tokens. */
  instances: () => number
  tolerance: RateTolerance
  /** @default pause */
  wait?: (milliseconds: number) => Promise<void>
}

export function createRateGate ({ clock, shareOf, borrow, instances, tolerance, wait = pause }: RateGateOptions): RateGate {
  const startedAt = clock.startedAt ?? clock.now()
  const accounts = new Map<string, AccountState>()

  function ensureState (name: string, now: number): AccountState {
    // The bucket starts empty when the process starts, so that a restart grants no new burst.
    const state = accounts.get(name) ?? { bucket: { tokens: 0, refilledAt: startedAt }, demand: 0, demandAt: now, waiting: [], poolEmptyUntil: -Infinity, emptyPoolPause: 0 }
    accounts.set(name, state)
    return state
  }

  function decayDemand ({ demand, demandAt }: AccountState, now: number): number {
    return demand * Math.exp((demandAt - now) / DEMAND_AVERAGING_MILLISECONDS)
  }

  function computeLimits ({ name, ratePerSecond, burst }: ClientAccount): BucketLimits {
    return computeShareLimits({ rate: ratePerSecond, burst }, shareOf(name), tolerance)
  }

  /** Admits as many waiting operations as there are tokens, and adds the remaining tokens to the bucket. */
  function admitWaiting (account: ClientAccount, state: AccountState, tokens: number): void {
    const admitted = state.waiting.splice(0, tokens)
    for (const { admit } of admitted) admit(true)
    const limits = computeLimits(account)
    const refilled = refillBucket(state.bucket, limits, clock.now())
    const remaining = tokens - admitted.length
    state.bucket = { ...refilled, tokens: Math.min(Math.max(limits.burst, refilled.tokens), refilled.tokens + remaining) }
  }

  /** Tokens to borrow for the operations to come: no more than the bucket can keep, because the rest would be lost to all instances. */
  function countTokensAhead (account: ClientAccount, { demand }: AccountState): number {
    return Math.min(Math.floor(computeLimits(account).burst), Math.ceil(demand * BORROW_AHEAD_MILLISECONDS / 1000))
  }

  /**
   * Keeps the oldest operation if the next token, here or in the pool, comes in time for it, and refuses
   * the others. Resolves with whether an operation still waits.
   *
   * Load pattern: a small account within its rate, whose operations come in twos and
   * threes. The next token is due a few tens of milliseconds after the one that was taken.
   */
  async function awaitNextToken (account: ClientAccount, state: AccountState, emptyMilliseconds: number): Promise<boolean> {
    const now = clock.now()
    const tokenMilliseconds = Math.min(emptyMilliseconds, timeUntilToken(state.bucket, computeLimits(account), now))
    const [oldest] = state.waiting
    const isInTime = oldest !== undefined && now + tokenMilliseconds <= oldest.since + MAXIMUM_TOKEN_WAIT_MILLISECONDS
    for (const { admit } of state.waiting.splice(isInTime ? 1 : 0)) admit(false)
    if (!isInTime) return false
    await wait(tokenMilliseconds)
    const { bucket, taken } = takeFromBucket(state.bucket, computeLimits(account), clock.now())
    state.bucket = bucket
    if (taken) state.waiting.shift()?.admit(true)
    return state.waiting.length > 0
  }

  /** Borrows until no operation waits. When the pool lends less than requested, the operations that still wait are refused, unless the next token is due soon. */
  async function borrowForWaiting (account: ClientAccount, state: AccountState): Promise<void> {
    while (state.waiting.length > 0) {
      const waiting = state.waiting.length
      const { granted: tokens, emptyMilliseconds = Infinity } = await borrow(account.name, waiting + countTokensAhead(account, state))
      admitWaiting(account, state, tokens)
      if (tokens >= waiting) {
        state.emptyPoolPause = 0
        continue
      }
      const maximumPause = Math.max(INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS, instances() * 1000 / REQUESTS_PER_EMPTY_POOL)
      state.emptyPoolPause = Math.min(maximumPause, Math.max(INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS, state.emptyPoolPause * 2))
      state.poolEmptyUntil = clock.now() + Math.max(state.emptyPoolPause, emptyMilliseconds === Infinity ? 0 : Math.min(emptyMilliseconds, MAXIMUM_EMPTY_POOL_PAUSE_MILLISECONDS))
      if (!await awaitNextToken(account, state, emptyMilliseconds)) return
    }
  }

  async function admit (account: ClientAccount): Promise<boolean> {
    const now = clock.now()
    const state = ensureState(account.name, now)
    Object.assign(state, { demand: decayDemand(state, now) + 1000 / DEMAND_AVERAGING_MILLISECONDS, demandAt: now })
    const { bucket, taken } = takeFromBucket(state.bucket, computeLimits(account), now)
    state.bucket = bucket
    if (taken) return true
    if (now < state.poolEmptyUntil) return false
    return await new Promise<boolean>(resolve => {
      state.waiting.push({ since: now, admit: resolve })
      if (state.waiting.length === 1) void borrowForWaiting(account, state)
    })
  }

  return {
    admit,
    lend: async (account, wanted) => {
      const admitted = await Promise.all(Array.from({ length: Math.min(wanted, MAXIMUM_LOAN) }, async () => await admit(account)))
      return admitted.filter(Boolean).length
    },
    demand: () => {
      const now = clock.now()
      return Object.fromEntries([...accounts].flatMap(([name, state]) => {
        const demand = decayDemand(state, now)
        return demand < MINIMUM_REPORTED_DEMAND || shareOf(name) === 0 ? [] : [[name, Math.round(demand * 100) / 100]]
      }))
    }
  }
}
