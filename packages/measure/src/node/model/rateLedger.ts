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

interface Entry {
  level: number
  at: number
  limits: Array<{ since: number, limits: BucketLimits }>
}

/** Rounding errors of sums of parts of tokens. */
const TOLERANCE = 1e-6

export function createRateLedger (settleMilliseconds: number): RateLedger {
  const entries = new Map<string, Entry>()
  const violations: RateViolation[] = []
  let admitted = 0

  /** The largest limits that were in force lately. */
  function limitsAt ({ limits }: Entry, at: number): BucketLimits {
    const lately = limits.filter((_item, index) => (limits[index + 1]?.since ?? Infinity) + settleMilliseconds >= at)
    return { rate: Math.max(...lately.map(item => item.limits.rate)), burst: Math.max(...lately.map(item => item.limits.burst)) }
  }

  function advance (account: string, at: number): Entry {
    const entry = entries.get(account)
    if (entry === undefined) throw new Error(`account ${account} has no limits`)
    const { rate, burst } = limitsAt(entry, at)
    entry.level = Math.min(burst, entry.level + (at - entry.at) * rate / 1000)
    entry.at = at
    return entry
  }

  return {
    admit: (account, at) => {
      const entry = advance(account, at)
      admitted += 1
      entry.level -= 1
      if (entry.level >= -TOLERANCE) return
      violations.push({ account, at, over: -entry.level })
      entry.level = 0
    },
    setLimits: (account, limits, at) => {
      const known = entries.get(account)
      if (known === undefined) {
        entries.set(account, { level: limits.burst, at, limits: [{ since: at, limits }] })
        return
      }
      const before = limitsAt(advance(account, at), at)
      known.level += Math.max(0, limits.burst - before.burst)
      known.limits.push({ since: at, limits })
    },
    violations: () => violations,
    admitted: () => admitted
  }
}
