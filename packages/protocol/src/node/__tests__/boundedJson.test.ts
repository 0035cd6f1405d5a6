import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { MAXIMUM_JSON_NESTING, parseBoundedJson } from '../boundedJson.js'

function nestLists (levels: number): string {
  return '['.repeat(levels) + ']'.repeat(levels)
}

test('a text is read up to the deepest nesting', () => {
  assert.equal(parseBoundedJson(nestLists(MAXIMUM_JSON_NESTING)), JSON.parse(nestLists(MAXIMUM_JSON_NESTING)))
  assert.throws(() => parseBoundedJson(nestLists(MAXIMUM_JSON_NESTING + 1)), /nested deeper/)
  assert.throws(() => parseBoundedJson('{"a":'.repeat(100_000)), /nested deeper/)
})

test('brackets in strings do not count', () => {
  const brackets = '[{'.repeat(1_000)
  assert.is(parseBoundedJson(JSON.stringify(brackets)), brackets)
  assert.is(parseBoundedJson(JSON.stringify(`"\\${brackets}\\"`)), `"\\${brackets}\\"`)
  assert.throws(() => parseBoundedJson(`"a"${nestLists(100)}`), /nested deeper/)
})

test('what is not nested too deeply is read as JSON.parse reads it', () => {
  fc.assert(fc.property(fc.jsonValue({ maxDepth: 5 }), value => { assert.equal(parseBoundedJson(JSON.stringify(value)), JSON.parse(JSON.stringify(value))) }), { seed: 1, numRuns: 500 })
  fc.assert(fc.property(fc.string(), text => {
    const read = (parse: (text: string) => unknown): unknown => {
      try {
        return { value: parse(text) }
      } catch {
        return undefined
      }
    }
    assert.equal(read(parseBoundedJson), read(JSON.parse))
  }), { seed: 1, numRuns: 500 })
})

test.run()
