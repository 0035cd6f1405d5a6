/**
 * Judges what was admitted, knowing nothing of how: over every interval of
 * length T at most rate * T + burst, which a full bucket that is charged with
 * each admission decides exactly.
 */

import type { BucketLimits } from '@cyclamenusher/decisions'

export interface RateLedger {
  admit: (account: string, at: number) => void
  /** From now on these limits are in force; lower ones bind after `settleMilliseconds`. */
  setLimits: (account: string, limits: BucketLimits, at: number) => void
  violations: () => RateViolation[]
  admitted: () => number
}

export interface RateViolation {
  account: string
  at: number
  /** Tokens beyond rate and burst. */
  over: number
}

interface AccountState {
  level: number
  at: number
  limitHistory: Array<{ effectiveAt: number, limits: BucketLimits }>
}

/** Rounding errors of sums of parts of tokens. */
const TOLERANCE_TOKENS = 1e-6

export function createRateLedger (graceMilliseconds: number): RateLedger {
  const accounts = new Map<string, AccountState>()
  const violations: RateViolation[] = []
  let admitted = 0

  /** The largest limits that were in force lately. */
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
