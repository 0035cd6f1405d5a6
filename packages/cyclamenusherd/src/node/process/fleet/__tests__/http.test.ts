import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createServer } from 'node:net'
import { callHttp } from '../http.js'
import type { AddressInfo, Socket } from 'node:net'

const HOST = '127.0.0.1'
const CALL = { method: 'POST', path: '/promotion', headers: {}, body: '{}' }

/** Accepts a call, and resolves with how its connection ended. */
async function serve (answer: (socket: Socket) => void, call: (port: number) => Promise<unknown>): Promise<string> {
  const server = createServer()
  const ended = new Promise<string>(resolve => {
    server.on('connection', socket => {
      socket.once('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') })
      socket.once('end', () => { resolve('end') })
      socket.on('data', () => {})
      answer(socket)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
  await call((server.address() as AddressInfo).port)
  const outcome = await ended
  server.close()
  return outcome
}

// A promotion that its leader had given up arrived after that of the next leader.
test('a call that is given up may still arrive', async () => {
  const outcome = await serve(() => {}, async port => {
    assert.equal(await callHttp({ host: HOST, port }, CALL, () => true), { kind: 'no answer' })
  })
  assert.is(outcome, 'ECONNRESET')
})

test('a call that was answered is reset', async () => {
  const outcome = await serve(socket => { socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n') }, async port => {
    assert.equal(await callHttp({ host: HOST, port }, CALL, () => true), { kind: 'answered', status: 200 })
  })
  assert.is(outcome, 'end')
})

test.run()
