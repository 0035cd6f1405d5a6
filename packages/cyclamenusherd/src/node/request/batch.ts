/**
 * Batches: what a caller sends before it waits for a reply. A batch is one simple
 * query, or the messages of the extended protocol up to Sync or Flush.
 */

import { createHash } from 'node:crypto'
import { classify } from '@cyclamenusher/decisions'
import { BACKEND, FRAME_HEADER_BYTES, FRONTEND, buildFrame, cString, readCString } from '@cyclamenusher/protocol'
import { RefusalError } from './refusal.js'
import type { StatementClass, StatementKind } from '@cyclamenusher/decisions'
import type { Frame } from '@cyclamenusher/protocol'

/** A statement that a caller prepared. */
export interface PreparedStatement {
  /** Name at backend servers. It depends on the content only, so that callers share prepared statements. */
  serverName: string
  /** Text and parameter types, as they follow the name in the Parse message. */
  content: Buffer
  text: string
  statements: StatementClass[]
}

/** Statements that a caller prepared, by the caller's name; the unnamed statement has the name "". */
export type PreparedStatements = Map<string, PreparedStatement>

/** A message of a batch, with the prepared statement that it uses, creates or closes. */
export interface BatchMessage {
  type: number
  bytes: Buffer
  /** The caller's name of the statement; undefined: the message names no statement. */
  statementName?: string
  statement?: PreparedStatement
}

export interface Batch {
  messages: BatchMessage[]
  /** Statements that the batch runs, in order. */
  statements: StatementClass[]
  /** Statements that the batch prepares, binds or describes. */
  referenced: StatementClass[]
  /** Whether the batch ends with Sync or is a simple query, so that the backend server answers it with ReadyForQuery. */
  complete: boolean
  simple: boolean
}

/**
 * What a batch as a whole needs in order to run. "setting": a server checks a session
 * setting; "local": the instance answers without a server; "empty": the batch has only
 * Sync or Flush.
 */
export type BatchNeed = 'read' | 'write' | 'setting' | 'local' | 'empty'

/** Portals of a caller's transaction, by name, with the statement that each runs. */
export type Portals = Map<string, PreparedStatement | undefined>

/** Maximum number of statements that one caller may keep prepared. */
const MAXIMUM_PREPARED_PER_CALLER = 1_000
/** Maximum number of portals that one caller may have open. */
const MAXIMUM_PORTALS_PER_CALLER = 1_000
/** Copies of a statement's text that are kept: the bytes, and the text. */
const STATEMENT_COPIES = 2
/** Length of the digest in the name of a statement at backend servers, in characters. */
const NAME_DIGEST_CHARACTERS = 32
/** Name under which no statement is prepared. */
export const UNUSED_STATEMENT_NAME = 'cyclamenusher_none'

const WRITE_KINDS: ReadonlySet<StatementKind> = new Set(['write', 'begin', 'commit', 'rollback', 'savepoint', 'local setting'])
const LOCAL_KINDS: ReadonlySet<StatementKind> = new Set(['reset', 'show session', 'discard', 'deallocate'])
const STATEMENT_BYTE = 0x53

function classifyText (text: string): StatementClass[] {
  const { statements } = classify(text)
  // A text that the parser can't read is sent to the primary, which reports the error itself.
  return statements.length === 0 ? [{ kind: 'write', mayChangeSession: true }] : statements
}

export function readSimpleQuery (frame: Frame): Batch {
  const [text] = readCString(frame.bytes, FRAME_HEADER_BYTES)
  return { messages: [{ type: frame.type, bytes: frame.bytes }], statements: classifyText(text), referenced: [], complete: true, simple: true }
}

function readParse (frame: Frame): [name: string, statement: PreparedStatement] {
  const [name, next] = readCString(frame.bytes, FRAME_HEADER_BYTES)
  const [text] = readCString(frame.bytes, next)
  // A copy, because a view would keep the whole received chunk in memory.
  const content = Buffer.from(frame.bytes.subarray(next))
  const digest = name === '' ? '' : createHash('sha256').update(content).digest('hex').slice(0, NAME_DIGEST_CHARACTERS)
  return [name, { serverName: name === '' ? '' : `cyclamenusher_${digest}`, content, text, statements: classifyText(text) }]
}

/** State that is kept while the messages of one batch are read. */
interface ReadingState {
  prepared: PreparedStatements
  /** Statements that the batch itself prepares, or closes (undefined); they take effect when the server confirms them. */
  changes: Map<string, PreparedStatement | undefined>
  portals: Portals
  batch: Batch
  mayPrepare: (bytes: number) => boolean
}

/** Memory of a prepared statement, in bytes. */
export function measureStatement ({ content }: PreparedStatement): number {
  return content.length * STATEMENT_COPIES
}

function findStatement ({ prepared, changes }: ReadingState, name: string): PreparedStatement | undefined {
  return changes.has(name) ? changes.get(name) : prepared.get(name)
}

function requireStatement (state: ReadingState, name: string): PreparedStatement {
  const statement = findStatement(state, name)
  if (statement === undefined) throw new RefusalError('statement unknown', `prepared statement "${name}" does not exist`)
  state.batch.referenced.push(...statement.statements)
  return statement
}

type ExtendedReader = (frame: Frame, state: ReadingState) => BatchMessage

const EXTENDED_READERS: Record<number, ExtendedReader> = {
  [FRONTEND.parse]: ({ type, bytes }, state) => {
    const [name, statement] = readParse({ type, bytes })
    if (name !== '' && findStatement(state, name) !== undefined) throw new RefusalError('statement exists', `prepared statement "${name}" already exists`)
    if (state.prepared.size + state.changes.size > MAXIMUM_PREPARED_PER_CALLER) throw new RefusalError('limit exceeded', `a caller may keep ${MAXIMUM_PREPARED_PER_CALLER} statements prepared`, 'not run', 'Close the ones that are no longer used.')
    if (name !== '' && !state.mayPrepare(measureStatement(statement))) throw new RefusalError('limit exceeded', 'the prepared statements of callers take too much memory', 'not run', 'Close the ones that are no longer used.')
    state.changes.set(name, statement)
    state.batch.referenced.push(...statement.statements)
    return { type, bytes, statementName: name, statement }
  },
  [FRONTEND.bind]: ({ type, bytes }, state) => {
    const [portal, next] = readCString(bytes, FRAME_HEADER_BYTES)
    const [name] = readCString(bytes, next)
    const statement = requireStatement(state, name)
    if (state.portals.size >= MAXIMUM_PORTALS_PER_CALLER && !state.portals.has(portal)) throw new RefusalError('limit exceeded', `a caller may have ${MAXIMUM_PORTALS_PER_CALLER} portals open`, 'not run', 'Close the ones that are no longer used.')
    state.portals.set(portal, statement)
    return { type, bytes, statementName: name, statement }
  },
  [FRONTEND.describe]: ({ type, bytes }, state) => {
    if (bytes[FRAME_HEADER_BYTES] !== STATEMENT_BYTE) return { type, bytes }
    const [name] = readCString(bytes, FRAME_HEADER_BYTES + 1)
    return { type, bytes, statementName: name, statement: requireStatement(state, name) }
  },
  [FRONTEND.execute]: ({ type, bytes }, { portals, batch }) => {
    const [portal] = readCString(bytes, FRAME_HEADER_BYTES)
    const statement = portals.get(portal)
    batch.statements.push(...statement?.statements ?? [{ kind: 'write' }])
    return { type, bytes, statement }
  },
  [FRONTEND.close]: ({ type, bytes }, state) => {
    const [name] = readCString(bytes, FRAME_HEADER_BYTES + 1)
    if (bytes[FRAME_HEADER_BYTES] !== STATEMENT_BYTE) {
      state.portals.delete(name)
      return { type, bytes }
    }
    const statement = findStatement(state, name)
    state.changes.set(name, undefined)
    return { type, bytes, statementName: name, statement }
  }
}

/**
 * Reads the messages of the extended protocol that form one batch.
 *
 * @throws RefusalError when a message is malformed, or names a statement that is unknown or already exists
 */
export function readExtendedBatch (frames: readonly Frame[], prepared: PreparedStatements, portals: Portals, mayPrepare: (bytes: number) => boolean = () => true): Batch {
  const batch: Batch = { messages: [], statements: [], referenced: [], complete: frames.at(-1)?.type === FRONTEND.sync, simple: false }
  const state: ReadingState = { prepared, changes: new Map(), portals, batch, mayPrepare }
  try {
    for (const frame of frames) batch.messages.push(EXTENDED_READERS[frame.type]?.(frame, state) ?? { type: frame.type, bytes: frame.bytes })
  } catch (error) {
    if (error instanceof RangeError) throw new RefusalError('protocol broken', `a message is cut short: ${error.message}`)
    throw error
  }
  return batch
}

/** Applies the change that `message` makes to the caller's statements, once the server has confirmed it. */
export function confirmStatement ({ type, statementName, statement }: BatchMessage, prepared: PreparedStatements): void {
  if (statementName === undefined) return
  if (type === FRONTEND.parse && statement !== undefined) prepared.set(statementName, statement)
  if (type === FRONTEND.close) prepared.delete(statementName)
}

/** Builds the Parse message that prepares a statement under its name at backend servers. */
export function buildParse ({ serverName, content }: PreparedStatement): Buffer {
  return buildFrame(FRONTEND.parse, cString(serverName), content)
}

export function buildCloseStatement (serverName: string): Buffer {
  return buildFrame(FRONTEND.close, Uint8Array.of(STATEMENT_BYTE), cString(serverName))
}

/** Rebuilds a message with the statement's name at backend servers in place of the caller's name. */
export function renameStatement ({ type, bytes, statement }: BatchMessage): Buffer {
  const name = cString(statement?.serverName ?? UNUSED_STATEMENT_NAME)
  if (type !== FRONTEND.bind) return buildFrame(type, bytes.subarray(FRAME_HEADER_BYTES, FRAME_HEADER_BYTES + 1), name)
  const portalEnd = bytes.indexOf(0, FRAME_HEADER_BYTES) + 1
  const nameEnd = bytes.indexOf(0, portalEnd) + 1
  return buildFrame(type, bytes.subarray(FRAME_HEADER_BYTES, portalEnd), name, bytes.subarray(nameEnd))
}

function refuseUnsupported (statements: readonly StatementClass[]): void {
  const unsupported = statements.find(({ kind }) => kind === 'unsupported')
  if (unsupported === undefined) return
  throw new RefusalError('not supported', `${unsupported.feature ?? 'this statement'} has no place on a shared connection`, 'not run', 'Connect to the backend server itself for it, or do it within one transaction.')
}

/** Determines what the batch needs. @throws RefusalError when the batch can't run on a shared connection */
export function determineNeed (batch: Batch): BatchNeed {
  const runs = batch.statements.length > 0
  const considered = runs ? batch.statements : batch.referenced
  refuseUnsupported(considered)
  const kinds = considered.map(({ kind }) => kind)
  const exclusiveKind = kinds.find(kind => kind === 'setting' || LOCAL_KINDS.has(kind))
  if (exclusiveKind !== undefined && runs && kinds.length > 1) {
    throw new RefusalError('not supported', 'SET, RESET, DISCARD, DEALLOCATE and SHOW cyclamenusher.session must come alone', 'not run', 'Send it as a request of its own, or use SET LOCAL in a transaction.')
  }
  if (exclusiveKind === 'setting') return runs ? 'setting' : 'local'
  if (exclusiveKind !== undefined) return 'local'
  if (kinds.length === 0) {
    if (batch.messages.every(({ type }) => type === FRONTEND.sync || type === FRONTEND.flush)) return 'empty'
    return batch.messages.every(({ type, statementName }) => type === FRONTEND.sync || statementName !== undefined) ? 'local' : 'read'
  }
  if (!batch.complete && kinds.includes('commit')) {
    throw new RefusalError('not supported', 'COMMIT must end its batch with Sync', 'not run', 'Send Sync behind it instead of Flush.')
  }
  return kinds.some(kind => WRITE_KINDS.has(kind)) ? 'write' : 'read'
}

/** Whether the batch can commit work. `inTransaction`: whether it starts in a transaction. */
export function mayCommit (batch: Batch, inTransaction: boolean): boolean {
  let open = inTransaction
  for (const { kind } of batch.statements) {
    if (kind === 'commit' && open) return true
    if (kind === 'begin' || kind === 'begin read only') open = true
    if (kind === 'commit' || kind === 'rollback') open = false
    if (kind === 'write' && !open) return true
  }
  return false
}

/** Whether the batch may change the state of the server's session. */
export function mayChangeSession (batch: Batch): boolean {
  return batch.statements.some(statement => statement.mayChangeSession === true)
}

/** Frames that precede any result of a statement. */
export const PRELIMINARY_FRAMES: ReadonlySet<number> = new Set([
  BACKEND.parseComplete, BACKEND.bindComplete, BACKEND.closeComplete, BACKEND.noData, BACKEND.parameterDescription, BACKEND.rowDescription
])
