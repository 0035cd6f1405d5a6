/**
 * An entry instance is stopped with SIGTERM while its clients run transactions of several
 * seconds. Looks for requests that were passed on to a server and whose connection ended
 * without an answer.
 */

import { dirname } from 'node:path'
import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { createStatementId, openSession } from '../harness-2/client.js'
import { startDeployment } from '../harness-2/deployment.js'
import { pause } from '../harness-2/network.js'
import { runCase } from '../harness-2/record.js'

const GRACE_MILLISECONDS = 6_000
/** Until then after the SIGTERM, a request whose server is still at work at the end may be cut. */
const EXCUSED_MILLISECONDS = 3_000
const TIMEOUT_MILLISECONDS = 2_000
const CALM_MILLISECONDS = 6_000
/** Between the stops of two machines. */
const GAP_MILLISECONDS = 2_000
/** Clients of each entry instance. */
const CLIENTS = 24
/** Statements of a transaction, with BEGIN and COMMIT. */
const STATEMENTS = 12
const WORK_MILLISECONDS = 220
const PAUSE_MILLISECONDS = 180
/** Within which the clients start, so that their transactions are at different points. */
const STAGGER_MILLISECONDS = 5_000

const draw = prefix => `${prefix}${randomBytes(4).toString('hex')}`

async function run ({ record, onEnd, hasTrouble }) {
  const service = draw('s')
  const database = draw('d')
  const tenant = { name: draw('t'), key: draw('k') }
  const deployment = await startDeployment({ zones: ['z-a', 'z-b', 'z-c'].map(name => ({ name, controls: 1, entries: 1 })), services: [service], record })
  onEnd(deployment.stop)
  const received = new Set()
  const onReceive = id => {
    if (id === '-') return
    received.add(id)
    record('received', { id })
  }
  const onRun = ({ id, server }) => { record('run', { id, server }) }
  for (const [index, zone] of ['z-a', 'z-b', 'z-c'].entries()) await deployment.addServer({ id: draw('i-'), host: deployment.nextAddress(), zone, role: index === 0 ? 'primary' : 'replica', service, onRun, onReceive, workMilliseconds: WORK_MILLISECONDS, slots: 12 })
  await deployment.replace({
    Version: 3,
    Routes: [{ Name: draw('r-'), DatabaseName: database, PathPrefix: '/', Kind: 'bounded_staleness', TimeoutMs: TIMEOUT_MILLISECONDS, TargetLatencyMs: 500, Priority: 1, Service: service, MaxAttempts: 2, MaxStalenessMs: 1_500, Public: false }],
    Services: [{ Name: service, HealthCheckPath: '/health', MaxConnections: 46, Protocol: 'h1', Tls: false, SyncReplicas: 0 }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000, TransactionIdleMs: 3_000 },
    Tenants: [{ Name: tenant.name, ApiKeys: [tenant.key], Priority: 1, RatePerS: 85, Burst: 85 }]
  })
  if (!await deployment.awaitReady()) throw new Error('the deployment did not become ready')
  const phase = { stopped: false }
  const answers = []

  async function send (session, text) {
    const id = createStatementId()
    record('sent', { id, text })
    const answer = { ...await session.run(text, id), entry: session.entry }
    record('answered', { id, text, kind: answer.kind, code: answer.code, after: Math.round(answer.answeredAt - answer.sentAt) })
    answers.push({ ...answer, text })
    return answer
  }

  async function runTransaction (session) {
    await send(session, 'BEGIN FETCH')
    for (let count = 2; count < STATEMENTS && session.isOpen && session.state === 'T' && !phase.stopped; count += 1) {
      await send(session, `FETCH a${count}`)
      await pause(2 * PAUSE_MILLISECONDS * Math.random())
    }
    if (!session.isOpen) return
    await send(session, session.state === 'T' ? 'COMMIT' : 'ROLLBACK')
  }

  /** A session that ends is not opened again: the provider sends new connections elsewhere. */
  async function act (entry, delay) {
    await pause(delay)
    const session = await openSession(entry, database, tenant.key)
    session.entry = entry
    while (!phase.stopped && session.isOpen) {
      await runTransaction(session)
      await pause(2 * PAUSE_MILLISECONDS * Math.random())
    }
    session.close()
  }

  const acting = deployment.entries.flatMap(entry => Array.from({ length: CLIENTS }, async () => { await act(entry, STAGGER_MILLISECONDS * Math.random()) }))
  await pause(CALM_MILLISECONDS)
  const stoppedAt = new Map()
  for (const entry of deployment.entries) {
    if (hasTrouble) {
      record('SIGTERM', { name: entry.name })
      stoppedAt.set(entry, performance.now())
      entry.child.kill('SIGTERM')
    }
    await pause(GAP_MILLISECONDS)
  }
  await pause(GRACE_MILLISECONDS + 1_000)
  phase.stopped = true
  await Promise.all(acting)
  const cut = answers.filter(({ id, kind }) => kind === 'closed' && received.has(id))
  const lost = cut.flatMap(({ id, text, entry, sentAt, answeredAt }) => {
    const [sent, ended] = [sentAt, answeredAt].map(at => Math.round(at - stoppedAt.get(entry)))
    const isExcused = sent <= EXCUSED_MILLISECONDS || ended - sent >= TIMEOUT_MILLISECONDS || ended > GRACE_MILLISECONDS + 1_000
    return isExcused ? [] : [{ id, text, entry: entry.name, sent, ended }]
  })
  for (const request of lost) record('lost', request)
  return { broken: lost.length > 0, reason: `${lost.length} requests that a server had received ended without an answer${lost.map(({ sent, ended }) => `; sent ${sent} ms, ended ${ended} ms after the SIGTERM`).join('')}` }
}

await runCase(dirname(fileURLToPath(import.meta.url)), run)
