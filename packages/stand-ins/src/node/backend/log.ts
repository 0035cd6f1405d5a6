/** The log of a stand-in backend server: records by position, each with its term. */

import { appendFileSync, existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Operation } from './store.js'

/** One committed transaction, or the empty record that opens a term. */
export interface LogRecord {
  term: number
  position: number
  operations: Operation[]
}

/** Consecutive records of one term: the term and the position of the last of these records. */
export type TermRun = [term: number, lastPosition: number]

export interface ServerLog {
  append: (record: LogRecord) => void
  /** Removes every record after `position`. */
  truncate: (position: number) => void
  last: () => { term: number, position: number }
  records: () => readonly LogRecord[]
  runs: () => TermRun[]
  /** The highest term that the member has adopted; stored separately from the records. */
  adoptedTerm: () => number
  adopt: (term: number) => void
  /** Whether the folder has kept everything that the member stored; false for an empty folder until `admit`. */
  isVoting: () => boolean
  admit: () => void
}

/** State that a member stores in addition to its records. */
interface PersistedState {
  adoptedTerm: number
  voting: boolean
}

/** Returns the last position up to which two logs are identical. */
export function findCommonPosition (left: TermRun[], right: TermRun[]): number {
  let common = 0
  for (let index = 0; index < Math.min(left.length, right.length); index += 1) {
    const [leftTerm, leftEnd] = left[index]
    const [rightTerm, rightEnd] = right[index]
    if (leftTerm !== rightTerm) return common
    common = Math.min(leftEnd, rightEnd)
    if (leftEnd !== rightEnd) return common
  }
  return common
}

function collectTermRuns (records: readonly LogRecord[]): TermRun[] {
  const runs: TermRun[] = []
  for (const { term, position } of records) {
    const run = runs.at(-1)
    if (run !== undefined && run[0] === term) run[1] = position
    else runs.push([term, position])
  }
  return runs
}

/** Replaces a file atomically, so that a kill leaves either the old or the new text. */
function replaceFile (file: string, text: string): void {
  writeFileSync(`${file}.new`, text)
  renameSync(`${file}.new`, file)
}

function renderRecords (records: readonly LogRecord[]): string {
  return records.map(record => `${JSON.stringify(record)}\n`).join('')
}

function readRecords (file: string): LogRecord[] {
  // A kill can leave the last line incomplete. That record is dropped, as by a server that had not synced it.
  const lines = readFileSync(file, 'utf8').split('\n')
  const records = lines.slice(0, -1).map(line => JSON.parse(line) as LogRecord)
  if (lines.at(-1) !== '') replaceFile(file, renderRecords(records))
  return records
}

/** Opens the log in `folder`; without a folder, the log is kept in memory only. */
export function openServerLog (folder: string | undefined): ServerLog {
  let records: LogRecord[] = []
  let state: PersistedState = { adoptedTerm: 0, voting: false }
  const recordsFile = folder === undefined ? undefined : join(folder, 'records.jsonl')
  const stateFile = folder === undefined ? undefined : join(folder, 'state.json')
  if (folder !== undefined) mkdirSync(folder, { recursive: true })
  // One file without the other means that state was lost, as after a disk failure: the log then starts empty.
  const hasBothFiles = recordsFile !== undefined && stateFile !== undefined && existsSync(recordsFile) && existsSync(stateFile)
  if (hasBothFiles) {
    records = readRecords(recordsFile)
    state = JSON.parse(readFileSync(stateFile, 'utf8')) as PersistedState
  } else if (recordsFile !== undefined) {
    replaceFile(recordsFile, '')
  }

  function persistState (changes: Partial<PersistedState>): void {
    state = { ...state, ...changes }
    if (stateFile !== undefined) replaceFile(stateFile, JSON.stringify(state))
  }

  persistState({})
  return {
    append: record => {
      records.push(record)
      if (recordsFile !== undefined) appendFileSync(recordsFile, `${JSON.stringify(record)}\n`)
    },
    truncate: position => {
      if (position >= records.length) return
      records = records.slice(0, position)
      if (recordsFile !== undefined) replaceFile(recordsFile, renderRecords(records))
    },
    last: () => ({ term: records.at(-1)?.term ?? 0, position: records.at(-1)?.position ?? 0 }),
    records: () => records,
    runs: () => collectTermRuns(records),
    adoptedTerm: () => state.adoptedTerm,
    adopt: term => { persistState({ adoptedTerm: term }) },
    isVoting: () => state.voting,
    admit: () => { persistState({ voting: true }) }
  }
}
