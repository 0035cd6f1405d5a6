import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FrameTooLongError, MalformedFrameError } from '../errors.js'
import { createFrameSplitter } from '../frames.js'
import { BACKEND, buildDataRow, buildErrorResponse, buildFrame, readDataRow, readErrorResponse } from '../messages.js'

const SEED = 20261204

function split (bytes: Buffer, cuts: readonly number[], maximumBytes = 100_000): Buffer[] {
  const frames: Buffer[] = []
  const splitter = createFrameSplitter(maximumBytes, frame => { frames.push(Buffer.from(frame.bytes)) })
  let offset = 0
  for (const cut of [...cuts].sort((left, right) => left - right)) {
    splitter.push(bytes.subarray(offset, Math.min(cut, bytes.length)))
    offset = Math.min(cut, bytes.length)
  }
  splitter.push(bytes.subarray(offset))
  return frames
}

test('frames are complete wherever the stream is split', () => {
  const payloads = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 12 })
  fc.assert(fc.property(payloads, fc.array(fc.nat(4_000), { maxLength: 20 }), (parts, cuts) => {
    const frames = parts.map(part => buildFrame(BACKEND.dataRow, part))
    assert.equal(split(Buffer.concat(frames), cuts).map(frame => frame.toString('hex')), frames.map(frame => frame.toString('hex')))
  }), { seed: SEED, numRuns: 200 })
})

test('random bytes yield frames or a framing error', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), bytes => {
    try {
      split(Buffer.from(bytes), [])
    } catch (error) {
      assert.ok(error instanceof FrameTooLongError || error instanceof MalformedFrameError)
    }
  }), { seed: SEED, numRuns: 500 })
})

test('a frame over the limit is rejected before its payload arrives', () => {
  const header = Buffer.from([BACKEND.dataRow, 0x7f, 0xff, 0xff, 0xff])
  assert.throws(() => split(header, []), (error: Error) => error instanceof FrameTooLongError)
})

test('built rows and errors are read back unchanged', () => {
  const row = buildDataRow(['one', null, 'two words', ''])
  assert.equal(readDataRow({ type: row[0], bytes: row }), ['one', null, 'two words', ''])
  const error = buildErrorResponse({ severity: 'ERROR', code: '57P03', message: 'no server' })
  assert.equal(readErrorResponse({ type: error[0], bytes: error }), { severity: 'ERROR', code: '57P03', message: 'no server' })
})

test.run()
