/** Takes a token of the client account's rate for each operation: from this instance's part, or else from control's pool. */

import { computeShareLimits, refillBucket, takeFromBucket } from '@cyclamenusher/decisions'
import type { Bucket, BucketLimits, ClientAccount, RateTolerance } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Time over which demand is averaged, in milliseconds: several renewals of the parts. */
const DEMAND_AVERAGING_MILLISECONDS = 2_000
/** Demand below which an account is left out of the report, in operations a second. */
const MINIMUM_REPORTED_DEMAND = 0.01
/** Time for which control is not asked again after its pool was empty, in milliseconds: less than a caller's patience, more than a way to control. */
const EMPTY_POOL_PAUSE_MILLISECONDS = 100
/** Time whose demand is borrowed at once, in milliseconds: some ways to control. */
const BORROW_AHEAD_MILLISECONDS = 50

export interface RateGate {
  /** Whether the operation may run. */
  admit: (account: ClientAccount) => Promise<boolean>
  /** Operations a second that asked, by account. */
  demand: () => Record<string, number>
}

interface AccountState {
  bucket: Bucket
  demand: number
  demandAt: number
  /** Operations that wait for a loan. */
  waiting: Array<(admitted: boolean) => void>
  /** Control's pool was empty until lately. */
  poolEmptyUntil: number
}

export interface RateGateOptions {
  clock: Clock
  /** This instance's part of an account's limits, from 0 to 1. */
  shareOf: (account: string) => number
  /** Borrows operations from control's pool; 0 when it has none or does not answer. */
  borrow: (account: string, wanted: number) => Promise<number>
  tolerance: RateTolerance
}

export function createRateGate ({ clock, shareOf, borrow, tolerance }: RateGateOptions): RateGate {
  const startedAt = clock.now()
  const accounts = new Map<string, AccountState>()

  function ensureState (name: string, now: number): AccountState {
    // Tokens count from the start of the process: a restart brings no new burst.
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

  /** Admits as many of those that wait as there are tokens, and keeps what is left. */
  function admitWaiting (account: ClientAccount, state: AccountState, tokens: number): void {
    const admitted = state.waiting.splice(0, tokens)
    for (const admit of admitted) admit(true)
    const limits = computeLimits(account)
    const refilled = refillBucket(state.bucket, limits, clock.now())
    const remaining = tokens - admitted.length
    state.bucket = { ...refilled, tokens: Math.min(Math.max(limits.burst, refilled.tokens), refilled.tokens + remaining) }
  }

  /** Borrows until nobody waits any more, or the pool is empty. */
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
