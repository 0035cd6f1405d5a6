/** Sessions that roam, write, read and run transactions, while faults strike two at once. */

import { digestOf } from '@cyclamenusher/stand-ins'
import { checkAcknowledged, checkAnswers, checkAtMostOnce, checkKeysHidden, checkLeaks, checkNotRun, checkReadYourWrites, checkTransactions } from '../checkers/index.js'
import { createSession } from '../callers/session.js'
import { get, pause, workUntil } from '../callers/work.js'
import { BASE_PLAN, checkLively, countOutcomes, findReceived, readLogs, readPrimaryLog, settle, strikeTogether, withStage } from './scenario.js'
import type { Worker } from '../callers/work.js'
import type { FaultName } from '../faults/faults.js'
import type { RandomSource } from '../random.js'
import type { Scenario, Stage } from './scenario.js'

const SESSIONS = 8
/** Rounds of faults in one run. */
const ROUNDS = 2
const CALM_MILLISECONDS = 1_000
const FAULT_MILLISECONDS = 2_500
/** Operations that a run must at least answer. */
const LEAST_DONE = 300

const DATA_FAULTS: FaultName[] = [
  'kill primary', 'freeze primary', 'isolate primary from replicas', 'cut domain of primary', 'one-way silence',
  'open connections silent for good', 'connections to primary closed', 'slow links', 'replica far behind', 'kill replica', 'freeze replica', 'rival promotion',
  'kill entry instance', 'freeze entry instance', 'kill control instance'
]

function pickPair (random: RandomSource): FaultName[] {
  const first = random.pick(DATA_FAULTS)
  return [first, random.pick(DATA_FAULTS.filter(name => name !== first))]
}

export function createWorkers ({ deployment, history, random, unique }: Stage, count: number): Worker[] {
  const [{ name: account, key }] = deployment.plan.accounts
  return Array.from({ length: count }, (_value, index) => {
    const name = `session-${index + 1}`
    const session = createSession({ name, account, key, database: 'padron', instances: () => deployment.entries, history, random: random.fork() })
    return { session, random: random.fork(), unique, register: name, number: 0 }
  })
}

export const runData: Scenario = async options => await withStage(BASE_PLAN, options, async stage => {
  const { history, deployment, random } = stage
  const workers = createWorkers(stage, SESSIONS)
  let over = false
  const working = workers.map(async worker => { await workUntil(worker, () => over) })
  const logs = []
  const keys = deployment.plan.accounts.flatMap(({ key }) => [key, digestOf(key)])
  const received = []
  await pause(CALM_MILLISECONDS)
  for (let round = 0; round < ROUNDS; round += 1) {
    const striking = strikeTogether(stage, options.faults ?? pickPair(random), FAULT_MILLISECONDS)
    await pause(FAULT_MILLISECONDS - 500)
    // What a cut-off primary holds is seen before it is taken back.
    logs.push(...await readLogs(stage))
    await striking
    received.push(...await findReceived(stage, keys))
    await pause(CALM_MILLISECONDS)
  }
  over = true
  await Promise.all(working)
  await settle(stage)
  for (const worker of workers) {
    await worker.session.roam()
    await get(worker)
    await worker.session.close()
  }
  const log = await readPrimaryLog(stage)
  logs.push(...await readLogs(stage))
  received.push(...await findReceived(stage, keys))
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const lively = checkLively(done, LEAST_DONE)
  return {
    violations: {
      'read-your-writes': [...lively, ...checkReadYourWrites(operations)],
      'replaced-primary': [...lively, ...checkAcknowledged(operations, log)],
      'transactions-apart': [...lively, ...checkTransactions(operations, log), ...checkLeaks(operations)],
      'key-hidden': [...lively, ...checkKeysHidden(received)],
      'whole-answer': [...lively, ...checkAnswers(operations)],
      'not-run': [...lively, ...checkNotRun(operations, logs)],
      'at-most-once': [...lively, ...checkAtMostOnce(operations, log)]
    },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: stage.struck
  }
})
