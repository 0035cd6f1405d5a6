/**
 * Runs one history of rate limiting under faults, in virtual time, and checks rate
 * and burst. Faults are lost, late and duplicated messages, restarts under the same
 * name, differing views, cuts, drifting clocks and changes of rules. A history with
 * the same seed is identical.
 */

import { DEFAULT_RATE_POLICY } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createRateFleet } from './rateFleet.js'
import { createRateLedger } from './rateLedger.js'
import { createTimeline } from './timeline.js'
import type { AccountKind, BucketLimits, RateMutation, RatePolicy } from '@cyclamenusher/decisions'
import type { Random } from './random.js'
import type { ModelRules, ModelInstance, RateFleet } from './rateFleet.js'
import type { RateViolation } from './rateLedger.js'
import type { Timeline } from './timeline.js'

export interface RateHistoryOptions {
  seed: number
  /** Safety mechanism to disable. */
  mutation?: RateMutation
  /**
   * Virtual time that the history lasts, in milliseconds.
   *
   * @default 4000
   */
  milliseconds?: number
  /**
   * Whether an open route is used while the rules change the failure domains during a cut.
   *
   * @default false
   */
  openRouteDuringDomainChange?: boolean
}

export interface RateHistory {
  violations: RateViolation[]
  /** Requests sent to entry instances. */
  operations: number
  admitted: number
  /** Number of injected faults, by name. */
  faults: Record<string, number>
}

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const ENTRIES: ModelInstance[] = Array.from({ length: 6 }, (_value, index) => ({ name: `entry-${index + 1}`, failureDomain: DOMAINS[index % 3] }))
const VOTERS: ModelInstance[] = DOMAINS.map((failureDomain, index) => ({ name: `control-${index + 1}`, failureDomain }))
/** How long an instance may use rules after it requested them, in milliseconds. */
const RULES_LEASE_MILLISECONDS = 700
/** Largest error of a clock's rate; larger than that of real clocks, so that its effects show. */
const MAXIMUM_DRIFT = 0.04

/** Shorter durations than the product's, so that more happens in one history. */
const POLICY: RatePolicy = {
  ...DEFAULT_RATE_POLICY,
  loanMilliseconds: 150,
  mandateMilliseconds: 500,
  renewMilliseconds: 100,
  waitMilliseconds: 40,
  askTimeoutMilliseconds: 20,
  maximumDrift: MAXIMUM_DRIFT
}

const ACCOUNTS: Record<string, BucketLimits> = {
  quick: { rate: 300, burst: 24 },
  even: { rate: 60, burst: 60 },
  small: { rate: 20, burst: 2 },
  'open padron': { rate: 100, burst: 20 }
}

function getAccountKind (account: string): AccountKind {
  return account.startsWith('open ') ? 'open' : 'keyed'
}

interface HistoryContext {
  timeline: Timeline
  random: Random
  fleet: RateFleet
  cutDomains: Set<string>
  countFault: (fault: string) => void
  changeRules: () => void
  changeDomains: () => void
}

type Fault = (context: HistoryContext) => void

/** Makes instances remove one entry instance from their views, and add it again, at different times. */
function divergeViews ({ timeline, fleet, random }: HistoryContext): void {
  const missing = random.pick(ENTRIES)
  const remaining = ENTRIES.filter(instance => instance !== missing)
  for (const { name } of ENTRIES) {
    if (random.chance(0.3)) continue
    timeline.after(random.between(0, 500), () => { fleet.setView(name, remaining) })
    timeline.after(random.between(500, 1_500), () => { fleet.setView(name, ENTRIES) })
  }
}

const FAULTS: Record<string, Fault> = {
  'restart of an entry instance': ({ fleet, random }) => { fleet.restartEntry(random.pick(ENTRIES).name, random.pick([5, 60, 300]), random.pick(['shutdown', 'crash'])) },
  'process replaced under its name': ({ fleet, random }) => { fleet.replaceEntry(random.pick(ENTRIES).name, random.between(100, 1_500)) },
  'restart of a voter': ({ fleet, random }) => { fleet.restartVoter(random.pick(VOTERS).name, random.pick([5, 200])) },
  'cut of a failure domain': ({ timeline, random, cutDomains }) => {
    const domain = random.pick(DOMAINS)
    cutDomains.add(domain)
    timeline.after(random.between(100, 1_500), () => { cutDomains.delete(domain) })
  },
  'views that differ': context => { divergeViews(context) },
  'restart of voters while views differ': context => {
    const { timeline, fleet, random } = context
    divergeViews(context)
    const delayMilliseconds = random.between(0, 500)
    for (const { name } of VOTERS.slice(random.integerBelow(2))) timeline.after(delayMilliseconds + random.between(0, 100), () => { fleet.restartVoter(name, 5) })
  },
  'change of failure domains in a cut': ({ timeline, random, cutDomains, changeDomains }) => {
    const domain = random.pick(DOMAINS)
    cutDomains.add(domain)
    timeline.after(random.between(300, 1_200), () => { cutDomains.delete(domain) })
    changeDomains()
  },
  'change of rules': ({ changeRules }) => { changeRules() }
}

export function runRateHistory ({ seed, mutation, milliseconds = 4_000, openRouteDuringDomainChange = false }: RateHistoryOptions): RateHistory {
  const random = createRandom(seed)
  const timeline = createTimeline()
  // Borrowing far ahead leaves many tokens unspent at borrowers, a harder case for lenders.
  const policy: RatePolicy = { ...POLICY, borrowAheadMilliseconds: random.pick([50, 600]), loanMilliseconds: random.pick([150, 450]), mutation }
  const ledger = createRateLedger(RULES_LEASE_MILLISECONDS * (1 + MAXIMUM_DRIFT) + 2 * policy.loanMilliseconds)
  const faults: Record<string, number> = {}
  const cutDomains = new Set<string>()
  let rules: ModelRules = { domains: random.pick([DOMAINS, DOMAINS.slice(0, 1), []]), accounts: new Map(Object.entries(ACCOUNTS)) }
  for (const [account, limits] of rules.accounts) ledger.setLimits(account, limits, 0)
  const messageFaultProbability = random.pick([0, 0.05, 0.2])
  const pendingAccounts = new Map<number, string>()
  let operations = 0

  const fleet = createRateFleet({
    timeline,
    random,
    policy,
    entries: ENTRIES,
    voters: VOTERS,
    rules: () => rules,
    getAccountKind,
    leaseMilliseconds: RULES_LEASE_MILLISECONDS,
    network: (from, to) => {
      const crossesDomains = from.failureDomain !== to.failureDomain
      if (crossesDomains && (cutDomains.has(from.failureDomain) || cutDomains.has(to.failureDomain))) return []
      if (random.chance(messageFaultProbability)) return []
      const delay = random.chance(messageFaultProbability) ? random.between(1, 400) : random.between(0.2, crossesDomains ? 4 : 1)
      return random.chance(messageFaultProbability) ? [delay, delay + random.between(0, 300)] : [delay]
    },
    onVerdict: (ticket, verdict) => {
      const account = pendingAccounts.get(ticket)
      pendingAccounts.delete(ticket)
      if (account !== undefined && verdict === 'admit') ledger.admit(account, timeline.now())
    }
  })

  function changeRules (): void {
    // Limits of open routes do not change: a failure domain that is cut off keeps using the limits of its last rules.
    const account = random.pick(['quick', 'even', 'small'])
    const limits = { rate: ACCOUNTS[account].rate * random.pick([0.2, 1, 2]), burst: ACCOUNTS[account].burst * random.pick([0.5, 1, 2]) }
    rules = { ...rules, accounts: new Map([...rules.accounts, [account, limits]]) }
    ledger.setLimits(account, limits, timeline.now())
  }

  function changeDomains (): void {
    rules = { ...rules, domains: random.pick([DOMAINS, DOMAINS.slice(0, 1), []]) }
  }

  const context: HistoryContext = { timeline, random, fleet, cutDomains, changeRules, changeDomains, countFault: fault => { faults[fault] = (faults[fault] ?? 0) + 1 } }
  const changesDomains = openRouteDuringDomainChange || random.chance(0.5)
  const enabledFaults = Object.entries(FAULTS).filter(([name]) => changesDomains || name !== 'change of failure domains in a cut')
  const enabledAccounts = Object.keys(ACCOUNTS).filter(account => openRouteDuringDomainChange || !changesDomains || getAccountKind(account) === 'keyed')
  const frequentFault = random.pick(enabledFaults)
  function injectNextFault (): void {
    const [name, fault] = random.chance(0.5) ? frequentFault : random.pick(enabledFaults)
    context.countFault(name)
    fault(context)
    timeline.after(random.between(50, 600), injectNextFault)
  }
  timeline.after(random.between(0, 1_500), injectNextFault)

  function sendRequest (account: string, entry: string): void {
    operations += 1
    pendingAccounts.set(operations, account)
    if (fleet.requestToken(entry, account, operations) !== 'taken') pendingAccounts.delete(operations)
  }

  function generateLoad (account: string): void {
    const targets = random.pick([[random.pick(ENTRIES)], [random.pick(ENTRIES), random.pick(ENTRIES)], ENTRIES])
    const { rate, burst } = ACCOUNTS[account]
    // A pause lets tokens accumulate; a burst of requests and a surge at three times the rate follow.
    timeline.after(random.pick([0, 60, 120, 400]), () => {
      for (let index = 0; index < burst * 1.5; index += 1) sendRequest(account, random.pick(targets).name)
      const surgeUntil = timeline.now() + random.pick([0, 150, 500])
      const sendSurge = (): void => {
        if (timeline.now() >= surgeUntil) return generateLoad(account)
        sendRequest(account, random.pick(targets).name)
        timeline.after(random.exponentialGap(rate * 3), sendSurge)
      }
      sendSurge()
    })
  }
  for (const account of enabledAccounts) generateLoad(account)
  timeline.runUntil(milliseconds)
  return { violations: ledger.violations(), operations, admitted: ledger.admitted(), faults }
}
