import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { appendFileSync, copyFileSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import fc from 'fast-check'
import { DamagedLogError, DiskError } from '../errors.js'
import { SYSTEM_DISK, openLogStorage } from '../logStorage.js'
import { decodeRecords, encodeRecord } from '../recordFile.js'
import { keepLines, temporaryFolder } from './controlInstances.js'
import type { LogEntry } from '@cyclamenusher/decisions'

const lines: string[] = []
const logger = keepLines(lines)

function entry (index: number): LogEntry {
  return { kind: 'command', index, term: 1, command: `command ${index}` }
}

function fill (folder: string, count: number): void {
  const storage = openLogStorage(folder, logger)
  storage.persist({ kind: 'persist', vote: { term: 1, votedFor: 'a' } })
  for (let index = 1; index <= count; index += 1) storage.persist({ kind: 'persist', entries: [entry(index)] })
  storage.close()
}

function reopen (folder: string): number[] {
  const storage = openLogStorage(folder, logger)
  storage.close()
  return storage.durable.log.map(({ index }) => index)
}

test('what was written is read again', () => {
  const folder = temporaryFolder()
  fill(folder, 3)
  const { durable, identity, persist, close } = openLogStorage(folder, logger)
  assert.equal([durable.term, durable.votedFor, durable.log.length], [1, 'a', 3])
  persist({ kind: 'persist', truncateFrom: 2, entries: [{ ...entry(2), term: 2 }] })
  close()
  const again = openLogStorage(folder, logger)
  assert.equal(again.durable.log.map(({ term }) => term), [1, 2])
  assert.is(again.identity, identity)
  again.close()
  rmSync(folder, { recursive: true })
})

test('a last record cut short at any byte is dropped', () => {
  const folder = temporaryFolder()
  fill(folder, 3)
  const file = join(folder, 'log')
  const whole = readFileSync(file)
  const last = encodeRecord({ entries: [entry(3)] }).length
  for (let missing = 1; missing <= last; missing += 1) {
    writeFileSync(file, whole)
    truncateSync(file, whole.length - missing)
    const storage = openLogStorage(folder, logger)
    assert.equal(storage.durable.log.map(({ index }) => index), [1, 2], `${missing} bytes are missing`)
    storage.persist({ kind: 'persist', entries: [entry(3)] })
    storage.close()
    assert.equal(reopen(folder), [1, 2, 3], `${missing} bytes were missing`)
  }
  assert.ok(lines.includes('A record that was not wholly written was cut off.'))
  writeFileSync(file, whole)
  appendFileSync(file, Buffer.alloc(100))
  assert.equal(reopen(folder), [1, 2, 3])
  rmSync(folder, { recursive: true })
})

test('a damaged byte before the last record stops the start', () => {
  const folder = temporaryFolder()
  fill(folder, 3)
  const file = join(folder, 'log')
  const whole = readFileSync(file)
  const last = encodeRecord({ entries: [entry(3)] }).length
  for (let place = 0; place < whole.length - last; place += 1) {
    const damaged = Buffer.from(whole)
    damaged[place] ^= 0x10
    writeFileSync(file, damaged)
    assert.throws(() => reopen(folder), (error: Error) => error instanceof DamagedLogError && /Move the data folder away/.test(error.message), `byte ${place}`)
  }
  rmSync(folder, { recursive: true })
})

test('a damaged snapshot or a missing identity stops the start', () => {
  const folder = temporaryFolder()
  fill(folder, 1)
  writeFileSync(join(folder, 'snapshot'), 'no record')
  assert.throws(() => reopen(folder), (error: Error) => error instanceof DamagedLogError)
  rmSync(join(folder, 'snapshot'))
  rmSync(join(folder, 'identity'))
  assert.throws(() => reopen(folder), (error: Error) => error instanceof DamagedLogError)
  rmSync(folder, { recursive: true })
})

test('a crash between snapshot and log keeps what follows', () => {
  const folder = temporaryFolder()
  fill(folder, 5)
  const old = join(folder, 'old')
  copyFileSync(join(folder, 'log'), old)
  const storage = openLogStorage(folder, logger)
  storage.persist({ kind: 'persist', snapshot: { index: 3, term: 1, members: [], data: 'state' }, entries: [entry(4), entry(5)] })
  storage.persist({ kind: 'persist', entries: [entry(6)] })
  storage.close()
  assert.equal(reopen(folder), [4, 5, 6])
  copyFileSync(old, join(folder, 'log'))
  assert.equal(reopen(folder), [4, 5])
  rmSync(folder, { recursive: true })
})

test('an error of the disk says what to do', () => {
  const folder = temporaryFolder()
  let full = false
  const disk = {
    ...SYSTEM_DISK,
    write: (descriptor: number, bytes: Buffer) => {
      if (full) throw new Error('ENOSPC: no space left on device, write')
      SYSTEM_DISK.write(descriptor, bytes)
    }
  }
  const storage = openLogStorage(folder, logger, disk)
  full = true
  assert.throws(() => { storage.persist({ kind: 'persist', entries: [entry(1)] }) }, (error: Error) => error instanceof DiskError && /Free space/.test(error.message))
  storage.close()
  rmSync(folder, { recursive: true })
})

test('random bytes are never taken for records', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
    const { values, length } = decodeRecords(Buffer.from(bytes))
    return values.length === 0 && length === 0
  }), { seed: 1, numRuns: 500 })
})

test.run()
