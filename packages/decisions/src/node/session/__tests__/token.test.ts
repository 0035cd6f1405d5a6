import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_TOKEN, MAXIMUM_TOKEN_GROUPS, SessionTokenError, advanceToken, decodeToken, encodeToken } from '../token.js'

test('a token is unchanged after encoding and decoding', () => {
  const token = advanceToken(EMPTY_TOKEN, 'padron', { term: 3, position: 41 })
  assert.equal([...decodeToken(encodeToken(token, 'secret'), 'secret')], [...token])
})

test('a position in a token never moves back', () => {
  const token = advanceToken(EMPTY_TOKEN, 'padron', { term: 3, position: 41 })
  assert.equal(advanceToken(token, 'padron', { term: 2, position: 99 }).get('padron'), { term: 3, position: 41 })
  assert.equal(advanceToken(token, 'padron', { term: 4, position: 5 }).get('padron'), { term: 4, position: 5 })
})

test('a token that was changed or signed with another secret is refused', () => {
  const text = encodeToken(advanceToken(EMPTY_TOKEN, 'padron', { term: 3, position: 41 }), 'secret')
  assert.throws(() => decodeToken(text, 'another'), (error: Error) => error instanceof SessionTokenError)
  assert.throws(() => decodeToken(text.slice(0, -1), 'secret'), (error: Error) => error instanceof SessionTokenError)
  assert.throws(() => decodeToken(`x${text}`, 'secret'), (error: Error) => error instanceof SessionTokenError)
})

test('a full token drops the least recently used group', () => {
  let token = EMPTY_TOKEN
  for (let index = 0; index <= MAXIMUM_TOKEN_GROUPS; index += 1) token = advanceToken(token, `group-${index}`, { term: 1, position: 1 })
  assert.is(token.size, MAXIMUM_TOKEN_GROUPS)
  assert.is(token.has('group-0'), false)
})

test.run()
