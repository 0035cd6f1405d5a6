import { test } from 'uvu'
import * as assert from 'uvu/assert'
import fc from 'fast-check'
import { INITIAL_CONFIGURATION, applyConfigurationCommand, changeSince, linesAt, linesOf } from '../state.js'
import { diffRules } from '../../rules/delta.js'
import type { ConfigurationState } from '../state.js'
import type { RuleLine } from '../../rules/rules.js'

function submit (state: ConfigurationState, number: number, lines: RuleLine[], digest = `digest ${number}`): ReturnType<typeof applyConfigurationCommand> {
  return applyConfigurationCommand(state, { kind: 'submit', number, digest, operator: 'ana', acceptedAt: 0, ...diffRules(linesOf(state), lines) })
}

function sorted (lines: readonly RuleLine[]): string[] {
  return lines.map(({ identity, text }) => `${identity}=${text}`).sort()
}

const revisionLists = fc.array(fc.uniqueArray(fc.record({ identity: fc.constantFrom('a', 'b', 'c', 'd'), text: fc.constantFrom('1', '2', '3') }), { selector: ({ identity }) => identity }), { minLength: 1, maxLength: 8 })

test('every older configuration can be rebuilt, and every watcher can catch up', () => {
  fc.assert(fc.property(revisionLists, revisions => {
    let state = INITIAL_CONFIGURATION
    for (const [index, lines] of revisions.entries()) state = submit(state, index + 1, lines).state
    for (const [index, lines] of revisions.entries()) {
      assert.equal(sorted(linesAt(state, index + 1) ?? []), sorted(lines))
      const change = changeSince(state, index + 1)
      const caughtUp = new Map<string, string>(lines.map(({ identity, text }) => [identity, text]))
      for (const identity of change?.removed ?? []) caughtUp.delete(identity)
      for (const { identity, text } of change?.added ?? []) caughtUp.set(identity, text)
      assert.equal(sorted([...caughtUp].map(([identity, text]) => ({ identity, text }))), sorted(linesOf(state)))
    }
  }), { seed: 5 })
})

test('a configuration number is accepted only once', () => {
  const first = submit(INITIAL_CONFIGURATION, 1, [{ identity: 'a', text: '1' }], 'one')
  assert.equal(first.outcome, { kind: 'accepted', number: 1 })
  assert.equal(submit(first.state, 1, [], 'one').outcome, { kind: 'accepted', number: 1 })
  assert.is(submit(first.state, 1, [], 'two').outcome.kind, 'conflict')
  assert.is(submit(first.state, 1, [], 'two').state, first.state)
  assert.equal(submit(first.state, 3, [], 'three').outcome, { kind: 'out of order', next: 2 })
})

test.run()
