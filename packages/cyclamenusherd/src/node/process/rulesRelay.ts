/**
 * Relays the rules of this entry instance to others of its failure domain. Each
 * answer states the age of the proof that the rules are current, so that a watcher
 * never trusts them longer than the relay itself may.
 */

import { diffRules } from '@cyclamenusher/decisions'
import { createHeldRequests } from './heldRequests.js'
import type { RuleLine } from '@cyclamenusher/decisions'
import type { WatchRequest } from '@cyclamenusher/protocol'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { Peer } from './rulesWatcher.js'

/** Versions that are kept, so that a watcher gets only the changes since its own. */
const MAXIMUM_VERSIONS = 4
/** Longest time that a watch is held, in milliseconds. */
const MAXIMUM_HOLD_MILLISECONDS = 1_000
/** Watches that may be held at the same time; further ones are answered immediately, as not fresh. */
const MAXIMUM_HELD_WATCHES = 2_000
/** Age of the proof above which an answer is not fresh, so that the watcher asks control, in milliseconds. */
const MAXIMUM_PROOF_AGE_MILLISECONDS = 1_000
/** Time without a request after which a watcher is removed, in milliseconds. */
const WATCHER_TIMEOUT_MILLISECONDS = 3_000

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

interface VersionChange {
  /** Number of the version that the change starts from; 0 if `added` holds all rules. */
  base: number
  removed: string[]
  added: readonly RuleLine[]
}

export interface RulesRelay {
  /** Answers with the changes since the watcher's version; holds the request while there are none. */
  watch: (request: WatchRequest) => Promise<RelayedAnswer>
  /** Instances that receive their rules through this one. */
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
  const heldWatches = createHeldRequests()
  let versions: Array<{ number: number, lines: readonly RuleLine[] }> = []
  /** Changes from an earlier version to the newest, by the number of the earlier version. */
  const changes = new Map<number, VersionChange>()

  void store.versions.observe(heldWatches.release)

  /** Keeps the current version, to compute later changes from it. */
  function recordVersion (): void {
    if (versions.at(-1)?.number === store.number()) return
    changes.clear()
    versions = [...versions, { number: store.number(), lines: store.lines() }].slice(-MAXIMUM_VERSIONS)
  }

  /** Returns the changes from the watcher's version to the newest; all rules if the watcher's version is not kept. */
  function computeChangeSince (knownNumber: number): VersionChange {
    const newest = versions.at(-1)?.lines ?? []
    const knownVersion = versions.find(({ number }) => number === knownNumber)
    if (knownVersion === undefined) return { base: 0, removed: [], added: newest }
    const change = changes.get(knownNumber) ?? { base: knownNumber, ...diffRules(knownVersion.lines, newest) }
    changes.set(knownNumber, change)
    return change
  }

  async function watch (request: WatchRequest): Promise<RelayedAnswer> {
    const arrivedAt = clock.now()
    const { instance, knownNumber, knownInstances, holdMilliseconds } = request
    if (instance !== undefined) {
      const { name, failureDomain, role, host, port } = instance
      watchers.set(name, { peer: { name, failureDomain, role, host, port }, seenAt: arrivedAt })
    }
    const busy = heldWatches.count() >= MAXIMUM_HELD_WATCHES
    const ahead = Number(knownNumber) > store.number()
    // A different list of instances does not end a hold: sources whose lists differ for a moment would
    // send a watcher back and forth between them without a pause.
    const hasNews = Number(knownNumber) !== store.number() || knownInstances === 0n
    if (!busy && !hasNews) await heldWatches.hold(Math.min(holdMilliseconds, MAXIMUM_HOLD_MILLISECONDS))
    // The watcher counts the age from its request, so a proof made since then has age 0.
    const age = Math.max(0, arrivedAt - store.lastFreshAt())
    recordVersion()
    const { base, removed, added } = computeChangeSince(Number(knownNumber))
    const revision = peersRevision()
    return {
      number: BigInt(store.number()),
      baseNumber: BigInt(base),
      removed,
      added: added.map(({ text }) => text),
      fresh: !busy && !ahead && age <= MAXIMUM_PROOF_AGE_MILLISECONDS,
      ageMilliseconds: Number.isFinite(age) ? Math.ceil(age) : 0,
      instances: knownInstances === revision ? [] : [...peers()],
      instancesRevision: revision
    }
  }

  function behind (): Peer[] {
    const oldestSeenAt = clock.now() - WATCHER_TIMEOUT_MILLISECONDS
    for (const [name, { seenAt }] of watchers) if (seenAt < oldestSeenAt) watchers.delete(name)
    return [...watchers.values()].map(({ peer }) => peer)
  }

  return { watch, behind }
}
