import { once } from 'node:events'
import { connect, createServer } from 'node:http2'
import { connect as connectTcp } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import * as fastCheck from 'fast-check'
import { ControlService } from '../../gen/cyclamenusher_pb.js'
import { MessageLengthError, createMessageReader } from '../messageStream.js'
import { createPeerLink, listenForCalls } from '../transport.js'
import type { ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import type { CallServer } from '../transport.js'

const HOST = '127.0.0.1'
const SECRET = 'a secret of tests'

function frame (body: string): Buffer {
  const length = Buffer.alloc(4)
  length.writeUInt32BE(Buffer.byteLength(body))
  return Buffer.concat([length, Buffer.from(body)])
}

/** Serves a stream that answers each message with itself, and throws at the message "defect". */
async function listen (closed: string[] = []): Promise<CallServer> {
  return await listenForCalls(HOST, 0, { secret: SECRET }, router => {
    router.service(ControlService, { status: () => ({ instance: 'control-1' }) })
  }, new Map([['echo', stream => ({
    message: body => {
      if (body.toString() === 'defect') throw new Error('the message is not understood')
      stream.send(body)
    },
    closed: reason => { closed.push(reason) }
  })]]))
}

/** Sends messages on a new stream, and collects what comes back until `count` messages have come or the stream ends. */
async function exchange (server: CallServer, secret: string, messages: string[], name = 'echo', count = messages.length): Promise<{ received: string[], reason?: string }> {
  const link = createPeerLink(ControlService, HOST, server.port, { secret })
  const received: string[] = []
  const reason = await new Promise<string | undefined>(resolve => {
    void link.openStream(name, () => ({
      message: body => {
        received.push(body.toString())
        if (received.length === count) resolve(undefined)
      },
      closed: resolve
    })).then(stream => { for (const message of messages) stream.send(Buffer.from(message)) })
  })
  link.reconnect()
  return { received, reason }
}

test('messages are read in order, however the bytes are split', () => {
  fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.string()), fastCheck.array(fastCheck.nat(40)), (bodies, cuts) => {
    const bytes = Buffer.concat(bodies.map(frame))
    const read = createMessageReader()
    const received: string[] = []
    let offset = 0
    for (const cut of [...cuts, bytes.length]) {
      received.push(...read(bytes.subarray(offset, offset + cut)).map(String))
      offset = Math.min(bytes.length, offset + cut)
    }
    assert.equal(received, bodies)
  }))
})

test('a message that is too long is refused before its bytes have come', () => {
  const read = createMessageReader(10)
  assert.throws(() => read(frame('eleven chars').subarray(0, 4)), (error: unknown) => error instanceof MessageLengthError)
})

test('a stream carries messages both ways', async () => {
  const server = await listen()
  assert.equal((await exchange(server, SECRET, ['one', '', 'three'])).received, ['one', '', 'three'])
  await server.close()
})

test('a stream with another secret is refused', async () => {
  const server = await listen()
  assert.match((await exchange(server, 'another secret', ['one'])).reason ?? '', /refused with status 401/)
  await server.close()
})

test('a stream of an unknown name is refused', async () => {
  const server = await listen()
  assert.match((await exchange(server, SECRET, ['one'], 'constructor')).reason ?? '', /refused with status 404/)
  await server.close()
})

// An error in the handler of one message must not end the process or other streams.
test('a message that its handler does not understand ends the process', async () => {
  const closed: string[] = []
  const server = await listen(closed)
  assert.is((await exchange(server, SECRET, ['one', 'defect', 'three'], 'echo', 3)).received.length, 1)
  assert.equal(closed, ['the message is not understood'])
  assert.equal((await exchange(server, SECRET, ['one'])).received, ['one'])
  await server.close()
})

// A process of the build before opens its streams on HTTP/2 connections.
test('a stream on an HTTP/2 connection is refused', async () => {
  const server = await listen()
  const session = connect(`http://${HOST}:${server.port}`)
  const stream = session.request({ ':method': 'POST', ':path': '/cyclamenusher.streams/echo', 'x-cyclamenusher-secret': SECRET })
  stream.write(frame('one'))
  const [answer] = await once(stream, 'data') as [Buffer]
  assert.equal(answer, frame('one'))
  session.destroy()
  await server.close()
})

// A process of the build before knows HTTP/2 connections only.
test('streams to a process that knows HTTP/2 only are given up', async () => {
  const sessions: ServerHttp2Session[] = []
  const server = createServer((request, response) => {
    response.stream.respond({ ':status': request.headers['x-cyclamenusher-secret'] === SECRET ? 200 : 401 })
    request.pipe(response.stream)
  })
  server.on('session', session => {
    session.on('error', () => {})
    sessions.push(session)
  })
  server.on('sessionError', () => {})
  await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
  const link = createPeerLink(ControlService, HOST, (server.address() as AddressInfo).port, { secret: SECRET })
  const lost = await new Promise<string>(resolve => { void link.openStream('echo', () => ({ message: () => {}, closed: resolve })) })
  assert.is(lost, 'the other side does not know this kind of stream')
  const received = await new Promise<string>(resolve => {
    void link.openStream('echo', () => ({ message: body => { resolve(body.toString()) }, closed: resolve })).then(stream => { stream.send(Buffer.from('one')) })
  })
  assert.is(received, 'one')
  link.reconnect()
  for (const session of sessions) session.destroy()
  server.close()
})

// A stranger that sends its first bytes one by one, or none, must not hold up others.
test('a stream whose beginning comes in pieces is not accepted', async () => {
  const server = await listen()
  const socket = connectTcp(server.port, HOST)
  const received: Buffer[] = []
  socket.on('data', chunk => { received.push(chunk) })
  const bytes = Buffer.concat([Buffer.from('CYCLAMENUSHER STREAM\r\n'), frame(JSON.stringify({ stream: 'echo', secret: SECRET })), frame('one'), frame('two')])
  for (const byte of bytes) {
    socket.write(Buffer.from([byte]))
    await new Promise(resolve => setImmediate(resolve))
  }
  while (Buffer.concat(received).length < 19 + 14) await new Promise(resolve => setImmediate(resolve))
  assert.is(Buffer.concat(received).toString('latin1'), `CYCLAMENUSHER 200\r\n${frame('one').toString('latin1')}${frame('two').toString('latin1')}`)
  socket.destroy()
  await server.close()
})

for (const [description, bytes] of Object.entries({
  'is too long': Buffer.concat([Buffer.from('CYCLAMENUSHER STREAM\r\n'), Buffer.from('ffffffff', 'hex')]),
  'is no JSON': Buffer.concat([Buffer.from('CYCLAMENUSHER STREAM\r\n'), frame('{')]),
  'names no stream': Buffer.concat([Buffer.from('CYCLAMENUSHER STREAM\r\n'), frame('null')]),
  'is cut off': Buffer.from('CYCLAMENUSHER STR')
})) {
  test(`a first message that ${description} ends the process`, async () => {
    const server = await listen()
    const socket = connectTcp(server.port, HOST)
    socket.on('error', () => {})
    if (description === 'is cut off') socket.end(bytes)
    else socket.write(bytes)
    await once(socket, 'close')
    assert.equal((await exchange(server, SECRET, ['one'])).received, ['one'])
    await server.close()
  })
}

// The length of a frame that a stranger or a defect sent was trusted.
test('a frame of an impossible length is collected', async () => {
  const closed: string[] = []
  const server = await listen(closed)
  const session = connect(`http://${HOST}:${server.port}`)
  const stream = session.request({ ':method': 'POST', ':path': '/cyclamenusher.streams/echo', 'x-cyclamenusher-secret': SECRET })
  stream.on('error', () => {})
  stream.write(Buffer.from('ffffffff00', 'hex'))
  await new Promise<void>(resolve => { stream.once('close', resolve) })
  session.destroy()
  assert.match(closed.join(), /a message of 4294967295 bytes is announced/)
  await server.close()
})

test.run()
