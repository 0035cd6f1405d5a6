/** The log of a stand-in backend server: records in order, each of one term. */

import { appendFileSync, existsSync, mkdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Operation } from './store.js'

/** One committed transaction, or the empty record that opens a term. */
export interface LogRecord {
  term: number
  position: number
  operations: Operation[]
}

/** Records of one term in a row: the term and the position of its last record. */
export type TermRun = [term: number, lastPosition: number]

export interface ServerLog {
  append: (record: LogRecord) => void
  /** Drops every record behind `position`. */
  truncate: (position: number) => void
  last: () => { term: number, position: number }
  records: () => readonly LogRecord[]
  runs: () => TermRun[]
  /** The adopted term, kept beside the records. */
  adoptedTerm: () => number
  adopt: (term: number) => void
  /** Whether the folder holds what the member ever held; false on an empty one, until `admit`. */
  isVoting: () => boolean
  admit: () => void
}

/** What a member keeps beside its records. */
interface PersistedState {
  adoptedTerm: number
  voting: boolean
}

/** Last position up to which two logs are the same. */
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

/** Replaces a file in one step, so that a kill leaves the old text or the new. */
function replaceFile (file: string, text: string): void {
  writeFileSync(`${file}.new`, text)
  renameSync(`${file}.new`, file)
}

function renderRecords (records: readonly LogRecord[]): string {
  return records.map(record => `${JSON.stringify(record)}\n`).join('')
}

function readRecords (file: string): LogRecord[] {
  // A kill can tear the last line; the stand-in loses that record, as an unsynced server would.
  const lines = readFileSync(file, 'utf8').split('\n')
  const records = lines.slice(0, -1).map(line => JSON.parse(line) as LogRecord)
  if (lines.at(-1) !== '') replaceFile(file, renderRecords(records))
  return records
}

/** Opens the log below `folder`; without a folder it lives in memory only. */
export function openServerLog (folder: string | undefined): ServerLog {
  let records: LogRecord[] = []
  let state: PersistedState = { adoptedTerm: 0, voting: false }
  const recordsFile = folder === undefined ? undefined : join(folder, 'records.jsonl')
  const stateFile = folder === undefined ? undefined : join(folder, 'state.json')
  if (folder !== undefined) mkdirSync(folder, { recursive: true })
  // Either file alone is what is left of a broken disk.
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
