import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_RULES, applyDelta, diffRules } from '../delta.js'
import { digestLines, parseRules } from '../rules.js'

const GOOD = [
  '[accounts]',
  'clinic = { rate = 200, burst = 400 } # asked for by Ana',
  '[databases]',
  'padron = { group = "padron-1" } # asked for by Ana',
  '[access]',
  'clinic-padron = { account = "clinic", database = "padron", write = true } # asked for by Ana'
]

function faultsOf (lines: string[]): string {
  try {
    parseRules('rules.toml', lines.join('\n'))
  } catch (error) {
    return (error as Error).message
  }
  return ''
}

test('valid rules are parsed, with defaults', () => {
  const { rules } = parseRules('rules.toml', GOOD.join('\n'))
  assert.is(rules.accounts.get('clinic')?.rate, 200)
  assert.is(rules.accounts.get('clinic')?.weight, 1)
  assert.is(rules.databases.get('padron')?.members, 3)
})

test('a rule without a comment is refused with its line number', () => {
  assert.match(faultsOf(GOOD.with(3, 'padron = { group = "padron-1" }')), /^rules\.toml:4: databases\.padron does not say who asked for it\. Add a comment/)
})

test('all faults are reported together', () => {
  const message = faultsOf([...GOOD.with(1, 'clinic = { rate = -1, burst = 400, brust = 2 } # asked for by Ana'), '[wishes]', 'more = { a = 1 } # x'])
  assert.match(message, /rules\.toml:2: accounts\.clinic\.rate is -1\. Write a number from 0/)
  assert.match(message, /accounts\.clinic has no field brust/)
  assert.match(message, /rules\.toml:8: there is no rule table wishes/)
})

test('a reference to a missing database is refused', () => {
  assert.match(faultsOf(GOOD.filter(line => !line.startsWith('padron'))), /access\.clinic-padron names padron, which is not in databases/)
})

test('applying a delta gives the rules of the next configuration', () => {
  const before = parseRules('rules.toml', GOOD.join('\n'))
  const after = parseRules('rules.toml', [...GOOD.with(1, 'clinic = { rate = 50, burst = 400 } # asked for by Luis'), '[keys]', `one = { account = "clinic", digest = "sha256:${'a'.repeat(64)}" } # asked for by Luis`].join('\n'))
  const delta = diffRules(before.lines, after.lines)
  assert.is(delta.added.length, 2)
  const held = applyDelta(NO_RULES, { removed: [], addedTexts: before.lines.map(({ text }) => text) })
  assert.equal(held.rules, before.rules)
  const updated = applyDelta(held, { removed: delta.removed, addedTexts: delta.added.map(({ text }) => text) })
  assert.is(digestLines([...updated.lines].map(([identity, text]) => ({ identity, text }))), after.digest)
  assert.equal(updated.rules, after.rules)
})

test('a delta removes rules', () => {
  const whole = parseRules('rules.toml', GOOD.join('\n'))
  const held = applyDelta(NO_RULES, { removed: [], addedTexts: whole.lines.map(({ text }) => text) })
  const updated = applyDelta(held, { removed: ['access.clinic-padron', 'nonsense'], addedTexts: [] })
  assert.is(updated.rules.access.size, 0)
  assert.is(updated.lines.size, whole.lines.length - 1)
  assert.is(held.rules.access.size, 1, 'the previous rules are unchanged')
})

test.run()
