import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createByteCollector } from '../byteCollector.js'

const MEBIBYTE = 1024 * 1024

test('pieces are lost or out of order', () => {
  const collector = createByteCollector()
  const bytes = Buffer.from(Array.from({ length: 1_000 }, (_, index) => index % 251))
  for (let start = 0; start < bytes.length; start += 7) collector.add(bytes.subarray(start, start + 7))
  assert.is(collector.byteLength(), bytes.length)
  assert.ok(collector.take().equals(bytes))
  assert.is(collector.byteLength(), 0)
  collector.add(Buffer.from('next'))
  assert.is(collector.take().toString(), 'next')
})

// A view of a chunk keeps the whole chunk in memory, and its bytes change with it.
test('pieces are views', () => {
  const collector = createByteCollector()
  const chunk = Buffer.from('before')
  collector.add(chunk)
  chunk.fill('x')
  assert.is(collector.view().toString(), 'before')
})

test('memory of small pieces is many times their bytes', () => {
  const collector = createByteCollector()
  const piece = Buffer.from('x')
  for (let index = 0; index < MEBIBYTE; index += 1) collector.add(piece)
  assert.ok(collector.capacity() <= 2 * MEBIBYTE)
  collector.take()
  assert.is(collector.capacity(), 0)
})

test.run()
