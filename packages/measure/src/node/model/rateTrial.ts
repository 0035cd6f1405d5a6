/** Measures one way of splitting rate and burst over instances, under the demand of a deployment's accounts, in virtual time. */

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
import type { ModelInstance, RateFleet } from './rateFleet.js'
import type { Timeline } from './timeline.js'

export type RateSplit = 'escrow' | 'one home' | 'central bucket' | 'static shares'
export type Demand = 'even' | 'skewed' | 'moving' | 'restarts' | 'crashes' | 'cut'

export interface RateTrial {
  requests: number
  /** Requests refused although an ideal central bucket would have admitted them, per thousand requests. */
  wrongfulPerThousand: number
  /** Requests refused in the failure domain that was cut off, because its rules were stale. */
  refusedByCut: number
  /** Requests admitted beyond rate and burst. */
  over: number
  /** Smallest share of an account's admitted and wrongly refused requests that was admitted. */
  worstServedShare: number
  /** 99th percentile of the time that an admitted request waited for its token, in milliseconds. */
  waitP99Milliseconds: number
  messagesPerRequest: number
}

export interface RateTrialOptions {
  deployment: MeasuredDeployment
  split: RateSplit
  demand: Demand
  seed: number
}

/** Time before requests are counted, in milliseconds; instances acquire their seats in it. */
const WARM_UP_MILLISECONDS = 4_000
/** Time during which requests are counted, in milliseconds. */
const MEASUREMENT_MILLISECONDS = 20_000
/** One-way delay between instances of the same failure domain, in milliseconds. */
const SAME_DOMAIN_DELAY_MILLISECONDS = 0.25
/** How long an instance may use rules after it requested them, in milliseconds. */
const RULES_LEASE_MILLISECONDS = 3_000
/** Mean demand of the other accounts, as a share of their rate. */
const DEMAND_SHARE = 0.9
/** The account that exceeds its rate, and by what factor. */
const SURGE = { account: 'account-3', factor: 5 }
/** Interval at which demand alternates between above and below its mean, in milliseconds. */
const SWING_INTERVAL_MILLISECONDS = 500
/** Interval at which all demand of an account moves to another instance, in milliseconds. */
const MOVE_INTERVAL_MILLISECONDS = 300

interface TrialContext {
  timeline: Timeline
  random: Random
  entries: ModelInstance[]
  fleet: RateFleet
  cutDomains: Set<string>
  domains: string[]
}

/** Chooses the entry instance that an account's next request is sent to. */
type TargetSelector = (context: TrialContext, accountIndex: number) => ModelInstance

const TARGET_SELECTORS: Record<Demand, TargetSelector> = {
  even: ({ random, entries }) => random.pick(entries),
  skewed: ({ entries }, accountIndex) => entries[accountIndex % entries.length],
  moving: ({ timeline, entries }, accountIndex) => entries[(accountIndex + Math.floor(timeline.now() / MOVE_INTERVAL_MILLISECONDS) * 5) % entries.length],
  restarts: ({ random, entries }) => random.pick(entries),
  crashes: ({ random, entries }) => random.pick(entries),
  cut: ({ random, entries }) => random.pick(entries)
}

/** Schedules the faults of a demand. */
const FAULT_SCHEDULERS: Partial<Record<Demand, (context: TrialContext) => void>> = {
  restarts: ({ timeline, random, fleet, entries }) => {
    timeline.every(1_000, () => { fleet.restartEntry(random.pick(entries).name, 300, 'shutdown') })
  },
  crashes: ({ timeline, random, fleet, entries }) => {
    timeline.every(1_000, () => { fleet.restartEntry(random.pick(entries).name, 300, 'crash') })
  },
  cut: ({ timeline, cutDomains, domains }) => {
    timeline.after(WARM_UP_MILLISECONDS + 4_000, () => { cutDomains.add(domains[2]) })
    timeline.after(WARM_UP_MILLISECONDS + 14_000, () => { cutDomains.delete(domains[2]) })
  }
}

const FLEET_FACTORIES: Record<RateSplit, (options: BaselineOptions, context: Omit<TrialContext, 'fleet'>, voters: ModelInstance[]) => RateFleet> = {
  escrow: (options, context, voters) => createProductFleet(options, context, voters, context.domains),
  'one home': (options, context, voters) => createProductFleet(options, context, voters, []),
  'central bucket': options => createCentralBucket(options),
  'static shares': options => createStaticShares(options)
}

function createProductFleet (options: BaselineOptions, { timeline, random }: Omit<TrialContext, 'fleet'>, voters: ModelInstance[], domains: string[]): RateFleet {
  const rules = { domains, accounts: options.limits }
  return createRateFleet({
    timeline, random, policy: DEFAULT_RATE_POLICY, entries: options.entries, voters, network: options.network, rules: () => rules, getAccountKind: () => 'keyed', leaseMilliseconds: RULES_LEASE_MILLISECONDS, onVerdict: options.onVerdict
  })
}

function percentile (values: number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0
}

export function runRateTrial ({ deployment, split, demand, seed }: RateTrialOptions): RateTrial {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const domains = deployment.failureDomains
  const entries = Array.from({ length: deployment.entries }, (_value, index) => ({ name: `entry-${index + 1}`, failureDomain: domains[index % domains.length] }))
  const voters = domains.map((failureDomain, index) => ({ name: `control-${index + 1}`, failureDomain }))
  const limits = new Map(deployment.accounts.map(({ name, rate, burst }) => [name, { rate, burst }]))
  const ledger = createRateLedger(0)
  for (const [account, accountLimits] of limits) ledger.setLimits(account, accountLimits, 0)
  const idealBuckets = new Map<string, Bucket>(deployment.accounts.map(({ name, burst }) => [name, { tokens: burst, refilledAt: 0 }]))
  const cutDomains = new Set<string>()
  const pendingRequests = new Map<number, { account: string, at: number }>()
  const verdictCounts = new Map<string, { admitted: number, wrongful: number }>(deployment.accounts.map(({ name }) => [name, { admitted: 0, wrongful: 0 }]))
  const waits: number[] = []
  let requests = 0
  let wrongful = 0
  let refusedByCut = 0
  let violationsBefore = 0

  /**
   * Returns whether an ideal central bucket has a token for the request, and charges
   * it. A refused request is charged too if there was a token, so that each token
   * that was wrongly withheld counts once.
   */
  function chargeIdealBucket (account: string, verdict: 'admit' | 'refuse'): boolean {
    const current = idealBuckets.get(account) ?? { tokens: 0, refilledAt: timeline.now() }
    const bucket = refillBucket(current, limits.get(account) ?? { rate: 0, burst: 0 }, timeline.now())
    const entitled = bucket.tokens >= 1
    idealBuckets.set(account, verdict === 'admit' || entitled ? { ...bucket, tokens: bucket.tokens - 1 } : bucket)
    return entitled
  }

  function onVerdict (ticket: number, verdict: 'admit' | 'refuse'): void {
    const pendingRequest = pendingRequests.get(ticket)
    pendingRequests.delete(ticket)
    if (pendingRequest === undefined) return
    const { account, at: requestedAt } = pendingRequest
    const counts = verdictCounts.get(account)
    const wasEntitled = chargeIdealBucket(account, verdict)
    if (verdict === 'admit') ledger.admit(account, timeline.now())
    if (requestedAt < WARM_UP_MILLISECONDS || counts === undefined) return
    if (verdict === 'admit') {
      counts.admitted += 1
      waits.push(timeline.now() - requestedAt)
    } else if (wasEntitled) {
      counts.wrongful += 1
      wrongful += 1
    }
  }

  const network = (from: ModelInstance, to: ModelInstance): number[] => {
    if (from.failureDomain === to.failureDomain) return [SAME_DOMAIN_DELAY_MILLISECONDS]
    return cutDomains.has(from.failureDomain) || cutDomains.has(to.failureDomain) ? [] : [deployment.domainDelayMilliseconds]
  }
  const context = { timeline, random, entries, cutDomains, domains }
  const fleet = FLEET_FACTORIES[split]({ timeline, entries, network, limits, waitMilliseconds: DEFAULT_RATE_POLICY.waitMilliseconds, onVerdict }, context, voters)
  FAULT_SCHEDULERS[demand]?.({ ...context, fleet })

  let ticket = 0
  function sendRequest (account: string, accountIndex: number): void {
    const target = TARGET_SELECTORS[demand]({ ...context, fleet }, accountIndex)
    const candidates = [target, ...entries.filter(entry => entry !== target)]
    for (const entry of candidates) {
      ticket += 1
      pendingRequests.set(ticket, { account, at: timeline.now() })
      const outcome = fleet.requestToken(entry.name, account, ticket)
      if (outcome === 'taken') break
      pendingRequests.delete(ticket)
      if (outcome === 'down') continue
      if (timeline.now() >= WARM_UP_MILLISECONDS && cutDomains.has(entry.failureDomain)) refusedByCut += 1
      break
    }
    if (timeline.now() >= WARM_UP_MILLISECONDS) requests += 1
  }

  deployment.accounts.forEach(({ name, rate }, index) => {
    const meanRate = rate * (name === SURGE.account ? SURGE.factor : DEMAND_SHARE)
    const scheduleNext = (): void => {
      const isHigh = Math.floor(timeline.now() / SWING_INTERVAL_MILLISECONDS + index) % 2 === 0
      timeline.after(random.exponentialGap(meanRate * (isHigh ? 1.4 : 0.6)), () => {
        sendRequest(name, index)
        scheduleNext()
      })
    }
    scheduleNext()
  })
  timeline.after(WARM_UP_MILLISECONDS, () => { violationsBefore = ledger.violations().length })
  timeline.runUntil(WARM_UP_MILLISECONDS + MEASUREMENT_MILLISECONDS)
  const servedShares = [...verdictCounts.values()].map(({ admitted, wrongful: wrongfulCount }) => admitted / Math.max(1, admitted + wrongfulCount))
  return {
    requests,
    wrongfulPerThousand: 1000 * wrongful / requests,
    refusedByCut,
    over: ledger.violations().length - violationsBefore,
    worstServedShare: Math.min(...servedShares),
    waitP99Milliseconds: percentile(waits, 0.99),
    messagesPerRequest: fleet.messageCount() / requests
  }
}
