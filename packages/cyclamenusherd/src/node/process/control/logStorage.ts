/**
 * The data folder of a control instance: its identity, a snapshot and the log.
 * Every write is synced before it returns; an error of the disk is final.
 */

import { randomBytes } from 'node:crypto'
import { closeSync, existsSync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, writeSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { EMPTY_DURABLE_STATE, applyPersist } from '@cyclamenusher/decisions'
import { DamagedLogError, DiskError } from './errors.js'
import { decodeRecords, encodeRecord } from './recordFile.js'
import type { DurableState, LogSnapshot, PersistEffect } from '@cyclamenusher/decisions'
import type { ScopedLogger } from '../logger.js'

/** The calls to the disk that tests make fail. */
export interface Disk {
  write: (descriptor: number, bytes: Buffer) => void
  sync: (descriptor: number) => void
}

export const SYSTEM_DISK: Disk = {
  write: (descriptor, bytes) => {
    for (let offset = 0; offset < bytes.length;) offset += writeSync(descriptor, bytes, offset)
  },
  sync: fsyncSync
}

export interface LogStorage {
  /** Random; a folder that was lost makes another. */
  identity: string
  /** What the folder held at the start. */
  durable: DurableState
  /** Returns when the change is on the disk. @throws DiskError */
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

/** Writes a file aside, then puts it in its place in one step. */
function replaceFile (file: string, bytes: Buffer, disk: Disk): void {
  const temporaryFile = `${file}.new`
  const descriptor = openSync(temporaryFile, 'w', 0o600)
  try {
    disk.write(descriptor, bytes)
    disk.sync(descriptor)
  } finally {
    closeSync(descriptor)
  }
  renameSync(temporaryFile, file)
  syncFolder(dirname(file), disk)
}

/** The one record of a file that is always replaced whole. */
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
  if (existsSync(join(folder, 'log'))) throw new DamagedLogError(file, 'its place', 'it is missing beside a log')
  const identity = randomBytes(12).toString('hex')
  replaceFile(file, encodeRecord({ identity }), disk)
  return identity
}

/** The state that the records of the log make of the snapshot. */
function replayLog (snapshot: LogSnapshot, records: LogRecord[], file: string): DurableState {
  let durable: DurableState = EMPTY_DURABLE_STATE
  for (const record of records) durable = applyPersist(durable, { kind: 'persist', ...record })
  // A crash may fall between a new snapshot and the log that belongs to it.
  const matches = snapshot.index === 0 || durable.log.some(({ index, term }) => index === snapshot.index && term === snapshot.term) || durable.log[0]?.index === snapshot.index + 1
  const log = matches ? durable.log.filter(({ index }) => index > snapshot.index) : []
  for (const [offset, entry] of log.entries()) {
    if (entry.index !== snapshot.index + 1 + offset) throw new DamagedLogError(file, `entry ${snapshot.index + 1 + offset}`, 'it is missing')
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
  if (damagedAt !== undefined) throw new DamagedLogError(logFile, `byte ${damagedAt}`, 'a record with a wrong checksum stands before whole ones')
  let durable = replayLog(snapshot, values as LogRecord[], logFile)
  let descriptor = openSync(logFile, 'a', 0o600)
  if (length < bytes.length) {
    ftruncateSync(descriptor, length)
    logger.warn('A record that was not wholly written was cut off.', { file: logFile, at: length, bytes: bytes.length - length })
  }
  disk.sync(descriptor)
  syncFolder(folder, disk)

  function writeSnapshotAndLog (next: DurableState): void {
    replaceFile(snapshotFile, encodeRecord(next.snapshot), disk)
    const { term, votedFor, log } = next
    replaceFile(logFile, encodeRecord({ vote: { term, votedFor }, entries: log } satisfies LogRecord), disk)
    closeSync(descriptor)
    descriptor = openSync(logFile, 'a', 0o600)
  }

  function persist (effect: PersistEffect): void {
    const { vote, truncateFrom, entries } = effect
    const next = applyPersist(durable, effect)
    try {
      if (effect.snapshot === undefined) {
        disk.write(descriptor, encodeRecord({ vote, truncateFrom, entries } satisfies LogRecord))
        disk.sync(descriptor)
      } else {
        writeSnapshotAndLog(next)
      }
    } catch (error) {
      throw new DiskError(folder, error as Error)
    }
    durable = next
  }

  return { identity, durable, persist, close: () => { closeSync(descriptor) } }
}
