import { test } from 'uvu'
import * as assert from 'uvu/assert'
import * as fastCheck from 'fast-check'
import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { OperationReplySchema, OperationRequestSchema } from '@cyclamenusher/protocol'
import { decodeHolderReply, decodeHolderRequest, encodeHolderReply, encodeHolderRequest, findFormat } from '../messages.js'
import type { HolderReply, HolderRequest } from '../messages.js'

const STATEMENT = { id: 'id-1', text: 'FETCH a', values: [['zone', 'north']], sentAt: 1, epoch: 0, elapsedMilliseconds: 0, remainingMilliseconds: 100 }
const ADMISSION = { version: 7, database: 'd', keyDigest: 'k' }
const OPERATION = { account: 'clinic', route: { group: 'g', readPolicy: 'primary', priority: 1 } }
const REQUESTS: Array<Record<string, unknown>> = [
  { kind: 'run', number: 1, access: 'read', operation: OPERATION, statement: STATEMENT },
  { kind: 'run', number: 2, access: 'write', operation: { ...OPERATION, allowedRegions: ['north', 'south'] }, statement: STATEMENT },
  { kind: 'run', number: 3, access: 'read', operation: { ...OPERATION, allowedRegions: [] }, statement: STATEMENT },
  { kind: 'begin', transaction: 1, readOnly: false, operation: OPERATION, statement: STATEMENT },
  { kind: 'continue', number: 1, transaction: 1, isWrite: true, statement: STATEMENT },
  { kind: 'continue', number: 2, transaction: 1, isWrite: false, statement: STATEMENT, admission: ADMISSION },
  { kind: 'commit', number: 1, transaction: 1, statement: STATEMENT },
  { kind: 'commit', number: 2, transaction: 1, statement: STATEMENT, admission: ADMISSION },
  { kind: 'roll back', transaction: 1 }
]

function encode (value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value))
}

test('requests are read as they were sent', () => {
  for (const request of REQUESTS) assert.equal(decodeHolderRequest(encode(request)), request)
})

test('a statement of a transaction is accepted with half of what it was admitted by', () => {
  for (const request of REQUESTS.filter(({ admission }) => admission !== undefined)) {
    assert.throws(() => decodeHolderRequest(encode({ ...request, admission: { ...ADMISSION, version: undefined } })), /lacks a field/)
    assert.throws(() => decodeHolderRequest(encode({ ...request, admission: null })), /lacks a field/)
  }
})

// A field that was missing was first missed when the operation ran.
test('a request without one of its fields is accepted', () => {
  for (const request of REQUESTS) {
    for (const field of Object.keys(request).filter(name => !['kind', 'readOnly', 'isWrite', 'admission'].includes(name))) {
      assert.throws(() => decodeHolderRequest(encode({ ...request, [field]: undefined })), /lacks a field|no known kind/)
      assert.throws(() => decodeHolderRequest(encode({ ...request, [field]: null })), /lacks a field/)
    }
  }
})

test('a kind that is the name of a method is accepted', () => {
  for (const kind of ['constructor', 'toString', '__proto__']) assert.throws(() => decodeHolderRequest(encode({ kind })), /no known kind/)
})

test('bytes that are no message end the process', () => {
  fastCheck.assert(fastCheck.property(fastCheck.oneof(fastCheck.json(), fastCheck.string()), text => {
    for (const decode of [decodeHolderRequest, decodeHolderReply]) {
      try {
        decode(Buffer.from(text))
      } catch (error) {
        assert.instance(error, Error)
      }
    }
  }))
})

const FULL_STATEMENT = { ...STATEMENT, epoch: 4.5, lastCommit: { position: { term: 2, position: 70 }, agoMilliseconds: 812.3 }, elapsedMilliseconds: 0.3 }
const EXECUTION = { parameters: '', definition: { access: 'write', text: 'a b' } }
const FULL_OPERATION = { account: 'clinic', route: { group: 'g', readPolicy: 'bounded staleness', maximumStalenessMilliseconds: 2_000, objectiveMilliseconds: 0, priority: 0 }, admission: { version: 0, database: 'd', keyDigest: 'k' } }
const COMPACT_REQUESTS = [
  ...REQUESTS,
  { kind: 'run', number: 2, access: 'write', operation: FULL_OPERATION, statement: { ...FULL_STATEMENT, text: '', execution: EXECUTION } },
  { kind: 'begin', transaction: 1, readOnly: true, operation: FULL_OPERATION, statement: FULL_STATEMENT },
  { kind: 'roll back', transaction: 1, id: 'id-1' },
  { kind: 'probe' },
  { kind: 'probe', stream: 'one', replaces: 'two' }
] as unknown as HolderRequest[]
const POSITION = { term: 2, position: 71 }
const REPLIES: HolderReply[] = [
  { kind: 'result', number: 1, rows: ['', 'one'], digest: 'abc', timing: {} },
  { kind: 'result', number: 1, rows: [], digest: '', position: POSITION, timing: { acquisition: 0.1, atHolder: 12 }, primary: { member: 'm', designation: 3 }, version: 0, lastCommit: { position: POSITION, agoMilliseconds: 0 } },
  { kind: 'result', number: 1, rows: [], digest: '-', timing: {}, lastCommit: { position: POSITION, agoMilliseconds: 1 } },
  { kind: 'failure', number: 9, failure: 'busy', explanation: 'it is', canServe: false, version: 4 },
  { kind: 'failure', number: 9, failure: 'failed', explanation: '', canServe: true },
  { kind: 'alive' },
  { kind: 'leaving' }
]

const PLAIN = { noNullPrototype: true } as const

function encodeCompactRequest (request: HolderRequest): Buffer {
  return Buffer.from(encodeHolderRequest(request, 'compact'))
}

function encodeCompactReply (reply: HolderReply): Buffer {
  return Buffer.from(encodeHolderReply(reply, 'compact'))
}

test('compact messages are read as they were sent', () => {
  for (const request of COMPACT_REQUESTS) {
    const body = encodeCompactRequest(request)
    assert.is(findFormat(body), 'compact')
    // The text of a begin is not sent.
    const expected = request.kind === 'begin' ? { ...request, statement: { ...request.statement, text: '' } } : request
    assert.equal(decodeHolderRequest(body), expected)
  }
  for (const reply of REPLIES) {
    const body = encodeCompactReply(reply)
    assert.is(findFormat(body), 'compact')
    assert.equal(decodeHolderReply(body), reply)
  }
})

// 450 bytes each way took 1.8 ms at each of two links of 2 Mbit/s.
test('a typical request or reply is longer than its limit', () => {
  const route = { group: 'patients-records', readPolicy: 'read your writes', maximumStalenessMilliseconds: 2_000, objectiveMilliseconds: 300, priority: 1 } as const
  const statement = { ...FULL_STATEMENT, values: [], id: 'q-1234567', text: 'FETCH item-00012345 of shelf 7', sentAt: 5_123_454.5, epoch: 0, remainingMilliseconds: 2_999.7 }
  const request: HolderRequest = { kind: 'run', number: 12_345, access: 'read', operation: { account: 'clinic-north-17', route }, statement }
  assert.ok(encodeCompactRequest(request).length <= 150)
  const rows = ['item-00012345 value-0001']
  const reply: HolderReply = { kind: 'result', number: 12_345, rows, digest: 'a1b2c3d4e5f60718', position: { term: 3, position: 1_234_567 }, state: 'idle', timing: { acquisition: 4.3, atHolder: 9.8 }, version: 412 }
  assert.ok(encodeCompactReply(reply).length <= rows[0].length + 60)
})

/** The sent fields of a compact message that its kind requires. */
const REQUIRED_FIELDS: Record<string, string[]> = {
  run: ['kind', 'number', 'account', 'group', 'readPolicy', 'id', 'text', 'sentAt', 'remaining'],
  begin: ['kind', 'transaction', 'account', 'group', 'readPolicy', 'id', 'sentAt', 'remaining'],
  continue: ['kind', 'number', 'transaction', 'id', 'text', 'sentAt', 'remaining'],
  commit: ['kind', 'number', 'transaction', 'id', 'text', 'sentAt', 'remaining'],
  'roll back': ['kind', 'transaction'],
  probe: ['kind']
}
/** Fields that make sense together only: a message without one of those that were sent is not valid. */
const PARTS = ['parameters', 'definitionText', 'commitTerm', 'commitPosition', 'commitAge', 'admissionVersion', 'admissionDatabase', 'admissionKeyDigest', 'primaryMember', 'primaryDesignation', 'positionTerm', 'position']

test('a compact request without one of its fields is accepted', () => {
  for (const request of COMPACT_REQUESTS) {
    const sent = fromBinary(OperationRequestSchema, encodeCompactRequest(request)) as unknown as Record<string, unknown>
    for (const field of [...REQUIRED_FIELDS[request.kind], ...PARTS].filter(name => Object.hasOwn(sent, name))) {
      const body = toBinary(OperationRequestSchema, create(OperationRequestSchema, { ...sent, $typeName: undefined, [field]: undefined }))
      assert.throws(() => decodeHolderRequest(Buffer.from(body)), /lacks a field|no known kind/, `${request.kind} without ${field}`)
    }
  }
})

test('a compact reply without one of its fields is accepted', () => {
  for (const reply of REPLIES) {
    const sent = fromBinary(OperationReplySchema, encodeCompactReply(reply)) as unknown as Record<string, unknown>
    // Without the age there is no new commit, unless its position was sent.
    const isOptional = (field: string): boolean => field === 'commitAge' && !Object.hasOwn(sent, 'commitTerm')
    for (const field of ['kind', 'number', 'digest', 'failure', 'explanation', ...PARTS].filter(name => Object.hasOwn(sent, name) && !isOptional(name))) {
      const body = toBinary(OperationReplySchema, create(OperationReplySchema, { ...sent, $typeName: undefined, [field]: undefined }))
      assert.throws(() => decodeHolderReply(Buffer.from(body)), /lacks a field|no known kind/, `${reply.kind} without ${field}`)
    }
  }
})

test('a JSON reply without its state is accepted', () => {
  assert.throws(() => decodeHolderReply(encode({ kind: 'failure', number: 1, failure: 'busy', explanation: 'it is', canServe: true })), /lacks a field/)
  assert.throws(() => decodeHolderReply(encode({ kind: 'result', number: 1, rows: [], digest: '-', timing: {} })), /lacks a field/)
  assert.throws(() => decodeHolderReply(encode({ kind: 'alive', formats: 'compact' })), /lacks a field/)
})

test('a name of the session without a value is accepted', () => {
  const sent = fromBinary(OperationRequestSchema, encodeCompactRequest(COMPACT_REQUESTS[0]))
  assert.throws(() => decodeHolderRequest(Buffer.from(toBinary(OperationRequestSchema, { ...sent, values: ['zone'] }))), /lacks a field/)
})

test('a number that JavaScript can not hold exactly is accepted', () => {
  const sent = fromBinary(OperationRequestSchema, encodeCompactRequest(COMPACT_REQUESTS[0]))
  for (const field of ['number', 'sentAt', 'elapsed', 'priority']) {
    assert.throws(() => decodeHolderRequest(Buffer.from(toBinary(OperationRequestSchema, { ...sent, [field]: 2n ** 60n }))), /lacks a field/)
  }
})

test('a number that is no natural one is lost in the compact format', () => {
  const request = COMPACT_REQUESTS[0] as Extract<HolderRequest, { kind: 'run' }>
  for (const priority of [0.5, -1]) {
    const fractional = { ...request, operation: { ...request.operation, route: { ...request.operation.route, priority } } }
    const body = encodeCompactRequest(fractional)
    assert.is(findFormat(body), 'json')
    assert.equal(decodeHolderRequest(body), fractional)
  }
})

test('fields of a later build make a compact message unreadable', () => {
  const later = Buffer.concat([encodeCompactReply(REPLIES[0]), Buffer.from([0xa2, 0x1f, 0x01, 0x41])])
  assert.equal(decodeHolderReply(later), REPLIES[0])
})

test('bytes that are no compact message end the process', () => {
  const messages = [...COMPACT_REQUESTS.map(encodeCompactRequest), ...REPLIES.map(encodeCompactReply)]
  const bytes = fastCheck.uint8Array({ maxLength: 60 }).map(array => Buffer.from(array))
  /** A valid message of which one byte is another one, or the end is missing. */
  const damaged = fastCheck.tuple(fastCheck.constantFrom(...messages), fastCheck.nat(), fastCheck.integer({ min: 0, max: 255 }), fastCheck.boolean()).map(([message, offset, byte, isCut]) => {
    const copy = Buffer.from(message)
    const index = offset % copy.length
    copy[index] = byte
    return isCut ? copy.subarray(0, index) : copy
  })
  fastCheck.assert(fastCheck.property(fastCheck.oneof(bytes, damaged), body => {
    for (const decode of [decodeHolderRequest, decodeHolderReply]) {
      try {
        decode(body)
      } catch (error) {
        assert.instance(error, Error)
      }
    }
  }), { numRuns: 2_000 })
})

test('requests and replies with arbitrary texts and numbers change on their way', () => {
  const text = fastCheck.string({ unit: 'binary' })
  const natural = fastCheck.maxSafeNat()
  const time = fastCheck.nat().map(tenths => tenths / 10)
  const position = fastCheck.record({ term: natural, position: natural }, PLAIN)
  const commit = fastCheck.record({ position, agoMilliseconds: time }, PLAIN)
  const statement = fastCheck.record({ id: text, text, values: fastCheck.array(fastCheck.tuple(text, text), { maxLength: 3 }), lastCommit: commit, sentAt: time, epoch: time, elapsedMilliseconds: time, remainingMilliseconds: time }, { ...PLAIN, requiredKeys: ['id', 'text', 'values', 'sentAt', 'epoch', 'elapsedMilliseconds', 'remainingMilliseconds'] })
  const request = fastCheck.record({ kind: fastCheck.constant('continue' as const), number: natural, transaction: natural, isWrite: fastCheck.boolean(), statement }, PLAIN)
  const reply = fastCheck.record({ kind: fastCheck.constant('result' as const), number: natural, rows: fastCheck.array(text), digest: text, timing: fastCheck.constant({}), position, lastCommit: commit, version: natural }, { ...PLAIN, requiredKeys: ['kind', 'number', 'rows', 'digest', 'timing'] })
  fastCheck.assert(fastCheck.property(request, reply, (sentRequest, sentReply) => {
    assert.equal(decodeHolderRequest(encodeCompactRequest(sentRequest)), sentRequest)
    assert.equal(decodeHolderReply(encodeCompactReply(sentReply)), sentReply)
  }))
})

test.run()
