import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { appendFileSync, copyFileSync, readFileSync, readdirSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import fc from 'fast-check'
import { DamagedLogError, DiskError } from '../errors.js'
import { SYSTEM_DISK, openLogStorage } from '../logStorage.js'
import { decodeRecords, encodeRecord } from '../recordFile.js'
import { createFillingDisk, createRecordingLogger, createTemporaryFolder } from './controlInstances.js'
import type { LogEntry, PersistEffect } from '@cyclamenusher/decisions'
import type { Disk } from '../logStorage.js'

const lines: string[] = []
const logger = createRecordingLogger(lines)

function entry (index: number): LogEntry {
  return { kind: 'command', index, term: 1, command: `command ${index}` }
}

function writeEntries (folder: string, count: number): void {
  const storage = openLogStorage(folder, logger)
  storage.persist({ kind: 'persist', vote: { term: 1, votedFor: 'a' } })
  for (let index = 1; index <= count; index += 1) storage.persist({ kind: 'persist', entries: [entry(index)] })
  storage.close()
}

function reopenIndexes (folder: string): number[] {
  const storage = openLogStorage(folder, logger)
  storage.close()
  return storage.durable().log.map(({ index }) => index)
}

test('the vote, the entries and the identity are read when the folder is opened again', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 3)
  const { durable, identity, persist, close } = openLogStorage(folder, logger)
  assert.equal([durable().term, durable().votedFor, durable().log.length], [1, 'a', 3])
  persist({ kind: 'persist', truncateFrom: 2, entries: [{ ...entry(2), term: 2 }] })
  close()
  const reopened = openLogStorage(folder, logger)
  assert.equal(reopened.durable().log.map(({ term }) => term), [1, 2])
  assert.is(reopened.identity, identity)
  reopened.close()
  rmSync(folder, { recursive: true })
})

test('an incomplete last record of any length is dropped', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 3)
  const file = join(folder, 'log')
  const whole = readFileSync(file)
  const last = encodeRecord({ entries: [entry(3)] }).length
  for (let missingBytes = 1; missingBytes <= last; missingBytes += 1) {
    writeFileSync(file, whole)
    truncateSync(file, whole.length - missingBytes)
    const storage = openLogStorage(folder, logger)
    assert.equal(storage.durable().log.map(({ index }) => index), [1, 2], `${missingBytes} bytes are missing`)
    storage.persist({ kind: 'persist', entries: [entry(3)] })
    storage.close()
    assert.equal(reopenIndexes(folder), [1, 2, 3], `${missingBytes} bytes were missing`)
  }
  assert.ok(lines.includes('An incompletely written record was removed from the end of the log.'))
  writeFileSync(file, whole)
  appendFileSync(file, Buffer.alloc(100))
  assert.equal(reopenIndexes(folder), [1, 2, 3])
  rmSync(folder, { recursive: true })
})

test('a damaged byte before the last record prevents opening the folder', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 3)
  const file = join(folder, 'log')
  const whole = readFileSync(file)
  const last = encodeRecord({ entries: [entry(3)] }).length
  for (let offset = 0; offset < whole.length - last; offset += 1) {
    const damaged = Buffer.from(whole)
    damaged[offset] ^= 0x10
    writeFileSync(file, damaged)
    assert.throws(() => reopenIndexes(folder), (error: Error) => error instanceof DamagedLogError && /Move the data folder away/.test(error.message), `byte ${offset}`)
  }
  rmSync(folder, { recursive: true })
})

test('a damaged snapshot or a missing identity prevents opening the folder', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 1)
  writeFileSync(join(folder, 'snapshot'), 'no record')
  assert.throws(() => reopenIndexes(folder), (error: Error) => error instanceof DamagedLogError)
  rmSync(join(folder, 'snapshot'))
  rmSync(join(folder, 'identity'))
  assert.throws(() => reopenIndexes(folder), (error: Error) => error instanceof DamagedLogError)
  rmSync(folder, { recursive: true })
})

test('a crash between the writes of snapshot and log keeps the entries after the snapshot', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 5)
  const old = join(folder, 'old')
  copyFileSync(join(folder, 'log'), old)
  const storage = openLogStorage(folder, logger)
  storage.persist({ kind: 'persist', snapshot: { index: 3, term: 1, members: [], data: 'state' }, entries: [entry(4), entry(5)] })
  storage.persist({ kind: 'persist', entries: [entry(6)] })
  storage.close()
  assert.equal(reopenIndexes(folder), [4, 5, 6])
  copyFileSync(old, join(folder, 'log'))
  assert.equal(reopenIndexes(folder), [4, 5])
  rmSync(folder, { recursive: true })
})

/** Opens a folder with three entries whose disk is full from then on. */
function openOnFullDisk () {
  const folder = createTemporaryFolder()
  writeEntries(folder, 3)
  const { disk, setFull } = createFillingDisk()
  const storage = openLogStorage(folder, logger, disk)
  setFull(true)
  return { folder, storage, setFull }
}

test('a disk error names a remedy', () => {
  const { folder, storage } = openOnFullDisk()
  assert.throws(() => { storage.persist({ kind: 'persist', entries: [entry(4)] }) }, (error: Error) => error instanceof DiskError && /Free space/.test(error.message))
  storage.close()
  rmSync(folder, { recursive: true })
})

// The next record would follow half a record, and the log could not be read again.
test('a record follows one that the disk refused', () => {
  const { folder, storage, setFull } = openOnFullDisk()
  assert.throws(() => { storage.persist({ kind: 'persist', entries: [entry(4)] }) })
  assert.throws(() => { storage.rewrite() }, (error: Error) => error instanceof DiskError)
  setFull(false)
  assert.throws(() => { storage.persist({ kind: 'persist', entries: [entry(4)] }) }, /an earlier write was refused/)
  storage.rewrite()
  storage.persist({ kind: 'persist', entries: [entry(4)] })
  storage.close()
  assert.equal(reopenIndexes(folder), [1, 2, 3, 4])
  rmSync(folder, { recursive: true })
})

test('a refused compaction leaves its files on the full disk', () => {
  const { folder, storage } = openOnFullDisk()
  const before = readdirSync(folder)
  assert.throws(() => { storage.persist({ kind: 'persist', snapshot: { index: 2, term: 1, members: [], data: 'state' }, entries: [entry(3)] }) })
  assert.equal(readdirSync(folder), before)
  assert.equal(storage.durable().log.map(({ index }) => index), [1, 2, 3])
  storage.close()
  assert.equal(reopenIndexes(folder), [1, 2, 3])
  rmSync(folder, { recursive: true })
})

/** A disk that fails after a number of operations. */
function createFailingDisk (operations: number): Disk {
  let left = operations
  const spend = (): void => {
    left -= 1
    if (left < 0) throw new Error('EIO: i/o error')
  }
  return {
    write: (descriptor, bytes) => {
      spend()
      SYSTEM_DISK.write(descriptor, bytes)
    },
    sync: descriptor => {
      spend()
      SYSTEM_DISK.sync(descriptor)
    },
    truncate: SYSTEM_DISK.truncate
  }
}

const COMPACTION: PersistEffect = { kind: 'persist', snapshot: { index: 3, term: 1, members: [], data: 'state' }, entries: [entry(4), entry(5)] }
const INSTALLATION: PersistEffect = { kind: 'persist', snapshot: { index: 9, term: 2, members: [], data: 'state' }, entries: [] }
/** Writes and syncs of two files that are replaced, each with its folder. */
const OPERATIONS_OF_TWO_FILES = 6

/** Writes a snapshot to a disk that fails, then all files anew on a disk that fails again; returns the index of the last entry that a restart reads. */
function crashWhileRewriting (effect: PersistEffect, operations: number, operationsAnew: number): number | undefined {
  const folder = createTemporaryFolder()
  writeEntries(folder, 5)
  let disk = SYSTEM_DISK
  const storage = openLogStorage(folder, logger, { write: (...given) => { disk.write(...given) }, sync: (...given) => { disk.sync(...given) }, truncate: SYSTEM_DISK.truncate })
  disk = createFailingDisk(operations)
  assert.throws(() => { storage.persist(effect) }, (error: Error) => error instanceof DiskError)
  disk = createFailingDisk(operationsAnew)
  try {
    storage.rewrite()
  } catch (error) {
    assert.ok(error instanceof DiskError)
  }
  storage.close()
  const reopened = openLogStorage(folder, logger)
  reopened.close()
  rmSync(folder, { recursive: true })
  const { snapshot, log } = reopened.durable()
  return log.at(-1)?.index ?? snapshot.index
}

// The older snapshot stood beside the log that followed the newer one, which was then given up.
for (const [name, effect, lastIndexes] of [['a compaction', COMPACTION, [5]], ['a snapshot of the leader', INSTALLATION, [5, 9]]] as const) {
  test(`a crash while the files are written anew after ${name} was refused loses entries`, () => {
    for (let operations = 0; operations < OPERATIONS_OF_TWO_FILES; operations += 1) {
      for (let operationsAnew = 0; operationsAnew <= OPERATIONS_OF_TWO_FILES; operationsAnew += 1) {
        const lastIndex = crashWhileRewriting(effect, operations, operationsAnew)
        assert.ok(lastIndexes.some(index => index === lastIndex), `${operations} operations, then ${operationsAnew}: ${lastIndex}`)
      }
    }
  })
}

// The process ended at each start until there was room.
test('a log that ends in half a record is not opened on a full disk', () => {
  const folder = createTemporaryFolder()
  writeEntries(folder, 3)
  const file = join(folder, 'log')
  truncateSync(file, readFileSync(file).length - 5)
  let isFull = true
  const storage = openLogStorage(folder, logger, {
    ...SYSTEM_DISK,
    truncate: (descriptor, length) => {
      if (isFull) throw new Error('ENOSPC: no space left on device, ftruncate')
      SYSTEM_DISK.truncate(descriptor, length)
    }
  })
  assert.ok(storage.needsRewrite())
  isFull = false
  storage.rewrite()
  assert.not.ok(storage.needsRewrite())
  storage.persist({ kind: 'persist', entries: [entry(3)] })
  storage.close()
  assert.equal(reopenIndexes(folder), [1, 2, 3])
  rmSync(folder, { recursive: true })
})

test('random bytes are never read as records', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
    const { values, length } = decodeRecords(Buffer.from(bytes))
    return values.length === 0 && length === 0
  }), { seed: 1, numRuns: 500 })
})

test.run()
