/** A backend server leaves and an entry instance shuts down under load. */

import { createSession } from '../callers/session.js'
import { pause } from '../callers/work.js'
import { checkLeaving, checkNotRun, checkShutdown } from '../checkers/index.js'
import { findPrimary } from '../faults/faults.js'
import { BASE_PLAN, checkMinimumWork, countOutcomes, readLogs, waitUntilSettled, withDeployment } from './scenario.js'
import type { Shutdown } from '../checkers/index.js'
import type { Session } from '../callers/session.js'
import type { RandomSource } from '@cyclamenusher/stand-ins'
import type { Scenario, ScenarioContext } from './scenario.js'

const SESSIONS = 10
const FAULT_FREE_MILLISECONDS = 1_200
/** Time within which a leaving server must stop receiving new work, in milliseconds. */
const LEAVING_LIMIT_MILLISECONDS = 4_000
/** Time after that during which it must receive no new work, in milliseconds. */
const OBSERVATION_MILLISECONDS = 3_000
const MINIMUM_DONE = 150
/** Time within which a graceful shutdown must end, in milliseconds. */
const SHUTDOWN_TIMEOUT_MILLISECONDS = 15_000

async function runOperation (session: Session, random: RandomSource, createUniqueValue: () => string): Promise<void> {
  if (random.chance(0.5)) {
    await session.run({ kind: 'read' }, async (client, call) => {
      const { rows: [{ member }] } = await client.query<{ member: string }>('select member_name()')
      call.member = member
    })
    return
  }
  if (random.chance(0.3)) {
    await session.run({ kind: 'read' }, async client => { await client.query(`select pg_sleep(${random.between(5, 50) / 100})`) })
    return
  }
  const value = createUniqueValue()
  await session.run({ kind: 'transaction', values: [value] }, async (client, call) => {
    await client.query('begin')
    const { rows: [{ member }] } = await client.query<{ member: string }>('select member_name()')
    call.member = member
    await client.query(`insert into journal (value) values ('${value}')`)
    await pause(random.between(0, 150))
    await client.query('commit')
  })
}

async function shutDownEntry (context: ScenarioContext): Promise<Shutdown> {
  const { deployment, history, random } = context
  const entry = random.pick(deployment.entries)
  const { child } = entry.process
  const shutdown: Shutdown = { instance: entry.name, signalledAt: history.now() }
  const ended = new Promise<void>(resolve => {
    child.once('exit', code => {
      shutdown.endedAt = history.now()
      shutdown.exitCode = code
      resolve()
    })
  })
  child.kill('SIGTERM')
  await Promise.race([ended, pause(SHUTDOWN_TIMEOUT_MILLISECONDS)])
  return shutdown
}

export const runDepartures: Scenario = async options => await withDeployment(BASE_PLAN, options, async context => {
  const { deployment, history, random, createUniqueValue } = context
  const [{ name: account, key }] = deployment.plan.accounts
  let over = false
  const working = Array.from({ length: SESSIONS }, async (_value, index) => {
    const sessionRandom = random.fork()
    const session = createSession({ name: `session-${index + 1}`, account, key, database: 'padron', instances: () => deployment.entries, history, random: random.fork() })
    while (!over) {
      await runOperation(session, sessionRandom, createUniqueValue)
      if (sessionRandom.chance(0.1)) await session.roam()
      await pause(sessionRandom.between(1, 20))
    }
    await session.close()
  })
  await pause(FAULT_FREE_MILLISECONDS)
  const primary = await findPrimary(context)
  const leaving = random.chance(0.5) ? primary : random.pick(deployment.servers.filter(server => server !== primary))
  context.injectedFaults.push(leaving === primary ? 'primary leaves' : 'replica leaves', 'graceful shutdown')
  await deployment.administer(leaving, 'POST', '/faults', { leaving: true })
  const leftAt = history.now()
  await pause(random.between(0, 1_000))
  const shutdown = await shutDownEntry(context)
  const stopped = deployment.entries.find(({ name }) => name === shutdown.instance)
  if (shutdown.endedAt !== undefined && stopped !== undefined) deployment.restartInstance(stopped)
  await pause(Math.max(0, leftAt + LEAVING_LIMIT_MILLISECONDS + OBSERVATION_MILLISECONDS - history.now()))
  const returnedAt = history.now()
  await deployment.administer(leaving, 'POST', '/faults', { leaving: false })
  over = true
  await Promise.all(working)
  await waitUntilSettled(context)
  const { operations } = history
  const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
  const doneWhileLeaving = operations.filter(({ outcome, invokedAt, answeredAt }) => outcome === 'done' && invokedAt > leftAt + LEAVING_LIMIT_MILLISECONDS && answeredAt < returnedAt).length
  const workViolations = checkMinimumWork(done, MINIMUM_DONE)
  return {
    violations: {
      leaving: [...checkMinimumWork(doneWhileLeaving, MINIMUM_DONE / 3), ...checkLeaving(operations, leaving.member, leftAt, LEAVING_LIMIT_MILLISECONDS, returnedAt)],
      'graceful-shutdown': [...workViolations, ...checkShutdown(operations, [shutdown])],
      'not-run': [...workViolations, ...checkNotRun(operations, await readLogs(context))]
    },
    operations: operations.length,
    done,
    outcomes: countOutcomes(operations),
    faults: context.injectedFaults
  }
})
