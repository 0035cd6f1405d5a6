import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { classify, loadParser } from '../classify.js'
import { readStartupOptions, settingFault, settingStatements } from '../settings.js'

test.before(loadParser)

test('equal settings need no statements', () => {
  assert.is(settingStatements(new Map([['timezone', ['UTC']]]), new Map([['timezone', ['UTC']]])), '')
})

test('another session\'s settings are reset', () => {
  const text = settingStatements(new Map([['timezone', ['UTC']], ['lock_timeout', ['5']]]), new Map([['lock_timeout', ['7']]]))
  assert.is(text, 'RESET timezone; SET lock_timeout TO \'7\'')
})

test('a value can\'t break out of its quotes', () => {
  for (const value of ['a\'; drop table visits; --', 'a\\\'; drop table visits; --']) {
    const { statements } = classify(settingStatements(new Map(), new Map([['application_name', [value]]])))
    assert.equal(statements, [{ kind: 'setting', setting: 'application_name', values: [value] }])
  }
})

test('a list keeps its items', () => {
  assert.equal(classify('set search_path to a, "B c"').statements[0], { kind: 'setting', setting: 'search_path', values: ['a', 'B c'] })
})

test('a setting outside the list is refused', () => {
  assert.is(classify('set role other').statements[0].kind, 'unsupported')
  assert.is(classify('set session authorization other').statements[0].kind, 'unsupported')
  assert.match(settingFault('session_replication_role', ['replica']) ?? '', /can't be kept/)
})

test('client_encoding accepts only UTF8', () => {
  assert.is(settingFault('client_encoding', ['UTF8']), undefined)
  assert.match(settingFault('client_encoding', ['LATIN1']) ?? '', /only/)
})

test('startup options are parsed', () => {
  assert.equal(readStartupOptions('-c statement_timeout=5 --search-path=a\\ b'), [['statement_timeout', '5'], ['search_path', 'a b']])
})

test.run()
