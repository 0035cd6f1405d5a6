import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestLog } from '../requestLog.js'
import type { LogFacts } from '../../process/logger.js'

function logOf () {
  let now = 0
  const lines: Array<{ sentence: string, facts?: LogFacts }> = []
  const keep = (sentence: string, facts?: LogFacts): void => { lines.push({ sentence, facts }) }
  return { log: createRequestLog({ error: keep, warn: keep, info: keep, debug: keep }, { now: () => now }), lines, pass: (milliseconds: number) => { now += milliseconds } }
}

test('failures beyond the cap are counted', () => {
  const { log, lines, pass } = logOf()
  for (let turn = 0; turn < 100; turn += 1) log.answered('A statement failed.', { id: String(turn), failure: 'busy' })
  assert.is(lines.length, 20)
  pass(1_500)
  log.answered('A statement failed.', { id: 'next', failure: 'busy' })
  assert.equal(lines.slice(20), [{ sentence: 'Lines were left out.', facts: { 'A statement failed.': 80 } }, { sentence: 'A statement failed.', facts: { id: 'next', failure: 'busy' } }])
})

test('successes are sampled', () => {
  const { log, lines } = logOf()
  for (let turn = 0; turn < 100; turn += 1) log.answered('complete', { id: String(turn) })
  assert.equal(lines.map(({ facts }) => facts), [{ id: '49', sampled: 50 }, { id: '99', sampled: 50 }])
})

test.run()
