/** Faults of real processes and of the links between them. */

import { rmSync } from 'node:fs'
import pg from 'pg'
import type { Deployment, InstanceProcess, RandomSource, ServerProcess } from '@cyclamenusher/stand-ins'

export interface FaultContext {
  deployment: Deployment
  random: RandomSource
}

/** Ends a fault and restores what it affected. */
export type Heal = () => Promise<void>

export type FaultInjector = (context: FaultContext) => Promise<Heal>

interface MemberState {
  role: string
  adoptedTerm: number
  logTerm: number
  position: number
}

export async function readMemberState (deployment: Deployment, server: ServerProcess): Promise<MemberState | undefined> {
  return await deployment.administer(server, 'GET', '/state').then(state => state as MemberState, () => undefined)
}

/** Returns the server that is primary in the highest term; a random server when none is primary. */
export async function findPrimary ({ deployment, random }: FaultContext): Promise<ServerProcess> {
  const states = await Promise.all(deployment.servers.map(async server => ({ server, state: await readMemberState(deployment, server) })))
  const primaries = states.filter(({ state }) => state?.role === 'primary')
    .sort((left, right) => (right.state?.adoptedTerm ?? 0) - (left.state?.adoptedTerm ?? 0))
  return primaries[0]?.server ?? random.pick(deployment.servers)
}

function hasExited ({ process: { child } }: InstanceProcess | ServerProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null
}

async function killServer ({ deployment }: FaultContext, server: ServerProcess): Promise<Heal> {
  await deployment.fleet.stop(server.process, 'SIGKILL')
  return async () => { if (hasExited(server)) deployment.restartServer(server) }
}

async function killInstance ({ deployment }: FaultContext, instance: InstanceProcess): Promise<Heal> {
  await deployment.fleet.stop(instance.process, 'SIGKILL')
  return async () => { if (hasExited(instance)) deployment.restartInstance(instance) }
}

function freeze (target: InstanceProcess | ServerProcess): Heal {
  const { child } = target.process
  child.kill('SIGSTOP')
  return async () => { child.kill('SIGCONT') }
}

async function pickReplica (context: FaultContext): Promise<ServerProcess> {
  const primary = await findPrimary(context)
  return context.random.pick(context.deployment.servers.filter(server => server !== primary))
}

function requireNetwork ({ deployment }: FaultContext): NonNullable<Deployment['network']> {
  if (deployment.network === undefined) throw new Error('this fault requires a deployment with links')
  return deployment.network
}

/** Acts as a second, independent coordinator: makes the members adopt a new term and, if a majority does, promotes one of them. */
async function promoteAsRivalCoordinator ({ deployment, random }: FaultContext): Promise<void> {
  const states = await Promise.all(deployment.servers.map(async server => await readMemberState(deployment, server)))
  const term = Math.max(0, ...states.map(state => state?.adoptedTerm ?? 0)) + 1
  const adopted = await Promise.all(deployment.servers.map(async server => await queryAsMonitor(server, `SELECT * FROM cyclamenusher.adopt(${term})`)))
  const granted = deployment.servers
    .map((server, index) => ({ server, answer: adopted[index] }))
    .filter(({ answer }) => answer?.granted === 'true')
    .sort((left, right) => Number(right.answer?.log_term) - Number(left.answer?.log_term) || Number(right.answer?.position) - Number(left.answer?.position))
  if (granted.length <= deployment.servers.length / 2) return
  await new Promise(resolve => setTimeout(resolve, random.between(0, 100)))
  await queryAsMonitor(granted[0].server, `SELECT * FROM cyclamenusher.promote(${term})`)
}

async function queryAsMonitor (server: ServerProcess, statement: string): Promise<Record<string, string> | undefined> {
  const client = new pg.Client({ host: '127.0.0.1', port: server.port, user: 'cyclamenusher_monitor', password: 'system-password', database: server.group, connectionTimeoutMillis: 500, query_timeout: 500 })
  client.on('error', () => {})
  try {
    await client.connect()
    const { rows } = await client.query<Record<string, string>>(statement)
    return rows[0]
  } catch {
    return undefined
  } finally {
    await client.end().catch(() => {})
  }
}

const NOTHING_TO_HEAL: Heal = async () => {}
/** Number of times that one fault closes the connections. */
const CLOSE_COUNT = 10
/** Longest pause between two closes, in milliseconds. */
const MAXIMUM_CLOSE_PAUSE_MILLISECONDS = 200

export const FAULTS = {
  'kill primary': async context => await killServer(context, await findPrimary(context)),
  'freeze primary': async context => freeze(await findPrimary(context)),
  'isolate primary from replicas': async context => {
    const primary = await findPrimary(context)
    await context.deployment.administer(primary, 'POST', '/faults', { isolated: true })
    return async () => { await context.deployment.administer(primary, 'POST', '/faults', { isolated: false }).catch(() => {}) }
  },
  'cut domain of primary': async context => {
    const { failureDomain } = await findPrimary(context)
    requireNetwork(context).cut(failureDomain)
    return async () => { requireNetwork(context).heal(failureDomain) }
  },
  'one-way silence': async context => {
    const failureDomain = context.random.pick(context.deployment.plan.failureDomains)
    requireNetwork(context).cut(failureDomain, [context.random.pick(['in', 'out'] as const)])
    return async () => { requireNetwork(context).heal(failureDomain) }
  },
  'open connections silent for good': async context => {
    requireNetwork(context).loseOpenConnections(context.random.pick(context.deployment.plan.failureDomains))
    return NOTHING_TO_HEAL
  },
  'connections to primary closed': async context => {
    // Messages in transit are lost, including answers to commits.
    const { port } = await findPrimary(context)
    for (let time = 0; time < CLOSE_COUNT; time += 1) {
      for (const link of requireNetwork(context).linksTo(port)) link.closeOpenConnections()
      await new Promise(resolve => setTimeout(resolve, context.random.between(100, MAXIMUM_CLOSE_PAUSE_MILLISECONDS)))
    }
    return NOTHING_TO_HEAL
  },
  'slow links': async context => {
    requireNetwork(context).setDelay(context.random.between(5, 60))
    return async () => { requireNetwork(context).setDelay(0) }
  },
  'replica far behind': async context => {
    const server = await pickReplica(context)
    await context.deployment.administer(server, 'POST', '/faults', { lagMilliseconds: 800 })
    return async () => { await context.deployment.administer(server, 'POST', '/faults', { lagMilliseconds: context.deployment.plan.lagMilliseconds }).catch(() => {}) }
  },
  'kill replica': async context => await killServer(context, await pickReplica(context)),
  'freeze replica': async context => freeze(await pickReplica(context)),
  'rival promotion': async context => {
    await promoteAsRivalCoordinator(context)
    return NOTHING_TO_HEAL
  },
  'kill entry instance': async context => await killInstance(context, context.random.pick(context.deployment.entries)),
  'freeze entry instance': async context => freeze(context.random.pick(context.deployment.entries)),
  'kill control instance': async context => await killInstance(context, context.random.pick(context.deployment.controls)),
  'freeze control instance': async context => freeze(context.random.pick(context.deployment.controls)),
  'lose disk of control instance': async context => {
    const instance = context.random.pick(context.deployment.controls)
    const heal = await killInstance(context, instance)
    rmSync(`${context.deployment.fleet.folder}/${instance.name}-data`, { recursive: true, force: true })
    return heal
  }
} satisfies Record<string, FaultInjector>

export type FaultName = keyof typeof FAULTS
