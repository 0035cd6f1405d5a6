import { connect, createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetService, acceptStreamCalls, createPeerLink, listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { createWatchedCaller } from '../watchedCaller.js'
import { CREDENTIALS, HOST, waitUntil } from './fleetHarness.js'
import type { Socket } from 'node:net'
import type { MessageStream, MessageStreamHandlers } from '@cyclamenusher/protocol'
import type { WatchedCaller } from '../watchedCaller.js'

const CALL_MILLISECONDS = 100
const LONG_MILLISECONDS = 10_000

/** Connects a caller to one instance, on a path on which open connections can go silent. */
async function connectCaller (accept: (stream: MessageStream) => MessageStreamHandlers) {
  const calls = await listenForCalls(HOST, 0, CREDENTIALS, () => {}, new Map([['calls', accept]]))
  const sockets = new Set<Socket>()
  const silenced = new Set<Socket>()
  let connections = 0
  const proxy = createServer(socket => {
    connections += 1
    const target = connect(calls.port, HOST)
    for (const [from, to] of [[socket, target], [target, socket]]) {
      sockets.add(from)
      from.on('data', (chunk: Buffer) => { if (!silenced.has(from)) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => { to.destroy() })
    }
  })
  await new Promise<void>(resolve => { proxy.listen(0, HOST, resolve) })
  const address = proxy.address()
  const link = createPeerLink(FleetService, HOST, typeof address === 'object' && address !== null ? address.port : 0, CREDENTIALS)
  const caller: WatchedCaller<string, string> = createWatchedCaller({ link, name: 'calls', clock: systemClock, callers: () => 1, onAnswering: () => {}, onReplaced: () => {} })
  const answers = async (): Promise<boolean> => {
    try {
      return await caller.call('question', CALL_MILLISECONDS) === 'answer'
    } catch {
      return false
    }
  }
  await waitUntil('an answer', answers)
  return {
    caller,
    answers,
    connections: () => connections,
    silence: () => { for (const socket of sockets) silenced.add(socket) },
    stop: async () => {
      caller.close()
      link.reconnect()
      proxy.close()
      for (const socket of sockets) socket.destroy()
      await calls.close()
    }
  }
}

// Loans were asked on a silent connection to a lender until a kernel gave it up.
test('a silent stream is used on while a new connection would be answered', async () => {
  const { answers, connections, silence, stop } = await connectCaller(acceptStreamCalls(async () => 'answer', () => {}))
  silence()
  await waitUntil('an answer on another connection', answers)
  assert.is(connections(), 2)
  await stop()
})

test('an instance of the build before is pinged to death', async () => {
  let requests = 0
  // It ends a stream on which it doesn't understand a request.
  const { caller, answers, connections, stop } = await connectCaller(stream => ({
    message: body => {
      const message = JSON.parse(body.toString()) as { number: number, request?: unknown, cancel?: true }
      if (message.cancel === true) return
      if (message.request === undefined) throw new Error('not understood')
      requests += 1
      if (requests !== 2) stream.send(Buffer.from(JSON.stringify({ number: message.number, reply: 'answer' })))
    },
    closed: () => {}
  }))
  await caller.call('unanswered', 1_500).catch(() => {})
  caller.search()
  assert.ok(await answers())
  assert.equal([caller.isWatched(), caller.isAnswering(), connections()], [false, true, 1])
  await stop()
})

test('a call that was lost with a silent stream runs later', async () => {
  const received: unknown[] = []
  const { caller, silence, stop } = await connectCaller(acceptStreamCalls(async request => {
    received.push(request)
    return 'answer'
  }, () => {}))
  silence()
  await caller.call('before', LONG_MILLISECONDS).catch(() => {})
  assert.is(await caller.call('after', LONG_MILLISECONDS), 'answer')
  assert.equal(received.slice(-1), ['after'])
  assert.not.ok(received.includes('before'))
  await stop()
})

test.run()
