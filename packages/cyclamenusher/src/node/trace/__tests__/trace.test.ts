import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { runProgram } from '../../program.js'
import { mergeLogs, parseLog } from '../logLines.js'
import { traceRequest } from '../traceRequest.js'
import type { LogLine } from '../logLines.js'
import type { Trace, TraceCause } from '../traceRequest.js'

/** Recorded lines of a run with a slow server that loses answers, replicas behind, a planned replacement of a primary at 28.3 s, and a network cut of a failure domain at 33.5 s. */
const RECORDED = fileURLToPath(new URL('recorded.jsonl', import.meta.url))
const { lines, skipped } = mergeLogs([parseLog(readFileSync(RECORDED, 'utf8'), 'recorded.jsonl')])

/** Failed requests of the run by id, with the injected cause and the message of the line that shows it. */
const INJECTED: Record<string, { cause: TraceCause, decidingMessage: string }> = {
  fabff63f5dc23463: { cause: 'server silent', decidingMessage: 'A statement failed.' },
  '7a094004d99f2c21': { cause: 'server silent', decidingMessage: 'A statement failed.' },
  dfacb802a4252e67: { cause: 'overload', decidingMessage: 'A statement failed.' },
  '508c2817e65dec7a': { cause: 'overload', decidingMessage: 'A statement failed.' },
  '642a643c6ebb6f83': { cause: 'primary replaced', decidingMessage: 'The control of a group moved on.' },
  '6b8931f3b8254055': { cause: 'primary replaced', decidingMessage: 'The control of a group moved on.' },
  d152f88b89477abf: { cause: 'rate', decidingMessage: 'A declaration is in force here.' },
  '5667316928bd0de6': { cause: 'rate', decidingMessage: 'A declaration is in force here.' },
  f053e6ce378d080a: { cause: 'server silent', decidingMessage: 'A backend server does not answer.' },
  ade722f62ca58583: { cause: 'server silent', decidingMessage: 'A backend server does not answer.' },
  fbe12662c8717715: { cause: 'no lease', decidingMessage: 'The lease is over.' },
  f40aefcf5986e51e: { cause: 'no lease', decidingMessage: 'The lease is over.' }
}

function traceRecorded (id: string): Trace {
  const found = traceRequest(lines, id)
  assert.ok(found, id)
  return found
}

async function run (parameters: string[]): Promise<{ code: number, output: string, errors: string }> {
  const output: string[] = []
  const errors: string[] = []
  const code = await runProgram(['node', 'cyclamenusher', ...parameters], { connect: () => { throw new Error('a trace connects to nothing') }, write: text => { output.push(text) }, writeError: text => { errors.push(text) } })
  return { code, output: output.join('\n'), errors: errors.join('\n') }
}

test('the cause of at least nine in ten failed requests is found', () => {
  const found = Object.entries(INJECTED).filter(([id, { cause }]) => traceRecorded(id).cause === cause)
  assert.ok(found.length >= 0.9 * Object.keys(INJECTED).length, `${found.length}`)
})

for (const [id, { cause, decidingMessage }] of Object.entries(INJECTED)) {
  test(`${cause}, ${id}`, () => {
    const trace = traceRecorded(id)
    assert.is(trace.cause, cause)
    assert.ok(trace.deciding)
    assert.is(trace.deciding.message, decidingMessage)
    assert.ok(trace.lines.includes(trace.deciding))
  })
}

function createLine (at: number, message: string, facts: LogLine['facts']): LogLine {
  return { at, process: 'entry-1', message, facts }
}

test('the cause of a withdrawn key is the declaration in force', () => {
  const declared = createLine(1, 'A declaration is in force here.', { version: 9 })
  const refused = createLine(2, 'A statement failed.', { id: 'x', failure: 'key refused', explanation: 'no client account has this key' })
  const trace = traceRequest([declared, refused], 'x')
  assert.is(trace?.cause, 'access')
  assert.is(trace?.deciding, declared)
})

test('a defect is the cause, with its line', () => {
  const defectLine = createLine(1, 'A statement met a defect of the instance.', { id: 'x', reason: 'a defect' })
  const failed = createLine(1, 'A statement failed.', { id: 'x', failure: 'in doubt', explanation: 'the instance failed: a defect' })
  const trace = traceRequest([defectLine, failed], 'x')
  assert.is(trace?.cause, 'defect')
  assert.is(trace?.deciding, defectLine)
})

test('an earlier attempt gives the cause where the last explanation only names a server', () => {
  const retried = createLine(1, 'A read runs again.', { id: 'x', member: 'm', reason: 'lagging: m' })
  const failed = createLine(2, 'A statement failed.', { id: 'x', failure: 'timeout', explanation: 'm' })
  assert.is(traceRequest([retried, failed], 'x')?.cause, 'replica behind')
})

test('a sampled success has the cause served', () => {
  assert.is(traceRequest([createLine(1, 'complete', { id: 'x' })], 'x')?.cause, 'served')
})

test('logs that are not JSON are wrong usage', async () => {
  const { code, errors } = await run(['trace', 'x', fileURLToPath(import.meta.url)])
  assert.is(code, 2)
  assert.match(errors, /log\.format = "json"/)
})

test('lines are in order of time and show the state of the instance that failed', () => {
  const { lines: relatedLines } = traceRecorded('f053e6ce378d080a')
  assert.equal(relatedLines.map(({ at }) => at), relatedLines.map(({ at }) => at).sort((left, right) => left - right))
  const requestLine = relatedLines.find(({ facts }) => facts.id === 'f053e6ce378d080a')
  for (const message of ['The lease is held.', 'A declaration is in force here.']) assert.is(relatedLines.find(line => line.message === message)?.process, requestLine?.process)
})

test('incomplete and foreign lines are skipped and counted', () => {
  assert.is(skipped, 2)
  assert.equal(parseLog('{"message":"no time"}\n[1]\n', 'x'), { lines: [], skipped: 2 })
})

test('the file names the process of lines without a prefix', () => {
  const [line] = parseLog('{"message":"m","timestamp":"2026-01-01T00:00:00.000Z"}', 'entry-1.log').lines
  assert.is(line.process, 'entry-1.log')
})

test('the command marks the deciding line', async () => {
  const { code, output, errors } = await run(['trace', 'fbe12662c8717715', RECORDED])
  assert.is(code, 0)
  assert.match(output, /^> .*The lease is over\./m)
  assert.match(output, /cause: no lease$/)
  assert.match(errors, /2 lines were skipped/)
})

test('--json prints the trace as JSON', async () => {
  const { output } = await run(['trace', 'd152f88b89477abf', RECORDED, '--json'])
  assert.is((JSON.parse(output) as Trace).cause, 'rate')
})

test('an unknown id and a missing file are refused', async () => {
  const unknown = await run(['trace', 'nobody', RECORDED])
  assert.is(unknown.code, 6)
  assert.match(unknown.errors, /none of \d+ lines names request nobody\. Failures are logged up to 20/)
  const missing = await run(['trace', 'nobody', 'nowhere.log'])
  assert.is(missing.code, 2)
  assert.match(missing.errors, /nowhere\.log can't be read \(ENOENT\)/)
})

test.run()
