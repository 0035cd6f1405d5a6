/**
 * What a caller sent up to a point where it waits for an answer: one simple
 * query, or the messages of the extended protocol up to Sync or Flush.
 */

import { classify } from '@cyclamenusher/decisions'
import { FRONTEND, readCString } from '@cyclamenusher/protocol'
import { RefusalError } from './refusal.js'
import type { StatementClass, StatementKind } from '@cyclamenusher/decisions'
import type { Frame } from '@cyclamenusher/protocol'

/** A statement that a caller prepared. */
export interface PreparedStatement {
  /** The Parse message as the caller sent it. */
  frame: Buffer
  text: string
  statements: StatementClass[]
}

/** A message of a batch, with the prepared statement that it uses or makes. */
export interface BatchMessage {
  type: number
  bytes: Buffer
  /** Name of the statement at the caller; undefined: the message names none. */
  statementName?: string
}

export interface Batch {
  messages: BatchMessage[]
  /** All statements, in order. */
  statements: StatementClass[]
  /** Text of the first statement, for logs and explanations. */
  text: string
  /** Ends with Sync or is a simple query: the backend server will be ready after it. */
  complete: boolean
  simple: boolean
}

/** What all statements of a batch need together. */
export type BatchNeed = 'read' | 'write' | 'setting' | 'empty'

const WRITES: ReadonlySet<StatementKind> = new Set(['write', 'begin', 'commit', 'rollback', 'savepoint', 'local setting'])

function classifyOrRefuse (text: string): StatementClass[] {
  const { statements } = classify(text)
  // A text that the parser can't read goes to the primary, whose own message says why.
  return statements.length === 0 ? [{ kind: 'write' }] : statements
}

export function readSimpleQuery (frame: Frame): Batch {
  const [text] = readCString(frame.bytes, FRAME_TEXT_OFFSET)
  return { messages: [{ type: frame.type, bytes: frame.bytes }], statements: classifyOrRefuse(text), text, complete: true, simple: true }
}

const FRAME_TEXT_OFFSET = 5

/** Statements that a caller prepared, by name. */
export type PreparedStatements = Map<string, PreparedStatement>

/** Most statements that one caller may keep prepared. */
const MAXIMUM_PREPARED = 1_000

type ExtendedReader = (frame: Frame, prepared: PreparedStatements, batch: Batch, portals: Map<string, string>) => BatchMessage

const EXTENDED_READERS: Record<number, ExtendedReader> = {
  [FRONTEND.parse]: (frame, prepared, batch) => {
    const [name, next] = readCString(frame.bytes, FRAME_TEXT_OFFSET)
    const [text] = readCString(frame.bytes, next)
    if (prepared.size >= MAXIMUM_PREPARED && !prepared.has(name)) throw new RefusalError('not supported', `a caller may keep ${MAXIMUM_PREPARED} statements prepared`, 'not run', 'Close the ones that are no longer used.')
    prepared.set(name, { frame: frame.bytes, text, statements: classifyOrRefuse(text) })
    if (batch.text === '') batch.text = text
    return { type: frame.type, bytes: frame.bytes, statementName: name }
  },
  [FRONTEND.bind]: (frame, prepared, batch, portals) => {
    const [portal, next] = readCString(frame.bytes, FRAME_TEXT_OFFSET)
    const [name] = readCString(frame.bytes, next)
    portals.set(portal, name)
    const statement = prepared.get(name)
    if (statement !== undefined && batch.text === '') batch.text = statement.text
    return { type: frame.type, bytes: frame.bytes, statementName: name }
  },
  [FRONTEND.describe]: (frame) => {
    const [name] = readCString(frame.bytes, FRAME_TEXT_OFFSET + 1)
    const ofStatement = frame.bytes[FRAME_TEXT_OFFSET] === 0x53
    return { type: frame.type, bytes: frame.bytes, ...(ofStatement ? { statementName: name } : {}) }
  },
  [FRONTEND.execute]: (frame, prepared, batch, portals) => {
    const [portal] = readCString(frame.bytes, FRAME_TEXT_OFFSET)
    const statement = prepared.get(portals.get(portal) ?? '')
    batch.statements.push(...statement?.statements ?? [{ kind: 'write' }])
    return { type: frame.type, bytes: frame.bytes }
  },
  [FRONTEND.close]: (frame, prepared) => {
    const [name] = readCString(frame.bytes, FRAME_TEXT_OFFSET + 1)
    const ofStatement = frame.bytes[FRAME_TEXT_OFFSET] === 0x53
    if (ofStatement) prepared.delete(name)
    return { type: frame.type, bytes: frame.bytes, ...(ofStatement ? { statementName: name } : {}) }
  }
}

/** Reads the messages of the extended protocol that make one batch. */
export function readExtendedBatch (frames: readonly Frame[], prepared: PreparedStatements, portals: Map<string, string>): Batch {
  const batch: Batch = { messages: [], statements: [], text: '', complete: frames.at(-1)?.type === FRONTEND.sync, simple: false }
  for (const frame of frames) {
    const read = EXTENDED_READERS[frame.type]
    batch.messages.push(read === undefined ? { type: frame.type, bytes: frame.bytes } : read(frame, prepared, batch, portals))
  }
  return batch
}

/** What the batch needs; refuses what has no place on a shared connection. */
export function needOf (batch: Batch): BatchNeed {
  const kinds = batch.statements.map(({ kind }) => kind)
  const unsupported = batch.statements.find(({ kind }) => kind === 'unsupported')
  if (unsupported !== undefined) {
    throw new RefusalError('not supported', `${unsupported.feature ?? 'this statement'} has no place on a shared connection`, 'not run', 'Connect to the backend server itself for it, or do it within one transaction.')
  }
  if (kinds.includes('setting')) {
    if (kinds.length === 1) return 'setting'
    throw new RefusalError('not supported', 'SET must come alone', 'not run', 'Send SET as a request of its own, or use SET LOCAL in a transaction.')
  }
  // Messages that run nothing, as Parse and Describe alone, must see the newest schema.
  if (kinds.length === 0) return batch.messages.length <= 1 ? 'empty' : 'write'
  if (!batch.complete || kinds.some(kind => WRITES.has(kind))) return 'write'
  return 'read'
}
