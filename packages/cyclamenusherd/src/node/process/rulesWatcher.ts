/** Keeps the rules of this instance current by long polling of control, or of a relay. */

import { ControlService, createPeerLink } from '@cyclamenusher/protocol'
import { chooseRelay } from '@cyclamenusher/decisions'
import { pause } from './clock.js'
import type { Instance, PeerCredentials, PeerLink, WatchReply } from '@cyclamenusher/protocol'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { Address } from './address.js'
import type { Config } from './config.js'
import type { ScopedLogger } from './logger.js'

/** Longest time that control or a relay may hold a request, in milliseconds; well below the lease of the rules. */
const MAXIMUM_HOLD_MILLISECONDS = 500
/** Time limit for one request, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 1_000
/** How long control is asked directly after a relay gave no fresh answer, in milliseconds. */
const DIRECT_PERIOD_MILLISECONDS = 5_000
/** Pause after a failed request, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 100

export interface Peer {
  name: string
  failureDomain: string
  role: string
  host: string
  port: number
}

export interface RulesWatcher {
  /** Instances that recently contacted control. */
  peers: () => readonly Peer[]
  /** Revision of that list. */
  peersRevision: () => bigint
  close: () => void
}

export interface RulesWatcherOptions {
  config: Config
  callsPort: number
  store: RulesStore
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
  /** Instances that receive their rules through this one; sent to control as `behind`. */
  behind: () => readonly Peer[]
}

export function createRulesWatcher (options: RulesWatcherOptions): RulesWatcher {
  const { config, callsPort, store, credentials, clock, logger, behind } = options
  const self: Omit<Instance, '$typeName'> = {
    name: config.instance.name,
    failureDomain: config.instance.failureDomain,
    role: 'entry',
    host: config.calls.advertise.host,
    port: config.calls.advertise.port === 0 ? callsPort : config.calls.advertise.port
  }
  const links = new Map<string, PeerLink<typeof ControlService>>()
  const { addresses } = config.control
  let addressIndex = Math.floor(Math.random() * addresses.length)
  /** The leader that the last reply named, if any. */
  let leaderHint: Address | undefined
  let peers: Peer[] = []
  let instancesRevision = 0n
  let closed = false

  function ensureLink ({ host, port }: Address): PeerLink<typeof ControlService> {
    const key = `${host}:${port}`
    const link = links.get(key) ?? createPeerLink(ControlService, host, port, credentials)
    links.set(key, link)
    return link
  }

  /** Applies a reply; returns whether it proves that the rules are current. */
  function receiveReply (reply: WatchReply, askedAt: number): boolean {
    const outcome = store.update({
      number: Number(reply.number),
      baseNumber: Number(reply.baseNumber),
      removed: reply.removed,
      added: reply.added,
      fresh: reply.fresh,
      ageMilliseconds: reply.ageMilliseconds,
      askedAt
    })
    if (outcome === 'changed') logger.info('New rules are in force.', { number: Number(reply.number), lines: reply.added.length, removed: reply.removed.length })
    // A reply without proof may come from an isolated leader, whose list of instances is incomplete.
    const provenCurrent = reply.fresh && outcome !== 'refused'
    if (!provenCurrent || reply.instancesRevision === instancesRevision || reply.instances.length === 0) return provenCurrent
    instancesRevision = reply.instancesRevision
    peers = reply.instances.map(({ name, failureDomain, role, host, port }) => ({ name, failureDomain, role, host, port }))
    return true
  }

  /** Requests the rules from a control instance or a relay; resolves to whether the reply proves that they are current. */
  async function requestRules (address: Address): Promise<boolean> {
    const link = ensureLink(address)
    const askedAt = clock.now()
    try {
      const reply = await link.client.watch({
        instance: self,
        knownNumber: BigInt(store.number()),
        holdMilliseconds: store.isFresh() ? MAXIMUM_HOLD_MILLISECONDS : 0,
        knownInstances: instancesRevision,
        behind: [...behind()]
      }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
      if (closed) return true
      const provenCurrent = receiveReply(reply, askedAt)
      leaderHint = reply.leader === undefined ? undefined : { host: reply.leader.host, port: reply.leader.port }
      return provenCurrent
    } catch (error) {
      logger.debug('A source of the rules did not answer.', { address: `${address.host}:${address.port}`, error: (error as Error).message })
      // The connection may be dead although a new one would work.
      link.reconnect()
      leaderHint = undefined
      return false
    }
  }

  async function watchRules (): Promise<void> {
    let leader: Address | undefined
    let directUntil = 0
    let source = ''
    while (!closed) {
      const relay = clock.now() < directUntil ? undefined : chooseRelay(self, peers, config.control.relayAbove)
      const nextSource = relay?.name ?? 'control'
      if (nextSource !== source) logger.info('The source of the rules changed.', { source: nextSource })
      source = nextSource
      if (relay !== undefined) {
        if (!await requestRules(relay)) directUntil = clock.now() + DIRECT_PERIOD_MILLISECONDS
        continue
      }
      const target = leader ?? addresses[addressIndex % addresses.length]
      if (await requestRules(target)) {
        leader = target
        continue
      }
      // Only a proof that the rules are current extends the lease, so the next request asks another instance.
      const usesHint = leader === undefined && leaderHint !== undefined
      leader = usesHint ? leaderHint : undefined
      if (usesHint) continue
      addressIndex += 1
      await pause(RETRY_DELAY_MILLISECONDS)
    }
  }

  function close (): void {
    closed = true
    for (const link of links.values()) link.reconnect()
  }

  void watchRules()
  return { peers: () => peers, peersRevision: () => instancesRevision, close }
}
