/** Keeps the rules of this instance current: asks control again and again, holding each request. */

import { ControlService, createPeerClient } from '@cyclamenusher/protocol'
import { pause } from './clock.js'
import type { Client } from '@connectrpc/connect'
import type { Instance, PeerCredentials, WatchReply } from '@cyclamenusher/protocol'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { Address, Config } from './config.js'
import type { ScopedLogger } from './logger.js'

/** How long control may hold a request, in milliseconds; well below the lease. */
const HOLD_MILLISECONDS = 700
/** Time that one request may take, in milliseconds. */
const CALL_MILLISECONDS = 1_500
/** Pause after a request that failed, in milliseconds. */
const RETRY_MILLISECONDS = 100

export interface Peer {
  name: string
  failureDomain: string
  role: string
  host: string
  port: number
}

export interface RulesWatcher {
  /** Instances that control heard of lately. */
  peers: () => readonly Peer[]
  close: () => void
}

export interface RulesWatcherOptions {
  config: Config
  callsPort: number
  store: RulesStore
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
}

export function createRulesWatcher (options: RulesWatcherOptions): RulesWatcher {
  const { config, callsPort, store, credentials, clock, logger } = options
  const self: Omit<Instance, '$typeName'> = {
    name: config.instance.name,
    failureDomain: config.instance.failureDomain,
    role: 'entry',
    host: config.calls.listen.host,
    port: callsPort
  }
  const clients = new Map<string, Client<typeof ControlService>>()
  const { addresses } = config.control
  let turn = Math.floor(Math.random() * addresses.length)
  let peers: Peer[] = []
  let instancesRevision = 0n
  let closed = false

  function clientOf ({ host, port }: Address): Client<typeof ControlService> {
    const key = `${host}:${port}`
    const known = clients.get(key) ?? createPeerClient(ControlService, host, port, credentials)
    clients.set(key, known)
    return known
  }

  function receive (reply: WatchReply, askedAt: number): void {
    const outcome = store.update({
      number: Number(reply.number),
      baseNumber: Number(reply.baseNumber),
      removed: reply.removed,
      added: reply.added,
      fresh: reply.fresh,
      ageMilliseconds: reply.ageMilliseconds,
      askedAt
    })
    if (outcome === 'changed') logger.info('A configuration is in force.', { number: Number(reply.number), lines: reply.added.length, removed: reply.removed.length })
    if (reply.instancesRevision === instancesRevision || reply.instances.length === 0) return
    instancesRevision = reply.instancesRevision
    peers = reply.instances.map(({ name, failureDomain, role, host, port }) => ({ name, failureDomain, role, host, port }))
  }

  async function askOnce (): Promise<void> {
    const client = clientOf(addresses[turn % addresses.length])
    const askedAt = clock.now()
    const reply = await client.watch({
      instance: self,
      knownNumber: BigInt(store.number()),
      holdMilliseconds: store.isFresh() ? HOLD_MILLISECONDS : 0,
      knownInstances: instancesRevision
    }, { timeoutMs: CALL_MILLISECONDS })
    if (closed) return
    receive(reply, askedAt)
    // Only what is known to be current extends the lease, so look elsewhere.
    if (!reply.fresh) throw new Error('the control instance is not current')
  }

  async function run (): Promise<void> {
    while (!closed) {
      try {
        await askOnce()
      } catch (error) {
        logger.debug('A control instance did not help.', { address: addresses[turn % addresses.length].port, error: (error as Error).message })
        turn += 1
        await pause(RETRY_MILLISECONDS)
      }
    }
  }

  void run()
  return { peers: () => peers, close: () => { closed = true } }
}
