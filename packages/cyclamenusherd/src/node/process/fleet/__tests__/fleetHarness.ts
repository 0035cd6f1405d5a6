/** Runs the control instances and entry links of a fleet in this process over loopback, with simulated backend servers. */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NO_TOLERANCE } from '@cyclamenusher/decisions'
import { listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { openConsensusLog } from '../../control/consensusLog.js'
import { createFleetControl } from '../fleetControl.js'
import { createFleetLink } from '../fleetLink.js'
import { createPeers } from '../../peers.js'
import { PROCESS_HOST, findFreePort } from '../../control/__tests__/loopback.js'
import type { Declaration, KnownServer, RenewRequest, ServerAnnouncement, ServerStatus } from '@cyclamenusher/decisions'
import type { CallServer } from '@cyclamenusher/protocol'
import type { Disk } from '../../control/logStorage.js'
import type { LogStatus } from '../../control/replicatedLog.js'
import type { FleetControl } from '../fleetControl.js'
import type { Address } from '../../address.js'
import type { Clock } from '../../clock.js'
import type { FleetLink } from '../fleetLink.js'
import type { PromotionOrder } from '../ports.js'

export const HOST = PROCESS_HOST
export const CREDENTIALS = { secret: 'a secret of the tests' }
/** Only bounds a test that would hang otherwise. */
const WAIT_TIMEOUT_MILLISECONDS = 20_000

export interface ControlInstance {
  control: FleetControl
  hasLeaderLease: () => boolean
  term: () => number
  role: () => LogStatus['role']
  stop: () => Promise<void>
}

export async function waitUntil (description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out while waiting for ${description}`)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

export function createAnnouncement (member: string, changes: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
  return { member, group: 'g', host: HOST, port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, ...changes }
}

export function createDocument (version: number, changes: Partial<Declaration> = {}): { version: number, text: string } {
  const declaration: Declaration = { version, routes: [], groups: [{ name: 'g', connectionsPerServer: 10, synchronousReplicas: 0 }], accounts: [{ name: 'clinic', keys: ['k'], ratePerSecond: 10, burst: 10 }], idleTransactionMilliseconds: 1_000, ...changes }
  return { version, text: JSON.stringify(declaration) }
}

/** `disks` replaces the disks of the first control instances. */
export async function createFleetHarness (size = 3, disks: readonly Disk[] = []) {
  const root = mkdtempSync(join(tmpdir(), 'cyclamenusher-fleet-'))
  const addresses = (await Promise.all(Array.from({ length: size }, findFreePort))).map(port => ({ host: HOST, port }))
  const running = new Map<number, ControlInstance>()
  const links: FleetLink[] = []
  const lines: string[] = []
  const appendLine = (sentence: string): void => { lines.push(sentence) }
  const logger = { error: appendLine, warn: appendLine, info: appendLine, debug: () => {} }
  /** Status that each server reports to control; a server without a status does not answer. */
  const statuses = new Map<string, ServerStatus>()
  const promotions: PromotionOrder[] = []
  let promote = (order: PromotionOrder): void => { statuses.set(order.member, { role: 'primary', term: 2, received: { term: 1, position: 10 } }) }

  async function requestStatus ({ member }: KnownServer): Promise<ServerStatus> {
    const status = statuses.get(member)
    if (status === undefined) throw new Error('no answer')
    return status
  }

  async function start (index: number): Promise<ControlInstance> {
    const control = createFleetControl({
      name: `control-${index}`,
      administration: { askStatus: requestStatus, stepDown: async server => ({ ...await requestStatus(server), role: 'replica' }), close: () => {} },
      promotion: {
        promote: async (order, mayCall) => {
          if (!mayCall()) return 'unknown'
          promotions.push(order)
          promote(order)
          return 'done'
        }
      },
      announceIntervalMilliseconds: 60_000,
      rateTolerance: NO_TOLERANCE,
      drainMilliseconds: 7_000,
      decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration,
      credentials: CREDENTIALS,
      clock: systemClock,
      logger
    })
    const log = openConsensusLog({ name: `control-${index}`, failureDomain: `domain-${index}`, address: addresses[index], addresses: () => addresses, membership: { automatic: true, voters: 3 }, dataFolder: join(root, `control-${index}`), stateMachine: control.stateMachine, credentials: CREDENTIALS, clock: systemClock, logger, disk: disks[index] })
    control.attach(log)
    const calls: CallServer = await listenForCalls(HOST, addresses[index].port, CREDENTIALS, router => {
      log.routes(router)
      control.routes(router)
    }, control.streams)
    const instance: ControlInstance = {
      control,
      hasLeaderLease: log.hasLeaderLease,
      term: log.term,
      role: () => log.status().role,
      stop: async () => {
        running.delete(index)
        control.close()
        await log.close()
        await calls.close()
      }
    }
    running.set(index, instance)
    return instance
  }

  function joinEntry (name: string, report: () => Pick<RenewRequest, 'demand' | 'sightings' | 'busy'> = () => ({ demand: {}, sightings: {}, busy: [] }), clock: Clock = systemClock, lendsAt?: Address): FleetLink {
    const link = createFleetLink({ name, failureDomain: 'a', seeds: () => addresses, decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration, report, lendsAt, domainDrainMilliseconds: 5_000, peers: createPeers(CREDENTIALS), clock, logger })
    link.start()
    links.push(link)
    return link
  }

  async function leader (): Promise<ControlInstance> {
    await waitUntil('a leader', () => [...running.values()].some(instance => instance.hasLeaderLease()))
    return [...running.values()].find(instance => instance.hasLeaderLease()) as ControlInstance
  }

  /** Sends a declaration until it is in force. */
  async function declare (version: number, changes: Partial<Declaration> = {}): Promise<void> {
    await waitUntil(`version ${version}`, async () => await (await leader()).control.declare(createDocument(version, changes)) === 'held')
  }

  await Promise.all(addresses.map(async (_, index) => await start(index)))
  return {
    running,
    statuses,
    promotions,
    lines,
    start,
    leader,
    declare,
    joinEntry,
    onPromotion: (handler: (order: PromotionOrder) => void) => { promote = handler },
    loseDisk: (index: number) => { rmSync(join(root, `control-${index}`), { recursive: true, force: true }) },
    /** Announces a group with a primary and two replicas. */
    announceGroup: async () => {
      statuses.set('p', { role: 'primary', term: 1, received: { term: 1, position: 10 } })
      statuses.set('r1', { role: 'replica', term: 1, received: { term: 1, position: 8 } })
      statuses.set('r2', { role: 'replica', term: 1, received: { term: 1, position: 9 } })
      for (const [index, member] of ['p', 'r1', 'r2'].entries()) {
        const role = member === 'p' ? 'primary' : 'replica'
        await waitUntil(`the announcement of ${member}`, async () => await (await leader()).control.notify({ kind: 'announced', announcement: createAnnouncement(member, { role, port: index + 1 }) }))
      }
    },
    stop: async () => {
      for (const link of links) link.close()
      await Promise.all([...running.values()].map(async instance => { await instance.stop() }))
      rmSync(root, { recursive: true, force: true })
    }
  }
}

export type FleetHarness = Awaited<ReturnType<typeof createFleetHarness>>
