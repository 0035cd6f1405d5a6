/** Large results, cancels and timeouts in sessions that move between instances, while answers are late. */

import { connect } from 'node:net'
import { buildCancelRequest } from '@cyclamenusher/protocol'
import { createSession } from '../callers/session.js'
import { pause } from '../callers/work.js'
import { checkAnswers } from '../checkers/index.js'
import { BASE_PLAN, checkMinimumWork, countOutcomes, injectTogether, withDeployment } from './scenario.js'
import type pg from 'pg'
import type { Session } from '../callers/session.js'
import type { FaultName } from '../faults/faults.js'
import type { RandomSource } from '@cyclamenusher/stand-ins'
import type { Scenario } from './scenario.js'

const SESSIONS = 16
const FAULT_FREE_MILLISECONDS = 1_500
const FAULT_DURATION_MILLISECONDS = 2_500
const MINIMUM_DONE = 150
/** Deadline of a request at the instances, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 1_500

const ANSWER_FAULTS: FaultName[] = ['slow links', 'open connections silent for good', 'freeze replica', 'freeze primary', 'one-way silence', 'kill replica', 'kill primary']

type Action = (session: Session, random: RandomSource, createUniqueValue: () => string) => Promise<void>

async function readExpecting (session: Session, statement: string, expected: string): Promise<void> {
  await session.run({ kind: 'read', expected }, async (client, call) => {
    const { rows } = await client.query<Record<string, string>>(statement)
    call.given = rows.map(row => Object.values(row)[0]).join()
  })
}

const echo: Action = async (session, _random, createUniqueValue) => {
  const value = createUniqueValue()
  await readExpecting(session, `select '${value}' as answer`, value)
}

const ACTIONS: Action[] = [
  echo,
  echo,
  async (session, random) => {
    const count = random.between(1, 20_000)
    await readExpecting(session, `select generate_series(1, ${count})`, Array.from({ length: count }, (_value, index) => index + 1).join())
  },
  async (session, random) => {
    const width = random.between(1_000, 5_000)
    const expected = Array.from({ length: 200 }, (_value, index) => `${index + 1}${'x'.repeat(width)}`).join()
    await readExpecting(session, `select repeat('x', ${width}) from generate_series(1, 200)`, expected)
  },
  async (session, random, createUniqueValue) => {
    // Cancelled by the caller: a late answer must not reach the next request.
    await session.run({ kind: 'read', expected: '' }, async (client, call) => {
      const sleeping = client.query<Record<string, string>>(`select pg_sleep(${random.between(3, 30) / 100})`)
      setTimeout(() => { cancel(client) }, random.between(10, 200))
      const { rows } = await sleeping
      call.given = rows.map(row => Object.values(row)[0]).join()
    })
    await echo(session, random, createUniqueValue)
  },
  async (session, random, createUniqueValue) => {
    // May take longer than the request's deadline.
    await readExpecting(session, `select pg_sleep(${random.between(10, 30) / 10})`, '')
    await echo(session, random, createUniqueValue)
  }
]

function cancel (client: pg.Client): void {
  const { processID, secretKey, port, host } = client as unknown as { processID: number, secretKey: number, port: number, host: string }
  const socket = connect(port, host, () => { socket.end(buildCancelRequest(processID, secretKey)) })
  socket.on('error', () => {})
}

export const runAnswers: Scenario = async options => {
  const settings = { ...BASE_PLAN.settings, callers: [`request_milliseconds = ${REQUEST_TIMEOUT_MILLISECONDS}`] }
  return await withDeployment({ ...BASE_PLAN, settings }, options, async context => {
    const { deployment, history, random, createUniqueValue } = context
    const [{ name: account, key }] = deployment.plan.accounts
    let over = false
    const working = Array.from({ length: SESSIONS }, async (_value, index) => {
      const sessionRandom = random.fork()
      const session = createSession({ name: `session-${index + 1}`, account, key, database: 'padron', instances: () => deployment.entries, history, random: random.fork() })
      while (!over) {
        await sessionRandom.pick(ACTIONS)(session, sessionRandom, createUniqueValue)
        if (sessionRandom.chance(0.05)) session.abort()
        if (sessionRandom.chance(0.1)) await session.roam()
        await pause(sessionRandom.between(1, 10))
      }
      await session.close()
    })
    await pause(FAULT_FREE_MILLISECONDS)
    for (let round = 0; round < 2; round += 1) {
      const first = random.pick(ANSWER_FAULTS)
      await injectTogether(context, options.faults ?? [first, random.pick(ANSWER_FAULTS.filter(name => name !== first))], FAULT_DURATION_MILLISECONDS)
      await pause(FAULT_FREE_MILLISECONDS)
    }
    over = true
    await Promise.all(working)
    const { operations } = history
    const done = operations.filter(({ kind, outcome }) => kind !== 'connect' && outcome === 'done').length
    return {
      violations: { 'whole-answer': [...checkMinimumWork(done, MINIMUM_DONE), ...checkAnswers(operations)] },
      operations: operations.length,
      done,
      outcomes: countOutcomes(operations),
      faults: context.injectedFaults
    }
  })
}
