/**
 * Stores the identity, the snapshot and the log of a control instance in its data
 * folder. Every write is synced to disk before it returns. After a refused write the
 * contents of the files are unknown: they must be written anew before any other write.
 */

import { randomBytes } from 'node:crypto'
import { closeSync, existsSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, rmSync, writeSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { EMPTY_DURABLE_STATE, applyPersist } from '@cyclamenusher/decisions'
import { DamagedLogError, DiskError } from './errors.js'
import { decodeRecords, encodeRecord } from './recordFile.js'
import type { DurableState, LogSnapshot, PersistEffect } from '@cyclamenusher/decisions'
import type { ScopedLogger } from '../logger.js'

/** Disk operations, which tests replace to simulate failures. */
export interface Disk {
  write: (descriptor: number, bytes: Buffer) => void
  sync: (descriptor: number) => void
  truncate: (descriptor: number, length: number) => void
}

export const SYSTEM_DISK: Disk = {
  write: (descriptor, bytes) => {
    for (let offset = 0; offset < bytes.length;) offset += writeSync(descriptor, bytes, offset)
  },
  sync: fsyncSync,
  truncate: ftruncateSync
}

export interface LogStorage {
  /** Random; a new one is created if the data folder was lost. */
  identity: string
  /** State that was read when the folder was opened, with all changes that were synced since. */
  durable: () => DurableState
  /** Whether the files must be written anew, because the disk refused a write. */
  needsRewrite: () => boolean
  /** Writes the durable state to new files. @throws DiskError */
  rewrite: () => void
  /** Returns once the change is synced to disk. @throws DiskError */
  persist: (effect: PersistEffect) => void
  close: () => void
}

type LogRecord = Omit<PersistEffect, 'kind' | 'snapshot'>

function syncFolder (folder: string, disk: Disk): void {
  const descriptor = openSync(folder, 'r')
  try {
    disk.sync(descriptor)
  } finally {
    closeSync(descriptor)
  }
}

/** Replaces a file atomically: writes a temporary file, then renames it. */
function replaceFile (file: string, bytes: Buffer, disk: Disk): void {
  const temporaryFile = `${file}.new`
  const descriptor = openSync(temporaryFile, 'w', 0o600)
  try {
    disk.write(descriptor, bytes)
    disk.sync(descriptor)
  } catch (error) {
    // What was written of it would take room on a full disk.
    rmSync(temporaryFile, { force: true })
    throw error
  } finally {
    closeSync(descriptor)
  }
  renameSync(temporaryFile, file)
  syncFolder(dirname(file), disk)
}

/** Reads the record of a file that holds only one; returns undefined if there is no file. */
function readSingleRecord (file: string): unknown {
  if (!existsSync(file)) return undefined
  const { values, length } = decodeRecords(readFileSync(file))
  if (values.length === 0) throw new DamagedLogError(file, `byte ${length}`, 'its checksum is wrong')
  return values[0]
}

function ensureIdentity (folder: string, disk: Disk): string {
  const file = join(folder, 'identity')
  const existing = readSingleRecord(file) as { identity: string } | undefined
  if (existing !== undefined) return existing.identity
  if (existsSync(join(folder, 'log'))) throw new DamagedLogError(file, 'byte 0', 'the file is missing although there is a log')
  const identity = randomBytes(12).toString('hex')
  replaceFile(file, encodeRecord({ identity }), disk)
  return identity
}

/** Computes the state from the snapshot and the records of the log. */
function replayLog (snapshot: LogSnapshot, records: LogRecord[], file: string): DurableState {
  let durable: DurableState = EMPTY_DURABLE_STATE
  for (const record of records) durable = applyPersist(durable, { kind: 'persist', ...record })
  // After a crash between the writes of the snapshot and the log, the log is older than the snapshot.
  const matches = snapshot.index === 0 || durable.log.some(({ index, term }) => index === snapshot.index && term === snapshot.term) || durable.log[0]?.index === snapshot.index + 1
  const log = matches ? durable.log.filter(({ index }) => index > snapshot.index) : []
  for (const [offset, entry] of log.entries()) {
    if (entry.index !== snapshot.index + 1 + offset) throw new DamagedLogError(file, `entry ${snapshot.index + 1 + offset}`, 'the entry is missing')
  }
  return { term: durable.term, votedFor: durable.votedFor, snapshot, log }
}

export function openLogStorage (folder: string, logger: ScopedLogger, disk: Disk = SYSTEM_DISK): LogStorage {
  mkdirSync(folder, { recursive: true, mode: 0o700 })
  syncFolder(dirname(folder), disk)
  const identity = ensureIdentity(folder, disk)
  const logFile = join(folder, 'log')
  const snapshotFile = join(folder, 'snapshot')
  const snapshot = (readSingleRecord(snapshotFile) as LogSnapshot | undefined) ?? EMPTY_DURABLE_STATE.snapshot
  const bytes = existsSync(logFile) ? readFileSync(logFile) : Buffer.alloc(0)
  const { values, length, damagedAt } = decodeRecords(bytes)
  if (damagedAt !== undefined) throw new DamagedLogError(logFile, `byte ${damagedAt}`, 'a record with a wrong checksum is followed by valid ones')
  let durable = replayLog(snapshot, values as LogRecord[], logFile)
  let descriptor = openSync(logFile, 'a', 0o600)
  let needsRewrite = false

  function openLogFile (): void {
    try {
      if (length < bytes.length) {
        disk.truncate(descriptor, length)
        logger.warn('An incompletely written record was removed from the end of the log.', { file: logFile, at: length, bytes: bytes.length - length })
      }
      disk.sync(descriptor)
      syncFolder(folder, disk)
    } catch (error) {
      needsRewrite = true
      logger.warn('The disk refused a write when the log was opened.', { file: logFile, reason: (error as Error).message })
    }
  }

  function writeSnapshot (next: DurableState): void {
    replaceFile(snapshotFile, encodeRecord(next.snapshot), disk)
  }

  function writeLog ({ term, votedFor, log }: DurableState): void {
    replaceFile(logFile, encodeRecord({ vote: { term, votedFor }, entries: log } satisfies LogRecord), disk)
    const replaced = descriptor
    descriptor = openSync(logFile, 'a', 0o600)
    closeSync(replaced)
  }

  /** The newer snapshot comes first: the log that it replaces holds all that follows it. */
  function compact (next: DurableState): void {
    writeSnapshot(next)
    writeLog(next)
  }

  /** The log comes first: a newer snapshot that a refused compaction left can stand before it, but an older one not before a newer log. */
  function rewrite (): void {
    writeLog(durable)
    writeSnapshot(durable)
  }

  /** @throws DiskError */
  function writeToDisk (write: () => void): void {
    try {
      write()
      needsRewrite = false
    } catch (error) {
      needsRewrite = true
      throw new DiskError(folder, error as Error)
    }
  }

  function appendRecord ({ vote, truncateFrom, entries }: PersistEffect): void {
    disk.write(descriptor, encodeRecord({ vote, truncateFrom, entries } satisfies LogRecord))
    disk.sync(descriptor)
  }

  openLogFile()
  return {
    identity,
    durable: () => durable,
    needsRewrite: () => needsRewrite,
    rewrite: () => { writeToDisk(rewrite) },
    persist: effect => {
      if (needsRewrite) throw new DiskError(folder, new Error('an earlier write was refused'))
      const next = applyPersist(durable, effect)
      writeToDisk(() => { effect.snapshot === undefined ? appendRecord(effect) : compact(next) })
      durable = next
    },
    close: () => { closeSync(descriptor) }
  }
}
