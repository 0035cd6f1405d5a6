/**
 * Measures how well the worst-served account is served while another sends five
 * times its rate, in virtual time. Each request needs a token, which the product's
 * escrow grants, and then one of the scarce connections of its entry instance.
 */

import { DEFAULT_RATE_POLICY, createFairQueue } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createRateFleet } from './rateFleet.js'
import { createTimeline } from './timeline.js'
import type { QueueEntry, QueuePolicy } from '@cyclamenusher/decisions'
import type { MeasuredDeployment } from '../deployments.js'

export interface AccountsTrial {
  /** Smallest share of its requests that an account other than the surging one was served. */
  worstServedShare: number
  worstAccount: string
  /** Largest p99 latency of an account, divided by the median of the accounts' p99 latencies. */
  worstP99Ratio: number
  medianP99Milliseconds: number
  /** Requests served to the surging account, as a share of its rate. */
  surgeServedShare: number
}

export interface AccountsTrialOptions {
  deployment: MeasuredDeployment
  queue: QueuePolicy
  seed: number
}

interface WaitingRequest extends QueueEntry {
  arrivedAt: number
}

interface Pool {
  freeConnections: number
  queue: ReturnType<typeof createFairQueue<WaitingRequest>>
}

/** Time before requests are counted, in milliseconds. */
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
const SURGE = { account: 'account-1', factor: 5 }
/** Share of connection time in use when every account sends exactly its rate. */
const UTILIZATION = 0.9
/** Most requests that may wait at one pool. */
const MAXIMUM_WAITING_REQUESTS = 1_000
/** Time that a request may wait for a connection, in milliseconds. */
const POOL_WAIT_TIMEOUT_MILLISECONDS = 2_000

function percentile (values: number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0
}

export function runAccountsTrial ({ deployment, queue, seed }: AccountsTrialOptions): AccountsTrial {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const domains = deployment.failureDomains
  const entries = Array.from({ length: deployment.entries }, (_value, index) => ({ name: `entry-${index + 1}`, failureDomain: domains[index % domains.length] }))
  const voters = domains.map((failureDomain, index) => ({ name: `control-${index + 1}`, failureDomain }))
  const limits = new Map(deployment.accounts.map(({ name, rate, burst }) => [name, { rate, burst }]))
  const rules = { domains, accounts: limits }
  const connectionsPerEntry = Math.floor(deployment.connectionLimit * deployment.groups * deployment.members / entries.length)
  const totalRate = deployment.accounts.reduce((sum, { rate }) => sum + rate, 0)
  const serviceMilliseconds = 1000 * UTILIZATION * connectionsPerEntry * entries.length / totalRate
  const pools = new Map<string, Pool>(entries.map(({ name }) => [name, { freeConnections: connectionsPerEntry, queue: createFairQueue<WaitingRequest>({ maximumWaiting: MAXIMUM_WAITING_REQUESTS }, queue) }]))
  const latencies = new Map<string, number[]>(deployment.accounts.map(({ name }) => [name, []]))
  const sentCounts = new Map<string, number>()
  const pendingRequests = new Map<number, { account: string, entry: string, at: number }>()

  function serve (pool: Pool, { account, arrivedAt }: WaitingRequest): void {
    const milliseconds = serviceMilliseconds * random.between(0.5, 1.5)
    timeline.after(milliseconds, () => {
      const measured = arrivedAt >= WARM_UP_MILLISECONDS && arrivedAt < WARM_UP_MILLISECONDS + MEASUREMENT_MILLISECONDS
      if (measured) latencies.get(account)?.push(timeline.now() - arrivedAt + 2 * deployment.clientDelayMilliseconds)
      pool.queue.release(account, milliseconds)
      pool.freeConnections += 1
      serveNext(pool)
    })
  }

  function serveNext (pool: Pool): void {
    while (pool.freeConnections > 0) {
      const nextRequest = pool.queue.take()
      if (nextRequest === undefined) return
      if (timeline.now() - nextRequest.arrivedAt > POOL_WAIT_TIMEOUT_MILLISECONDS) {
        pool.queue.release(nextRequest.account, 0)
        continue
      }
      pool.freeConnections -= 1
      serve(pool, nextRequest)
    }
  }

  const fleet = createRateFleet({
    timeline,
    random,
    policy: DEFAULT_RATE_POLICY,
    entries,
    voters,
    network: (from, to) => [from.failureDomain === to.failureDomain ? SAME_DOMAIN_DELAY_MILLISECONDS : deployment.domainDelayMilliseconds],
    rules: () => rules,
    getAccountKind: () => 'keyed',
    leaseMilliseconds: RULES_LEASE_MILLISECONDS,
    onVerdict: (ticket, verdict) => {
      const request = pendingRequests.get(ticket)
      pendingRequests.delete(ticket)
      const pool = pools.get(request?.entry ?? '')
      if (request === undefined || pool === undefined || verdict === 'refuse') return
      pool.queue.add({ account: request.account, weight: 1, arrivedAt: request.at })
      serveNext(pool)
    }
  })
  let ticket = 0
  deployment.accounts.forEach(({ name, rate }) => {
    const meanRate = rate * (name === SURGE.account ? SURGE.factor : DEMAND_SHARE)
    const scheduleNext = (): void => {
      timeline.after(random.exponentialGap(meanRate), () => {
        const entry = random.pick(entries)
        ticket += 1
        pendingRequests.set(ticket, { account: name, entry: entry.name, at: timeline.now() })
        if (fleet.requestToken(entry.name, name, ticket) !== 'taken') pendingRequests.delete(ticket)
        if (timeline.now() >= WARM_UP_MILLISECONDS && timeline.now() < WARM_UP_MILLISECONDS + MEASUREMENT_MILLISECONDS) sentCounts.set(name, (sentCounts.get(name) ?? 0) + 1)
        scheduleNext()
      })
    }
    scheduleNext()
  })
  // Requests that arrived last still get the full wait for a connection.
  timeline.runUntil(WARM_UP_MILLISECONDS + MEASUREMENT_MILLISECONDS)
  const measuredUntil = timeline.now()
  timeline.runUntil(measuredUntil + POOL_WAIT_TIMEOUT_MILLISECONDS)

  const others = deployment.accounts.filter(({ name }) => name !== SURGE.account)
  const servedShares = others.map(({ name }) => ({ name, share: Math.min(1, (latencies.get(name)?.length ?? 0) / Math.max(1, sentCounts.get(name) ?? 0)) }))
  const worst = servedShares.reduce((lowest, candidate) => candidate.share < lowest.share ? candidate : lowest)
  const p99Latencies = others.map(({ name }) => percentile(latencies.get(name) ?? [], 0.99))
  const medianP99 = percentile(p99Latencies, 0.5)
  const surgeRate = limits.get(SURGE.account)?.rate ?? 0
  return {
    worstServedShare: worst.share,
    worstAccount: worst.name,
    worstP99Ratio: Math.max(...p99Latencies) / medianP99,
    medianP99Milliseconds: medianP99,
    surgeServedShare: (latencies.get(SURGE.account)?.length ?? 0) / (surgeRate * MEASUREMENT_MILLISECONDS / 1000)
  }
}
