import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_TOLERANCE } from '@cyclamenusher/decisions'
import { createFleetControl } from '../fleetControl.js'
import { RENEWAL_STREAM } from '../fleetStreams.js'
import { waitUntil } from './fleetHarness.js'
import type { Declaration } from '@cyclamenusher/decisions'
import type { MessageStreamHandlers } from '@cyclamenusher/protocol'

const REQUEST = { name: 'entry-1', incarnation: '1', failureDomain: 'a', knows: { term: 0, change: 0 }, version: -1, demand: {}, sightings: {}, busy: [], holdMilliseconds: 0 }

// After a loss of all power 195 instances asked 25 times a second each, while the election needed the processor.
test('a renewal is refused at once while no leader is known', async () => {
  let now = 0
  const control = createFleetControl({
    name: 'control-1',
    administration: { askStatus: async () => { throw new Error('no server') }, stepDown: async () => { throw new Error('no server') }, close: () => {} },
    promotion: { promote: async () => 'not sent' },
    announceIntervalMilliseconds: 60_000,
    drainMilliseconds: 7_000,
    rateTolerance: NO_TOLERANCE,
    decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration,
    credentials: { secret: 'a secret of the tests' },
    clock: { now: () => now },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  })
  const replies: string[] = []
  const accept = control.streams.get(RENEWAL_STREAM)
  const stream = accept?.({ send: body => { replies.push(Buffer.from(body).toString()) }, close: () => {}, isOpen: () => true }) as MessageStreamHandlers
  stream.message(Buffer.from(JSON.stringify({ number: 1, request: REQUEST })))
  await new Promise(resolve => setTimeout(resolve, 50))
  assert.equal(replies, [])
  now = 1_000
  await waitUntil('a reply', () => replies.length === 1)
  assert.equal(JSON.parse(replies[0]), { number: 1, reply: { kind: 'not leader' } })
  control.close()
})

test.run()
