/** The log of a stand-in backend server: records in order, each of one term. */

import { appendFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
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
}

/** Last position up to which two logs are the same. */
export function commonPosition (left: TermRun[], right: TermRun[]): number {
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

function runsOf (records: readonly LogRecord[]): TermRun[] {
  const runs: TermRun[] = []
  for (const { term, position } of records) {
    const run = runs.at(-1)
    if (run !== undefined && run[0] === term) run[1] = position
    else runs.push([term, position])
  }
  return runs
}

/** Opens the log below `folder`; without a folder it lives in memory only. */
export function openServerLog (folder: string | undefined): ServerLog {
  let records: LogRecord[] = []
  let adopted = 0
  const recordsFile = folder === undefined ? undefined : join(folder, 'records.jsonl')
  const termFile = folder === undefined ? undefined : join(folder, 'term')
  if (folder !== undefined) mkdirSync(folder, { recursive: true })
  if (recordsFile !== undefined && existsSync(recordsFile)) {
    // A kill can tear the last line; the stand-in loses that record, as an unsynced server would.
    const lines = readFileSync(recordsFile, 'utf8').split('\n').slice(0, -1)
    records = lines.map(line => JSON.parse(line) as LogRecord)
  }
  if (termFile !== undefined && existsSync(termFile)) adopted = Number(readFileSync(termFile, 'utf8'))

  return {
    append: record => {
      records.push(record)
      if (recordsFile !== undefined) appendFileSync(recordsFile, `${JSON.stringify(record)}\n`)
    },
    truncate: position => {
      if (position >= records.length) return
      records = records.slice(0, position)
      if (recordsFile !== undefined) writeFileSync(recordsFile, records.map(record => `${JSON.stringify(record)}\n`).join(''))
    },
    last: () => ({ term: records.at(-1)?.term ?? 0, position: records.at(-1)?.position ?? 0 }),
    records: () => records,
    runs: () => runsOf(records),
    adoptedTerm: () => adopted,
    adopt: term => {
      adopted = term
      if (termFile !== undefined) writeFileSync(termFile, String(term))
    }
  }
}
