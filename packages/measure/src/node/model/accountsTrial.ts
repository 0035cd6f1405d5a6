/**
 * How the worst-served account fares while another sends five times its rate:
 * tokens by escrow, then scarce connections at each entry instance, in virtual time.
 */

import { DEFAULT_RATE_POLICY, createFairQueue } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createRateFleet } from './rateFleet.js'
import { createTimeline } from './timeline.js'
import type { QueueEntry, QueuePolicy } from '@cyclamenusher/decisions'
import type { MeasuredDeployment } from '../deployments.js'

export interface AccountsTrial {
  /** Smallest share served of what an account sent within its rate. */
  worstServedShare: number
  worstAccount: string
  /** Largest p99 of an account beside the median account's. */
  worstP99Ratio: number
  medianP99Milliseconds: number
  /** Share of the surging account's entitled rate that it was served. */
  surgeServedShare: number
}

export interface AccountsTrialOptions {
  deployment: MeasuredDeployment
  queue: QueuePolicy
  seed: number
}

interface Waiting extends QueueEntry {
  arrivedAt: number
}

interface Pool {
  free: number
  queue: ReturnType<typeof createFairQueue<Waiting>>
}

const WARM_MILLISECONDS = 4_000
const MEASURED_MILLISECONDS = 20_000
const NEAR_MILLISECONDS = 0.25
const LEASE_MILLISECONDS = 3_000
/** Mean demand of the other accounts, as a share of their rate. */
const DEMAND_SHARE = 0.9
const SURGE = { account: 'account-1', times: 5 }
/** Use of the connections when every account sends its rate. */
const UTILIZATION = 0.9
/** Requests that may wait at one pool. */
const MAXIMUM_WAITING = 1_000
/** Longest wait for a connection, in milliseconds. */
const POOL_WAIT_MILLISECONDS = 2_000

function percentile (values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

export function runAccountsTrial ({ deployment, queue, seed }: AccountsTrialOptions): AccountsTrial {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const domains = deployment.failureDomains
  const entries = Array.from({ length: deployment.entries }, (_value, index) => ({ name: `entry-${index + 1}`, failureDomain: domains[index % domains.length] }))
  const voters = domains.map((failureDomain, index) => ({ name: `control-${index + 1}`, failureDomain }))
  const limits = new Map(deployment.accounts.map(({ name, rate, burst }) => [name, { rate, burst }]))
  const rules = { domains, accounts: limits }
  const connections = Math.floor(deployment.connectionLimit * deployment.groups * deployment.members / entries.length)
  const wholeRate = deployment.accounts.reduce((sum, { rate }) => sum + rate, 0)
  const serviceMilliseconds = 1000 * UTILIZATION * connections * entries.length / wholeRate
  const pools = new Map<string, Pool>(entries.map(({ name }) => [name, { free: connections, queue: createFairQueue<Waiting>({ maximumWaiting: MAXIMUM_WAITING }, queue) }]))
  const times = new Map<string, number[]>(deployment.accounts.map(({ name }) => [name, []]))
  const sent = new Map<string, number>()
  const open = new Map<number, { account: string, entry: string, at: number }>()

  function serve (pool: Pool, { account, arrivedAt }: Waiting): void {
    const milliseconds = serviceMilliseconds * random.between(0.5, 1.5)
    timeline.after(milliseconds, () => {
      const measured = arrivedAt >= WARM_MILLISECONDS && arrivedAt < WARM_MILLISECONDS + MEASURED_MILLISECONDS
      if (measured) times.get(account)?.push(timeline.now() - arrivedAt + 2 * deployment.clientMilliseconds)
      pool.queue.release(account, milliseconds)
      pool.free += 1
      serveNext(pool)
    })
  }

  function serveNext (pool: Pool): void {
    while (pool.free > 0) {
      const next = pool.queue.take()
      if (next === undefined) return
      if (timeline.now() - next.arrivedAt > POOL_WAIT_MILLISECONDS) {
        pool.queue.release(next.account, 0)
        continue
      }
      pool.free -= 1
      serve(pool, next)
    }
  }

  const fleet = createRateFleet({
    timeline,
    random,
    policy: DEFAULT_RATE_POLICY,
    entries,
    voters,
    network: (from, to) => [from.failureDomain === to.failureDomain ? NEAR_MILLISECONDS : deployment.domainMilliseconds],
    rules: () => rules,
    kindOf: () => 'keyed',
    leaseMilliseconds: LEASE_MILLISECONDS,
    onVerdict: (ticket, verdict) => {
      const request = open.get(ticket)
      open.delete(ticket)
      const pool = pools.get(request?.entry ?? '')
      if (request === undefined || pool === undefined || verdict === 'refuse') return
      pool.queue.add({ account: request.account, weight: 1, arrivedAt: request.at })
      serveNext(pool)
    }
  })
  let ticket = 0
  deployment.accounts.forEach(({ name, rate }) => {
    const mean = rate * (name === SURGE.account ? SURGE.times : DEMAND_SHARE)
    const next = (): void => {
      timeline.after(random.gap(mean), () => {
        const entry = random.pick(entries)
        ticket += 1
        open.set(ticket, { account: name, entry: entry.name, at: timeline.now() })
        if (fleet.arrive(entry.name, name, ticket) !== 'taken') open.delete(ticket)
        if (timeline.now() >= WARM_MILLISECONDS && timeline.now() < WARM_MILLISECONDS + MEASURED_MILLISECONDS) sent.set(name, (sent.get(name) ?? 0) + 1)
        next()
      })
    }
    next()
  })
  // What arrived last still gets its time to be served.
  timeline.runUntil(WARM_MILLISECONDS + MEASURED_MILLISECONDS)
  const until = timeline.now()
  timeline.runUntil(until + POOL_WAIT_MILLISECONDS)

  const others = deployment.accounts.filter(({ name }) => name !== SURGE.account)
  const shares = others.map(({ name }) => ({ name, share: Math.min(1, (times.get(name)?.length ?? 0) / Math.max(1, sent.get(name) ?? 0)) }))
  const worst = shares.reduce((least, candidate) => candidate.share < least.share ? candidate : least)
  const p99 = others.map(({ name }) => percentile(times.get(name) ?? [], 0.99))
  const median = percentile(p99, 0.5)
  const surgeRate = limits.get(SURGE.account)?.rate ?? 0
  return {
    worstServedShare: worst.share,
    worstAccount: worst.name,
    worstP99Ratio: Math.max(...p99) / median,
    medianP99Milliseconds: median,
    surgeServedShare: (times.get(SURGE.account)?.length ?? 0) / (surgeRate * MEASURED_MILLISECONDS / 1000)
  }
}
