import { test } from 'uvu'
import * as assert from 'uvu/assert'
import * as fastCheck from 'fast-check'
import { decodeHolderReply, decodeHolderRequest } from '../messages.js'

const STATEMENT = { id: 'id-1', text: 'FETCH a', values: [['zone', 'north']], sentAt: 1, epoch: 0, elapsedMilliseconds: 0, remainingMilliseconds: 100 }
const OPERATION = { account: 'clinic', route: { group: 'g', readPolicy: 'primary', priority: 1 } }
const REQUESTS: Array<Record<string, unknown>> = [
  { kind: 'run', number: 1, access: 'read', operation: OPERATION, statement: STATEMENT },
  { kind: 'begin', transaction: 1, readOnly: false, operation: OPERATION, statement: STATEMENT },
  { kind: 'continue', number: 1, transaction: 1, isWrite: true, statement: STATEMENT },
  { kind: 'commit', number: 1, transaction: 1, statement: STATEMENT },
  { kind: 'roll back', transaction: 1 }
]

function encode (value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value))
}

test('requests are read as they were sent', () => {
  for (const request of REQUESTS) assert.equal(decodeHolderRequest(encode(request)), request)
})

// A field that was missing was first missed when the operation ran.
test('a request without one of its fields is accepted', () => {
  for (const request of REQUESTS) {
    for (const field of Object.keys(request).filter(name => !['kind', 'readOnly', 'isWrite'].includes(name))) {
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

test.run()
