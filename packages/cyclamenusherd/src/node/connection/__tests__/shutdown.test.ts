import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { expectErrorCode, eventually, useHarness } from './harness.js'
import type pg from 'pg'

async function waitForErrorCode (caller: pg.Client): Promise<string> {
  return await new Promise(resolve => { caller.once('error', (error: Error & { code?: string }) => { resolve(error.code ?? error.message) }) })
}

test('a shutdown disconnects idle callers and lets running work finish', async () => await useHarness({}, async harness => {
  const [idle, running, transaction] = [await harness.connect(), await harness.connect(), await harness.connect()]
  const idleCode = waitForErrorCode(idle)
  await transaction.query('begin')
  await transaction.query('insert into visits (id, value) values (\'1\', \'a\')')
  const answer = running.query('select pg_sleep(0.1)')
  await eventually('the statements did not start', () => harness.primary.registry.statements === 3)
  const drained = harness.callers.drain(5_000)
  assert.is(await idleCode, '57P01')
  assert.is((await answer).rows.length, 1)
  assert.is(harness.callers.count(), 1, 'the transaction continues')
  const transactionCode = waitForErrorCode(transaction)
  assert.is((await transaction.query('commit')).command, 'COMMIT')
  assert.is(await transactionCode, '57P01')
  assert.equal(await drained, { cut: 0 })
  assert.ok(await expectErrorCode(harness.connect()), 'new connections are refused')
}))

test('callers that remain at the drain deadline are disconnected', async () => await useHarness({}, async harness => {
  const [read, write] = [await harness.connect(), await harness.connect()]
  await write.query('begin')
  await write.query('insert into visits (id, value) values (\'1\', \'a\')')
  const failed = expectErrorCode(read.query('select pg_sleep(5)'))
  await eventually('the statements did not start', () => harness.primary.registry.statements === 3)
  assert.equal(await harness.callers.drain(50), { cut: 2 })
  assert.is(await failed, '57P01')
  await eventually('a connection is still held', () => harness.busyRequests() === 0)
  assert.is(harness.primary.server.status().position, 1)
}))

test('a write that is cut off reports an unknown outcome', async () => await useHarness({}, async harness => {
  const caller = await harness.connect()
  await caller.query('select 1')
  harness.primary.server.setFaults({ frozen: true })
  const answer = caller.query('insert into visits (id, value) values (\'1\', \'a\')').catch((error: { detail: string }) => error.detail)
  await eventually('no request holds a connection', () => harness.busyRequests() === 1)
  await harness.callers.drain(20)
  assert.match(String(await answer), /not known/)
}))

test.run()
