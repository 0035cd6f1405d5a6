import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRequestLog } from '../requestLog.js'
import type { LogFacts } from '../../process/logger.js'

function createLog () {
  let now = 0
  const lines: Array<{ sentence: string, facts?: LogFacts }> = []
  const record = (sentence: string, facts?: LogFacts): void => { lines.push({ sentence, facts }) }
  return { log: createRequestLog({ error: record, warn: record, info: record, debug: record }, { now: () => now }), lines, advance: (milliseconds: number) => { now += milliseconds } }
}

test('failures above the limit per second are counted instead of logged', () => {
  const { log, lines, advance } = createLog()
  for (let index = 0; index < 100; index += 1) log.logAnswer('A statement failed.', { failure: 'busy' }, () => ({ id: String(index), failure: 'busy' }))
  assert.is(lines.length, 20)
  advance(1_500)
  log.logAnswer('A statement failed.', { failure: 'busy' }, () => ({ id: 'next', failure: 'busy' }))
  assert.equal(lines.slice(20), [{ sentence: 'Lines were left out.', facts: { 'A statement failed.': 80 } }, { sentence: 'A statement failed.', facts: { id: 'next', failure: 'busy' } }])
})

test('one success in 50 is logged', () => {
  const { log, lines } = createLog()
  for (let index = 0; index < 100; index += 1) log.logAnswer('complete', {}, () => ({ id: String(index) }))
  assert.equal(lines.map(({ facts }) => facts), [{ id: '49', sampled: 50 }, { id: '99', sampled: 50 }])
})

// The facts of each success were collected, of which one in 50 was written.
test('facts are collected for lines that are left out', () => {
  const { log } = createLog()
  let described = 0
  const describe = (): LogFacts => {
    described += 1
    return {}
  }
  for (let index = 0; index < 100; index += 1) log.logAnswer('complete', {}, describe)
  for (let index = 0; index < 100; index += 1) log.logAnswer('A statement failed.', {}, describe)
  assert.is(described, 22)
})

test.run()
