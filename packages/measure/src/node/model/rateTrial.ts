/** Demand of a deployment's accounts against one way of splitting rate and burst, in virtual time. */

import { DEFAULT_RATE_POLICY, refillBucket } from '@cyclamenusher/decisions'
import { createCentralBucket, createStaticShares } from './rateBaselines.js'
import { createRandom } from './random.js'
import { createRateFleet } from './rateFleet.js'
import { createRateLedger } from './rateLedger.js'
import { createTimeline } from './timeline.js'
import type { Bucket } from '@cyclamenusher/decisions'
import type { MeasuredDeployment } from '../deployments.js'
import type { BaselineOptions } from './rateBaselines.js'
import type { Random } from './random.js'
import type { ModelPlace, RateFleet } from './rateFleet.js'
import type { Timeline } from './timeline.js'

export type RateSplit = 'escrow' | 'one home' | 'central bucket' | 'static shares'
export type Demand = 'even' | 'skewed' | 'moving' | 'restarts' | 'crashes' | 'cut'

export interface RateTrial {
  requests: number
  /** Refused although an ideal central bucket would have admitted them, a thousand requests. */
  wrongfulPerThousand: number
  /** Requests of the cut off failure domain that were refused since its rules were stale. */
  refusedByCut: number
  /** Admitted beyond rate and burst. */
  over: number
  /** Smallest share of its entitled rate that an account was served. */
  worstServedShare: number
  waitP99Milliseconds: number
  messagesPerRequest: number
}

export interface RateTrialOptions {
  deployment: MeasuredDeployment
  split: RateSplit
  demand: Demand
  seed: number
}

/** Time in which homes find their seats, in milliseconds. */
const WARM_MILLISECONDS = 4_000
const MEASURED_MILLISECONDS = 20_000
/** Between instances of one failure domain, one way, in milliseconds. */
const NEAR_MILLISECONDS = 0.25
/** How long rules are trusted, in milliseconds. */
const LEASE_MILLISECONDS = 3_000
/** Mean demand, as a share of the rate. */
const DEMAND_SHARE = 0.9
/** The one account that sends far more than its rate, and how much. */
const SURGE = { account: 'account-3', times: 5 }
/** Demand swings about its mean with this period, in milliseconds. */
const SWING_MILLISECONDS = 500
/** How often all demand of an account moves to another instance, in milliseconds. */
const MOVE_MILLISECONDS = 300

interface Stage {
  timeline: Timeline
  random: Random
  entries: ModelPlace[]
  fleet: RateFleet
  cut: Set<string>
  domains: string[]
}

type Target = (stage: Stage, account: number) => ModelPlace

const TARGETS: Record<Demand, Target> = {
  even: ({ random, entries }) => random.pick(entries),
  skewed: ({ entries }, account) => entries[account % entries.length],
  moving: ({ timeline, entries }, account) => entries[(account + Math.floor(timeline.now() / MOVE_MILLISECONDS) * 5) % entries.length],
  restarts: ({ random, entries }) => random.pick(entries),
  crashes: ({ random, entries }) => random.pick(entries),
  cut: ({ random, entries }) => random.pick(entries)
}

const EVENTS: Partial<Record<Demand, (stage: Stage) => void>> = {
  restarts: ({ timeline, random, fleet, entries }) => {
    timeline.every(1_000, () => { fleet.restartEntry(random.pick(entries).name, 300, 'shutdown') })
  },
  crashes: ({ timeline, random, fleet, entries }) => {
    timeline.every(1_000, () => { fleet.restartEntry(random.pick(entries).name, 300, 'crash') })
  },
  cut: ({ timeline, cut, domains }) => {
    timeline.after(WARM_MILLISECONDS + 4_000, () => { cut.add(domains[2]) })
    timeline.after(WARM_MILLISECONDS + 14_000, () => { cut.delete(domains[2]) })
  }
}

const SPLITS: Record<RateSplit, (options: BaselineOptions, stage: Omit<Stage, 'fleet'>, voters: ModelPlace[]) => RateFleet> = {
  escrow: (options, stage, voters) => createProduct(options, stage, voters, stage.domains),
  'one home': (options, stage, voters) => createProduct(options, stage, voters, []),
  'central bucket': options => createCentralBucket(options),
  'static shares': options => createStaticShares(options)
}

function createProduct (options: BaselineOptions, { timeline, random }: Omit<Stage, 'fleet'>, voters: ModelPlace[], domains: string[]): RateFleet {
  const rules = { domains, accounts: options.limits }
  return createRateFleet({
    timeline, random, policy: DEFAULT_RATE_POLICY, entries: options.entries, voters, network: options.network, rules: () => rules, kindOf: () => 'keyed', leaseMilliseconds: LEASE_MILLISECONDS, onVerdict: options.onVerdict
  })
}

function percentile (values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

export function runRateTrial ({ deployment, split, demand, seed }: RateTrialOptions): RateTrial {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const domains = deployment.failureDomains
  const entries = Array.from({ length: deployment.entries }, (_value, index) => ({ name: `entry-${index + 1}`, failureDomain: domains[index % domains.length] }))
  const voters = domains.map((failureDomain, index) => ({ name: `control-${index + 1}`, failureDomain }))
  const limits = new Map(deployment.accounts.map(({ name, rate, burst }) => [name, { rate, burst }]))
  const ledger = createRateLedger(0)
  for (const [account, bucket] of limits) ledger.setLimits(account, bucket, 0)
  const ideal = new Map<string, Bucket>(deployment.accounts.map(({ name, burst }) => [name, { tokens: burst, refilledAt: 0 }]))
  const cut = new Set<string>()
  const open = new Map<number, { account: string, at: number }>()
  const served = new Map<string, { admitted: number, wrongful: number }>(deployment.accounts.map(({ name }) => [name, { admitted: 0, wrongful: 0 }]))
  const waits: number[] = []
  let requests = 0
  let wrongful = 0
  let refusedByCut = 0
  let overBefore = 0

  /**
   * Whether an ideal central bucket withheld nothing: charged with what was
   * admitted, it had a token for a request that was refused. Each token that is
   * withheld counts once.
   */
  function isEntitled (account: string, verdict: 'admit' | 'refuse'): boolean {
    const known = ideal.get(account) ?? { tokens: 0, refilledAt: timeline.now() }
    const bucket = refillBucket(known, limits.get(account) ?? { rate: 0, burst: 0 }, timeline.now())
    const entitled = bucket.tokens >= 1
    ideal.set(account, verdict === 'admit' || entitled ? { ...bucket, tokens: bucket.tokens - 1 } : bucket)
    return entitled
  }

  function onVerdict (ticket: number, verdict: 'admit' | 'refuse'): void {
    const request = open.get(ticket)
    open.delete(ticket)
    if (request === undefined) return
    const { account, at } = request
    const count = served.get(account)
    const wasEntitled = isEntitled(account, verdict)
    if (verdict === 'admit') ledger.admit(account, timeline.now())
    if (at < WARM_MILLISECONDS || count === undefined) return
    if (verdict === 'admit') {
      count.admitted += 1
      waits.push(timeline.now() - at)
    } else if (wasEntitled) {
      count.wrongful += 1
      wrongful += 1
    }
  }

  const network = (from: ModelPlace, to: ModelPlace): number[] => {
    if (from.failureDomain === to.failureDomain) return [NEAR_MILLISECONDS]
    return cut.has(from.failureDomain) || cut.has(to.failureDomain) ? [] : [deployment.domainMilliseconds]
  }
  const stage = { timeline, random, entries, cut, domains }
  const fleet = SPLITS[split]({ timeline, entries, network, limits, waitMilliseconds: DEFAULT_RATE_POLICY.waitMilliseconds, onVerdict }, stage, voters)
  EVENTS[demand]?.({ ...stage, fleet })

  let ticket = 0
  function request (account: string, index: number): void {
    const target = TARGETS[demand]({ ...stage, fleet }, index)
    const tries = [target, ...entries.filter(entry => entry !== target)]
    for (const entry of tries) {
      ticket += 1
      open.set(ticket, { account, at: timeline.now() })
      const outcome = fleet.arrive(entry.name, account, ticket)
      if (outcome === 'taken') break
      open.delete(ticket)
      if (outcome === 'down') continue
      if (timeline.now() >= WARM_MILLISECONDS && cut.has(entry.failureDomain)) refusedByCut += 1
      break
    }
    if (timeline.now() >= WARM_MILLISECONDS) requests += 1
  }

  deployment.accounts.forEach(({ name, rate }, index) => {
    const mean = rate * (name === SURGE.account ? SURGE.times : DEMAND_SHARE)
    const next = (): void => {
      const high = Math.floor(timeline.now() / SWING_MILLISECONDS + index) % 2 === 0
      timeline.after(random.gap(mean * (high ? 1.4 : 0.6)), () => {
        request(name, index)
        next()
      })
    }
    next()
  })
  timeline.after(WARM_MILLISECONDS, () => { overBefore = ledger.violations().length })
  timeline.runUntil(WARM_MILLISECONDS + MEASURED_MILLISECONDS)
  const shares = [...served.values()].map(({ admitted, wrongful: lost }) => admitted / Math.max(1, admitted + lost))
  return {
    requests,
    wrongfulPerThousand: 1000 * wrongful / requests,
    refusedByCut,
    over: ledger.violations().length - overBefore,
    worstServedShare: Math.min(...shares),
    waitP99Milliseconds: percentile(waits, 0.99),
    messagesPerRequest: fleet.messages() / requests
  }
}
