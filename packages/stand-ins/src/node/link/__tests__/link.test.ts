import { connect, createServer } from 'node:net'
import { once } from 'node:events'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLink } from '../link.js'
import type { Socket } from 'node:net'
import type { Link, LinkOptions } from '../link.js'

const HOST = '127.0.0.1'
const HOLD_MILLISECONDS = 50

async function withEcho (run: (link: Link, dial: () => Promise<Socket>) => Promise<void>, options: Pick<LinkOptions, 'retransmits'> = {}): Promise<void> {
  const echo = createServer(socket => {
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await new Promise<void>(resolve => { echo.listen(0, HOST, resolve) })
  const { port } = echo.address() as { port: number }
  const link = await createLink({ listen: { host: HOST, port: 0 }, target: { host: HOST, port }, ...options })
  const sockets: Socket[] = []
  try {
    await run(link, async () => {
      const socket = connect(link.port, HOST)
      sockets.push(socket)
      await once(socket, 'connect')
      return socket
    })
  } finally {
    for (const socket of sockets) socket.destroy()
    await link.close()
    echo.close()
  }
}

async function exchange (socket: Socket, text: string): Promise<string> {
  const answer = once(socket, 'data')
  socket.write(text)
  const [chunk] = await answer
  return String(chunk)
}

test('a link passes bytes in both directions', async () => {
  await withEcho(async (_link, dial) => {
    assert.is(await exchange(await dial(), 'hello'), 'hello')
  })
})

test('held bytes arrive once the link passes again', async () => {
  await withEcho(async (link, dial) => {
    const socket = await dial()
    await exchange(socket, 'before')
    link.setState('held', ['back'])
    let received = ''
    socket.on('data', chunk => { received += String(chunk) })
    socket.write('late')
    // Long enough for the echo to arrive if it were not held.
    await new Promise(resolve => setTimeout(resolve, HOLD_MILLISECONDS))
    assert.is(received, '')
    link.setState('passing')
    while (received === '') await once(socket, 'data')
    assert.is(received, 'late')
  })
})

test('a lost connection delivers nothing while new ones work', async () => {
  await withEcho(async (link, dial) => {
    const lost = await dial()
    await exchange(lost, 'before')
    link.loseOpenConnections()
    let received = ''
    lost.on('data', chunk => { received += String(chunk) })
    lost.write('gone')
    link.setState('passing')
    const newSocket = await dial()
    for (let round = 0; round < 5; round += 1) assert.is(await exchange(newSocket, 'new'), 'new')
    assert.is(received, '')
    assert.not.ok(lost.destroyed)
  })
})

test('a refusing link closes new connections', async () => {
  await withEcho(async (link, dial) => {
    link.setRefusing(true)
    const socket = await dial()
    await once(socket.resume(), 'close')
    assert.ok(socket.destroyed)
  })
})

test('a kernel repeats held bytes only after its first wait', async () => {
  await withEcho(async (link, dial) => {
    const socket = await dial()
    await exchange(socket, 'before')
    link.setState('held')
    const heldSince = performance.now()
    const answer = exchange(socket, 'late')
    await new Promise(resolve => setTimeout(resolve, HOLD_MILLISECONDS))
    link.setState('passing')
    assert.is(await answer, 'late')
    assert.ok(performance.now() - heldSince >= 199)
    assert.is(await exchange(socket, 'after'), 'after')
  }, { retransmits: true })
})

test('a kernel repeats the request for a connection only after a second', async () => {
  await withEcho(async (link, dial) => {
    link.setState('held')
    const dialledAt = performance.now()
    const answer = exchange(await dial(), 'late')
    await new Promise(resolve => setTimeout(resolve, HOLD_MILLISECONDS))
    link.setState('passing')
    assert.is(await answer, 'late')
    assert.ok(performance.now() - dialledAt >= 999)
  }, { retransmits: true })
})

test.run()
