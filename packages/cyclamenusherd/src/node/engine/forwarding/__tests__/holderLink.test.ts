import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createHolderLink } from '../holderLink.js'
import type { MessageStream, MessageStreamHandlers } from '@cyclamenusher/protocol'
import type { HolderReply, HolderRequest } from '../messages.js'

interface FakeStream {
  sent: HolderRequest[]
  answer: (reply: HolderReply) => void
  end: () => void
  isOpen: () => boolean
}

/** A link to a holder whose streams are opened, or not, as the test says; in the test's own time. */
function createFakeLink () {
  let now = 0
  let isReached = true
  let attempts = 0
  const warnings: string[] = []
  const streams: FakeStream[] = []

  async function openStream (_name: string, attach: (stream: MessageStream) => MessageStreamHandlers): Promise<MessageStream> {
    attempts += 1
    if (!isReached) throw new Error('no connection in time')
    let open = true
    const sent: HolderRequest[] = []
    const close = (reason: string): void => {
      if (!open) return
      open = false
      handlers.closed(reason)
    }
    const stream: MessageStream = { send: body => { sent.push(JSON.parse(Buffer.from(body).toString()) as HolderRequest) }, close, isOpen: () => open }
    const handlers = attach(stream)
    streams.push({ sent, answer: reply => { handlers.message(Buffer.from(JSON.stringify(reply))) }, end: () => { close('the test ends it') }, isOpen: () => open })
    return stream
  }

  const link = createHolderLink({
    name: 'holder-1',
    link: { openStream },
    clock: { now: () => now },
    logger: { error: () => {}, warn: sentence => { warnings.push(sentence) }, info: () => {}, debug: () => {} },
    random: () => 0,
    onRequest: () => {}
  })
  const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })
  return {
    link,
    streams,
    warnings,
    attempts: () => attempts,
    reach: (reached: boolean) => { isReached = reached },
    settle,
    /** Lets the time pass, with a look at the holder each 25 ms and an attempt whenever one is due. */
    pass: async (milliseconds: number) => {
      for (const until = now + milliseconds; now < until;) {
        now += 25
        if (link.isWatched()) link.tick(0)
        if (link.isAttemptDue()) link.attempt()
        await settle()
      }
    }
  }
}

test('a stream that ends leaves its holder in use while it can\'t be opened again', async () => {
  const { link, streams, reach, attempts, pass, warnings } = createFakeLink()
  assert.is(link.readiness(), 'untried')
  await link.open()
  streams[0].answer({ kind: 'alive' })
  assert.is(link.readiness(), 'ready')
  reach(false)
  streams[0].end()
  assert.is(link.readiness(), 'unreachable')
  await pass(7_000)
  assert.is(link.readiness(), 'unreachable')
  // Without a growing interval there were 23 of them; a second apart at most, there are 7 or more.
  assert.ok(attempts() > 8 && attempts() < 13, `${attempts()} attempts`)
  reach(true)
  while (streams.length < 2) await pass(25)
  assert.is(link.readiness(), 'unreachable', 'before it answers')
  streams[1].answer({ kind: 'alive' })
  assert.is(link.readiness(), 'ready')
  assert.equal(warnings, [])
})

test('a holder that was never reached is not tried again', async () => {
  const { link, streams, reach, attempts, pass, warnings } = createFakeLink()
  reach(false)
  assert.is(await link.open(), undefined)
  assert.is(link.readiness(), 'unreachable')
  assert.is(attempts(), 1)
  reach(true)
  while (streams.length < 1) await pass(25)
  streams[0].answer({ kind: 'alive' })
  assert.is(link.readiness(), 'ready')
  assert.equal(warnings, ['A holder is not reached.'])
})

// A frozen instance accepts connections, and its path may be cut just after that.
test('a holder that accepts a stream and never answers on it is never tried on another one', async () => {
  const { link, streams, reach, pass } = createFakeLink()
  reach(false)
  await link.open()
  reach(true)
  await pass(4_000)
  assert.is(link.readiness(), 'unusable')
  assert.ok(streams.length >= 2, `${streams.length} streams`)
  streams[streams.length - 1].answer({ kind: 'alive' })
  await pass(200)
  assert.is(link.readiness(), 'ready')
})

test.run()
