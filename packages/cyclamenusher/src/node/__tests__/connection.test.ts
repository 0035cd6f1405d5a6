import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { generate } from 'selfsigned'
import { ControlService, FleetService, listenForCalls } from '@cyclamenusher/protocol'
import { createConnection } from '../connection.js'
import { CommandError } from '../errors.js'

const SECRET = 'a secret of tests'
const folder = mkdtempSync(join(tmpdir(), 'cyclamenusher-connection-'))

function write (name: string, text: string): string {
  const file = join(folder, name)
  writeFileSync(file, text)
  return file
}

test('instances with mutual TLS are reachable only with certificates', async () => {
  const authority = await generate([{ name: 'commonName', value: 'authority' }], { keySize: 2048, algorithm: 'sha256', extensions: [{ name: 'basicConstraints', cA: true }] })
  const generated = await generate([{ name: 'commonName', value: 'instance' }], { keySize: 2048, algorithm: 'sha256', ca: { key: authority.private, cert: authority.cert } })
  const tls = { certificate: generated.cert, key: generated.private, authority: authority.cert }
  const server = await listenForCalls('127.0.0.1', 0, { secret: SECRET, tls }, router => {
    router.service(ControlService, { status: () => ({ instance: 'control-1' }) })
  })
  const flags = { control: `127.0.0.1:${server.port}`, secretFile: write('secret', SECRET) }
  const files = { tlsCertificate: write('certificate.pem', tls.certificate), tlsKey: write('key.pem', tls.key), tlsAuthority: write('authority.pem', tls.authority) }
  const [status] = await createConnection({ ...flags, ...files }).fetchStatuses()
  assert.is(status.instance, 'control-1')
  let refused = false
  await createConnection(flags).fetchStatuses().catch(() => { refused = true })
  assert.ok(refused)
  await server.close()
})

// An instance that does not lead can't confirm an order.
test('an order for a failure domain ends at an instance that does not lead', async () => {
  const reply = (value: unknown) => ({ body: new Uint8Array(Buffer.from(JSON.stringify(value))) })
  const orders: unknown[] = []
  const servers = await Promise.all([false, true].map(async leads => await listenForCalls('127.0.0.1', 0, { secret: SECRET }, router => {
    router.service(FleetService, {
      drain: ({ body }) => {
        orders.push(JSON.parse(Buffer.from(body).toString('utf8')))
        return reply(leads ? 'held' : 'unknown')
      },
      domains: () => reply(leads ? [{ name: 'a', drained: true }] : null)
    })
  })))
  const connection = createConnection({ control: servers.map(({ port }) => `127.0.0.1:${port}`).join(','), secretFile: write('secret', SECRET) })
  assert.ok(await connection.orderDomain('a', true))
  assert.equal(orders, [{ failureDomain: 'a', drained: true }, { failureDomain: 'a', drained: true }])
  assert.equal(await connection.listDomains(), [{ name: 'a', drained: true }])
  for (const server of servers) await server.close()
})

test('an instance that does not answer, or is of an older build, is reported without its address', async () => {
  const received: unknown[] = []
  const serving = await listenForCalls('127.0.0.1', 0, { secret: SECRET }, router => {
    router.service(FleetService, {
      where: ({ body }) => {
        received.push(JSON.parse(Buffer.from(body).toString('utf8')))
        return { body: new Uint8Array(Buffer.from(JSON.stringify({ kind: 'refused', reason: 'no declaration', explanation: 'none' }))) }
      }
    })
  })
  const older = await listenForCalls('127.0.0.1', 0, { secret: SECRET }, router => { router.service(FleetService, {}) })
  const secretFile = write('secret', SECRET)
  const request = { database: 'd', kind: 'read' as const }
  const ask = async (port: number) => await createConnection({ entry: `127.0.0.1:${port}`, secretFile }).where(request).catch((error: CommandError) => error)
  assert.equal(await ask(serving.port), { kind: 'refused', reason: 'no declaration', explanation: 'none' })
  assert.equal(received, [request])
  const unsupported = await ask(older.port) as CommandError
  assert.is(unsupported.kind, 'refused')
  assert.match(unsupported.message, new RegExp(`127\\.0\\.0\\.1:${older.port} does not explain`))
  await serving.close()
  await older.close()
  const unreachable = await ask(older.port) as CommandError
  assert.is(unreachable.kind, 'unreachable')
  assert.match(unreachable.message, new RegExp(`127\\.0\\.0\\.1:${older.port} did not answer`))
})

test('one TLS file without the others is wrong usage', () => {
  assert.throws(
    () => createConnection({ secretFile: write('secret', SECRET), tlsKey: write('key.pem', 'x') }),
    (error: Error) => error instanceof CommandError && error.kind === 'usage' && /all of --tls-certificate/.test(error.message)
  )
})

test.after(() => { rmSync(folder, { recursive: true, force: true }) })
test.run()
