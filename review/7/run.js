/**
 * A key is taken away while a client that uses it has a transaction open. Looks whether
 * servers run statements that the client sends later than `ConfigApplyMs` after the
 * acknowledgement.
 */

import { dirname } from 'node:path'
import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { createStatementId, openSession } from '../harness-2/client.js'
import { startDeployment } from '../harness-2/deployment.js'
import { pause } from '../harness-2/network.js'
import { runCase } from '../harness-2/record.js'

const CONFIG_APPLY_MILLISECONDS = 3_000
/** Longer than the stability window after the start. */
const CALM_MILLISECONDS = 6_000
/** Statements between BEGIN and COMMIT, and the pause before each: a transaction has 12 statements at most, and may rest for `TransactionIdleMs`. */
const STATEMENTS = 9
const PAUSE_MILLISECONDS = 1_200

const draw = prefix => `${prefix}${randomBytes(4).toString('hex')}`

async function run ({ record, onEnd, hasTrouble }) {
  const service = draw('s')
  const database = draw('d')
  const tenant = draw('t')
  const [withdrawn, kept] = [draw('k'), draw('k')]
  const deployment = await startDeployment({ zones: ['z-a', 'z-b', 'z-c'].map(name => ({ name, controls: 1, entries: 1 })), services: [service], record })
  onEnd(deployment.stop)
  const arrivals = new Map()
  const onRun = statement => {
    if (statement.id === '-') return
    arrivals.set(statement.id, statement)
    record('run', { id: statement.id, verb: statement.verb, account: statement.account, server: statement.server })
  }
  for (const [index, zone] of ['z-a', 'z-b', 'z-c'].entries()) await deployment.addServer({ id: draw('i-'), host: deployment.nextAddress(), zone, role: index === 0 ? 'primary' : 'replica', service, onRun })
  const buildManifest = (version, keys) => ({
    Version: version,
    Routes: [{ Name: 'r-orders', DatabaseName: database, PathPrefix: '/', Kind: 'primary', TimeoutMs: 800, TargetLatencyMs: 150, Priority: 1, Service: service, MaxAttempts: 2, Public: false }],
    Services: [{ Name: service, HealthCheckPath: '/health', MaxConnections: 46, Protocol: 'h1', Tls: false, SyncReplicas: 0 }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000, TransactionIdleMs: 3_000 },
    Tenants: [{ Name: tenant, ApiKeys: keys, Priority: 1, RatePerS: 85, Burst: 85 }]
  })
  await deployment.replace(buildManifest(3, [withdrawn, kept]))
  if (!await deployment.awaitReady()) throw new Error('the deployment did not become ready')
  await pause(CALM_MILLISECONDS)
  const [entry] = deployment.entries
  const session = await openSession(entry, database, withdrawn)
  const sent = new Map()

  async function send (text) {
    const id = createStatementId()
    sent.set(id, { text, at: performance.now() })
    record('sent', { id, text })
    const answer = await session.run(text, id)
    record('answered', { id, text, kind: answer.kind, code: answer.code, digest: answer.digest, state: session.state })
    return answer
  }

  await send('BEGIN')
  await send(`STORE order ${draw('v')}`)
  if (hasTrouble) await deployment.replace(buildManifest(7, [kept]))
  const acknowledgedAt = performance.now()
  record('acknowledged', {})
  for (let count = 0; count < STATEMENTS && session.isOpen && session.state === 'T'; count += 1) {
    await pause(PAUSE_MILLISECONDS)
    await send(count % 3 === 2 ? `STORE order ${draw('v')}` : 'FETCH order')
  }
  if (session.isOpen) await send('COMMIT')
  session.close()
  const refused = await openSession(entry, database, withdrawn).then(() => 'accepted', error => error.message)
  record('a new session with the key', { refused })
  const late = [...sent].filter(([id, { at }]) => hasTrouble && at > acknowledgedAt + CONFIG_APPLY_MILLISECONDS && arrivals.has(id))
  for (const [id, { text, at }] of late) record('run with the dropped key', { id, text, after: Math.round(at - acknowledgedAt) })
  if (!hasTrouble && ![...sent].every(([id, { text }]) => text === 'BEGIN' || arrivals.has(id))) throw new Error('the transaction did not run without the trouble')
  return { broken: late.length > 0, reason: `${late.length} statements ran with the dropped key (${late.map(([, { text, at }]) => `${text.split(' ')[0]} after ${Math.round(at - acknowledgedAt)} ms`).join(', ')}); a new session: ${refused}` }
}

await runCase(dirname(fileURLToPath(import.meta.url)), run)
