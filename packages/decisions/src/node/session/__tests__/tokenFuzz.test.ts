import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SessionTokenError, decodeToken, encodeToken } from '../token.js'

const SECRET = 'a secret of the test'
const RUNS = { seed: 3, numRuns: 2_000 }
const TOKEN = encodeToken(new Map([['padron', { term: 3, position: 42 }]]), SECRET)

function assertReadOrRefused (text: string): void {
  try {
    decodeToken(text, SECRET)
  } catch (error) {
    assert.instance(error, SessionTokenError, String((error as Error).stack))
  }
}

test('any text is decoded or refused with a SessionTokenError', () => {
  fc.assert(fc.property(fc.oneof(fc.string({ maxLength: 200 }), fc.base64String(), fc.tuple(fc.base64String(), fc.base64String()).map(parts => parts.join('.'))), assertReadOrRefused), RUNS)
})

test('a changed token is refused', () => {
  fc.assert(fc.property(fc.nat(TOKEN.length - 1), fc.constantFrom('A', 'z', '.', '-', '\u0000', '\ud83d'), (at, character) => {
    const changed = TOKEN.slice(0, at) + character + TOKEN.slice(at + 1)
    if (changed === TOKEN) return
    assert.throws(() => decodeToken(changed, SECRET), (error: unknown) => error instanceof SessionTokenError)
  }), RUNS)
})

test.run()
