/**
 * A model of entry instances and voters that limit rates, in virtual time. Each has
 * its own clock, views and failures; the decisions are the product's own code.
 */

import { createRateAgent, createVoter, promiseSeats } from '@cyclamenusher/decisions'
import type { AccountKind, BucketLimits, RateAgent, RateEffect, RatePolicy, RateView } from '@cyclamenusher/decisions'
import type { Random } from './random.js'
import type { Timeline } from './timeline.js'

export interface ModelInstance {
  name: string
  failureDomain: string
}

export interface ModelRules {
  domains: readonly string[]
  accounts: ReadonlyMap<string, BucketLimits>
}

/** Delays after which the copies of one message arrive, in milliseconds; an empty list means that the message is lost. */
export type ModelNetwork = (from: ModelInstance, to: ModelInstance) => number[]

export interface RateFleetOptions {
  timeline: Timeline
  random: Random
  policy: RatePolicy
  entries: readonly ModelInstance[]
  voters: readonly ModelInstance[]
  network: ModelNetwork
  /** Returns the rules in force, as control would send them. */
  rules: () => ModelRules
  getAccountKind: (account: string) => AccountKind
  /** How long an instance may use rules after it requested them, in milliseconds. */
  leaseMilliseconds: number
  onVerdict: (ticket: number, verdict: 'admit' | 'refuse') => void
  /**
   * Largest error of a clock's rate, as a fraction of real time.
   *
   * @default the policy's maximumDrift
   */
  maximumDrift?: number
}

/** How a process ends: a shutdown releases its seats first, a crash does not. */
export type ProcessEnd = 'shutdown' | 'crash'

export interface RateFleet {
  /** Requests a token at an entry instance. 'not fresh': the instance's rules are too old. */
  requestToken: (entry: string, account: string, ticket: number) => 'taken' | 'down' | 'not fresh'
  /** Ends the instance and restarts it under the same name after `milliseconds`. */
  restartEntry: (entry: string, milliseconds: number, processEnd: ProcessEnd) => void
  restartVoter: (voter: string, milliseconds: number) => void
  /** Starts a new process under the instance's name, while the previous process runs on for `milliseconds`. */
  replaceEntry: (entry: string, milliseconds: number) => void
  /** Sets the entry instances in one instance's view. */
  setView: (entry: string, entries: readonly ModelInstance[]) => void
  /** Number of messages sent between instances so far. */
  messageCount: () => number
}

/** Interval at which an agent serves waiting requests and renews mandates, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 5
/** Interval at which an instance requests the rules from control, in milliseconds. */
const WATCH_INTERVAL_MILLISECONDS = 200

interface EntryNode {
  instance: ModelInstance
  incarnation: number
  up: boolean
  clock: () => number
  agent: RateAgent
  entries: readonly ModelInstance[]
  rules: ModelRules
  rulesFreshUntil: number
}

export function createRateFleet (options: RateFleetOptions): RateFleet {
  const { timeline, random, policy, entries, voters, network, getAccountKind, leaseMilliseconds, onVerdict } = options
  const maximumDrift = options.maximumDrift ?? policy.maximumDrift
  let messageCount = 0

  function createClock (): () => number {
    const offset = random.between(0, 1e6)
    const rate = random.pick([1 - maximumDrift, 1 + maximumDrift, random.between(1 - maximumDrift, 1 + maximumDrift)])
    return () => offset + timeline.now() * rate
  }

  function send (from: ModelInstance, to: ModelInstance, deliver: () => void): void {
    messageCount += 1
    for (const delay of network(from, to)) timeline.after(delay, deliver)
  }

  const voterNodes = new Map(voters.map(instance => {
    const clock = createClock()
    return [instance.name, { instance, clock, up: true, voter: createVoter(clock(), policy) }]
  }))
  const entryNodes = new Map(entries.map(instance => [instance.name, startEntryNode(instance, 0)]))
  /** Processes that still run although a newer process has their name. */
  const replacedNodes = new Set<EntryNode>()

  function startEntryNode (instance: ModelInstance, incarnation: number): EntryNode {
    const node: EntryNode = { instance, incarnation, up: true, clock: createClock(), agent: undefined as unknown as RateAgent, entries, rules: options.rules(), rulesFreshUntil: -Infinity }
    node.agent = createAgent(node)
    timeline.after(random.between(0, 5), () => { watchRules(node) })
    timeline.after(random.between(0, TICK_INTERVAL_MILLISECONDS), () => { repeatWhileUp(node, TICK_INTERVAL_MILLISECONDS, () => { performEffects(node, node.agent.tick(node.clock())) }) })
    timeline.after(random.between(0, WATCH_INTERVAL_MILLISECONDS), () => { repeatWhileUp(node, WATCH_INTERVAL_MILLISECONDS, () => { watchRules(node) }) })
    return node
  }

  /** Repeats the action at an interval until the process ends. */
  function repeatWhileUp (node: EntryNode, milliseconds: number, action: () => void): void {
    if (!node.up) return
    action()
    timeline.after(milliseconds, () => { repeatWhileUp(node, milliseconds, action) })
  }

  function createAgent (node: EntryNode): RateAgent {
    const allVoters = voters.map(({ name }) => name)
    const domainVoters = voters.filter(({ failureDomain }) => failureDomain === node.instance.failureDomain).map(({ name }) => name)
    const view = (): RateView => ({
      entries: node.entries,
      domains: node.rules.domains,
      limitsOf: (_kind, account) => node.rules.accounts.get(account),
      mayLend: kind => kind === 'open' || node.clock() < node.rulesFreshUntil,
      voters: kind => kind === 'open' && node.rules.domains.length > 0 ? domainVoters : allVoters,
      openShares: voters.length
    })
    return createRateAgent({ name: node.instance.name, failureDomain: node.instance.failureDomain, incarnation: String(node.incarnation), policy, view })
  }

  type EffectHandlers = { [Kind in RateEffect['kind']]: (node: EntryNode, effect: Extract<RateEffect, { kind: Kind }>) => void }
  const EFFECT_HANDLERS: EffectHandlers = {
    admit: (_node, { ticket }) => { onVerdict(ticket, 'admit') },
    refuse: (_node, { ticket }) => { onVerdict(ticket, 'refuse') },
    ask: (node, { lender, account, accountKind, request }) => {
      const target = entryNodes.get(lender)
      if (target === undefined) return
      send(node.instance, target.instance, () => {
        if (!target.up) return
        const tokens = target.agent.lend(accountKind, account, request, target.clock())
        send(target.instance, node.instance, () => {
          if (!node.up) return
          performEffects(node, node.agent.receiveLoan(accountKind, account, lender, request.number, tokens, node.clock()))
        })
      })
    },
    seek: (node, { voter, round, request }) => {
      const target = voterNodes.get(voter)
      if (target === undefined) return
      send(node.instance, target.instance, () => {
        if (!target.up) return
        const seats = promiseSeats(target.voter, request, target.clock(), policy)
        send(target.instance, node.instance, () => {
          if (node.up) node.agent.receivePromise(voter, round, seats, node.clock())
        })
      })
    }
  }

  function performEffects (node: EntryNode, effects: readonly RateEffect[]): void {
    for (const effect of effects) {
      const handle = EFFECT_HANDLERS[effect.kind] as (node: EntryNode, effect: RateEffect) => void
      handle(node, effect)
    }
  }

  /** Requests the rules from control; they arrive only if a majority of the voters is reachable. */
  function watchRules (node: EntryNode): void {
    const requestedAt = node.clock()
    const reachable = voters.filter(voter => network(node.instance, voter).length > 0 && voterNodes.get(voter.name)?.up === true)
    const rules = options.rules()
    if (!node.up || reachable.length <= voters.length / 2) return
    timeline.after(random.between(1, 10), () => {
      node.rules = rules
      node.rulesFreshUntil = Math.max(node.rulesFreshUntil, requestedAt + leaseMilliseconds)
    })
  }

  function findEntryNode (name: string): EntryNode {
    const node = entryNodes.get(name)
    if (node === undefined) throw new Error(`there is no entry instance ${name}`)
    return node
  }

  /** Chooses the process that a request reaches; a replaced process keeps its callers while it runs. */
  function chooseProcess (entry: string): EntryNode {
    const replacedWithName = [...replacedNodes].filter(({ up, instance }) => up && instance.name === entry)
    return random.pick([findEntryNode(entry), ...replacedWithName])
  }

  return {
    requestToken: (entry, account, ticket) => {
      const node = chooseProcess(entry)
      if (!node.up) return 'down'
      const kind = getAccountKind(account)
      if (kind === 'keyed' && node.clock() >= node.rulesFreshUntil) return 'not fresh'
      performEffects(node, node.agent.requestToken(kind, account, ticket, node.clock()))
      return 'taken'
    },
    restartEntry: (entry, milliseconds, processEnd) => {
      const node = findEntryNode(entry)
      if (!node.up) return
      if (processEnd === 'shutdown') performEffects(node, node.agent.release(node.clock()))
      node.up = false
      timeline.after(milliseconds, () => {
        const restarted = startEntryNode(node.instance, node.incarnation + 1)
        restarted.entries = node.entries
        entryNodes.set(entry, restarted)
      })
    },
    replaceEntry: (entry, milliseconds) => {
      const node = findEntryNode(entry)
      if (!node.up) return
      replacedNodes.add(node)
      entryNodes.set(entry, startEntryNode(node.instance, node.incarnation + 1))
      timeline.after(milliseconds, () => {
        node.up = false
        replacedNodes.delete(node)
      })
    },
    restartVoter: (voter, milliseconds) => {
      const node = voterNodes.get(voter)
      if (node === undefined || !node.up) return
      node.up = false
      timeline.after(milliseconds, () => {
        node.voter = createVoter(node.clock(), policy)
        node.up = true
      })
    },
    setView: (entry, liveEntries) => { findEntryNode(entry).entries = liveEntries },
    messageCount: () => messageCount
  }
}
