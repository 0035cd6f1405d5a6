/**
 * Entry instances and voters in virtual time, each with its own clock, views and
 * failures; the decisions are the product's own.
 */

import { createRateAgent, createVoter, promiseSeats } from '@cyclamenusher/decisions'
import type { AccountKind, BucketLimits, RateAgent, RateEffect, RatePolicy, RateView } from '@cyclamenusher/decisions'
import type { Random } from './random.js'
import type { Timeline } from './timeline.js'

export interface ModelPlace {
  name: string
  failureDomain: string
}

export interface ModelLimits {
  domains: readonly string[]
  accounts: ReadonlyMap<string, BucketLimits>
}

/** Delays after which copies of one message arrive; none: it is lost. */
export type ModelNetwork = (from: ModelPlace, to: ModelPlace) => number[]

export interface RateFleetOptions {
  timeline: Timeline
  random: Random
  policy: RatePolicy
  entries: readonly ModelPlace[]
  voters: readonly ModelPlace[]
  network: ModelNetwork
  /** Rules in force, as control would give them. */
  rules: () => ModelLimits
  kindOf: (account: string) => AccountKind
  /** How long rules are trusted, in milliseconds. */
  leaseMilliseconds: number
  onVerdict: (ticket: number, verdict: 'admit' | 'refuse') => void
  /** Error of each clock's rate, at most. @default the policy's bound */
  drift?: number
}

/** How a process ends: it says so first, or it does not. */
export type Ending = 'shutdown' | 'crash'

export interface RateFleet {
  arrive: (entry: string, account: string, ticket: number) => 'taken' | 'down' | 'not fresh'
  /** Ends the instance; it starts again with the same name after `milliseconds`. */
  restartEntry: (entry: string, milliseconds: number, ending: Ending) => void
  restartVoter: (voter: string, milliseconds: number) => void
  /** Starts the instance anew while the process that had its name goes on for `milliseconds`. */
  replaceEntry: (entry: string, milliseconds: number) => void
  /** What one instance thinks which entry instances live. */
  setView: (entry: string, entries: readonly ModelPlace[]) => void
  /** Messages between instances so far. */
  messages: () => number
}

/** How often an agent looks after what waits, in milliseconds. */
const TICK_MILLISECONDS = 5
/** How often an instance hears from control, in milliseconds. */
const WATCH_MILLISECONDS = 200

interface Node {
  place: ModelPlace
  incarnation: number
  up: boolean
  clock: () => number
  agent: RateAgent
  entries: readonly ModelPlace[]
  rules: ModelLimits
  freshUntil: number
}

export function createRateFleet (options: RateFleetOptions): RateFleet {
  const { timeline, random, policy, entries, voters, network, kindOf, leaseMilliseconds, onVerdict } = options
  const drift = options.drift ?? policy.maximumDrift
  let messages = 0

  function createClock (): () => number {
    const offset = random.between(0, 1e6)
    const rate = random.pick([1 - drift, 1 + drift, random.between(1 - drift, 1 + drift)])
    return () => offset + timeline.now() * rate
  }

  function send (from: ModelPlace, to: ModelPlace, deliver: () => void): void {
    messages += 1
    for (const delay of network(from, to)) timeline.after(delay, deliver)
  }

  const voterNodes = new Map(voters.map(place => {
    const clock = createClock()
    return [place.name, { place, clock, up: true, voter: createVoter(clock(), policy) }]
  }))
  const nodes = new Map(entries.map(place => [place.name, startNode(place, 0)]))
  /** Processes whose name has passed to another. */
  const replaced = new Set<Node>()

  function startNode (place: ModelPlace, incarnation: number): Node {
    const node: Node = { place, incarnation, up: true, clock: createClock(), agent: undefined as unknown as RateAgent, entries, rules: options.rules(), freshUntil: -Infinity }
    node.agent = startAgent(node)
    timeline.after(random.between(0, 5), () => { watch(node) })
    timeline.after(random.between(0, TICK_MILLISECONDS), () => { repeat(node, TICK_MILLISECONDS, () => { perform(node, node.agent.tick(node.clock())) }) })
    timeline.after(random.between(0, WATCH_MILLISECONDS), () => { repeat(node, WATCH_MILLISECONDS, () => { watch(node) }) })
    return node
  }

  /** Repeats the action until the process ends. */
  function repeat (node: Node, milliseconds: number, action: () => void): void {
    if (!node.up) return
    action()
    timeline.after(milliseconds, () => { repeat(node, milliseconds, action) })
  }

  function startAgent (node: Node): RateAgent {
    const control = voters.map(({ name }) => name)
    const own = voters.filter(({ failureDomain }) => failureDomain === node.place.failureDomain).map(({ name }) => name)
    const view = (): RateView => ({
      entries: node.entries,
      domains: node.rules.domains,
      limitsOf: (_kind, account) => node.rules.accounts.get(account),
      mayLend: kind => kind === 'open' || node.clock() < node.freshUntil,
      voters: kind => kind === 'open' && node.rules.domains.length > 0 ? own : control,
      openShares: voters.length
    })
    return createRateAgent({ name: node.place.name, failureDomain: node.place.failureDomain, incarnation: String(node.incarnation), policy, view })
  }

  type Handlers = { [Kind in RateEffect['kind']]: (node: Node, effect: Extract<RateEffect, { kind: Kind }>) => void }
  const HANDLERS: Handlers = {
    admit: (_node, { ticket }) => { onVerdict(ticket, 'admit') },
    refuse: (_node, { ticket }) => { onVerdict(ticket, 'refuse') },
    ask: (node, { lender, account, accountKind, request }) => {
      const target = nodes.get(lender)
      if (target === undefined) return
      send(node.place, target.place, () => {
        if (!target.up) return
        const tokens = target.agent.lend(accountKind, account, request, target.clock())
        send(target.place, node.place, () => {
          if (!node.up) return
          perform(node, node.agent.receiveLoan(accountKind, account, lender, request.number, tokens, node.clock()))
        })
      })
    },
    seek: (node, { voter, round, request }) => {
      const target = voterNodes.get(voter)
      if (target === undefined) return
      send(node.place, target.place, () => {
        if (!target.up) return
        const seats = promiseSeats(target.voter, request, target.clock(), policy)
        send(target.place, node.place, () => {
          if (node.up) node.agent.receivePromise(voter, round, seats, node.clock())
        })
      })
    }
  }

  function perform (node: Node, effects: readonly RateEffect[]): void {
    for (const effect of effects) {
      const handle = HANDLERS[effect.kind] as (node: Node, effect: RateEffect) => void
      handle(node, effect)
    }
  }

  /** One watch of control: current rules, if a majority of control can be reached. */
  function watch (node: Node): void {
    const askedAt = node.clock()
    const reached = voters.filter(voter => network(node.place, voter).length > 0 && voterNodes.get(voter.name)?.up === true)
    const rules = options.rules()
    if (!node.up || reached.length <= voters.length / 2) return
    timeline.after(random.between(1, 10), () => {
      node.rules = rules
      node.freshUntil = Math.max(node.freshUntil, askedAt + leaseMilliseconds)
    })
  }

  function nodeOf (name: string): Node {
    const node = nodes.get(name)
    if (node === undefined) throw new Error(`there is no instance ${name}`)
    return node
  }

  /** The process that a request reaches: a replaced one keeps its callers. */
  function processOf (entry: string): Node {
    const others = [...replaced].filter(({ up, place }) => up && place.name === entry)
    return random.pick([nodeOf(entry), ...others])
  }

  return {
    arrive: (entry, account, ticket) => {
      const node = processOf(entry)
      if (!node.up) return 'down'
      const kind = kindOf(account)
      if (kind === 'keyed' && node.clock() >= node.freshUntil) return 'not fresh'
      perform(node, node.agent.requestToken(kind, account, ticket, node.clock()))
      return 'taken'
    },
    restartEntry: (entry, milliseconds, ending) => {
      const node = nodeOf(entry)
      if (!node.up) return
      if (ending === 'shutdown') perform(node, node.agent.release(node.clock()))
      node.up = false
      timeline.after(milliseconds, () => {
        const started = startNode(node.place, node.incarnation + 1)
        started.entries = node.entries
        nodes.set(entry, started)
      })
    },
    replaceEntry: (entry, milliseconds) => {
      const node = nodeOf(entry)
      if (!node.up) return
      replaced.add(node)
      nodes.set(entry, startNode(node.place, node.incarnation + 1))
      timeline.after(milliseconds, () => {
        node.up = false
        replaced.delete(node)
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
    setView: (entry, live) => { nodeOf(entry).entries = live },
    messages: () => messages
  }
}
