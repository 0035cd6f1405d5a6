/** Client accounts send several times their rate through all instances, while instances restart, freeze and lose connections. */

import { createSession } from '../callers/session.js'
import { pause } from '../callers/work.js'
import { checkRate } from '../checkers/index.js'
import { BASE_PLAN, checkMinimumWork, countOutcomes, injectTogether, withDeployment } from './scenario.js'
import type { FaultName } from '../faults/faults.js'
import type { Session } from '../callers/session.js'
import type { Scenario } from './scenario.js'

const ACCOUNTS = [
  { name: 'small', key: 'key-of-small', rate: 30, burst: 15 },
  // A new burst after each restart shows most clearly with a low rate and a large burst.
  { name: 'bursty', key: 'key-of-bursty', rate: 6, burst: 60 },
  { name: 'large', key: 'key-of-large', rate: 150, burst: 60 }
]
/** Sessions for each account at each instance. */
const SESSIONS_PER_INSTANCE = 3
const PAUSE_MILLISECONDS = 8
const FAULT_FREE_MILLISECONDS = 2_000
const FAULT_DURATION_MILLISECONDS = 1_500
/** Time after which a killed instance is restarted, in milliseconds. */
const RESTART_DELAY_MILLISECONDS = 50
const MINIMUM_DONE = 100

const RATE_FAULTS: FaultName[] = ['kill entry instance', 'freeze entry instance', 'open connections silent for good', 'one-way silence', 'kill control instance']

async function readUntil (session: Session, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    await session.run({ kind: 'read' }, async client => { await client.query("select 'within the rate'") })
    await pause(PAUSE_MILLISECONDS)
  }
}

export const runRate: Scenario = async options => await withDeployment({ ...BASE_PLAN, accounts: ACCOUNTS }, options, async context => {
  const { deployment, history, random } = context
  let over = false
  const working = deployment.entries.flatMap(entry => ACCOUNTS.flatMap(({ name, key }) => Array.from({ length: SESSIONS_PER_INSTANCE }, async (_value, index) => {
    const session = createSession({ name: `${name}-${index} at ${entry.name}`, account: name, key, database: 'padron', instances: () => [entry], history, random: random.fork() })
    await readUntil(session, () => over)
    await session.close()
  })))
  await pause(FAULT_FREE_MILLISECONDS)
  const others = RATE_FAULTS.filter(name => name !== 'kill entry instance')
  await injectTogether(context, options.faults ?? ['kill entry instance', random.pick(others)], FAULT_DURATION_MILLISECONDS)
  await pause(FAULT_FREE_MILLISECONDS)
  for (let restart = 0; restart < 3; restart += 1) {
    await injectTogether(context, options.faults ?? ['kill entry instance'], RESTART_DELAY_MILLISECONDS)
    await pause(FAULT_FREE_MILLISECONDS)
  }
  await injectTogether(context, options.faults ?? [random.pick(RATE_FAULTS)], FAULT_DURATION_MILLISECONDS)
  await pause(FAULT_FREE_MILLISECONDS)
  over = true
  await Promise.all(working)
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const limits = new Map(ACCOUNTS.map(({ name, rate, burst }) => [name, { rate, burst }]))
  return {
    violations: { rate: [...checkMinimumWork(done, MINIMUM_DONE), ...checkRate(operations, limits)] },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: context.injectedFaults
  }
})
