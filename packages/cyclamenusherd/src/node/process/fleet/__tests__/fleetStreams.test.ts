import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LOAN_STREAM, RENEWAL_STREAM, createFleetStreams } from '../fleetStreams.js'
import { waitUntil } from './fleetHarness.js'
import type { MessageStreamHandlers } from '@cyclamenusher/protocol'

const QUIET_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const RENEWAL = { name: 'entry-1', incarnation: '1', failureDomain: 'a', knows: { term: 0, change: 0 }, version: -1, demand: {}, sightings: {}, busy: [], holdMilliseconds: 0 }

/** Sends one request on a stream, and returns why the stream was closed; undefined if it was answered. */
async function send (name: string, request: unknown): Promise<string | undefined> {
  let answered = false
  let reason: string | undefined
  const streams = createFleetStreams({ renew: async () => ({ kind: 'not leader' }), borrow: () => ({ granted: 0 }) }, QUIET_LOGGER)
  const stream = streams.get(name)?.({ send: () => { answered = true }, close: given => { reason = given }, isOpen: () => true }) as MessageStreamHandlers
  stream.message(Buffer.from(JSON.stringify({ number: 1, request })))
  await waitUntil('an end', () => answered || reason !== undefined)
  return reason
}

test('a valid renewal is refused', async () => {
  assert.is(await send(RENEWAL_STREAM, { ...RENEWAL, demand: { clinic: 1.5 }, sightings: { p: { answeredAgo: 1 }, r: {} }, busy: ['g'], parts: { clinic: 0.1 }, loans: { completeFor: 1, loans: [{ account: 'clinic', operations: 1, ago: 2 }] }, fieldOfALaterBuild: 1 }), undefined)
})

// Fields were used by the timer of the leader, where an error ended its process.
for (const [field, value] of Object.entries({
  name: 5,
  demand: 'many',
  sightings: null,
  busy: [1],
  lendsAt: { host: 'entry' },
  holds: 1,
  servers: {},
  parts: [1]
})) {
  test(`a renewal with a malformed field ${field} is accepted`, async () => {
    assert.is(await send(RENEWAL_STREAM, { ...RENEWAL, [field]: value }), `a renewal has no valid field ${field}: ${JSON.stringify(value)}`)
  })
}

test('a renewal with a port out of range is accepted', async () => {
  assert.is(await send(RENEWAL_STREAM, { ...RENEWAL, lendsAt: { host: '10.0.0.1', port: 70_000 } }), 'a renewal has no valid field lendsAt: {"host":"10.0.0.1","port":70000}')
})

test('a loan of no number is accepted', async () => {
  assert.is(await send(LOAN_STREAM, { account: 'clinic', wanted: null }), 'a loan has no valid field wanted: null')
})

test.run()
