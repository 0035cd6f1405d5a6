/**
 * Checks admissions against rate and burst, whatever decided them: in every interval
 * of length T, an account may have at most rate * T + burst requests admitted. A
 * bucket that starts full and is charged for each admission checks exactly this.
 */

import type { BucketLimits } from '@cyclamenusher/decisions'

export interface RateLedger {
  admit: (account: string, at: number) => void
  /** Sets the limits in force from `at`. Higher limits apply at once, lower ones after `graceMilliseconds`. */
  setLimits: (account: string, limits: BucketLimits, at: number) => void
  violations: () => RateViolation[]
  admitted: () => number
}

export interface RateViolation {
  account: string
  at: number
  /** Tokens admitted beyond rate and burst. */
  over: number
}

interface AccountState {
  /** Tokens left at `at`. */
  level: number
  /** When `level` was computed, in milliseconds. */
  at: number
  /** All limits that were set, oldest first. */
  limitHistory: Array<{ effectiveAt: number, limits: BucketLimits }>
}

/** Largest rounding error of a sum of fractions of tokens. */
const TOLERANCE_TOKENS = 1e-6

/** Creates a ledger; `graceMilliseconds` is the time after which lower limits apply. */
export function createRateLedger (graceMilliseconds: number): RateLedger {
  const accounts = new Map<string, AccountState>()
  const violations: RateViolation[] = []
  let admitted = 0

  /** Finds the largest rate and the largest burst that were in force in the last `graceMilliseconds`. */
  function findMaximumLimits ({ limitHistory }: AccountState, at: number): BucketLimits {
    const recent = limitHistory.filter((_item, index) => (limitHistory[index + 1]?.effectiveAt ?? Infinity) + graceMilliseconds >= at)
    return { rate: Math.max(...recent.map(item => item.limits.rate)), burst: Math.max(...recent.map(item => item.limits.burst)) }
  }

  function refillAccount (account: string, at: number): AccountState {
    const state = accounts.get(account)
    if (state === undefined) throw new Error(`account ${account} has no limits`)
    const { rate, burst } = findMaximumLimits(state, at)
    state.level = Math.min(burst, state.level + (at - state.at) * rate / 1000)
    state.at = at
    return state
  }

  return {
    admit: (account, at) => {
      const state = refillAccount(account, at)
      admitted += 1
      state.level -= 1
      if (state.level >= -TOLERANCE_TOKENS) return
      violations.push({ account, at, over: -state.level })
      state.level = 0
    },
    setLimits: (account, limits, at) => {
      const existing = accounts.get(account)
      if (existing === undefined) {
        accounts.set(account, { level: limits.burst, at, limitHistory: [{ effectiveAt: at, limits }] })
        return
      }
      const previous = findMaximumLimits(refillAccount(account, at), at)
      existing.level += Math.max(0, limits.burst - previous.burst)
      existing.limitHistory.push({ effectiveAt: at, limits })
    },
    violations: () => violations,
    admitted: () => admitted
  }
}
