/**
 * Builds and reads the few PostgreSQL messages that the system itself handles.
 * All other messages are passed on as bytes.
 */

import type { Frame } from './frames.js'

/** Type bytes of messages from a caller to a server. */
export const FRONTEND = {
  query: 0x51, // Q
  parse: 0x50, // P
  bind: 0x42, // B
  describe: 0x44, // D
  execute: 0x45, // E
  close: 0x43, // C
  sync: 0x53, // S
  flush: 0x48, // H
  functionCall: 0x46, // F
  copyData: 0x64, // d
  copyDone: 0x63, // c
  copyFail: 0x66, // f
  password: 0x70, // p
  terminate: 0x58 // X
} as const

/** Type bytes of messages from a server to a caller. */
export const BACKEND = {
  authentication: 0x52, // R
  backendKeyData: 0x4b, // K
  parameterStatus: 0x53, // S
  readyForQuery: 0x5a, // Z
  commandComplete: 0x43, // C
  rowDescription: 0x54, // T
  dataRow: 0x44, // D
  errorResponse: 0x45, // E
  noticeResponse: 0x4e, // N
  emptyQueryResponse: 0x49, // I
  parseComplete: 0x31, // 1
  bindComplete: 0x32, // 2
  closeComplete: 0x33, // 3
  noData: 0x6e, // n
  parameterDescription: 0x74, // t
  portalSuspended: 0x73, // s
  copyInResponse: 0x47, // G
  copyOutResponse: 0x48, // H
  copyBothResponse: 0x57 // W
} as const

/** Values of the version field in the first message of a connection: request codes and protocol version 3.0. */
export const STARTUP_CODE = { cancel: 80877102, tls: 80877103, gss: 80877104, version3: 196608 } as const

/** Transaction state that ReadyForQuery reports: idle, in a transaction or in a failed transaction. */
export type TransactionState = 'idle' | 'transaction' | 'failed'

const TRANSACTION_STATES: Record<number, TransactionState> = { 0x49: 'idle', 0x54: 'transaction', 0x45: 'failed' }
const TRANSACTION_BYTES: Record<TransactionState, number> = { idle: 0x49, transaction: 0x54, failed: 0x45 }

/** Fields of an ErrorResponse. */
export interface ErrorFields {
  severity: 'ERROR' | 'FATAL'
  /** SQLSTATE, five characters. */
  code: string
  message: string
  detail?: string
  hint?: string
}

/** Builds a message of `type` whose payload is `parts` in order. */
export function buildFrame (type: number, ...parts: Uint8Array[]): Buffer {
  const payloadBytes = parts.reduce((sum, part) => sum + part.length, 0)
  const frame = Buffer.allocUnsafe(payloadBytes + 5)
  frame[0] = type
  frame.writeUInt32BE(payloadBytes + 4, 1)
  let offset = 5
  for (const part of parts) {
    frame.set(part, offset)
    offset += part.length
  }
  return frame
}

/** Encodes a string as the protocol does: UTF-8 with a terminating zero byte. */
export function cString (text: string): Buffer {
  return Buffer.from(`${text}\0`, 'utf8')
}

export function buildReadyForQuery (state: TransactionState): Buffer {
  return buildFrame(BACKEND.readyForQuery, Uint8Array.of(TRANSACTION_BYTES[state]))
}

export function buildParameterStatus (name: string, value: string): Buffer {
  return buildFrame(BACKEND.parameterStatus, cString(name), cString(value))
}

export function buildCommandComplete (tag: string): Buffer {
  return buildFrame(BACKEND.commandComplete, cString(tag))
}

export function buildBackendKeyData (processNumber: number, secret: number): Buffer {
  const payload = Buffer.alloc(8)
  payload.writeUInt32BE(processNumber >>> 0, 0)
  payload.writeUInt32BE(secret >>> 0, 4)
  return buildFrame(BACKEND.backendKeyData, payload)
}

/** Builds the request to cancel another connection's query. It is sent on a connection of its own. */
export function buildCancelRequest (processNumber: number, secret: number): Buffer {
  const request = Buffer.alloc(16)
  request.writeUInt32BE(16, 0)
  request.writeUInt32BE(STARTUP_CODE.cancel, 4)
  request.writeUInt32BE(processNumber >>> 0, 8)
  request.writeUInt32BE(secret >>> 0, 12)
  return request
}

export function buildErrorResponse (fields: ErrorFields): Buffer {
  const entries: Array<[string, string | undefined]> = [
    ['S', fields.severity], ['V', fields.severity], ['C', fields.code],
    ['M', fields.message], ['D', fields.detail], ['H', fields.hint]
  ]
  const parts = entries.flatMap(([key, value]) => value === undefined ? [] : [cString(key + value)])
  return buildFrame(BACKEND.errorResponse, ...parts, Uint8Array.of(0))
}

/** Builds a row description of text columns. */
export function buildRowDescription (columns: string[]): Buffer {
  const count = Buffer.alloc(2)
  count.writeUInt16BE(columns.length)
  const fields = columns.map(name => {
    const rest = Buffer.alloc(18)
    rest.writeUInt32BE(25, 6) // object identifier of type "text"
    rest.writeInt16BE(-1, 10)
    rest.writeInt32BE(-1, 12)
    return Buffer.concat([cString(name), rest])
  })
  return buildFrame(BACKEND.rowDescription, count, ...fields)
}

/** Builds a row of text values; `null` is SQL null. */
export function buildDataRow (values: Array<string | null>): Buffer {
  const count = Buffer.alloc(2)
  count.writeUInt16BE(values.length)
  const parts = values.map(value => {
    const bytes = value === null ? Buffer.alloc(0) : Buffer.from(value, 'utf8')
    const length = Buffer.alloc(4)
    length.writeInt32BE(value === null ? -1 : bytes.length)
    return Buffer.concat([length, bytes])
  })
  return buildFrame(BACKEND.dataRow, count, ...parts)
}

/** Reads the zero-terminated string at `offset`; returns it with the offset after it. */
export function readCString (bytes: Buffer, offset: number): [text: string, next: number] {
  const end = bytes.indexOf(0, offset)
  if (end < 0) throw new RangeError('a string without its closing zero byte')
  return [bytes.toString('utf8', offset, end), end + 1]
}

export function readTransactionState (frame: Frame): TransactionState {
  return TRANSACTION_STATES[frame.bytes[5]] ?? 'failed'
}

export function readParameterStatus (frame: Frame): [name: string, value: string] {
  const [name, next] = readCString(frame.bytes, 5)
  const [value] = readCString(frame.bytes, next)
  return [name, value]
}

/** Reads the severity (never localized), code and message of an ErrorResponse. */
export function readErrorResponse (frame: Frame): { severity: string, code: string, message: string } {
  const fields = new Map<string, string>()
  let offset = 5
  while (offset < frame.bytes.length && frame.bytes[offset] !== 0) {
    const key = String.fromCharCode(frame.bytes[offset])
    const [value, next] = readCString(frame.bytes, offset + 1)
    fields.set(key, value)
    offset = next
  }
  return { severity: fields.get('V') ?? fields.get('S') ?? 'ERROR', code: fields.get('C') ?? 'XX000', message: fields.get('M') ?? '' }
}

/** Reads the values of a row in text format. */
export function readDataRow (frame: Frame): Array<string | null> {
  const values: Array<string | null> = []
  const count = frame.bytes.readUInt16BE(5)
  let offset = 7
  for (let index = 0; index < count; index += 1) {
    const length = frame.bytes.readInt32BE(offset)
    offset += 4
    values.push(length < 0 ? null : frame.bytes.toString('utf8', offset, offset + Math.max(length, 0)))
    offset += Math.max(length, 0)
  }
  return values
}

/** Reads the parameters of a version 3 startup message, which has no type byte. */
export function readStartupParameters (message: Buffer): Record<string, string> {
  const parameters = new Map<string, string>()
  let offset = 8
  while (offset < message.length && message[offset] !== 0) {
    const [name, afterName] = readCString(message, offset)
    const [value, afterValue] = readCString(message, afterName)
    parameters.set(name, value)
    offset = afterValue
  }
  return Object.fromEntries(parameters)
}
