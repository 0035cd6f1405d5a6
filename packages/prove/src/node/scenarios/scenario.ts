/** Shared parts of the scenarios: a deployment, a history, faults picked by seed, and the servers' logs. */

import { createRandom, startDeployment, waitUntil } from '@cyclamenusher/stand-ins'
import { createHistory } from '../history.js'
import { FAULTS, findPrimary, readMemberState } from '../faults/faults.js'
import { pause } from '../callers/work.js'
import type { Deployment, DeploymentPlan, ProgramFiles, RandomSource } from '@cyclamenusher/stand-ins'
import type { CommittedRecord } from '../checkers/log.js'
import type { FaultName, Heal } from '../faults/faults.js'
import type { History, Operation, Outcome, Violation } from '../history.js'
import type { PointName } from '../points.js'

/** Time within which a deployment must settle after its faults have ended, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 20_000

export interface ScenarioOptions {
  seed: number
  /** Programs that replace the built ones, such as mutants. */
  programs?: ProgramFiles
  /** Faults to inject instead of those that the seed picks. */
  faults?: FaultName[]
}

export interface ScenarioResult {
  /** Violations of each point that the scenario checks. */
  violations: Partial<Record<PointName, Violation[]>>
  operations: number
  /** Number of operations with a complete answer. */
  done: number
  /** Number of operations by outcome. */
  outcomes: Partial<Record<Outcome, number>>
  faults: InjectedFaultName[]
}

/** Faults of processes and links, and the changes that scenarios make themselves. */
export type InjectedFaultName = FaultName | 'cut domain' | 'primary leaves' | 'replica leaves' | 'graceful shutdown'

export type Scenario = (options: ScenarioOptions) => Promise<ScenarioResult>

export interface ScenarioContext {
  deployment: Deployment
  history: History
  random: RandomSource
  /** Creates a value that occurs nowhere else in the run. */
  createUniqueValue: () => string
  /** Faults injected so far. */
  injectedFaults: InjectedFaultName[]
  injectFault: (name: FaultName) => Promise<Heal>
}

export const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c']

export const BASE_PLAN: DeploymentPlan = {
  failureDomains: FAILURE_DOMAINS,
  entries: 3,
  controls: 3,
  databases: ['padron'],
  members: 3,
  accounts: [{ name: 'clinic', key: 'key-of-clinic', rate: 100_000, burst: 100_000 }],
  connectionLimit: 25,
  openMilliseconds: 5,
  lagMilliseconds: 5,
  links: true,
  settings: { callers: ['request_milliseconds = 4000'], shutdown: ['grace_milliseconds = 500'] }
}

/** Starts a deployment, runs `work` on it and closes it. */
export async function withDeployment<Result> (plan: DeploymentPlan, { seed, programs }: ScenarioOptions, work: (context: ScenarioContext) => Promise<Result>): Promise<Result> {
  const random = createRandom(seed)
  const deployment = await startDeployment({ ...plan, programs })
  const injectedFaults: InjectedFaultName[] = []
  let uniqueValueCount = 0
  const context: ScenarioContext = {
    deployment,
    history: createHistory(),
    random,
    createUniqueValue: () => {
      uniqueValueCount += 1
      return `unique-${seed}-${uniqueValueCount}.`
    },
    injectedFaults,
    injectFault: async name => {
      injectedFaults.push(name)
      return await FAULTS[name]({ deployment, random: random.fork() })
    }
  }
  try {
    return await work(context)
  } finally {
    await deployment.close()
  }
}

/** Injects the faults shortly after each other, waits `milliseconds`, and ends them all. */
export async function injectTogether ({ injectFault, random }: ScenarioContext, names: readonly FaultName[], milliseconds: number): Promise<void> {
  const heals: Heal[] = []
  for (const name of names) {
    heals.push(await injectFault(name))
    await pause(random.between(0, 300))
  }
  await pause(milliseconds)
  for (const heal of heals) await heal()
}

/** Waits until each group has exactly one primary and all its members have the same position and log term. */
export async function waitUntilSettled ({ deployment }: ScenarioContext): Promise<void> {
  let lastStates: unknown
  const settled = waitUntil(Date.now() + SETTLE_TIMEOUT_MILLISECONDS, 'no state', async () => {
    for (const group of deployment.plan.databases) {
      const states = await Promise.all(deployment.servers.filter(server => server.group === group).map(async server => await readMemberState(deployment, server)))
      lastStates = states
      const identical = states.every(state => state !== undefined && state.position === states[0]?.position && state.logTerm === states[0]?.logTerm)
      if (!identical || states.filter(state => state?.role === 'primary').length !== 1) return false
    }
    return true
  })
  await settled.catch(() => { throw new Error(`the groups did not settle: ${JSON.stringify(lastStates)}`) })
}

interface RawRecord {
  term: number
  position: number
  operations: Array<{ kind: string, value: string }>
}

async function readLog (deployment: Deployment, server: Deployment['servers'][number]): Promise<CommittedRecord[]> {
  const records = await deployment.administer(server, 'GET', '/log') as RawRecord[]
  return records.map(({ term, position, operations }) => ({ term, position, values: operations.filter(({ kind }) => kind === 'append').map(({ value }) => value) }))
}

/** Reads the logs of all servers that answer. */
export async function readLogs ({ deployment }: ScenarioContext): Promise<CommittedRecord[][]> {
  const logs = await Promise.allSettled(deployment.servers.map(async server => await readLog(deployment, server)))
  return logs.flatMap(log => log.status === 'fulfilled' ? [log.value] : [])
}

export async function readPrimaryLog (context: ScenarioContext): Promise<CommittedRecord[]> {
  return await readLog(context.deployment, await findPrimary(context))
}

/** Finds which of the texts a server has received, and which server. */
export async function findReceivedTexts ({ deployment }: ScenarioContext, texts: readonly string[]): Promise<Array<{ member: string, text: string }>> {
  const received: Array<{ member: string, text: string }> = []
  for (const server of deployment.servers) {
    for (const text of texts) {
      const answer = await deployment.administer(server, 'GET', `/received?text=${encodeURIComponent(text)}`).catch(() => undefined) as { found: boolean } | undefined
      if (answer?.found === true) received.push({ member: server.member, text })
    }
  }
  return received
}

/** Counts requests by outcome; attempts to connect don't count. */
export function countOutcomes (operations: readonly Operation[]): Partial<Record<Outcome, number>> {
  const counts: Partial<Record<Outcome, number>> = {}
  for (const { kind, outcome } of operations) if (kind !== 'connect') counts[outcome] = (counts[outcome] ?? 0) + 1
  return counts
}

/** Reports a run with too few answers to be conclusive. */
export function checkMinimumWork (done: number, minimum: number): Violation[] {
  return done >= minimum ? [] : [{ problem: `only ${done} operations were answered, fewer than the ${minimum} that a run needs to show anything`, operations: [] }]
}
