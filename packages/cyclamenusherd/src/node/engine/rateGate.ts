/** Charges each operation to its client account's rate: to this instance's share, or else to a loan from control's pool. */

import { computeShareLimits, refillBucket, takeFromBucket } from '@cyclamenusher/decisions'
import type { Bucket, BucketLimits, ClientAccount, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Time constant of the demand average, in milliseconds: several renewals of the shares. */
const DEMAND_AVERAGING_MILLISECONDS = 2_000
/** Demand below which an account is not reported, in operations per second. */
const MINIMUM_REPORTED_DEMAND = 0.01
/** How long no loan is requested after control's pool was empty, in milliseconds: longer than a round trip to control, and shorter than callers wait. */
const EMPTY_POOL_PAUSE_MILLISECONDS = 100
/** Period whose expected demand is borrowed ahead, in milliseconds: a few round trips to control. */
const BORROW_AHEAD_MILLISECONDS = 50

export interface RateGate {
  /** Whether the operation may run. */
  admit: (account: ClientAccount) => Promise<boolean>
  /** Operations per second that were requested, by account; refused ones count too. */
  demand: () => Record<string, number>
}

interface AccountState {
  bucket: Bucket
  demand: number
  demandAt: number
  /** Callbacks of the operations that wait for a loan. */
  waiting: Array<(admitted: boolean) => void>
  /** Until when control's pool is taken to be empty. */
  poolEmptyUntil: number
}

export interface RateGateOptions {
  clock: Clock
  /** This instance's share of an account's limits, from 0 to 1. */
  shareOf: (account: string) => number
  /** Borrows tokens from control's pool, one for each operation. Resolves with the number lent: 0 if the pool is empty or control does not answer. */
  borrow: (account: string, wanted: number) => Promise<number>
  tolerance: RateTolerance
}

export function createRateGate ({ clock, shareOf, borrow, tolerance }: RateGateOptions): RateGate {
  const startedAt = clock.now()
  const accounts = new Map<string, AccountState>()

  function ensureState (name: string, now: number): AccountState {
    // The bucket starts empty when the process starts, so that a restart grants no new burst.
    const state = accounts.get(name) ?? { bucket: { tokens: 0, refilledAt: startedAt }, demand: 0, demandAt: now, waiting: [], poolEmptyUntil: -Infinity }
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
    for (const admit of admitted) admit(true)
    const limits = computeLimits(account)
    const refilled = refillBucket(state.bucket, limits, clock.now())
    const remaining = tokens - admitted.length
    state.bucket = { ...refilled, tokens: Math.min(Math.max(limits.burst, refilled.tokens), refilled.tokens + remaining) }
  }

  /** Borrows until no operation waits. When the pool lends less than requested, the operations that still wait are refused. */
  async function borrowForWaiting (account: ClientAccount, state: AccountState): Promise<void> {
    while (state.waiting.length > 0) {
      const wanted = state.waiting.length + Math.ceil(state.demand * BORROW_AHEAD_MILLISECONDS / 1000)
      const tokens = await borrow(account.name, wanted)
      admitWaiting(account, state, tokens)
      if (tokens >= wanted) continue
      state.poolEmptyUntil = clock.now() + EMPTY_POOL_PAUSE_MILLISECONDS
      for (const admit of state.waiting.splice(0)) admit(false)
    }
  }

  return {
    admit: async account => {
      const now = clock.now()
      const state = ensureState(account.name, now)
      Object.assign(state, { demand: decayDemand(state, now) + 1000 / DEMAND_AVERAGING_MILLISECONDS, demandAt: now })
      const { bucket, taken } = takeFromBucket(state.bucket, computeLimits(account), now)
      state.bucket = bucket
      if (taken) return true
      if (now < state.poolEmptyUntil) return false
      return await new Promise<boolean>(resolve => {
        state.waiting.push(resolve)
        if (state.waiting.length === 1) void borrowForWaiting(account, state)
      })
    },
    demand: () => {
      const now = clock.now()
      return Object.fromEntries([...accounts].flatMap(([name, state]) => {
        const demand = decayDemand(state, now)
        return demand < MINIMUM_REPORTED_DEMAND ? [] : [[name, Math.round(demand * 100) / 100]]
      }))
    }
  }
}
