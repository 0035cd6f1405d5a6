import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FaultyFileError, parseRules } from '@cyclamenusher/decisions'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { resolveConfig } from '../config.js'
import { SETTINGS } from '../settings.js'
import type { Config } from '../config.js'

const EXAMPLES = new URL('../../../../../../playground/', import.meta.url).pathname
const folder = mkdtempSync(join(tmpdir(), 'config-test-'))
writeFileSync(join(folder, 'secret'), 'a secret of the test')
writeFileSync(join(folder, 'password'), 'a password of the test')
const settingsFile = join(folder, 'settings.toml')

function resolveText (text: string): Config {
  writeFileSync(settingsFile, text)
  return resolveConfig(settingsFile)
}

function readFaults (text: string): string {
  try {
    resolveText(text)
  } catch (error) {
    if (error instanceof FaultyFileError) return error.message.replaceAll(settingsFile, 'settings.toml')
    throw error
  }
  return ''
}

const ENTRY = readFileSync(join(EXAMPLES, 'entry.toml'), 'utf8')

for (const name of ['entry.toml', 'control.toml']) {
  test(`the example ${name} is accepted`, () => {
    copyFileSync(join(EXAMPLES, name), join(folder, name))
    assert.is(resolveConfig(join(folder, name)).instance.failureDomain, 'la-plata')
  })
}

test('the example rules are accepted', () => {
  const { rules } = parseRules('rules.toml', readFileSync(join(EXAMPLES, 'rules.toml'), 'utf8'))
  assert.equal([...rules.failure_domains.keys()], ['la-plata', 'conurbano', 'mar-del-plata'])
})

test('every fault is reported with its line and remedy in one pass', () => {
  const message = readFaults(ENTRY
    .replace('listen = "127.0.0.1:6432"', 'listen = "localhost:6432"')
    .replace('secret_file = "secret"', 'secret_fiel = "secret"')
    .replace('[metrics]', '[rates]\nwait_milliseconds = 5000\n\n[metrics]'))
  const findLine = (text: string): number => readFileSync(settingsFile, 'utf8').split('\n').findIndex(line => line.includes(text)) + 1
  assert.match(message, new RegExp(`settings\\.toml:${findLine('localhost')}: callers\\.listen is "localhost:6432"\\. Write an IP number and a port`))
  assert.match(message, new RegExp(`settings\\.toml:${findLine('secret_fiel')}: calls has no field secret_fiel\\. Did you mean secret_file`))
  assert.match(message, new RegExp(`settings\\.toml:${findLine('5000')}: rates\\.wait_milliseconds is 5000\\. Write a number from 0 to 1000`))
})

test('faults of fields, of combinations and of files are reported in one pass', () => {
  const message = readFaults(ENTRY
    .replace('clear_text_keys = true', 'clear_text_keys = false')
    .replace('secret_file = "secret"', 'secret_file = "missing"')
    .replace('[metrics]', '[failover]\nsilence_milliseconds = 1\n\n[metrics]'))
  assert.match(message, /failover\.silence_milliseconds is 1/)
  assert.match(message, /callers have neither TLS nor leave/)
  assert.match(message, /calls\.secret_file/)
})

test('control.domain_address must be one of control.addresses', () => {
  const message = readFaults(ENTRY.replace('addresses = ["127.0.0.1:7501"]', 'addresses = ["127.0.0.1:7501"]\ndomain_address = "127.0.0.1:7999"'))
  assert.match(message, /control\.domain_address is 127\.0\.0\.1:7999, which is not in control\.addresses/)
})

test('arbitrary settings are accepted or refused with a FaultyFileError', () => {
  const word = fc.oneof(fc.constantFrom(...Object.keys(SETTINGS), ...Object.values(SETTINGS).flatMap(fields => Object.keys(fields)), 'constructor', '__proto__', 'toString'), fc.string({ maxLength: 8 }))
  const value = fc.oneof(fc.constantFrom('1', '-1', 'nan', 'true', '"secret"', '["entry"]', '["control"]', '[1]', '{}', '"127.0.0.1:99999"', '"999.1.1.1:1"', '"[::1]:5"', '["127.0.0.1:1"]'), fc.string({ maxLength: 12 }))
  const line = fc.oneof(word.map(name => `[${name}]`), fc.tuple(word, value).map(([name, given]) => `${name} = ${given}`), fc.constantFrom(...ENTRY.split('\n')))
  fc.assert(fc.property(fc.array(line, { maxLength: 25 }), lines => {
    try {
      resolveText(lines.join('\n'))
    } catch (error) {
      assert.instance(error, FaultyFileError, String((error as Error).stack))
    }
  }), { seed: 21, numRuns: 1_000 })
})

test('invalid IP addresses and ports are refused', () => {
  for (const bad of ['127.0.0.1:99999', '999.1.1.1:6432', '[1::2::3]:6432']) {
    assert.match(readFaults(ENTRY.replace('127.0.0.1:6432', bad)), /callers\.listen is/)
  }
})

test.after(() => { rmSync(folder, { recursive: true }) })
test.run()
