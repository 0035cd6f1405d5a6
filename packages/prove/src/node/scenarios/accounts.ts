/**
 * Callers with their own keys, with other accounts' keys and without any. Keys are withdrawn under
 * load, in open transactions, and while a failure domain is cut off.
 */

import { digestOf } from '@cyclamenusher/stand-ins'
import { createSession } from '../callers/session.js'
import { pause } from '../callers/work.js'
import { checkIsolation, checkKeysHidden, checkNotRun, checkOpenRoutes, checkServedWhileCut, checkWithdrawn } from '../checkers/index.js'
import { BASE_PLAN, checkMinimumWork, countOutcomes, findReceivedTexts, readLogs, waitUntilSettled, withDeployment } from './scenario.js'
import type { KeyRecord } from '../checkers/index.js'
import type { Session } from '../callers/session.js'
import type { Scenario, ScenarioContext } from './scenario.js'

/** Time within which a withdrawn key must stop working, in milliseconds. */
const WITHDRAWAL_LIMIT_MILLISECONDS = 5_000
const FAULT_FREE_MILLISECONDS = 1_500
const MINIMUM_DONE = 100
/** Time after which a cut-off instance's lease has expired and it accepts no key, in milliseconds. */
const LEASE_MILLISECONDS = 3_000
/** Minimum number of open reads that a cut-off instance must serve after its lease has expired. */
const MINIMUM_OPEN_READS = 20
/** Account name of callers without a key. */
const OPEN_ACCOUNT = 'open'
/** Maximum age of the data that callers without a key read, in milliseconds. */
const OPEN_MAXIMUM_AGE_MILLISECONDS = 60_000
const PAUSE_MILLISECONDS = 25

const ACCOUNTS = [
  { name: 'clinic', key: 'key-of-clinic', rate: 100_000, burst: 100_000 },
  { name: 'shop', key: 'key-of-shop', rate: 100_000, burst: 100_000 },
  { name: 'warehouse', key: 'key-of-warehouse', rate: 100_000, burst: 100_000 }
]

/** Database that only the account `warehouse` may use. */
const RESTRICTED_DATABASE = 'stock'

/** Account, key and database that each caller presents. The first three are valid, the fourth may only read, the rest must be refused. */
const PRESENTED_CREDENTIALS: ReadonlyArray<[account: string, key: string, database: string]> = [
  ['clinic', 'key-of-clinic', 'padron'],
  ['shop', 'key-of-shop', 'padron'],
  ['warehouse', 'key-of-warehouse', RESTRICTED_DATABASE],
  [OPEN_ACCOUNT, '', 'padron'],
  ['clinic', 'key-of-shop', 'padron'],
  ['shop', 'wrong', 'padron'],
  ['warehouse', '', 'padron'],
  ['nobody', 'key-of-clinic', 'padron'],
  ['clinic', 'key-of-clinic', RESTRICTED_DATABASE],
  ['shop', 'key-of-shop', 'elsewhere']
]

async function appendUntil (session: Session, createUniqueValue: () => string, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const value = createUniqueValue()
    await session.run({ kind: 'append', values: [value] }, async client => { await client.query(`insert into journal (value) values ('${value}')`) })
    await pause(PAUSE_MILLISECONDS)
  }
}

async function readUntil (session: Session, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    await session.run({ kind: 'read' }, async client => { await client.query('select count(*) from journal') })
    await pause(2 * PAUSE_MILLISECONDS)
  }
}

/** Keeps a transaction open, so that its key is withdrawn in the middle of it. */
async function holdTransactions (session: Session, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    await session.run({ kind: 'read' }, async client => { await client.query('begin') })
    for (let step = 0; step < 20 && !isOver(); step += 1) {
      const ran = await session.run({ kind: 'read' }, async client => { await client.query("select 'in a transaction'") })
      if (ran?.outcome !== 'done') break
      await pause(2 * PAUSE_MILLISECONDS)
    }
    await session.run({ kind: 'read' }, async client => { await client.query('rollback') })
    await pause(PAUSE_MILLISECONDS)
  }
}

async function withdraw ({ deployment, history }: ScenarioContext, account: string, keys: Map<string, KeyRecord>): Promise<void> {
  deployment.rules.delete(`keys.${account}-key`)
  const applied = await deployment.applyRules()
  if (applied.code !== 0) throw new Error(`the withdrawal was not accepted: ${applied.output}`)
  keys.set(`key-of-${account}`, { account, withdrawnAt: history.now() })
}

export const runAccounts: Scenario = async options => await withDeployment({ ...BASE_PLAN, accounts: ACCOUNTS, open: { padron: OPEN_MAXIMUM_AGE_MILLISECONDS } }, options, async context => {
  const { deployment, history, random, createUniqueValue } = context
  const comment = '# asked for by the proof'
  deployment.rules.set(`databases.${RESTRICTED_DATABASE}`, `databases.${RESTRICTED_DATABASE} = { group = "padron", members = 3 } ${comment}`)
  deployment.rules.set(`access.${RESTRICTED_DATABASE}`, `access.${RESTRICTED_DATABASE} = { account = "warehouse", database = "${RESTRICTED_DATABASE}", write = true } ${comment}`)
  const applied = await deployment.applyRules()
  if (applied.code !== 0) throw new Error(`the rules were not accepted: ${applied.output}`)
  const keys = new Map<string, KeyRecord>(ACCOUNTS.map(({ name, key }) => [key, { account: name }]))
  const allowedDatabases = new Map(ACCOUNTS.map(({ name }) => [name, new Set(name === 'warehouse' ? ['padron', RESTRICTED_DATABASE] : ['padron'])]))
  keys.set('', { account: OPEN_ACCOUNT })
  allowedDatabases.set(OPEN_ACCOUNT, new Set(['padron']))
  let over = false
  const isOver = (): boolean => over
  const working = deployment.entries.flatMap(entry => {
    const createCallerSession = (name: string, [account, key, database]: typeof PRESENTED_CREDENTIALS[number]): Session =>
      createSession({ name: `${name} at ${entry.name}`, account, key, database, instances: () => [entry], history, random: random.fork() })
    return [
      ...PRESENTED_CREDENTIALS.map(async (presented, index) => { await appendUntil(createCallerSession(`caller-${index}`, presented), createUniqueValue, isOver) }),
      readUntil(createCallerSession('reader', [OPEN_ACCOUNT, '', 'padron']), isOver),
      ...PRESENTED_CREDENTIALS.slice(0, 2).map(async (presented, index) => { await holdTransactions(createCallerSession(`holder-${index}`, presented), isOver) })
    ]
  })
  await pause(FAULT_FREE_MILLISECONDS)
  await withdraw(context, 'clinic', keys)
  await pause(FAULT_FREE_MILLISECONDS)
  // The cut-off failure domain does not receive the second withdrawal.
  const controlDomains = new Set(deployment.controls.map(({ failureDomain }) => failureDomain))
  const cuttableDomains = deployment.controls.length > 1 ? deployment.plan.failureDomains : deployment.plan.failureDomains.filter(domain => !controlDomains.has(domain))
  const cutOffDomain = random.pick(cuttableDomains)
  deployment.network?.cut(cutOffDomain)
  const cutAt = history.now()
  context.injectedFaults.push('cut domain')
  await withdraw(context, 'shop', keys)
  await pause(WITHDRAWAL_LIMIT_MILLISECONDS + FAULT_FREE_MILLISECONDS)
  const logs = await readLogs(context)
  const healedAt = history.now()
  deployment.network?.heal(cutOffDomain)
  await pause(FAULT_FREE_MILLISECONDS)
  over = true
  await Promise.all(working)
  await waitUntilSettled(context)
  logs.push(...await readLogs(context))
  const received = await findReceivedTexts(context, [...keys.keys()].filter(key => key !== '').flatMap(key => [key, digestOf(key), digestOf(key).slice('sha256:'.length)]))
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const workViolations = checkMinimumWork(done, MINIMUM_DONE)
  const cutOffInstances = deployment.entries.filter(({ failureDomain }) => failureDomain === cutOffDomain).map(({ name }) => name)
  return {
    violations: {
      'account-isolation': [...workViolations, ...checkIsolation(operations, keys, allowedDatabases), ...checkOpenRoutes(operations, OPEN_ACCOUNT), ...checkServedWhileCut(operations, OPEN_ACCOUNT, cutOffInstances, cutAt + LEASE_MILLISECONDS, healedAt, MINIMUM_OPEN_READS)],
      'key-withdrawn': [...workViolations, ...checkWithdrawn(operations, keys, WITHDRAWAL_LIMIT_MILLISECONDS)],
      'key-hidden': [...workViolations, ...checkKeysHidden(received)],
      'not-run': [...workViolations, ...checkNotRun(operations, logs)]
    },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: context.injectedFaults
  }
})
