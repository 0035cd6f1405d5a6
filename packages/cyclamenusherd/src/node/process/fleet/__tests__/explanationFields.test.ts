import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkExplanationRequest } from '../explanationFields.js'

test('a request for an explanation with a field of another type is accepted', () => {
  const request = { database: 'd', kind: 'begin', account: 'a', position: { term: 1, position: 2 }, asHolder: true }
  assert.equal(checkExplanationRequest(request), request)
  assert.equal(checkExplanationRequest({ database: 'd', kind: 'read' }), { database: 'd', kind: 'read' })
  for (const change of [{ database: 1 }, { kind: 'delete' }, { kind: 'constructor' }, { kind: undefined }, { account: 7 }, { keyDigest: {} }, { position: { term: 1 } }, { asHolder: 'yes' }]) {
    assert.throws(() => checkExplanationRequest({ ...request, ...change }), /has no valid field/, JSON.stringify(change))
  }
})

test.run()
