import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHolderLink } from '../holderLink.js'
import { decodeHolderRequest, encodeHolderReply, findFormat } from '../messages.js'
import type { FleetService, MessageStream, MessageStreamHandlers, PeerLink } from '@cyclamenusher/protocol'
import type { Clock } from '../../../process/clock.js'
import type { HolderReply, HolderRequest } from '../messages.js'

const STATEMENT = { id: 'id-1', text: 'FETCH a', values: [], sentAt: 1, epoch: 0, elapsedMilliseconds: 0, remainingMilliseconds: 100 }

/** A link to a holder whose streams keep what is sent on them. */
function createLink (clock: Clock = { now: () => 0 }) {
  const sent: Buffer[] = []
  const handlers: MessageStreamHandlers[] = []
  const stream: MessageStream = { send: body => { sent.push(Buffer.from(body)) }, close: () => {}, isOpen: () => true }
  const openStream = async (_name: string, attach: (stream: MessageStream) => MessageStreamHandlers): Promise<MessageStream> => {
    handlers.push(attach(stream))
    return stream
  }
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const link = createHolderLink({ name: 'holder', link: { openStream, reconnect: () => {} } as unknown as PeerLink<typeof FleetService>, clock, logger, onRequest: () => {} })
  const build = (number: number): HolderRequest => ({ kind: 'commit', number, transaction: 1, statement: STATEMENT })
  return {
    sent,
    receive: (reply: HolderReply, format: 'json' | 'compact' = 'json') => { handlers[0].message(Buffer.from(encodeHolderReply(reply, format))) },
    request: async () => await link.request(await link.open() as MessageStream, build, 1_000)
  }
}

async function settle (): Promise<void> {
  await new Promise(resolve => { setImmediate(resolve) })
}

// A holder of the previous build ends a stream on which it can't read a message.
test('a compact request is sent to a holder that lists no formats', async () => {
  const { sent, receive, request } = createLink()
  void request()
  await settle()
  receive({ kind: 'alive' })
  void request()
  await settle()
  receive({ kind: 'alive', formats: ['a later one'] })
  void request()
  await settle()
  assert.equal(sent.map(findFormat), ['json', 'json', 'json', 'json'])
})

test('a request is sent in the compact format before the holder has listed it, or in JSON afterwards', async () => {
  const { sent, receive, request } = createLink()
  void request()
  await settle()
  receive({ kind: 'alive', formats: ['compact'] })
  const second = request()
  await settle()
  assert.equal(sent.map(findFormat), ['json', 'json', 'compact'])
  assert.equal(sent.map(body => decodeHolderRequest(body).kind), ['probe', 'commit', 'commit'])
  receive({ kind: 'failure', number: 2, failure: 'busy', explanation: 'it is', canServe: true }, 'compact')
  assert.is((await second).kind, 'reply')
})

// After a loss of all power the codec was not compiled yet, and answers were later than in JSON.
test('a process that has just started sends compact requests, or a later one JSON', async () => {
  let now = 9_999
  const { sent, receive, request } = createLink({ now: () => now, startedAt: 0 })
  void request()
  await settle()
  receive({ kind: 'alive', formats: ['compact'] })
  void request()
  await settle()
  now = 10_000
  void request()
  await settle()
  assert.equal(sent.map(findFormat), ['json', 'json', 'json', 'compact'])
})

test('a reply in JSON to a request of before is not read', async () => {
  const { receive, request } = createLink()
  const first = request()
  await settle()
  receive({ kind: 'alive', formats: ['compact'] })
  receive({ kind: 'failure', number: 1, failure: 'busy', explanation: 'it is', state: 'idle', canServe: true })
  assert.is((await first).kind, 'reply')
})

test.run()
