/**
 * Passes the rules of this entry instance on to others of its failure domain.
 * It states how old its proof is, so that nobody takes the rules for newer.
 */

import { diffRules } from '@cyclamenusher/decisions'
import { createHeldRequests } from './heldRequests.js'
import type { RuleLine } from '@cyclamenusher/decisions'
import type { WatchRequest } from '@cyclamenusher/protocol'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { Peer } from './rulesWatcher.js'

/** Versions that are kept, so that a watcher gets what changed since its own. */
const MAXIMUM_VERSIONS = 4
/** Longest time that a watch is held, in milliseconds. */
const MAXIMUM_HOLD_MILLISECONDS = 1_000
/** Watches that are held at once; more are answered at once, as not fresh. */
const MAXIMUM_WATCHES = 2_000
/** Age of a proof above which the watcher had better ask control, in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 1_000
/** Time after which a watcher that has not asked again counts as gone, in milliseconds. */
const WATCHER_MILLISECONDS = 3_000

export interface RelayedAnswer {
  number: bigint
  baseNumber: bigint
  removed: string[]
  added: string[]
  fresh: boolean
  ageMilliseconds: number
  instances: Peer[]
  instancesRevision: bigint
}

interface Change {
  base: number
  removed: string[]
  added: readonly RuleLine[]
}

export interface RulesRelay {
  watch: (request: WatchRequest) => Promise<RelayedAnswer>
  /** Instances that watch through this one. */
  behind: () => Peer[]
}

export interface RulesRelayOptions {
  store: RulesStore
  peers: () => readonly Peer[]
  peersRevision: () => bigint
  clock: Clock
}

export function createRulesRelay ({ store, peers, peersRevision, clock }: RulesRelayOptions): RulesRelay {
  const watchers = new Map<string, { peer: Peer, seenAt: number }>()
  const held = createHeldRequests()
  let versions: Array<{ number: number, lines: readonly RuleLine[] }> = []
  /** Changes to the newest version, by the version that they start from. */
  const changes = new Map<number, Change>()

  void store.versions.observe(held.release)

  /** Keeps each version that some watcher is told of. */
  function rememberVersion (): void {
    if (versions.at(-1)?.number === store.number()) return
    changes.clear()
    versions = [...versions, { number: store.number(), lines: store.lines() }].slice(-MAXIMUM_VERSIONS)
  }

  /** What leads from the watcher's version to this instance's; the whole where that is not known. */
  function changeSince (known: number): Change {
    const newest = versions.at(-1)?.lines ?? []
    const held = versions.find(({ number }) => number === known)
    if (held === undefined) return { base: 0, removed: [], added: newest }
    const change = changes.get(known) ?? { base: known, ...diffRules(held.lines, newest) }
    changes.set(known, change)
    return change
  }

  async function watch (request: WatchRequest): Promise<RelayedAnswer> {
    const arrivedAt = clock.now()
    const { instance, knownNumber, knownInstances, holdMilliseconds } = request
    if (instance !== undefined) {
      const { name, failureDomain, role, host, port } = instance
      watchers.set(name, { peer: { name, failureDomain, role, host, port }, seenAt: arrivedAt })
    }
    const busy = held.count() >= MAXIMUM_WATCHES
    const ahead = Number(knownNumber) > store.number()
    // Another list of instances is no news: two lists that differ for a moment would send a watcher to and fro.
    const news = Number(knownNumber) !== store.number() || knownInstances === 0n
    if (!busy && !news) await held.hold(Math.min(holdMilliseconds, MAXIMUM_HOLD_MILLISECONDS))
    // The watcher counts from when it asked, so a proof made since then is not old.
    const age = Math.max(0, arrivedAt - store.lastFreshAt())
    rememberVersion()
    const { base, removed, added } = changeSince(Number(knownNumber))
    const revision = peersRevision()
    return {
      number: BigInt(store.number()),
      baseNumber: BigInt(base),
      removed,
      added: added.map(({ text }) => text),
      fresh: !busy && !ahead && age <= MAXIMUM_AGE_MILLISECONDS,
      ageMilliseconds: Number.isFinite(age) ? Math.ceil(age) : 0,
      instances: knownInstances === revision ? [] : [...peers()],
      instancesRevision: revision
    }
  }

  function behind (): Peer[] {
    const oldest = clock.now() - WATCHER_MILLISECONDS
    for (const [name, { seenAt }] of watchers) if (seenAt < oldest) watchers.delete(name)
    return [...watchers.values()].map(({ peer }) => peer)
  }

  return { watch, behind }
}
