import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { generate } from 'selfsigned'
import { ControlService } from '../../gen/cyclamenusher_pb.js'
import { createPeerClient, createPeerLink, listenForCalls } from '../transport.js'
import type { CallServer, PeerCredentials, PeerTls } from '../transport.js'

const SECRET = 'a secret of tests'

async function createAuthority (): Promise<{ key: string, cert: string }> {
  const generated = await generate([{ name: 'commonName', value: 'authority' }], { keySize: 2048, algorithm: 'sha256', extensions: [{ name: 'basicConstraints', cA: true }] })
  return { key: generated.private, cert: generated.cert }
}

async function createPeerTls (authority: { key: string, cert: string }): Promise<PeerTls> {
  const generated = await generate([{ name: 'commonName', value: 'instance' }], { keySize: 2048, algorithm: 'sha256', ca: authority })
  return { certificate: generated.cert, key: generated.private, authority: authority.cert }
}

async function listen (credentials: PeerCredentials): Promise<CallServer> {
  return await listenForCalls('127.0.0.1', 0, credentials, router => {
    router.service(ControlService, { status: () => ({ instance: 'control-1' }) })
  })
}

/** Returns the instance's name, or the message of the refusal. */
async function callStatus (server: CallServer, credentials: PeerCredentials): Promise<string> {
  const client = createPeerClient(ControlService, '127.0.0.1', server.port, credentials)
  try {
    return (await client.status({}, { timeoutMs: 3_000 })).instance
  } catch (error) {
    return `refused: ${(error as Error).message}`
  }
}

test('a call with the shared secret is answered', async () => {
  const server = await listen({ secret: SECRET })
  assert.is(await callStatus(server, { secret: SECRET }), 'control-1')
  await server.close()
})

test('a call with another secret is refused', async () => {
  const server = await listen({ secret: SECRET })
  assert.match(await callStatus(server, { secret: 'another secret' }), /refused: .*the shared secret is wrong/)
  await server.close()
})

test('a call over mutual TLS is answered', async () => {
  const authority = await createAuthority()
  const server = await listen({ secret: SECRET, tls: await createPeerTls(authority) })
  assert.is(await callStatus(server, { secret: SECRET, tls: await createPeerTls(authority) }), 'control-1')
  await server.close()
})

test('a certificate of another authority is refused on either side', async () => {
  const authority = await createAuthority()
  const otherAuthority = await createAuthority()
  const server = await listen({ secret: SECRET, tls: await createPeerTls(authority) })
  const otherTls = await createPeerTls(otherAuthority)
  assert.match(await callStatus(server, { secret: SECRET, tls: { ...otherTls, authority: authority.cert } }), /^refused/)
  assert.match(await callStatus(server, { secret: SECRET, tls: { ...await createPeerTls(authority), authority: otherAuthority.cert } }), /^refused/)
  assert.match(await callStatus(server, { secret: SECRET }), /^refused/)
  await server.close()
})

async function exchangeOverTls (server: CallServer, tls: PeerTls): Promise<string> {
  const link = createPeerLink(ControlService, '127.0.0.1', server.port, { secret: SECRET, tls })
  const answer = await new Promise<string>(resolve => {
    link.openStream('echo', () => ({ message: body => { resolve(body.toString()) }, closed: resolve })).then(stream => { stream.send(Buffer.from('one')) }, (error: Error) => { resolve(`refused: ${error.name}`) })
  })
  link.reconnect()
  return answer
}

test('a stream over mutual TLS is carried', async () => {
  const authority = await createAuthority()
  const server = await listenForCalls('127.0.0.1', 0, { secret: SECRET, tls: await createPeerTls(authority) }, () => {}, new Map([['echo', stream => ({ message: body => { stream.send(body) }, closed: () => {} })]]))
  assert.is(await exchangeOverTls(server, await createPeerTls(authority)), 'one')
  const otherTls = await createPeerTls(await createAuthority())
  assert.is.not(await exchangeOverTls(server, { ...otherTls, authority: authority.cert }), 'one')
  await server.close()
})

// Node.js loads its fetch library, 20 ms of processor, with the first ConnectError. All instances paid for it while they looked for control after a loss of power.
test('a stream to an instance that is not there loads the fetch library', async () => {
  const child = spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', `
    import { ControlService, createPeerLink } from '@cyclamenusher/protocol'
    const link = createPeerLink(ControlService, '127.0.0.1', 1, { secret: 'a secret of tests' })
    const reason = await link.openStream('renewals', () => ({ message: () => {}, closed: () => {} })).catch(error => error.name)
    console.log(reason, process.moduleLoadList.some(name => name.includes('undici')))
  `], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [output] = await once(child.stdout, 'data') as [Buffer]
  assert.is(output.toString().trim(), 'ConnectionError false')
})

function frameOfHttp2 (type: number, flags: number, stream: number, body: Buffer): Buffer {
  const head = Buffer.alloc(9)
  head.writeUIntBE(body.length, 0, 3)
  head.writeUInt8(type, 3)
  head.writeUInt8(flags, 4)
  head.writeUInt32BE(stream, 5)
  return Buffer.concat([head, body])
}

/** Header fields as literals that are not indexed. */
function encodeFields (fields: ReadonlyArray<readonly [string, string]>): Buffer {
  return Buffer.concat(fields.flatMap(([name, value]) => [Buffer.from([0, name.length]), Buffer.from(name), Buffer.from([value.length]), Buffer.from(value)]))
}

const CALL_FIELDS = [[':method', 'POST'], [':scheme', 'http'], [':path', '/service/Method'], [':authority', 'host']] as const
const STREAM_FIELDS = [[':method', 'POST'], [':scheme', 'http'], [':path', '/cyclamenusher.streams/echo'], [':authority', 'host']] as const
const RESET_REQUESTS = {
  call: CALL_FIELDS,
  stream: STREAM_FIELDS,
  'stream with the secret': [...STREAM_FIELDS, ['x-cyclamenusher-secret', SECRET]],
  'call that expects 100-continue': [...CALL_FIELDS, ['expect', '100-continue']],
  'call that expects anything else': [...CALL_FIELDS, ['expect', 'other']],
  tunnel: [[':method', 'CONNECT'], [':authority', 'host']]
} as const

// To respond to a stream that is closed throws, outside of any call.
for (const [name, fields] of Object.entries(RESET_REQUESTS)) {
  test(`a ${name} that is reset in the packet that opens it ends the process`, async () => {
    const server = await listenForCalls('127.0.0.1', 0, { secret: SECRET }, () => {}, new Map([['echo', () => ({ message: () => {}, closed: () => {} })]]))
    const errors: Error[] = []
    const collect = (error: Error): void => { errors.push(error) }
    process.on('uncaughtException', collect)
    const socket = connect(server.port, '127.0.0.1')
    socket.on('error', () => {})
    socket.write(Buffer.concat([
      Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
      frameOfHttp2(4, 0, 0, Buffer.alloc(0)),
      frameOfHttp2(1, 4, 1, encodeFields(fields)),
      frameOfHttp2(3, 0, 1, Buffer.from([0, 0, 0, 8])),
      frameOfHttp2(6, 0, 0, Buffer.alloc(8))
    ]))
    // The answer to the ping comes after the streams of the packet were handled.
    await new Promise<void>(resolve => {
      let received = Buffer.alloc(0)
      socket.on('data', (chunk: Buffer) => {
        received = Buffer.concat([received, chunk])
        if (received.includes(Buffer.from([0, 0, 8, 6, 1]))) resolve()
      })
      socket.on('close', () => { resolve() })
    })
    await new Promise(resolve => { setTimeout(resolve, 100) })
    process.off('uncaughtException', collect)
    socket.destroy()
    await server.close()
    assert.equal(errors, [])
  })
}

test.run()
