import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { connect } from 'node:net'
import { buildCancelRequest } from '@cyclamenusher/protocol'
import { RefusalError } from '../../request/refusal.js'
import { expectErrorCode, eventually, useHarness } from './harness.js'
import type { Socket } from 'node:net'
import type { Harness, HarnessOptions } from './harness.js'

/** Registers a test that runs with its own harness. */
function testWithHarness (name: string, options: HarnessOptions, body: (harness: Harness) => Promise<void>): void {
  test(name, async () => { await useHarness(options, body) })
}

function closeBackendSockets ({ primary }: Harness): void {
  for (const socket of primary.sockets) socket.destroy()
}

function hasReceived ({ primary }: Harness, text: string): boolean {
  return Buffer.concat(primary.registry.received).includes(text)
}

testWithHarness('a read whose connection is lost runs on another server', {}, async harness => {
  const caller = await harness.connect()
  await caller.query('select 1')
  harness.primary.server.setFaults({ frozen: true })
  const answer = caller.query('select \'moved\'')
  await eventually('the statement was not sent', () => hasReceived(harness, 'moved'))
  harness.choose.member = () => harness.replica
  closeBackendSockets(harness)
  assert.is((await answer).rows.length, 1)
})

testWithHarness('a write whose connection is lost has an unknown outcome', {}, async harness => {
  let confirmations = 0
  const { confirmPosition } = harness.services
  harness.services.confirmPosition = async group => {
    confirmations += 1
    return await confirmPosition(group)
  }
  const caller = await harness.connect()
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  harness.primary.server.setFaults({ frozen: true })
  const answer = expectErrorCode(caller.query('update visits set value = \'b\' where id = \'1\''))
  await eventually('the statement was not sent', () => hasReceived(harness, 'update visits'))
  closeBackendSockets(harness)
  assert.is(await answer, '08007')
  harness.primary.server.setFaults({ frozen: false })
  await caller.query('select value from visits where id = \'1\'')
  assert.is(confirmations, 1, 'the position is asked for again')
})

testWithHarness('a transaction whose connection is lost before COMMIT has no effect', {}, async harness => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  closeBackendSockets(harness)
  await eventually('the pool still has a connection', () => harness.primary.pool.size() === 0)
  assert.is(await expectErrorCode(caller.query('select 1')), '08006')
  assert.is(await expectErrorCode(caller.query('select 1')), '25P02')
  await caller.query('rollback')
  assert.equal((await caller.query('select value from visits where id = \'1\'')).rows, [])
})

testWithHarness('a write that reaches a replica is sent again until it reaches the primary', {}, async harness => {
  const { replica, primary, choose } = harness
  let selections = 0
  choose.member = () => ++selections < 3 ? replica : primary
  const caller = await harness.connect()
  await caller.query('insert into visits (id, value) values ($1, $2)', ['1', 'a'])
  assert.is(selections, 3)
  assert.is(primary.server.status().position, 2)
})

testWithHarness('a commit on a replaced primary is not acknowledged', { services: { acknowledge: async () => 'replaced' } }, async harness => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('insert into visits (id, value) values (\'1\', \'a\')')), '08007')
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'2\', \'a\')')
  assert.is(await expectErrorCode(caller.query('commit')), '08007')
  assert.equal((await caller.query('select 1')).rows.length, 1)
})

testWithHarness('an unacknowledged commit has an unknown outcome even when a later statement fails', { services: { acknowledge: async () => 'timeout' } }, async harness => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('begin; insert into visits (id, value) values (\'1\', \'a\'); commit; selec nothing')), '08007')
})

testWithHarness('a commit is answered only after a majority acknowledges it', {}, async harness => {
  let release = (): void => {}
  harness.services.acknowledge = async () => {
    await new Promise<void>(resolve => { release = resolve })
    return 'held'
  }
  const caller = await harness.connect()
  let answered = false
  const answer = caller.query('insert into visits (id, value) values (\'1\', \'a\')').then(() => { answered = true })
  await eventually('the write was not committed', () => harness.primary.server.status().position === 2)
  await eventually('the connection is still held', () => harness.busyRequests() === 0)
  assert.not(answered)
  release()
  await answer
})

testWithHarness('a read that exceeds its deadline gets 57014', { requestMilliseconds: 400 }, async harness => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('select pg_sleep(5)')), '57014')
  assert.equal((await caller.query('select 1')).rows.length, 1)
})

testWithHarness('a write that exceeds its deadline gets 08007', { requestMilliseconds: 400 }, async harness => {
  const caller = await harness.connect()
  await caller.query('select 1')
  harness.primary.server.setFaults({ frozen: true })
  assert.is(await expectErrorCode(caller.query('insert into visits (id, value) values (\'1\', \'a\')')), '08007')
})

testWithHarness('a late answer reaches no other caller', { requestMilliseconds: 400, limit: 1 }, async harness => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  await left.query('select 1')
  harness.primary.server.setFaults({ frozen: true })
  assert.is(await expectErrorCode(left.query('select \'late\'')), '57014')
  harness.primary.server.setFaults({ frozen: false })
  for (let round = 0; round < 20; round += 1) {
    const { rows } = await right.query(`select '${round}'`)
    assert.equal(Object.values(rows[0] as object), [String(round)])
  }
})

testWithHarness('a cancel request stops only its own caller\'s request', { limit: 1 }, async harness => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  const answer = expectErrorCode(left.query('select pg_sleep(5)'))
  await eventually('the statement did not start', () => harness.primary.registry.statements === 1)
  const other = right.query('select pg_sleep(0.05)')
  sendCancelRequest(left, harness.callers.port)
  assert.is(await answer, '57014')
  assert.is((await other).rows.length, 1)
  assert.is(harness.primary.registry.opened, 2, 'the cancelled connection is not reused')
})

testWithHarness('a cancel request ends the wait for a connection', { limit: 1 }, async harness => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  await left.query('begin')
  await left.query('select 1')
  const waiting = expectErrorCode(right.query('select 1'))
  await eventually('the request did not wait for a connection', () => harness.busyRequests() === 2)
  sendCancelRequest(right, harness.callers.port)
  assert.is(await waiting, '57014')
  await left.query('commit')
})

testWithHarness('a cancel request ends the wait for the group\'s position', {}, async harness => {
  let isWaiting = false
  harness.services.confirmPosition = async () => await new Promise(() => { isWaiting = true })
  const caller = await harness.connect()
  const answer = expectErrorCode(caller.query('select 1'))
  await eventually('the request does not wait for the position', () => isWaiting)
  sendCancelRequest(caller, harness.callers.port)
  assert.is(await answer, '57014')
})

testWithHarness('the wait for the group\'s position ends with the request\'s time', { requestMilliseconds: 300, services: { confirmPosition: async () => await new Promise(() => {}) } }, async harness => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('select 1')), '57014')
})

testWithHarness('a caller that disconnects releases its connection', { limit: 1 }, async harness => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  void expectErrorCode(left.query('select pg_sleep(5)'))
  await eventually('the statement did not start', () => harness.primary.registry.statements === 1)
  streamOf(left).destroy()
  assert.is((await right.query('select 1')).rows.length, 1)
})

testWithHarness('a statement does not run when its caller disconnects while its settings are applied', { limit: 1 }, async harness => {
  const caller = await harness.connect({ application_name: 'leaves' })
  harness.primary.server.setFaults({ frozen: true })
  void expectErrorCode(caller.query('insert into visits (id, value) values (\'1\', \'a\')'))
  await eventually('the settings were not sent', () => hasReceived(harness, 'SET application_name'))
  streamOf(caller).destroy()
  await eventually('the caller is still connected', () => harness.callers.count() === 0)
  harness.primary.server.setFaults({ frozen: false })
  await eventually('the connection is still held', () => harness.busyRequests() === 0)
  assert.is(harness.primary.server.status().position, 1)
})

testWithHarness('a transaction idle for too long is ended', { idleTransactionMilliseconds: 300 }, async harness => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  let code: string | undefined
  caller.once('error', (error: Error & { code?: string }) => { code = error.code })
  await eventually('the transaction was not ended with 25P03', () => code === '25P03')
  await eventually('the connection is still open', () => harness.primary.registry.open === 0)
})

testWithHarness('a withdrawn key ends a running transaction', { limit: 1 }, async harness => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  const ended = new Promise(resolve => { caller.once('end', resolve) })
  harness.changeRules(['keys.alfa-key'], [])
  await ended
  await eventually('the connection is still open', () => harness.primary.registry.open === 0)
  assert.is(harness.primary.server.status().position, 1)
})

testWithHarness('a transaction ends with 57P03, not 28P01, when the rules are stale', { limit: 1 }, async harness => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  const ended = new Promise<{ code: string }>(resolve => { caller.once('error', resolve) })
  harness.makeRulesStale()
  assert.is((await ended).code, '57P03')
  await eventually('the connection is still open', () => harness.primary.registry.open === 0)
  assert.is(harness.primary.server.status().position, 1)
})

testWithHarness('an idle caller stays connected while the rules are stale', {}, async harness => {
  const caller = await harness.connect()
  await caller.query('select 1')
  harness.makeRulesStale()
  // Longer than the interval between checks of the keys, so that a check happens.
  await new Promise(resolve => setTimeout(resolve, 600))
  assert.is(harness.callers.count(), 1)
})

testWithHarness('a request that gets no connection in time is refused as not run', { services: { lease: async () => { throw new RefusalError('too many connections', 'none came free') } } }, async harness => {
  const caller = await harness.connect()
  const error = await caller.query('insert into visits (id, value) values (\'1\', \'a\')').catch((reason: { code: string, detail: string }) => reason)
  assert.is((error as { code: string }).code, '53300')
  assert.match((error as { detail: string }).detail, /has not run/)
})

interface ClientParts { processID: number, secretKey: number, connection: { stream: Socket } }

function streamOf (client: unknown): Socket {
  return (client as ClientParts).connection.stream
}

function sendCancelRequest (client: unknown, port: number): void {
  const { processID, secretKey } = client as ClientParts
  const socket = connect(port, '127.0.0.1', () => { socket.end(buildCancelRequest(processID, secretKey)) })
  socket.on('error', () => {})
}

test.run()
