import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { connect as connectPlain } from 'node:net'
import { connect as connectSecure } from 'node:tls'
import fc from 'fast-check'
import { generate } from 'selfsigned'
import { buildFrame, cString, FRONTEND, readErrorResponse } from '@cyclamenusher/protocol'
import { expectErrorCode, eventually, KEY, startHarness } from './harness.js'
import type { Socket } from 'node:net'
import type { Harness } from './harness.js'

let harness: Harness

test.before(async () => { harness = await startHarness({ maximumConnections: 30, handshakeMilliseconds: 800 }) })
test.after(async () => { await harness.close() })

/** Registers a test and checks after it that the instance still serves callers and holds no connection. */
function testStillServes (name: string, body: () => Promise<void>): void {
  test(name, async () => {
    await body()
    await eventually('a caller is still connected', () => harness.callers.count() + harness.callers.pendingHandshakes() === 0)
    const caller = await harness.connect()
    assert.is((await caller.query('select 1')).rows.length, 1, 'the instance still serves')
    await caller.end()
    await eventually('a request still holds or waits for a connection', () => harness.busyRequests() === 0)
  })
}

function openSocket (): Socket {
  const socket = connectPlain(harness.callers.port, '127.0.0.1')
  socket.on('error', () => {})
  return socket
}

/** Resolves with all bytes received until the connection closes. */
async function readAll (socket: Socket): Promise<Buffer> {
  const chunks: Buffer[] = []
  socket.on('data', (chunk: Buffer) => { chunks.push(chunk) })
  await new Promise(resolve => { socket.once('close', resolve) })
  return Buffer.concat(chunks)
}

function buildStartup (...parameters: string[]): Buffer {
  const body = Buffer.concat([Buffer.from([0, 3, 0, 0]), ...parameters.map(cString), Buffer.from([0])])
  const length = Buffer.alloc(4)
  length.writeUInt32BE(body.length + 4)
  return Buffer.concat([length, body])
}

async function login (): Promise<Socket> {
  const socket = openSocket()
  socket.write(buildStartup('user', 'alfa', 'database', 'main'))
  await new Promise(resolve => { socket.once('data', resolve) })
  socket.write(buildFrame(FRONTEND.password, cString(KEY)))
  await new Promise(resolve => { socket.once('data', resolve) })
  return socket
}

function readErrorCode (answer: Buffer): string {
  const lastIndex = answer.lastIndexOf('E')
  return lastIndex < 0 ? '' : readErrorResponse({ type: 0x45, bytes: answer.subarray(answer.indexOf(0x45)) }).code
}

testStillServes('connections beyond the maximum are refused', async () => {
  const sockets = Array.from({ length: 60 }, openSocket)
  const answers = sockets.slice(30).map(readAll)
  const codes = (await Promise.all(answers)).map(readErrorCode)
  assert.ok(codes.filter(code => code === '53300').length >= 25, codes.join())
  for (const socket of sockets) socket.destroy()
})

testStillServes('a caller that does not complete the handshake in time is disconnected', async () => {
  const socket = openSocket()
  const closed = readAll(socket)
  const message = buildStartup('user', 'alfa', 'application_name', 'x'.repeat(200))
  let sent = 0
  const timer = setInterval(() => { if (sent < message.length) socket.write(message.subarray(sent, sent += 1)) }, 20)
  await closed
  clearInterval(timer)
  assert.ok(sent < message.length)
})

const MALFORMED_STARTUPS: Array<[name: string, bytes: Buffer]> = [
  ['a start-up message of invalid length', Buffer.from([0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0])],
  ['a truncated start-up message', Buffer.concat([Buffer.from([0, 0, 0, 12, 0, 3, 0, 0]), Buffer.from('user')])],
  ['protocol version 2', Buffer.from([0, 0, 0, 8, 0, 2, 0, 0])],
  ['a start-up message without a user', buildStartup('database', 'main')]
]
for (const [name, bytes] of MALFORMED_STARTUPS) {
  testStillServes(`refused: ${name}`, async () => {
    const socket = openSocket()
    socket.write(bytes)
    assert.match(readErrorCode(await readAll(socket)), /^(08P01|28000)$/)
  })
}

testStillServes('random start-up bytes never block or crash the instance', async () => {
  await fc.assert(fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), fc.boolean(), async (bytes, framed) => {
    const socket = openSocket()
    const header = Buffer.alloc(framed ? 8 : 0)
    if (framed) {
      header.writeUInt32BE(bytes.length + 8)
      header.writeUInt32BE(196608, 4)
    }
    socket.end(Buffer.concat([header, bytes]))
    await readAll(socket)
  }), { numRuns: 150, seed: 3 })
})

testStillServes('random messages never block or crash the instance', async () => {
  await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.constantFrom(...'QPBDECSHFdcfpX\0z'), fc.uint8Array({ maxLength: 40 })), { maxLength: 8 }), async messages => {
    const socket = await login()
    socket.end(Buffer.concat(messages.map(([type, body]) => buildFrame(type.charCodeAt(0), body))))
    await readAll(socket)
  }), { numRuns: 100, seed: 4 })
})

testStillServes('a message that is too long closes the connection', async () => {
  const socket = await login()
  const answer = readAll(socket)
  socket.write(Buffer.from([FRONTEND.query, 0x7f, 0xff, 0xff, 0xff]))
  assert.is(readErrorCode(await answer), '08P01')
})

testStillServes('a function call is refused and the session continues', async () => {
  const socket = await login()
  const answer = readAll(socket)
  socket.write(buildFrame(FRONTEND.functionCall, Buffer.alloc(8)))
  socket.write(buildFrame(FRONTEND.query, cString('select \'goes on\'')))
  socket.write(buildFrame(FRONTEND.terminate))
  const bytes = await answer
  assert.is(readErrorCode(bytes), '0A000')
  assert.ok(bytes.includes('goes on'))
})

testStillServes('a wrong key and an unknown account get the same answer', async () => {
  for (const client of [{ password: 'wrong' }, { user: 'nobody' }]) assert.is(await expectErrorCode(harness.connect(client)), '28P01')
  assert.is(await expectErrorCode(harness.connect({ database: 'nothing' })), '3D000')
})

testStillServes('memory stays bounded while a caller does not read its result', async () => {
  const socket = await login()
  socket.pause()
  const before = process.memoryUsage().rss
  socket.write(buildFrame(FRONTEND.query, cString('select repeat(\'x\', 1000) from generate_series(1, 200000)')))
  let maximumGrowth = 0
  for (let round = 0; round < 30; round += 1) {
    await new Promise(resolve => setTimeout(resolve, 10))
    maximumGrowth = Math.max(maximumGrowth, process.memoryUsage().rss - before)
  }
  assert.ok(maximumGrowth < 100 * 1024 * 1024, `${maximumGrowth} bytes more memory while 200 MB wait`)
  let bytes = 0
  await new Promise<void>(resolve => {
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      maximumGrowth = Math.max(maximumGrowth, process.memoryUsage().rss - before)
      if (chunk.subarray(-6).equals(Buffer.from([0x5a, 0, 0, 0, 5, 0x49]))) resolve()
    })
    socket.resume()
  })
  assert.ok(bytes > 200_000_000)
  assert.ok(maximumGrowth < 150 * 1024 * 1024, `${maximumGrowth} bytes more memory while 200 MB are streamed`)
  socket.destroy()
})

testStillServes('pipelined requests wait in the caller\'s buffers', async () => {
  const socket = await login()
  socket.on('data', () => {})
  harness.primary.server.setFaults({ frozen: true })
  const query = buildFrame(FRONTEND.query, cString(`select '${'x'.repeat(10_000)}'`))
  const before = process.memoryUsage().rss
  for (let count = 0; count < 5_000 && socket.writableLength < 20_000_000; count += 1) socket.write(query)
  await new Promise(resolve => setTimeout(resolve, 100))
  assert.ok(socket.writableLength > 10_000_000, `the instance read all but ${socket.writableLength} bytes`)
  assert.ok(process.memoryUsage().rss - before < 150 * 1024 * 1024)
  socket.destroy()
  harness.primary.server.setFaults({ frozen: false })
})

testStillServes('incomplete requests of all callers share one memory budget', async () => {
  const sockets = await Promise.all(Array.from({ length: 20 }, login))
  const answers = sockets.map(readAll)
  // Each message declares nearly 1 MB and lacks its last byte.
  const head = Buffer.from([FRONTEND.query, 0, 0x0e, 0xff, 0xff])
  const ended = new Set<number>()
  for (const [index, socket] of sockets.entries()) {
    socket.once('close', () => { ended.add(index) })
    socket.write(Buffer.concat([head, Buffer.alloc(0x0effff - 5)]))
  }
  await eventually('fewer than 8 connections were closed', () => ended.size >= 8)
  assert.ok(ended.size < 20, 'some connections stay open')
  for (const socket of sockets) socket.destroy()
  assert.ok((await Promise.all(answers)).filter(answer => readErrorCode(answer) === '54000').length >= 8)
  const caller = await harness.connect()
  assert.is((await caller.query(`select '${'x'.repeat(900_000)}'`)).rows.length, 1, 'the budget is available again')
  await caller.end()
})

test('only TLS connections of version 1.2 or later are accepted', async () => {
  const { cert, private: key } = await generate([{ name: 'commonName', value: 'localhost' }])
  const secureHarness = await startHarness({ tls: { certificate: cert, key } })
  try {
    const caller = await secureHarness.connect({ ssl: { rejectUnauthorized: false } })
    assert.is((await caller.query('select 1')).rows.length, 1)
    assert.is(await expectErrorCode(secureHarness.connect()), '08P01')
    const plainSocket = connectPlain(secureHarness.callers.port, '127.0.0.1')
    plainSocket.write(Buffer.from([0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f]))
    await new Promise(resolve => { plainSocket.once('data', resolve) })
    const oldTlsSocket = connectSecure({ socket: plainSocket, rejectUnauthorized: false, maxVersion: 'TLSv1.1', minVersion: 'TLSv1', ciphers: 'DEFAULT@SECLEVEL=0' })
    const failed = await new Promise(resolve => {
      oldTlsSocket.once('error', () => { resolve(true) })
      oldTlsSocket.once('secureConnect', () => { resolve(false) })
    })
    assert.ok(failed)
    oldTlsSocket.destroy()
  } finally {
    await secureHarness.close()
  }
})

test.run()
