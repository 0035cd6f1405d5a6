/** A leader and many entry instances that share the rates of client accounts, in virtual time: the product's leases, pool and gates, with calls that take no time. */

import { LOAN_MEMORY_MILLISECONDS, RENEWAL_HOLD_MILLISECONDS, awaitsReturn, findLender, isLoanHistoryComplete } from '@cyclamenusher/decisions'
import { createRateGate } from '../../../engine/rateGate.js'
import { createEntryLeases } from '../entryLeases.js'
import { createRatePool } from '../ratePool.js'
import type { ClientAccount, ControlAddress, Declaration, LoanReport, PoolLoan, RateTolerance } from '@cyclamenusher/decisions'
import type { RateGate } from '../../../engine/rateGate.js'

const FAILURE_DOMAINS = 3
const STEP_MILLISECONDS = 10
const PLAN_INTERVAL_MILLISECONDS = 500
/** Time before operations are counted, in milliseconds. */
const WARM_UP_MILLISECONDS = 5_000

export interface RateFleetOptions {
  instances: number
  accounts: readonly ClientAccount[]
  /** Operations that each account sends, as a fraction of its rate. */
  load: number
  /** Time for which operations are counted, in milliseconds. */
  milliseconds: number
  tolerance: RateTolerance
  random: () => number
  /** Whether another leader takes over when the operations begin to count. It knows what the instances report to it. @default false */
  changeLeader?: boolean
  /** Prepares each operation some time before it, in milliseconds; undefined: none is prepared. */
  prepareMilliseconds?: number
  /** Preparations that no operation follows, as a fraction of the others. @default 0 */
  abandoned?: number
}

export interface RateFleetResult {
  asked: number
  admitted: number
  /** Largest number of operations of one account admitted in any window of the tolerance, relative to what its limits allow in it. */
  worstUse: number
  /** Loans requested of the leader per second. */
  leaderLoans: number
  /** Loans requested of the busiest entry instance per second. */
  busiestInstanceLoans: number
  /** Loans requested of anyone for each operation. */
  loansPerOperation: number
}

interface Instance {
  name: string
  gate: RateGate
  shares: Record<string, number>
  /** By account, the port (here the index) of the instance that lends. */
  lenders: Record<string, ControlAddress | undefined>
  loans: number
  /** What it borrowed from control. */
  borrowed: Array<PoolLoan & { account: string }>
  change: number
  /** Term of the leader that granted the last renewal. */
  term: number
}

function drawArrivals (mean: number, random: () => number): number {
  let arrivals = 0
  for (let product = random(); product > Math.exp(-mean); product *= random()) arrivals += 1
  return arrivals
}

function computeWorstUse (admittedAt: ReadonlyMap<string, number[]>, accounts: readonly ClientAccount[], { windowSeconds, overage, operations }: RateTolerance): number {
  return Math.max(...accounts.map(({ name, ratePerSecond, burst }) => {
    const allowed = (ratePerSecond * windowSeconds + burst) * (1 + overage) + operations
    const times = admittedAt.get(name) ?? []
    let from = 0
    return times.reduce((worst, time, index) => {
      while (times[from] <= time - windowSeconds * 1000) from += 1
      return Math.max(worst, (index - from + 1) / allowed)
    }, 0)
  }))
}

export async function runRateFleet ({ instances, accounts, load, milliseconds, tolerance, random, changeLeader = false, prepareMilliseconds, abandoned = 0 }: RateFleetOptions): Promise<RateFleetResult> {
  let now = 0
  let change = 0
  let leaderLoans = 0
  const clock = { now: () => now }
  const declaration: Declaration = { version: 1, routes: [], groups: [], accounts: [...accounts], idleTransactionMilliseconds: 1_000 }
  let term = 1
  let leases = createEntryLeases(tolerance)
  let pool = createRatePool(() => declaration, tolerance, clock)
  const accountsByName = new Map(accounts.map(account => [account.name, account]))
  const admittedAt = new Map<string, number[]>()
  const result = { asked: 0, admitted: 0 }

  let timers: Array<{ at: number, fire: () => void }> = []

  function fireTimers (): void {
    const due = timers.filter(({ at }) => at <= now)
    timers = timers.filter(({ at }) => at > now)
    for (const { fire } of due) fire()
  }

  const fleet = Array.from({ length: instances }, (_, index): Instance => {
    const instance: Instance = {
      name: `entry-${index}`,
      shares: {},
      lenders: {},
      loans: 0,
      borrowed: [],
      change: 0,
      term: 1,
      gate: createRateGate({
        clock,
        shareOf: account => instance.shares[account] ?? 0,
        borrow: async (name, wanted) => {
          const lender = fleet[instance.lenders[name]?.port ?? -1]
          if (lender !== undefined && (lender.shares[name] ?? 0) > 0) {
            if (now >= WARM_UP_MILLISECONDS) lender.loans += 1
            return { granted: await lender.gate.lend(accountsByName.get(name) as ClientAccount, wanted) }
          }
          if (now >= WARM_UP_MILLISECONDS) leaderLoans += 1
          const reply = pool.lend(name, wanted)
          if (reply.granted > 0) instance.borrowed.push({ account: name, operations: reply.granted, at: now })
          return reply
        },
        instances: () => instances,
        tolerance,
        wait: async milliseconds => await new Promise(resolve => { timers.push({ at: now + milliseconds, fire: resolve }) })
      })
    }
    return instance
  })

  function reportLoans ({ borrowed }: Instance): LoanReport {
    const recent = borrowed.filter(({ at }) => now - at <= LOAN_MEMORY_MILLISECONDS)
    return { completeFor: Math.min(now, LOAN_MEMORY_MILLISECONDS), loans: recent.map(({ account, operations, at }) => ({ account, operations, ago: now - at })) }
  }

  function renew (instance: Instance, index: number): void {
    const isKnown = instance.term === term
    if (!isKnown) Object.assign(instance, { change: 0, term })
    leases.renew({ name: instance.name, incarnation: '1', failureDomain: `domain-${index % FAILURE_DOMAINS}`, lendsAt: { host: 'entry', port: index }, knows: { term, change: instance.change }, version: 1, demand: instance.gate.demand(), sightings: {}, busy: [], holdMilliseconds: RENEWAL_HOLD_MILLISECONDS, ...(isKnown ? {} : { parts: instance.shares, loans: reportLoans(instance) }) }, instance.change, now)
    leases.grant(instance.name, now)
    const received = Object.entries(leases.isPlanned(instance.name) ? leases.lendersOf(`domain-${index % FAILURE_DOMAINS}`, instance.change) : {}).map(([account, lenders]) => [account, findLender(account, instance.name, lenders)])
    Object.assign(instance, { shares: leases.sharesOf(instance.name).shares, lenders: { ...instance.lenders, ...Object.fromEntries(received) }, change })
  }

  async function run (account: ClientAccount): Promise<void> {
    const instance = fleet[Math.floor(random() * fleet.length)]
    if (prepareMilliseconds !== undefined) {
      instance.gate.prefetch(account, 'set')
      if (random() < abandoned) fleet[Math.floor(random() * fleet.length)].gate.prefetch(account, 'start')
      await new Promise<void>(resolve => { timers.push({ at: now + prepareMilliseconds, fire: resolve }) })
    }
    const at = now
    if (!await instance.gate.admit(account)) return
    admittedAt.set(account.name, [...admittedAt.get(account.name) ?? [], now])
    if (at >= WARM_UP_MILLISECONDS) result.admitted += 1
  }

  const pending: Array<Promise<void>> = []
  for (; now < WARM_UP_MILLISECONDS + milliseconds; now += STEP_MILLISECONDS) {
    fireTimers()
    if (changeLeader && now === WARM_UP_MILLISECONDS) {
      term += 1
      change = 0
      leases = createEntryLeases(tolerance)
      pool = createRatePool(() => declaration, tolerance, clock)
    }
    for (const [index, instance] of fleet.entries()) if ((now + index * STEP_MILLISECONDS) % RENEWAL_HOLD_MILLISECONDS === 0) renew(instance, index)
    const returning = { ledMilliseconds: now - WARM_UP_MILLISECONDS, sharesReported: leases.hasReportedShares(), returned: leases.countRenewing(now), expected: instances }
    const awaitsInstances = term > 1 && awaitsReturn(returning)
    if (now % PLAN_INTERVAL_MILLISECONDS === 0 && !awaitsInstances) {
      if (term > 1 && isLoanHistoryComplete(returning)) pool.adoptHistory(leases.loanHistory())
      leases.planShares(accounts, () => {
        change += 1
        return change
      }, now)
    }
    const running = accounts.flatMap(account => Array.from({ length: drawArrivals(account.ratePerSecond * load * STEP_MILLISECONDS / 1000, random) }, async () => { await run(account) }))
    if (now >= WARM_UP_MILLISECONDS) result.asked += running.length
    // Operations that wait for a token end in a later step.
    pending.push(...running)
    await new Promise(resolve => { setImmediate(resolve) })
  }
  for (; timers.length > 0; now += STEP_MILLISECONDS) {
    fireTimers()
    await new Promise(resolve => { setImmediate(resolve) })
  }
  await Promise.all(pending)
  return { ...result, worstUse: computeWorstUse(admittedAt, accounts, tolerance), loansPerOperation: (leaderLoans + fleet.reduce((sum, { loans }) => sum + loans, 0)) / result.asked, leaderLoans: leaderLoans * 1000 / milliseconds, busiestInstanceLoans: Math.max(...fleet.map(({ loans }) => loans)) * 1000 / milliseconds }
}
