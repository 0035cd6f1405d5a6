/**
 * Messages between an instance that serves callers and one that holds the connections to
 * a group's servers. Times are sent as durations, because the clocks of two instances
 * have nothing in common; the time of sending serves to notice a message that was held
 * up. The caller's key is never sent; its digest is, where the instance that serves the
 * caller may not hold the newest declaration.
 */

import { lookUp } from '@cyclamenusher/decisions'
import { hasFields, isListOf, isNumber, isOptional, isText } from '../../process/messageFields.js'
import type { LogPosition, SendTime } from '@cyclamenusher/decisions'
import type { FieldCheck, Fields } from '../../process/messageFields.js'
import type { AdmittedOperation, StatementTiming } from '../session.js'
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
  | { kind: 'continue', number: number, transaction: number, isWrite: boolean, statement: ForwardedStatement }
  | { kind: 'commit', number: number, transaction: number, statement: ForwardedStatement }
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
    state: SessionState
    timing: StatementTiming
    lastCommit?: { position: LogPosition, agoMilliseconds: number }
    /** The primary whose answer this is, where only a primary's counts. */
    primary?: { member: string, designation: number }
    /** Version of the holder's declaration, for the log; undefined at a holder of an earlier build. */
    version?: number
  }
  /** `canServe` is false where the holder has no lease, so that another one may serve. */
  | { kind: 'failure', number: number, failure: FailureKind, explanation: string, state: SessionState, canServe: boolean, version?: number }
  | { kind: 'alive' }
  | { kind: 'leaving' }

/** Rounds a time to a tenth of a millisecond, which is sent with fewer digits. */
export function roundTime (milliseconds: number): number {
  return Math.round(milliseconds * 10) / 10
}

export const HOLDER_STREAM = 'operations'

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
  continue: hasFields({ number: isNumber, transaction: isNumber, statement: isStatement }),
  commit: hasFields({ number: isNumber, transaction: isNumber, statement: isStatement }),
  'roll back': hasFields({ transaction: isNumber, id: isOptional(isText) }),
  probe: hasFields({ stream: isOptional(isText), replaces: isOptional(isText) })
}

const REPLY_CHECKS: Record<HolderReply['kind'], FieldCheck> = {
  result: hasFields({ number: isNumber, rows: isListOf(isText), digest: isText, position: isOptional(isPosition), state: isText, timing: hasFields({}), lastCommit: isOptional(isCommit), primary: isOptional(hasFields({ member: isText, designation: isNumber })), version: isOptional(isNumber) }),
  failure: hasFields({ number: isNumber, failure: isText, explanation: isText, state: isText, version: isOptional(isNumber) }),
  alive: () => true,
  leaving: () => true
}

function decode<Message> (body: Buffer, checks: Record<string, FieldCheck>): Message {
  const value = JSON.parse(body.toString('utf8')) as Fields | null
  const kind = value?.kind
  const check = typeof kind === 'string' ? lookUp(checks, kind) : undefined
  if (check === undefined) throw new Error('a message about operations is of no known kind')
  if (!check(value)) throw new Error(`a message about operations of kind ${String(kind)} lacks a field`)
  return value as Message
}

/** @throws Error if the message is not valid */
export function decodeHolderRequest (body: Buffer): HolderRequest {
  return decode<HolderRequest>(body, REQUEST_CHECKS)
}

/** @throws Error if the message is not valid */
export function decodeHolderReply (body: Buffer): HolderReply {
  return decode<HolderReply>(body, REPLY_CHECKS)
}
