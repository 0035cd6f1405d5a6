/**
 * Messages between an instance that serves callers and one that holds the connections to
 * a group's servers. Times are sent as durations, because the clocks of two instances
 * have nothing in common; the time of sending serves to notice a message that was held
 * up. The caller's key is never sent; its digest is, where the instance that serves the
 * caller may not hold the newest declaration.
 *
 * A message is JSON, or in the compact format, which does not begin with the first byte of
 * a JSON object. A stream begins with JSON; the compact format is used once the holder has
 * listed it, as holders of the previous build read JSON only.
 */

import { lookUp } from '@cyclamenusher/decisions'
import { hasFields, isListOf, isNumber, isOptional, isText } from '../../process/messageFields.js'
import { readCompactReply, readCompactRequest, writeCompactReply, writeCompactRequest } from './compactMessages.js'
import type { LogPosition, SendTime } from '@cyclamenusher/decisions'
import type { FieldCheck, Fields } from '../../process/messageFields.js'
import type { Admission, AdmittedOperation, StatementTiming } from '../session.js'
import type { FailureKind, SessionState, StatementDefinition } from '../statement.js'

/** A statement with what its session has set. */
export interface ForwardedStatement extends SendTime {
  id: string
  text: string
  /** Undefined: the text is sent as it is. Otherwise, a prepared statement is executed. */
  execution?: { parameters: string, definition: StatementDefinition }
  values: Array<[string, string]>
  /** Position of the session's last commit, and how long ago the commit was acknowledged. */
  lastCommit?: { position: LogPosition, agoMilliseconds: number }
  /** Time since the statement arrived, and until its deadline. */
  elapsedMilliseconds: number
  remainingMilliseconds: number
}

export type HolderRequest =
  | { kind: 'run', number: number, access: 'read' | 'write', operation: AdmittedOperation, statement: ForwardedStatement }
  /** Begins a transaction without an answer; its number identifies it on this stream. */
  | { kind: 'begin', transaction: number, readOnly: boolean, operation: AdmittedOperation, statement: ForwardedStatement }
  /** `admission`: by what the statement was admitted, where that may not be the newest declaration; so with a commit. */
  | { kind: 'continue', number: number, transaction: number, isWrite: boolean, statement: ForwardedStatement, admission?: Admission }
  | { kind: 'commit', number: number, transaction: number, statement: ForwardedStatement, admission?: Admission }
  | { kind: 'roll back', transaction: number, id?: string }
  /** Asks whether the holder answers. `stream` names the stream on which it is sent, and `replaces` one that has ended, which the holder may not have noticed. */
  | { kind: 'probe', stream?: string, replaces?: string }

export type HolderReply =
  | {
    kind: 'result'
    number: number
    rows: readonly string[]
    digest: string
    position?: LogPosition
    /** Only instances of the previous build require it; not sent in the compact format. */
    state?: SessionState
    timing: StatementTiming
    lastCommit?: { position: LogPosition, agoMilliseconds: number }
    /** The primary whose answer this is, where only a primary's counts. */
    primary?: { member: string, designation: number }
    /** Version of the holder's declaration, for the log; undefined at a holder of an earlier build. */
    version?: number
  }
  /** `canServe` is false where the holder has no lease, so that another one may serve. */
  | { kind: 'failure', number: number, failure: FailureKind, explanation: string, state?: SessionState, canServe: boolean, version?: number }
  /**
   * `formats`: what the holder reads besides JSON; undefined at a holder of an earlier build.
   * `reviewsTransactions`: it decides again about the statements of a transaction; undefined at
   * a holder of an earlier build, which runs them. Neither is sent in the compact format.
   */
  | { kind: 'alive', formats?: readonly string[], reviewsTransactions?: boolean }
  | { kind: 'leaving' }

/** Rounds a time to a tenth of a millisecond, which is sent with fewer digits. */
export function roundTime (milliseconds: number): number {
  return Math.round(milliseconds * 10) / 10
}

export const HOLDER_STREAM = 'operations'

/** Name of the compact format, as holders list it. */
export const COMPACT_FORMAT = 'compact'
export type MessageFormat = 'json' | typeof COMPACT_FORMAT
const JSON_FIRST_BYTE = '{'.charCodeAt(0)

const isPosition = hasFields({ term: isNumber, position: isNumber })
const isCommit = hasFields({ position: isPosition, agoMilliseconds: isNumber })
const isValuePair: FieldCheck = value => isListOf(isText)(value) && (value as string[]).length === 2
const isStatement = hasFields({
  id: isText,
  text: isText,
  execution: isOptional(hasFields({ parameters: isText, definition: hasFields({ access: isText, text: isText }) })),
  values: isListOf(isValuePair),
  lastCommit: isOptional(isCommit),
  sentAt: isNumber,
  epoch: isNumber,
  elapsedMilliseconds: isNumber,
  remainingMilliseconds: isNumber
})
const isAdmission = hasFields({ version: isNumber, database: isText, keyDigest: isText })
const isOperation = hasFields({ account: isText, allowedRegions: isOptional(isListOf(isText)), route: hasFields({ group: isText, readPolicy: isText, priority: isNumber }), admission: isOptional(isAdmission) })

const REQUEST_CHECKS: Record<HolderRequest['kind'], FieldCheck> = {
  run: hasFields({ number: isNumber, access: isText, operation: isOperation, statement: isStatement }),
  begin: hasFields({ transaction: isNumber, operation: isOperation, statement: isStatement }),
  continue: hasFields({ number: isNumber, transaction: isNumber, statement: isStatement, admission: isOptional(isAdmission) }),
  commit: hasFields({ number: isNumber, transaction: isNumber, statement: isStatement, admission: isOptional(isAdmission) }),
  'roll back': hasFields({ transaction: isNumber, id: isOptional(isText) }),
  probe: hasFields({ stream: isOptional(isText), replaces: isOptional(isText) })
}

const RESULT_FIELDS = { number: isNumber, rows: isListOf(isText), digest: isText, position: isOptional(isPosition), timing: hasFields({}), lastCommit: isOptional(isCommit), primary: isOptional(hasFields({ member: isText, designation: isNumber })), version: isOptional(isNumber) }
const FAILURE_FIELDS = { number: isNumber, failure: isText, explanation: isText, version: isOptional(isNumber) }
const isAlive = hasFields({ formats: isOptional(isListOf(isText)) })

type ReplyChecks = Record<HolderReply['kind'], FieldCheck>
const REPLY_CHECKS: Record<MessageFormat, ReplyChecks> = {
  json: { result: hasFields({ ...RESULT_FIELDS, state: isText }), failure: hasFields({ ...FAILURE_FIELDS, state: isText }), alive: isAlive, leaving: () => true },
  compact: { result: hasFields(RESULT_FIELDS), failure: hasFields(FAILURE_FIELDS), alive: isAlive, leaving: () => true }
}

/** The format of a message. */
export function findFormat (body: Uint8Array): MessageFormat {
  return body[0] === JSON_FIRST_BYTE ? 'json' : COMPACT_FORMAT
}

function readJson (body: Buffer): Fields | null {
  return JSON.parse(body.toString('utf8')) as Fields | null
}

function checkMessage<Message> (value: Fields | null | undefined, checks: Record<string, FieldCheck>): Message {
  const kind = value?.kind
  const check = typeof kind === 'string' ? lookUp(checks, kind) : undefined
  if (check === undefined) throw new Error('a message about operations is of no known kind')
  if (!check(value)) throw new Error(`a message about operations of kind ${String(kind)} lacks a field`)
  return value as Message
}

function writeJson (message: HolderRequest | HolderReply): Buffer {
  return Buffer.from(JSON.stringify(message), 'utf8')
}

/** Writes a request; in JSON where the compact format can't carry it. */
export function encodeHolderRequest (request: HolderRequest, format: MessageFormat): Uint8Array {
  return (format === 'json' ? undefined : writeCompactRequest(request)) ?? writeJson(request)
}

/** Writes a reply; in JSON where the compact format can't carry it. */
export function encodeHolderReply (reply: HolderReply, format: MessageFormat): Uint8Array {
  return (format === 'json' ? undefined : writeCompactReply(reply)) ?? writeJson(reply)
}

/** Reads a request in either format. @throws Error if the message is not valid */
export function decodeHolderRequest (body: Buffer): HolderRequest {
  return checkMessage<HolderRequest>(findFormat(body) === 'json' ? readJson(body) : readCompactRequest(body), REQUEST_CHECKS)
}

/** Reads a reply in either format. @throws Error if the message is not valid */
export function decodeHolderReply (body: Buffer): HolderReply {
  const format = findFormat(body)
  return checkMessage<HolderReply>(format === 'json' ? readJson(body) : readCompactReply(body), REPLY_CHECKS[format])
}
