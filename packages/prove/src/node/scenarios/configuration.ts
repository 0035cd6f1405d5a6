/** Operators race with equal numbers and send again, while callers probe which configuration is in force. */

import pg from 'pg'
import { digestOf } from '@cyclamenusher/stand-ins'
import { pause } from '../callers/work.js'
import { checkConfigurations, checkSubmissions } from '../checkers/index.js'
import { BASE_PLAN, checkLively, withStage } from './scenario.js'
import type { ConfigurationRecord, Probe, Submission } from '../checkers/index.js'
import type { InstanceProcess } from '@cyclamenusher/stand-ins'
import type { FaultName, Heal } from '../faults/faults.js'
import type { Scenario, Stage } from './scenario.js'

const CHANGES = 5
const OPERATORS = 3
/** Time within which an accepted configuration must be in force, in milliseconds. */
const FORCE_MILLISECONDS = 5_000
const CONNECT_MILLISECONDS = 1_500
const PROBE_PAUSE_MILLISECONDS = 20
const LEAST_PROBES = 100
/** Time that operators keep trying to get one number decided, in milliseconds. */
const DECIDE_MILLISECONDS = 15_000

const OUTCOMES: Record<number, Submission['outcome']> = { 0: 'accepted', 4: 'conflict', 6: 'refused' }

const CHANGE_FAULTS: FaultName[] = ['kill control instance', 'freeze control instance', 'kill entry instance', 'freeze entry instance', 'one-way silence', 'open connections silent for good', 'slow links']

/** Faults that need a majority of control instances besides the struck one. */
const MAJORITY_FAULTS: FaultName[] = ['lose disk of control instance']

async function probe ({ history }: Stage, instance: InstanceProcess, key: string): Promise<Probe> {
  const invokedAt = history.now()
  const client = new pg.Client({ host: '127.0.0.1', port: instance.callers, user: 'clinic', password: key, database: 'padron', connectionTimeoutMillis: CONNECT_MILLISECONDS })
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

function contentOf ({ deployment }: Stage, key: string): string {
  const lines = new Map(deployment.rules)
  lines.set('keys.clinic-key', `keys.clinic-key = { account = "clinic", digest = "${digestOf(key)}" } # asked for by the proof`)
  return `${[...lines.values()].join('\n')}\n`
}

async function submit ({ deployment }: Stage, number: number, key: string, file: string, submissions: Submission[]): Promise<Submission['outcome']> {
  const { code } = await deployment.operator(['apply', file, '--number', String(number), '--operator', key])
  const outcome = OUTCOMES[code] ?? 'unknown'
  submissions.push({ number, content: key, outcome })
  return outcome
}

/** Lets operators race for one number, and repeats each whose answer was lost, until one has won. */
async function race (stage: Stage, number: number, submissions: Submission[]): Promise<ConfigurationRecord & { file: string }> {
  const { history, deployment } = stage
  const rivals = Array.from({ length: OPERATORS }, (_value, index) => {
    const key = `key-${number}-of-${index}`
    return { key, file: deployment.fleet.write(`rules-${key}.toml`, contentOf(stage, key)) }
  })
  const deadline = history.now() + DECIDE_MILLISECONDS
  while (history.now() < deadline) {
    const outcomes = await Promise.all(rivals.map(async ({ key, file }) => await submit(stage, number, key, file, submissions)))
    const winner = outcomes.indexOf('accepted')
    if (winner >= 0) return { number, ...rivals[winner], acceptedAt: history.now() }
  }
  throw new Error(`no operator got configuration ${number} accepted: ${JSON.stringify(submissions.slice(-OPERATORS))}`)
}

export const runConfiguration: Scenario = async options => await withStage(BASE_PLAN, options, async stage => {
  const { deployment, random } = stage
  const submissions: Submission[] = []
  const problems: string[] = []
  const won: Array<ConfigurationRecord & { file: string }> = []
  const probes: Probe[] = []
  let over = false
  const probing = deployment.entries.map(async entry => {
    while (!over) {
      for (const { key } of won.slice(-3)) probes.push(await probe(stage, entry, key))
      await pause(PROBE_PAUSE_MILLISECONDS)
    }
  })
  const first = deployment.number() + 1
  const faults = deployment.controls.length > 1 ? [...CHANGE_FAULTS, ...MAJORITY_FAULTS] : CHANGE_FAULTS
  for (let number = first; number < first + CHANGES; number += 1) {
    const chosen = options.faults ?? (number % 2 === 0 ? [] : [random.pick(faults)])
    const heals: Heal[] = []
    for (const name of chosen) heals.push(await stage.strike(name))
    // With one control instance nothing is decided while it is down.
    if (deployment.controls.length === 1) {
      await pause(500)
      for (const heal of heals.splice(0)) await heal()
    }
    won.push(await race(stage, number, submissions))
    for (const heal of heals) await heal()
    // A change that is sent again, at once and later, gets its first answer again.
    const again = random.pick(won)
    const outcome = await submit(stage, again.number, again.key, again.file, submissions)
    if (outcome !== 'accepted' && outcome !== 'unknown') problems.push(`configuration ${again.number} was accepted, and answered "${outcome}" when it was sent again`)
    await pause(random.between(0, 500))
  }
  await pause(FORCE_MILLISECONDS + 1_500)
  over = true
  await Promise.all(probing)
  const judged = probes.filter(({ verdict }) => verdict !== 'unable').length
  return {
    violations: {
      configuration: [
        ...checkLively(judged, LEAST_PROBES),
        ...checkConfigurations(probes, won, FORCE_MILLISECONDS),
        ...checkSubmissions(submissions),
        ...problems.map(problem => ({ problem, operations: [] }))
      ]
    },
    operations: probes.length + submissions.length,
    done: judged,
    outcomes: { done: judged },
    faults: stage.struck
  }
})
