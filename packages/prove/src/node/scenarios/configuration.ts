/**
 * Operators concurrently submit different configurations under the same number and resubmit accepted
 * ones, while callers probe which configuration is in force.
 */

import pg from 'pg'
import { digestOf } from '@cyclamenusher/stand-ins'
import { pause } from '../callers/work.js'
import { checkConfigurations, checkSubmissions } from '../checkers/index.js'
import { BASE_PLAN, checkMinimumWork, withDeployment } from './scenario.js'
import type { ConfigurationRecord, Probe, Submission } from '../checkers/index.js'
import type { InstanceProcess } from '@cyclamenusher/stand-ins'
import type { FaultName, Heal } from '../faults/faults.js'
import type { Scenario, ScenarioContext } from './scenario.js'

const CHANGES = 5
const OPERATORS = 3
/** Time within which an accepted configuration must be in force, in milliseconds. */
const IN_FORCE_LIMIT_MILLISECONDS = 5_000
const CONNECT_TIMEOUT_MILLISECONDS = 1_500
const PROBE_PAUSE_MILLISECONDS = 20
const MINIMUM_PROBES = 100
/** Time for which operators resubmit until a number is decided, in milliseconds. */
const DECISION_TIMEOUT_MILLISECONDS = 15_000

const OUTCOMES_BY_EXIT_CODE: Record<number, Submission['outcome']> = { 0: 'accepted', 4: 'conflict', 6: 'refused' }

const CHANGE_FAULTS: FaultName[] = ['kill control instance', 'freeze control instance', 'kill entry instance', 'freeze entry instance', 'one-way silence', 'open connections silent for good', 'slow links']

/** Faults after which the other control instances must still form a majority. */
const MAJORITY_FAULTS: FaultName[] = ['lose disk of control instance']

async function probe ({ history }: ScenarioContext, instance: InstanceProcess, key: string): Promise<Probe> {
  const invokedAt = history.now()
  const client = new pg.Client({ host: '127.0.0.1', port: instance.callers, user: 'clinic', password: key, database: 'padron', connectionTimeoutMillis: CONNECT_TIMEOUT_MILLISECONDS })
  client.on('error', () => {})
  let verdict: Probe['verdict'] = 'admitted'
  try {
    await client.connect()
  } catch (error) {
    verdict = (error as { code?: string }).code === '28P01' ? 'refused' : 'unable'
  }
  const answeredAt = history.now()
  await Promise.race([client.end().catch(() => {}), pause(200)])
  return { instance: instance.name, key, invokedAt, answeredAt, verdict }
}

function buildContent ({ deployment }: ScenarioContext, key: string): string {
  const lines = new Map(deployment.rules)
  lines.set('keys.clinic-key', `keys.clinic-key = { account = "clinic", digest = "${digestOf(key)}" } # asked for by the proof`)
  return `${[...lines.values()].join('\n')}\n`
}

async function submit ({ deployment }: ScenarioContext, number: number, key: string, file: string, submissions: Submission[]): Promise<Submission['outcome']> {
  const { code } = await deployment.operator(['apply', file, '--number', String(number), '--operator', key])
  const outcome = OUTCOMES_BY_EXIT_CODE[code] ?? 'unknown'
  submissions.push({ number, content: key, outcome })
  return outcome
}

/** Lets all operators submit their configurations under one number, again and again until one is accepted. */
async function submitUntilAccepted (context: ScenarioContext, number: number, submissions: Submission[]): Promise<ConfigurationRecord & { file: string }> {
  const { history, deployment } = context
  const proposals = Array.from({ length: OPERATORS }, (_value, index) => {
    const key = `key-${number}-of-${index}`
    return { key, file: deployment.fleet.write(`rules-${key}.toml`, buildContent(context, key)) }
  })
  const deadline = history.now() + DECISION_TIMEOUT_MILLISECONDS
  while (history.now() < deadline) {
    const outcomes = await Promise.all(proposals.map(async ({ key, file }) => await submit(context, number, key, file, submissions)))
    const winner = outcomes.indexOf('accepted')
    if (winner >= 0) return { number, ...proposals[winner], acceptedAt: history.now() }
  }
  throw new Error(`configuration ${number} was not accepted from any operator: ${JSON.stringify(submissions.slice(-OPERATORS))}`)
}

export const runConfiguration: Scenario = async options => await withDeployment(BASE_PLAN, options, async context => {
  const { deployment, random } = context
  const submissions: Submission[] = []
  const problems: string[] = []
  const acceptedConfigurations: Array<ConfigurationRecord & { file: string }> = []
  const probes: Probe[] = []
  let over = false
  const probing = deployment.entries.map(async entry => {
    while (!over) {
      for (const { key } of acceptedConfigurations.slice(-3)) probes.push(await probe(context, entry, key))
      await pause(PROBE_PAUSE_MILLISECONDS)
    }
  })
  const first = deployment.number() + 1
  const faults = deployment.controls.length > 1 ? [...CHANGE_FAULTS, ...MAJORITY_FAULTS] : CHANGE_FAULTS
  for (let number = first; number < first + CHANGES; number += 1) {
    const faultNames = options.faults ?? (number % 2 === 0 ? [] : [random.pick(faults)])
    const heals: Heal[] = []
    for (const name of faultNames) heals.push(await context.injectFault(name))
    // A single control instance decides nothing while it is down, so the faults end first.
    if (deployment.controls.length === 1) {
      await pause(500)
      for (const heal of heals.splice(0)) await heal()
    }
    acceptedConfigurations.push(await submitUntilAccepted(context, number, submissions))
    for (const heal of heals) await heal()
    // A configuration that is submitted again, now or later, gets its first answer again.
    const resubmitted = random.pick(acceptedConfigurations)
    const outcome = await submit(context, resubmitted.number, resubmitted.key, resubmitted.file, submissions)
    if (outcome !== 'accepted' && outcome !== 'unknown') problems.push(`configuration ${resubmitted.number} was accepted, but answered "${outcome}" when it was submitted again`)
    await pause(random.between(0, 500))
  }
  await pause(IN_FORCE_LIMIT_MILLISECONDS + 1_500)
  over = true
  await Promise.all(probing)
  const conclusiveCount = probes.filter(({ verdict }) => verdict !== 'unable').length
  return {
    violations: {
      configuration: [
        ...checkMinimumWork(conclusiveCount, MINIMUM_PROBES),
        ...checkConfigurations(probes, acceptedConfigurations, IN_FORCE_LIMIT_MILLISECONDS),
        ...checkSubmissions(submissions),
        ...problems.map(problem => ({ problem, operations: [] }))
      ]
    },
    operations: probes.length + submissions.length,
    done: conclusiveCount,
    outcomes: { done: conclusiveCount },
    faults: context.injectedFaults
  }
})
