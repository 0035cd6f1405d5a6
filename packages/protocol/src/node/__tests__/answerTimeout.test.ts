import { once } from 'node:events'
import { connect } from 'node:net'
import { Worker } from 'node:worker_threads'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startAnswerTimeout } from '../answerTimeout.js'

/** A server in a thread of its own that answers each message, and then sets the shared flag. */
const SERVER = `
const { createServer } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const server = createServer(socket => {
  socket.on('error', () => {})
  socket.on('data', () => {
    socket.write('answer', () => {
      Atomics.store(workerData, 0, 1)
      Atomics.notify(workerData, 0)
    })
  })
})
server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port) })
`
const TIMEOUT_MILLISECONDS = 10

/** Sends a message, and does nothing until its answer has been sent and the timeout has passed. */
async function raceAnswer (startTimeout: typeof startAnswerTimeout): Promise<string> {
  const answered = new Int32Array(new SharedArrayBuffer(4))
  const worker = new Worker(SERVER, { eval: true, workerData: answered })
  const [port] = await once(worker, 'message') as [number]
  const socket = connect(port, '127.0.0.1')
  await once(socket, 'connect')
  const first = await new Promise<string>(resolve => {
    const startedAt = performance.now()
    socket.once('data', chunk => { resolve(chunk.toString()) })
    socket.write('question', () => {
      startTimeout(TIMEOUT_MILLISECONDS, () => { resolve('timeout') })
      Atomics.wait(answered, 0, 0)
      while (performance.now() - startedAt < 2 * TIMEOUT_MILLISECONDS) Atomics.wait(answered, 0, 1, 1)
    })
  })
  socket.destroy()
  await worker.terminate()
  return first
}

// After a stall timers ran first, and gave up servers and instances whose answers had come.
test('an answer that came while the process stood still is given up', async () => {
  assert.is(await raceAnswer(startAnswerTimeout), 'answer')
})

test('a cancelled timeout expires', async () => {
  let expired = false
  const cancel = startAnswerTimeout(0, () => { expired = true })
  cancel()
  const cancelInBetween = startAnswerTimeout(0, () => { expired = true })
  setTimeout(() => { cancelInBetween() }, 0)
  await new Promise(resolve => setTimeout(resolve, 5))
  assert.not.ok(expired)
})

// Node.js fires a timer at once whose delay it can't hold.
test('a timeout of a month expires at once', async () => {
  let expired = false
  const cancel = startAnswerTimeout(2_592_000_000, () => { expired = true })
  await new Promise(resolve => setTimeout(resolve, 20))
  cancel()
  assert.not.ok(expired)
})

test.run()
