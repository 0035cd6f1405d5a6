import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { PassThrough } from 'node:stream'
import { NO_SETTINGS, loadParser } from '@cyclamenusher/decisions'
import { BACKEND, FRONTEND, buildCommandComplete, buildErrorResponse, buildFrame, buildParameterStatus, buildReadyForQuery, cString } from '@cyclamenusher/protocol'
import { mayCommit, determineNeed, readExtendedBatch, readSimpleQuery } from '../batch.js'
import { createReplyPlan } from '../replyPlan.js'
import { CopyError, createBatchRequest } from '../statementRequest.js'
import type { Socket } from 'node:net'
import type { BackendConnection, FrameReceiver } from '../../connection/backendConnection.js'
import type { Batch } from '../batch.js'
import type { BatchRequest } from '../statementRequest.js'

test.before(loadParser)

interface Fixture {
  request: BatchRequest
  /** Receives frames from the server, as one chunk. */
  answer: (...frames: Buffer[]) => void
  loseConnection: () => void
  /** Type bytes of the frames that the caller has received. */
  receivedTypes: () => string
  sent: Buffer[]
}

function query (text: string): Batch {
  return readSimpleQuery({ type: FRONTEND.query, bytes: buildFrame(FRONTEND.query, cString(text)) })
}

function extended (...types: number[]): Batch {
  const bodies: Record<number, Buffer> = {
    [FRONTEND.parse]: Buffer.concat([cString(''), cString('insert into t values (1)'), Buffer.alloc(2)]),
    [FRONTEND.bind]: Buffer.concat([cString(''), cString(''), Buffer.alloc(6)]),
    [FRONTEND.execute]: Buffer.concat([cString(''), Buffer.alloc(4)])
  }
  const frames = types.map(type => ({ type, bytes: buildFrame(type, bodies[type] ?? Buffer.alloc(0)) }))
  return readExtendedBatch(frames, new Map(), new Map())
}

function createFixture (options: { mayCommit?: boolean, inTransaction?: boolean } = {}): Fixture {
  const caller = new PassThrough()
  const received: Buffer[] = []
  caller.on('data', (chunk: Buffer) => { received.push(chunk) })
  let receiver: FrameReceiver | undefined
  const sent: Buffer[] = []
  const backend = {
    prepared: new Set<string>(),
    settings: NO_SETTINGS,
    isOpen: () => true,
    send: (pieces: readonly Buffer[]) => sent.push(...pieces) > 0,
    setReceiver: (next: FrameReceiver | undefined) => { receiver = next },
    pauseReading: () => {},
    resumeReading: () => {}
  } as unknown as BackendConnection
  const request = createBatchRequest({ caller: caller as unknown as Socket, backend, prepared: new Map(), mayCommit: options.mayCommit ?? false, inTransaction: options.inTransaction ?? false })
  return {
    request,
    sent,
    answer: (...frames) => {
      const current = receiver
      for (const bytes of frames) receiver?.onFrame({ type: bytes[0], bytes })
      current?.onChunkEnd()
    },
    loseConnection: () => { receiver?.onClosed() },
    receivedTypes: () => {
      const bytes = Buffer.concat(received)
      let types = ''
      for (let offset = 0; offset < bytes.length; offset += 1 + bytes.readUInt32BE(offset + 1)) types += String.fromCharCode(bytes[offset])
      return types
    }
  }
}

async function flushEvents (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

const PREPARED = [buildFrame(BACKEND.parseComplete), buildFrame(BACKEND.bindComplete)]
const INSERTED = buildCommandComplete('INSERT 0 1')

for (const type of [BACKEND.copyInResponse, BACKEND.copyOutResponse, BACKEND.copyBothResponse]) {
  test(`a COPY response fails the request: ${String.fromCharCode(type)}`, async () => {
    const { request, answer, receivedTypes } = createFixture()
    request.send(query('call my_copy()'))
    answer(buildFrame(type, Buffer.alloc(3)))
    const error = await request.done.catch((reason: Error) => reason)
    assert.instance(error, CopyError)
    assert.is(receivedTypes(), '')
  })
}

test('the end of a commit\'s reply is held back, its rows are not', async () => {
  const { request, answer, receivedTypes } = createFixture({ mayCommit: true })
  request.send(query('insert into t values (1) returning a'))
  answer(buildFrame(BACKEND.rowDescription, Buffer.alloc(2)), buildFrame(BACKEND.dataRow, Buffer.alloc(2)), buildParameterStatus('cyclamenusher.position', '3/7'), INSERTED, buildReadyForQuery('idle'))
  assert.equal((await request.done).commitPosition, { term: 3, position: 7 })
  await flushEvents()
  assert.is(receivedTypes(), 'TD')
  request.releaseReply('token')
  await flushEvents()
  assert.is(receivedTypes(), 'TDCSZ')
})

test('nothing is held back before Sync', async () => {
  const { request, answer, receivedTypes } = createFixture({ mayCommit: true })
  request.send(extended(FRONTEND.parse, FRONTEND.bind, FRONTEND.execute, FRONTEND.flush))
  answer(...PREPARED, INSERTED)
  await flushEvents()
  assert.is(receivedTypes(), '12C')
  request.send(extended(FRONTEND.sync))
  answer(buildParameterStatus('cyclamenusher.position', '1/2'), buildReadyForQuery('idle'))
  assert.equal((await request.done).commitPosition, { term: 1, position: 2 })
})

test('the replies to messages sent after an error are skipped', async () => {
  const { request, answer } = createFixture({ mayCommit: true })
  request.send(extended(FRONTEND.parse, FRONTEND.flush))
  answer(buildErrorResponse({ severity: 'ERROR', code: '42601', message: 'no' }))
  request.send(extended(FRONTEND.parse, FRONTEND.bind, FRONTEND.execute, FRONTEND.sync))
  answer(buildReadyForQuery('idle'))
  assert.is((await request.done).errorCode, '42601')
})

test('a FATAL error is reported as a lost connection, and not passed on', async () => {
  const { request, answer, loseConnection, receivedTypes } = createFixture()
  request.send(query('select 1'))
  answer(buildErrorResponse({ severity: 'FATAL', code: '57P01', message: 'terminating connection' }))
  loseConnection()
  assert.is(await request.done.catch((error: Error) => error.name), 'ConnectionLostError')
  assert.is(receivedTypes(), '')
  assert.not(request.hasAnswered())
})

test('the caller receives nothing from a server that is not the primary', async () => {
  const { request, answer, receivedTypes } = createFixture({ mayCommit: true })
  request.send(extended(FRONTEND.parse, FRONTEND.bind, FRONTEND.execute, FRONTEND.sync))
  answer(...PREPARED)
  answer(buildErrorResponse({ severity: 'ERROR', code: '25006', message: 'not the primary' }))
  answer(buildReadyForQuery('idle'))
  assert.ok((await request.done).notPrimary)
  await flushEvents()
  assert.is(receivedTypes(), '')
})

test('within a transaction the error of a server that is not the primary is passed on', async () => {
  const { request, answer } = createFixture({ inTransaction: true })
  request.send(query('insert into t values (1)'))
  answer(buildErrorResponse({ severity: 'ERROR', code: '25006', message: 'not the primary' }), buildReadyForQuery('failed'))
  assert.not((await request.done).notPrimary)
})

const COMMITS: Array<[text: string, inTransaction: boolean, commits: boolean]> = [
  ['insert into t values (1)', false, true],
  ['insert into t values (1)', true, false],
  ['commit', true, true],
  ['rollback', true, false],
  ['select 1', false, false],
  ['begin', false, false],
  ['begin; insert into t values (1)', false, false],
  ['begin; insert into t values (1); commit', false, true],
  ['rollback; insert into t values (1)', true, true]
]
for (const [text, inTransaction, commits] of COMMITS) {
  test(`may ${commits ? '' : 'not '}commit ${inTransaction ? 'in' : 'outside'} a transaction: ${text}`, () => {
    assert.is(mayCommit(query(text), inTransaction), commits)
  })
}

test('the need of a batch covers all its statements', () => {
  assert.is(determineNeed(query('select 1; select 2')), 'read')
  assert.is(determineNeed(query('select 1; delete from t')), 'write')
  assert.is(determineNeed(query('set timezone to \'UTC\'')), 'setting')
  assert.is(determineNeed(extended(FRONTEND.sync)), 'empty')
  assert.throws(() => determineNeed(query('select 1; set timezone to \'UTC\'')), /must come alone/)
})

test('swallowed and passed replies are matched in order', () => {
  const plan = createReplyPlan()
  plan.expect(FRONTEND.close, 'swallow')
  plan.expect(FRONTEND.parse, 'swallow')
  plan.expect(FRONTEND.bind, 'pass')
  plan.expect(FRONTEND.sync, 'pass')
  assert.equal([BACKEND.closeComplete, BACKEND.parseComplete, BACKEND.bindComplete, BACKEND.readyForQuery].map(plan.receiveFrame), ['swallow', 'swallow', 'pass', 'pass'])
  assert.is(plan.pendingReadyCount(), 0)
})

test.run()
