import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlService } from '../../gen/cyclamenusher_pb.js'
import { StreamCallError, acceptStreamCalls, createStreamCaller } from '../streamCalls.js'
import { createPeerLink, listenForCalls } from '../transport.js'
import type { StreamCaller } from '../streamCalls.js'

const HOST = '127.0.0.1'
const SECRET = 'a secret of tests'
const LONG_MILLISECONDS = 10_000

async function connectCaller (answer: (request: string, signal: AbortSignal) => Promise<unknown>) {
  const refused: string[] = []
  const accept = acceptStreamCalls(async (request, signal) => await answer(request as string, signal), reason => { refused.push(reason) })
  const server = await listenForCalls(HOST, 0, { secret: SECRET }, router => { router.service(ControlService, {}) }, new Map([['calls', accept]]))
  const link = createPeerLink(ControlService, HOST, server.port, { secret: SECRET })
  const caller: StreamCaller<string, string> = createStreamCaller(link, 'calls')
  return {
    caller,
    refused,
    reconnect: link.reconnect,
    stop: async () => {
      link.reconnect()
      await server.close()
    }
  }
}

async function failureOf (call: Promise<unknown>): Promise<string> {
  try {
    await call
    return 'answered'
  } catch (error) {
    return error instanceof StreamCallError ? error.failure : String(error)
  }
}

test('replies find their calls in any order', async () => {
  const { caller, stop } = await connectCaller(async request => {
    await new Promise(resolve => setTimeout(resolve, request === 'slow' ? 30 : 0))
    return `${request} answered`
  })
  assert.equal(await Promise.all([caller.call('slow', LONG_MILLISECONDS), caller.call('fast', LONG_MILLISECONDS)]), ['slow answered', 'fast answered'])
  await stop()
})

test('a call without an answer times out, and the next one is answered', async () => {
  const { caller, stop } = await connectCaller(async request => request === 'silent' ? undefined : 'ok')
  assert.is(await failureOf(caller.call('silent', 20)), 'timeout')
  assert.is(await caller.call('again', LONG_MILLISECONDS), 'ok')
  await stop()
})

test('a cancelled call ends at both ends', async () => {
  let aborted = false
  const { caller, stop } = await connectCaller(async (request, signal) => {
    if (request !== 'held') return 'ok'
    await new Promise<void>(resolve => { signal.addEventListener('abort', () => { resolve() }) })
    aborted = true
    return 'late'
  })
  await caller.call('first', LONG_MILLISECONDS)
  const controller = new AbortController()
  const held = failureOf(caller.call('held', LONG_MILLISECONDS, controller.signal))
  controller.abort()
  assert.is(await held, 'cancelled')
  await caller.call('after', LONG_MILLISECONDS)
  assert.ok(aborted)
  await stop()
})

// Renewals that had been given up arrived together when a path returned, and each counted as one.
test('a call that timed out runs on at the other end', async () => {
  let aborted = false
  const { caller, stop } = await connectCaller(async (request, signal) => {
    if (request !== 'held') return 'ok'
    signal.addEventListener('abort', () => { aborted = true })
    return await new Promise(() => {})
  })
  await caller.call('first', LONG_MILLISECONDS)
  assert.is(await failureOf(caller.call('held', 20)), 'timeout')
  await caller.call('after', LONG_MILLISECONDS)
  assert.ok(aborted)
  await stop()
})

test('calls are lost with their stream, and a new stream is opened', async () => {
  const { caller, reconnect, stop } = await connectCaller(async request => request === 'held' ? await new Promise(() => {}) : 'ok')
  await caller.call('first', LONG_MILLISECONDS)
  const held = failureOf(caller.call('held', LONG_MILLISECONDS))
  reconnect()
  assert.is(await held, 'lost')
  assert.is(await caller.call('again', LONG_MILLISECONDS), 'ok')
  await stop()
})

test('a call without a connection was not sent', async () => {
  const { caller, stop } = await connectCaller(async () => 'ok')
  await stop()
  assert.is(await failureOf(caller.call('first', LONG_MILLISECONDS)), 'not sent')
})

// A request that could not be understood must not end the process.
test('a request that is not understood ends the stream only', async () => {
  const { caller, refused, stop } = await connectCaller(async request => {
    if (request === 'malformed') throw new Error('it is not understood')
    return 'ok'
  })
  assert.is(await failureOf(caller.call('malformed', LONG_MILLISECONDS)), 'lost')
  assert.equal(refused, ['it is not understood'])
  assert.is(await caller.call('again', LONG_MILLISECONDS), 'ok')
  await stop()
})

test.run()
