import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FaultyFileError } from '../../settings/toml.js'
import { NO_RULES, applyDelta } from '../delta.js'
import { parseRules } from '../rules.js'

const RUNS = { seed: 5, numRuns: 1_500 }

const word = fc.oneof(
  fc.constantFrom('accounts', 'keys', 'databases', 'access', 'open', 'failure_domains', 'constructor', '__proto__', 'toString', 'rate', 'burst', 'weight', 'account', 'digest', 'clinic', '"a b"', "''"),
  fc.string({ maxLength: 8 })
)
const value = fc.oneof(fc.constantFrom('1', '-1', '1e400', 'nan', 'inf', 'true', '"clinic"', '"\\u0000"', '[1]', '{}', '1979-05-27', '0x7fffffffffffffff', '"""a\nb"""'), fc.string({ maxLength: 12 }))
const fields = fc.array(fc.tuple(word, value).map(([name, given]) => `${name} = ${given}`), { maxLength: 4 }).map(list => `{ ${list.join(', ')} }`)
const line = fc.oneof(
  fc.tuple(word, word, fields, fc.constantFrom('', ' # asked for by Ana')).map(([table, name, rule, comment]) => `${table}.${name} = ${rule}${comment}`),
  word.map(table => `[${table}]`),
  fc.tuple(word, value).map(([name, given]) => `${name} = ${given} # x`),
  fc.string({ maxLength: 30 })
)

function assertReadOrRefused (read: () => unknown): void {
  try {
    read()
  } catch (error) {
    assert.instance(error, FaultyFileError, String((error as Error).stack))
    for (const fault of (error as FaultyFileError).faults) {
      assert.ok(fault.line >= 1 && fault.problem !== '' && fault.remedy !== '')
    }
  }
}

test('any rules text is parsed, or refused with a line and a remedy for each fault', () => {
  fc.assert(fc.property(fc.array(line, { maxLength: 8 }), lines => { assertReadOrRefused(() => parseRules('rules.toml', lines.join('\n'))) }), RUNS)
})

test('any delta is applied or refused', () => {
  fc.assert(fc.property(fc.array(line, { maxLength: 4 }), fc.array(fc.oneof(word, fc.constant('__proto__.x'), fc.constant('keys.')), { maxLength: 4 }), (addedTexts, removed) => {
    assertReadOrRefused(() => applyDelta(NO_RULES, { removed, addedTexts }))
  }), RUNS)
})

test('a field named like a property of every object is refused', () => {
  assert.throws(() => parseRules('rules.toml', 'accounts.clinic = { rate = 1, burst = 1, constructor = 1 } # x'), /has no field constructor/)
})

test.run()
