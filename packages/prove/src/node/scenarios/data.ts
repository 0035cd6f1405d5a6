/** Sessions move between instances, write, read and run transactions, while two faults at a time are active. */

import { digestOf } from '@cyclamenusher/stand-ins'
import { checkAcknowledged, checkAnswers, checkAtMostOnce, checkKeysHidden, checkLeaks, checkNotRun, checkReadYourWrites, checkTransactions } from '../checkers/index.js'
import { createSession } from '../callers/session.js'
import { get, pause, workUntil } from '../callers/work.js'
import { BASE_PLAN, checkMinimumWork, countOutcomes, findReceivedTexts, injectTogether, readLogs, readPrimaryLog, waitUntilSettled, withDeployment } from './scenario.js'
import type { Worker } from '../callers/work.js'
import type { FaultName } from '../faults/faults.js'
import type { RandomSource } from '@cyclamenusher/stand-ins'
import type { Scenario, ScenarioContext } from './scenario.js'

const SESSIONS = 8
/** Rounds of faults in one run. */
const ROUNDS = 2
const FAULT_FREE_MILLISECONDS = 1_000
const FAULT_DURATION_MILLISECONDS = 2_500
/** Minimum number of answered operations for a run to count. */
const MINIMUM_DONE = 300

const DATA_FAULTS: FaultName[] = [
  'kill primary', 'freeze primary', 'isolate primary from replicas', 'cut domain of primary', 'one-way silence',
  'open connections silent for good', 'connections to primary closed', 'slow links', 'replica far behind', 'kill replica', 'freeze replica', 'rival promotion',
  'kill entry instance', 'freeze entry instance', 'kill control instance'
]

function pickFaultPair (random: RandomSource): FaultName[] {
  const first = random.pick(DATA_FAULTS)
  return [first, random.pick(DATA_FAULTS.filter(name => name !== first))]
}

export function createWorkers ({ deployment, history, random, createUniqueValue }: ScenarioContext, count: number): Worker[] {
  const [{ name: account, key }] = deployment.plan.accounts
  return Array.from({ length: count }, (_value, index) => {
    const name = `session-${index + 1}`
    const session = createSession({ name, account, key, database: 'padron', instances: () => deployment.entries, history, random: random.fork() })
    return { session, random: random.fork(), createUniqueValue, register: name, number: 0 }
  })
}

export const runData: Scenario = async options => await withDeployment(BASE_PLAN, options, async context => {
  const { history, deployment, random } = context
  const workers = createWorkers(context, SESSIONS)
  let over = false
  const working = workers.map(async worker => { await workUntil(worker, () => over) })
  const logs = []
  const keys = deployment.plan.accounts.flatMap(({ key }) => [key, digestOf(key)])
  const received = []
  await pause(FAULT_FREE_MILLISECONDS)
  for (let round = 0; round < ROUNDS; round += 1) {
    const injection = injectTogether(context, options.faults ?? pickFaultPair(random), FAULT_DURATION_MILLISECONDS)
    await pause(FAULT_DURATION_MILLISECONDS - 500)
    // Reads the log of a cut-off primary before the primary discards its uncommitted records.
    logs.push(...await readLogs(context))
    await injection
    received.push(...await findReceivedTexts(context, keys))
    await pause(FAULT_FREE_MILLISECONDS)
  }
  over = true
  await Promise.all(working)
  await waitUntilSettled(context)
  for (const worker of workers) {
    await worker.session.roam()
    await get(worker)
    await worker.session.close()
  }
  const log = await readPrimaryLog(context)
  logs.push(...await readLogs(context))
  received.push(...await findReceivedTexts(context, keys))
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const workViolations = checkMinimumWork(done, MINIMUM_DONE)
  return {
    violations: {
      'read-your-writes': [...workViolations, ...checkReadYourWrites(operations)],
      'replaced-primary': [...workViolations, ...checkAcknowledged(operations, log)],
      'transactions-apart': [...workViolations, ...checkTransactions(operations, log), ...checkLeaks(operations)],
      'key-hidden': [...workViolations, ...checkKeysHidden(received)],
      'whole-answer': [...workViolations, ...checkAnswers(operations)],
      'not-run': [...workViolations, ...checkNotRun(operations, logs)],
      'at-most-once': [...workViolations, ...checkAtMostOnce(operations, log)]
    },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: context.injectedFaults
  }
})
