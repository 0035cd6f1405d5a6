/** Callers with their own keys, others' and none; keys withdrawn at work, in transactions, and behind a cut. */

import { digestOf } from '@cyclamenusher/stand-ins'
import { createSession } from '../callers/session.js'
import { pause } from '../callers/work.js'
import { checkIsolation, checkKeysHidden, checkNotRun, checkOpenRoutes, checkServedWhileCut, checkWithdrawn } from '../checkers/index.js'
import { BASE_PLAN, checkLively, countOutcomes, findReceived, readLogs, settle, withStage } from './scenario.js'
import type { KeyRecord } from '../checkers/index.js'
import type { Session } from '../callers/session.js'
import type { Scenario, Stage } from './scenario.js'

/** Time within which a withdrawn key must stop, in milliseconds. */
const WITHDRAWAL_MILLISECONDS = 5_000
const CALM_MILLISECONDS = 1_500
const LEAST_DONE = 100
/** Time after which a cut-off instance no longer trusts keys, in milliseconds. */
const LEASE_MILLISECONDS = 3_000
/** Open reads that a cut-off instance must at least serve after that. */
const LEAST_OPEN_READS = 20
/** Account name of callers without a key, and the age of what they may read, in milliseconds. */
const OPEN_ACCOUNT = 'open'
const OPEN_AGE_MILLISECONDS = 60_000
const PAUSE_MILLISECONDS = 25

const ACCOUNTS = [
  { name: 'clinic', key: 'key-of-clinic', rate: 100_000, burst: 100_000 },
  { name: 'shop', key: 'key-of-shop', rate: 100_000, burst: 100_000 },
  { name: 'warehouse', key: 'key-of-warehouse', rate: 100_000, burst: 100_000 }
]

/** A database that only the warehouse reaches. */
const CLOSED_DATABASE = 'stock'

/** What callers show: account, key and database. The first three are right, the others must get nothing. */
const PRESENTED: ReadonlyArray<[account: string, key: string, database: string]> = [
  ['clinic', 'key-of-clinic', 'padron'],
  ['shop', 'key-of-shop', 'padron'],
  ['warehouse', 'key-of-warehouse', CLOSED_DATABASE],
  [OPEN_ACCOUNT, '', 'padron'],
  ['clinic', 'key-of-shop', 'padron'],
  ['shop', 'wrong', 'padron'],
  ['warehouse', '', 'padron'],
  ['nobody', 'key-of-clinic', 'padron'],
  ['clinic', 'key-of-clinic', CLOSED_DATABASE],
  ['shop', 'key-of-shop', 'elsewhere']
]

async function appendUntil (session: Session, unique: () => string, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    const value = unique()
    await session.run({ kind: 'append', values: [value] }, async client => { await client.query(`insert into journal (value) values ('${value}')`) })
    await pause(PAUSE_MILLISECONDS)
  }
}

async function readOpen (session: Session, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    await session.run({ kind: 'read' }, async client => { await client.query('select count(*) from journal') })
    await pause(2 * PAUSE_MILLISECONDS)
  }
}

/** Keeps one transaction open, so that a withdrawal finds it in the middle. */
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

async function withdraw ({ deployment, history }: Stage, account: string, keys: Map<string, KeyRecord>): Promise<void> {
  deployment.rules.delete(`keys.${account}-key`)
  const applied = await deployment.applyRules()
  if (applied.code !== 0) throw new Error(`the withdrawal was not accepted: ${applied.output}`)
  keys.set(`key-of-${account}`, { account, withdrawnAt: history.now() })
}

export const runAccounts: Scenario = async options => await withStage({ ...BASE_PLAN, accounts: ACCOUNTS, open: { padron: OPEN_AGE_MILLISECONDS } }, options, async stage => {
  const { deployment, history, random, unique } = stage
  const comment = '# asked for by the proof'
  deployment.rules.set(`databases.${CLOSED_DATABASE}`, `databases.${CLOSED_DATABASE} = { group = "padron", members = 3 } ${comment}`)
  deployment.rules.set(`access.${CLOSED_DATABASE}`, `access.${CLOSED_DATABASE} = { account = "warehouse", database = "${CLOSED_DATABASE}", write = true } ${comment}`)
  const applied = await deployment.applyRules()
  if (applied.code !== 0) throw new Error(`the rules were not accepted: ${applied.output}`)
  const keys = new Map<string, KeyRecord>(ACCOUNTS.map(({ name, key }) => [key, { account: name }]))
  const reach = new Map(ACCOUNTS.map(({ name }) => [name, new Set(name === 'warehouse' ? ['padron', CLOSED_DATABASE] : ['padron'])]))
  keys.set('', { account: OPEN_ACCOUNT })
  reach.set(OPEN_ACCOUNT, new Set(['padron']))
  let over = false
  const isOver = (): boolean => over
  const working = deployment.entries.flatMap(entry => {
    const open = (name: string, [account, key, database]: typeof PRESENTED[number]): Session =>
      createSession({ name: `${name} at ${entry.name}`, account, key, database, instances: () => [entry], history, random: random.fork() })
    return [
      ...PRESENTED.map(async (presented, index) => { await appendUntil(open(`caller-${index}`, presented), unique, isOver) }),
      readOpen(open('reader', [OPEN_ACCOUNT, '', 'padron']), isOver),
      ...PRESENTED.slice(0, 2).map(async (presented, index) => { await holdTransactions(open(`holder-${index}`, presented), isOver) })
    ]
  })
  await pause(CALM_MILLISECONDS)
  await withdraw(stage, 'clinic', keys)
  await pause(CALM_MILLISECONDS)
  // The second withdrawal can't reach the failure domain that is cut off.
  const withControl = new Set(deployment.controls.map(({ failureDomain }) => failureDomain))
  const cuttable = deployment.controls.length > 1 ? deployment.plan.failureDomains : deployment.plan.failureDomains.filter(domain => !withControl.has(domain))
  const cut = random.pick(cuttable)
  deployment.network?.cut(cut)
  const cutAt = history.now()
  stage.struck.push('cut domain')
  await withdraw(stage, 'shop', keys)
  await pause(WITHDRAWAL_MILLISECONDS + CALM_MILLISECONDS)
  const logs = await readLogs(stage)
  const healedAt = history.now()
  deployment.network?.heal(cut)
  await pause(CALM_MILLISECONDS)
  over = true
  await Promise.all(working)
  await settle(stage)
  logs.push(...await readLogs(stage))
  const received = await findReceived(stage, [...keys.keys()].filter(key => key !== '').flatMap(key => [key, digestOf(key), digestOf(key).slice('sha256:'.length)]))
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const lively = checkLively(done, LEAST_DONE)
  const cutOff = deployment.entries.filter(({ failureDomain }) => failureDomain === cut).map(({ name }) => name)
  return {
    violations: {
      'account-isolation': [...lively, ...checkIsolation(operations, keys, reach), ...checkOpenRoutes(operations, OPEN_ACCOUNT), ...checkServedWhileCut(operations, OPEN_ACCOUNT, cutOff, cutAt + LEASE_MILLISECONDS, healedAt, LEAST_OPEN_READS)],
      'key-withdrawn': [...lively, ...checkWithdrawn(operations, keys, WITHDRAWAL_MILLISECONDS)],
      'key-hidden': [...lively, ...checkKeysHidden(received)],
      'not-run': [...lively, ...checkNotRun(operations, logs)]
    },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: stage.struck
  }
})
