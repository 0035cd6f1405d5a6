/** Takes a token of the client account's rate for each operation, from this instance's part. */

import { partLimits, take } from '@cyclamenusher/decisions'
import type { Bucket, ClientAccount } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Time over which demand is averaged, in milliseconds: several renewals of the parts. */
const DEMAND_MILLISECONDS = 2_000
/** Demand below which an account is left out of the report, in operations a second. */
const NO_DEMAND = 0.01

export interface RateGate {
  /** Whether the operation may run. */
  admit: (account: ClientAccount) => boolean
  /** Operations a second that asked, by account. */
  demand: () => Record<string, number>
}

interface AccountState {
  bucket: Bucket
  demand: number
  askedAt: number
}

export function createRateGate (clock: Clock, partOf: (account: string) => number): RateGate {
  const accounts = new Map<string, AccountState>()

  function decayed ({ demand, askedAt }: AccountState, now: number): number {
    return demand * Math.exp((askedAt - now) / DEMAND_MILLISECONDS)
  }

  return {
    admit: ({ name, ratePerSecond, burst }) => {
      const now = clock.now()
      const limits = partLimits({ rate: ratePerSecond, burst }, partOf(name))
      const known = accounts.get(name) ?? { bucket: { tokens: limits.burst, refilledAt: now }, demand: 0, askedAt: now }
      const { bucket, taken } = take(known.bucket, limits, now)
      accounts.set(name, { bucket, demand: decayed(known, now) + 1000 / DEMAND_MILLISECONDS, askedAt: now })
      return taken
    },
    demand: () => {
      const now = clock.now()
      return Object.fromEntries([...accounts].flatMap(([name, state]) => {
        const demand = decayed(state, now)
        return demand < NO_DEMAND ? [] : [[name, Math.round(demand * 100) / 100]]
      }))
    }
  }
}
