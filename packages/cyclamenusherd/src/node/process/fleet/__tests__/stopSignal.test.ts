import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { stopOnTermination } from '../stopSignal.js'

/** Lets what has been settled take effect. */
async function settle (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

test.after.each(() => { process.removeAllListeners('SIGTERM') })

// The handler was removed with the first signal, so that the second one ended the process at once.
test('a second SIGTERM ends the process before the first one has stopped the instance', async () => {
  const exits: number[] = []
  let stops = 0
  let finish = (): void => {}
  const stop = async (): Promise<void> => {
    stops += 1
    await new Promise<void>(resolve => { finish = resolve })
  }
  stopOnTermination(Promise.resolve({ stop }), code => { exits.push(code) })
  process.emit('SIGTERM')
  await settle()
  assert.is(process.listenerCount('SIGTERM'), 1)
  process.emit('SIGTERM')
  await settle()
  assert.equal({ stops, exits }, { stops: 1, exits: [] })
  finish()
  await settle()
  assert.equal(exits, [0])
})

test('a SIGTERM before the instance has started is lost, or stops it halfway', async () => {
  const exits: number[] = []
  let start = (_instance: { stop: () => Promise<void> }): void => {}
  stopOnTermination(new Promise(resolve => { start = resolve }), code => { exits.push(code) })
  process.emit('SIGTERM')
  await settle()
  assert.equal(exits, [])
  start({ stop: async () => { throw new Error('it does not stop') } })
  await settle()
  assert.equal(exits, [1])
})

test.run()
