/**
 * Chooses the entry instances that hold a client account's rate, and that lend from
 * it to the others. An account is divided only among as many instances as can each
 * hold whole operations; what each lender is asked for does not grow with the fleet.
 *
 * Load pattern: many instances, and accounts with a few operations a second each. A
 * share of one part in seventy holds less than one operation and admits none.
 */

import { rankManyNodes } from '../group/rendezvous.js'
import { computeShareLimits } from './rateShares.js'
import type { BucketLimits } from '../rate/bucket.js'
import type { RateTolerance } from './rateShares.js'

/** Fewest whole operations that a share must hold at once: one that runs and the next. */
const MINIMUM_SHARE_OPERATIONS = 2
/** Rate that one lender carries, in operations per second: a loan takes about 2 ms of processor at the lender, and an instance lends for several accounts. */
const RATE_PER_LENDER = 5

export interface LenderCandidate {
  name: string
  failureDomain: string
}

/**
 * Number of entry instances among which an account's limits are divided: what its
 * rate needs, one in each failure domain so that one that is cut off can go on, and
 * no more than can hold whole operations.
 */
export function countLenders (limits: BucketLimits, tolerance: RateTolerance, candidates: readonly LenderCandidate[]): number {
  const operations = Math.floor(computeShareLimits(limits, 1, tolerance).burst / MINIMUM_SHARE_OPERATIONS)
  const failureDomains = new Set(candidates.map(({ failureDomain }) => failureDomain)).size
  const needed = Math.max(failureDomains, Math.ceil(limits.rate / RATE_PER_LENDER))
  return Math.max(1, Math.min(candidates.length, operations, needed))
}

/** Chooses `count` lenders of an account: the first of each failure domain by rendezvous hashing, then the second ones. */
export function chooseLenders (account: string, candidates: readonly LenderCandidate[], count: number): string[] {
  if (count >= candidates.length) return candidates.map(({ name }) => name)
  const domains = new Map(candidates.map(({ name, failureDomain }) => [name, failureDomain]))
  const usedByDomain = new Map<string, number>()
  const ranked = rankManyNodes(account, [...domains.keys()]).map((name, rank) => {
    const domain = domains.get(name) ?? ''
    const round = usedByDomain.get(domain) ?? 0
    usedByDomain.set(domain, round + 1)
    return { name, round, rank }
  })
  return ranked.sort((left, right) => left.round - right.round || left.rank - right.rank).slice(0, count).map(({ name }) => name)
}

/** The lenders from which the instances of a failure domain borrow: those of the domain where there are any. */
export function listNearLenders<Lender extends LenderCandidate> (failureDomain: string, lenders: readonly Lender[]): readonly Lender[] {
  const near = lenders.filter(lender => lender.failureDomain === failureDomain)
  return near.length > 0 ? near : lenders
}

/** The lender among those of its failure domain from which an instance borrows. Undefined: the instance is a lender itself, or there is none. */
export function findLender<Lender extends { name: string }> (account: string, name: string, lenders: readonly Lender[]): Lender | undefined {
  if (lenders.some(lender => lender.name === name)) return undefined
  const [chosen] = rankManyNodes(`${account}\0${name}`, lenders.map(lender => lender.name))
  return lenders.find(lender => lender.name === chosen)
}
