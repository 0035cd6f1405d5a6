import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { connect } from 'node:net'
import Cursor from 'pg-cursor'
import { buildCancelRequest } from '@cyclamenusher/protocol'
import { eventually, expectErrorCode, useHarness } from './harness.js'
import type { Client } from 'pg'
import type { Harness } from './harness.js'

/** Registers a test that runs with its own harness, and checks that no statement named `late` reached a server. */
function testWithoutLateWork (name: string, body: (harness: Harness) => Promise<void>): void {
  test(name, async () => {
    await useHarness({}, async harness => {
      await body(harness)
      const { registry, server } = harness.primary
      await eventually('a request still holds a connection', () => harness.busyRequests() === 0)
      assert.not(Buffer.concat(registry.received).includes('late'))
      assert.is(server.status().position, 1, 'nothing was committed')
    })
  })
}

function sendCancelRequest (caller: Client, port: number): void {
  const { processID, secretKey } = caller as unknown as { processID: number, secretKey: number }
  const socket = connect(port, '127.0.0.1', () => { socket.end(buildCancelRequest(processID, secretKey)) })
  socket.on('error', () => {})
}

testWithoutLateWork('without a lease nothing of an idle caller runs', async harness => {
  const [caller, prepared] = [await harness.connect(), await harness.connect()]
  await caller.query('select 1')
  await prepared.query({ name: 'read', text: 'select $1::text', values: ['early'] })
  harness.makeRulesStale()
  assert.is(await expectErrorCode(caller.query('select \'late\'')), '57P03')
  assert.is(await expectErrorCode(caller.query('insert into visits (id, value) values (\'late\', \'a\')')), '57P03')
  assert.is(await expectErrorCode(caller.query('select $1::text', ['late'])), '57P03')
  assert.is(await expectErrorCode(prepared.query({ name: 'read', text: 'select $1::text', values: ['late'] })), '57P03')
  assert.is(await expectErrorCode(caller.query('set application_name = \'late\'')), '57P03')
})

testWithoutLateWork('without a lease nobody with a key connects', async harness => {
  harness.makeRulesStale()
  assert.is(await expectErrorCode(harness.connect()), '57P03')
})

testWithoutLateWork('without a lease a running statement is stopped', async harness => {
  const caller = await harness.connect()
  const answer = expectErrorCode(caller.query('select pg_sleep(30)'))
  await eventually('the statement did not start', () => harness.primary.registry.statements === 1)
  harness.makeRulesStale()
  assert.is(await answer, '57P03')
  await eventually('the connection is still open', () => harness.primary.registry.open === 0)
})

testWithoutLateWork('without a lease pipelined requests behind a running one are not sent', async harness => {
  const caller = await harness.connect()
  const first = expectErrorCode(caller.query('select pg_sleep(30)'))
  const others = [caller.query('select \'late\''), caller.query('insert into visits (id, value) values ($1, $2)', ['late', 'a'])].map(expectErrorCode)
  await eventually('the statement did not start', () => harness.primary.registry.statements === 1)
  harness.makeRulesStale()
  sendCancelRequest(caller, harness.callers.port)
  await Promise.all([first, ...others])
})

testWithoutLateWork('without a lease a transaction neither goes on nor commits', async harness => {
  const [writer, idle] = [await harness.connect(), await harness.connect()]
  for (const caller of [writer, idle]) await caller.query('begin')
  await writer.query('insert into visits (id, value) values (\'1\', \'a\')')
  harness.makeRulesStale()
  const codes = await Promise.all([expectErrorCode(writer.query('commit')), expectErrorCode(idle.query('select \'late\''))])
  assert.equal(codes, ['57P03', '57P03'])
})

testWithoutLateWork('without a lease a portal is read no further', async harness => {
  const [inTransaction, outside] = [await harness.connect(), await harness.connect()]
  await inTransaction.query('begin')
  const cursors = [inTransaction, outside].map(caller => caller.query(new Cursor('select generate_series(1, 25)')))
  for (const cursor of cursors) assert.is((await cursor.read(1)).length, 1)
  harness.makeRulesStale()
  for (const cursor of cursors) assert.is(await expectErrorCode(cursor.read(1)), '57P03')
})

testWithoutLateWork('COPY is refused with and without a lease', async harness => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('copy late from stdin')), '0A000')
  harness.makeRulesStale()
  assert.is(await expectErrorCode(caller.query('copy late from stdin')), '0A000')
})

test.run()
