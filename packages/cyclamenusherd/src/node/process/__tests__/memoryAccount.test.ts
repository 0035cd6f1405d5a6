import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createMemoryAccount } from '../memoryAccount.js'
import type { AccountedClient, MemoryAccount } from '../memoryAccount.js'

const KIBIBYTE = 1024
const LIMIT = 1024 * KIBIBYTE
const RESERVE = 8 * KIBIBYTE
const BALANCE_MILLISECONDS = 200

let account: MemoryAccount
let now = 0
let limits: string[]
let resumed: string[]
let destroyed: string[]

test.before.each(() => {
  now = 0
  limits = []
  resumed = []
  destroyed = []
  account = createMemoryAccount(LIMIT, { now: () => now }, { report: limit => { limits.push(limit) } })
})
test.after.each(() => { account.close() })

function openClient (name: string, bytes: { now: number }): AccountedClient {
  const client = account.open({ measure: () => bytes.now, resume: () => { resumed.push(name) }, destroy: () => { destroyed.push(name) } })
  client.update(bytes.now)
  return client
}

const pause = async (): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, BALANCE_MILLISECONDS) }) }

test('a client is held back without pressure, or an ordinary one under it', () => {
  const bytes = { now: 100 * KIBIBYTE }
  const client = openClient('long', bytes)
  assert.is(client.mayRead(bytes.now), true)
  openClient('other', { now: 500 * KIBIBYTE })
  assert.is(client.mayRead(bytes.now), false)
  assert.is(client.mayRead(8 * KIBIBYTE), true)
})

test('clients that are held back wait for one another', async () => {
  const clients = ['a', 'b', 'c'].map(name => openClient(name, { now: 250 * KIBIBYTE }))
  for (const client of clients) assert.is(client.mayRead(250 * KIBIBYTE), false)
  await pause()
  assert.equal([...resumed].sort(), ['a', 'b', 'c'])
  assert.equal(destroyed, [])
})

test('clients stay held back when the pressure is over', async () => {
  const bytes = { now: 400 * KIBIBYTE }
  const first = openClient('first', bytes)
  openClient('second', { now: 200 * KIBIBYTE })
  assert.is(first.mayRead(bytes.now), false)
  bytes.now = 0
  await pause()
  assert.ok(resumed.includes('first'))
  assert.is(first.mayRead(100 * KIBIBYTE), true)
})

test('another client than the slowest is closed', () => {
  const slow = openClient('slow', { now: 500 * KIBIBYTE })
  now = 5_000
  openClient('fast', { now: 400 * KIBIBYTE })
  openClient('newest', { now: 200 * KIBIBYTE })
  assert.equal(destroyed, ['slow'])
  assert.equal(limits, ['buffered bytes closed'])
  slow.release()
  assert.is(account.usedBytes(), 600 * KIBIBYTE)
})

test('bytes of a message that ran, or of a closed client, stay in the account', () => {
  const client = openClient('client', { now: 10 * KIBIBYTE })
  const takeOff = account.start(10 * KIBIBYTE)
  assert.is(account.usedBytes(), 50 * KIBIBYTE)
  takeOff()
  client.release()
  client.update(20 * KIBIBYTE)
  assert.is(account.usedBytes(), 0)
})

test('kept values take more than their part, or are not released', () => {
  const client = openClient('client', { now: 0 })
  assert.is(client.keep(LIMIT / 4 + RESERVE), true)
  assert.is(client.keep(1), false)
  client.keep(-LIMIT / 4 - RESERVE)
  assert.is(account.usedBytes(), 0)
  assert.is(client.keep(RESERVE + 1), true)
  client.release()
  assert.is(account.usedBytes(), 0)
  assert.is(client.keep(1), false)
})

// Two sessions that kept all they may refused every new session.
test('sessions that keep the most keep out a new one', () => {
  const large = openClient('large', { now: 0 })
  const other = openClient('other', { now: 0 })
  assert.is(large.keep(LIMIT / 6), true)
  assert.is(other.keep(LIMIT / 4 - LIMIT / 6 + 2 * RESERVE), true)
  const session = openClient('session', { now: 0 })
  assert.is(session.keep(RESERVE), true)
  assert.equal(destroyed, [])
  assert.is(session.keep(RESERVE), true)
  assert.equal(destroyed, ['large'])
  assert.equal(limits, ['session bytes closed'])
})

test('an ordinary client is closed for messages that run', () => {
  account.start(LIMIT / 4)
  openClient('ordinary', { now: KIBIBYTE })
  assert.equal(destroyed, [])
})

// No client reports other bytes while messages run, so nothing else balanced the account.
test('a client that is held back for messages that run is never read again', async () => {
  const client = openClient('held', { now: 100 * KIBIBYTE })
  const takeOff = account.start(LIMIT / 8)
  assert.is(client.mayRead(100 * KIBIBYTE), false)
  takeOff()
  await pause()
  assert.equal(resumed, ['held'])
})

// The account is balanced without a report of any client.
test('a message that exceeds the account closes no client while none reports its bytes', async () => {
  openClient('long', { now: 100 * KIBIBYTE })
  account.start(LIMIT / 4)
  await pause()
  assert.equal(destroyed, ['long'])
})

// Statements that carry the values of a session made others be closed for them.
test('another client is closed than the one whose session keeps the most', async () => {
  const keeper = openClient('keeper', { now: 0 })
  openClient('ordinary', { now: 2 * RESERVE })
  assert.is(keeper.keep(LIMIT / 8), true)
  account.start(LIMIT * 0.9 / 4)
  await pause()
  assert.equal(destroyed, ['keeper'])
})

test.run()
