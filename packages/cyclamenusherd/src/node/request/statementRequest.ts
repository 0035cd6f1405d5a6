/**
 * Runs one batch on one backend connection: passes the bytes on, holds back the
 * word that a commit is done until a majority holds it, and never lets more
 * rows wait than the caller takes.
 */

import { BACKEND, buildErrorResponse, buildFrame, buildParameterStatus, buildReadyForQuery, FRONTEND, readErrorResponse, readParameterStatus, readTransactionState } from '@cyclamenusher/protocol'
import { createReplyPlan } from './replyPlan.js'
import { RefusalError } from './refusal.js'
import type { Socket } from 'node:net'
import type { Frame, TransactionState } from '@cyclamenusher/protocol'
import type { LogPosition } from '@cyclamenusher/decisions'
import type { BackendConnection } from '../connection/backendConnection.js'
import type { Batch, BatchMessage, PreparedStatements } from './batch.js'

/** Name of the parameter in which a backend server reports a commit's place. */
const POSITION_PARAMETER = 'cyclamenusher.position'
/** Bytes that may be held back while a commit waits for its majority. */
const MAXIMUM_HELD_BYTES = 1024 * 1024

/** What came of a batch. */
export interface RequestResult {
  transaction: TransactionState
  /** Where the batch's commit stands, if it committed something. */
  committed?: LogPosition
  /** SQLSTATE of the backend server's error, if it answered one. */
  errorCode?: string
}

/** A connection that ended in the middle of a request. */
export class ConnectionLostError extends Error {
  override readonly name = 'ConnectionLostError'
  constructor (readonly sentToCaller: boolean, readonly sentToServer: boolean) {
    super('the connection to the backend server was lost')
  }
}

export interface StatementRequest {
  /** Sends a batch, or a further part of one that did not end with Sync. */
  send: (batch: Batch) => void
  /** Resolves when the backend server is ready again; the answer's end is still held back. */
  done: Promise<RequestResult>
  /** Gives the caller what was held back, behind the session's new token. */
  flush: (token: string | undefined) => void
  /** Gives the caller an error in place of what was held back. */
  replace: (error: Buffer, transaction: TransactionState) => void
  /** Anything of an answer has gone to the caller. */
  hasAnswered: () => boolean
}

export interface StatementRequestOptions {
  caller: Socket
  backend: BackendConnection
  prepared: PreparedStatements
  /** A commit may happen in this request, so its answer is held back. */
  mayCommit: boolean
}

function parsePosition (value: string): LogPosition | undefined {
  const [term, position] = value.split('/').map(Number)
  return Number.isSafeInteger(term) && Number.isSafeInteger(position) ? { term, position } : undefined
}

export function createStatementRequest ({ caller, backend, prepared, mayCommit }: StatementRequestOptions): StatementRequest {
  const plan = createReplyPlan()
  let passing: Buffer[] = []
  let held: Buffer[] = []
  let heldBytes = 0
  let holding = false
  let answered = false
  let sent = false
  let committed: LogPosition | undefined
  let errorCode: string | undefined
  let waitingForDrain = false
  let settle: (result: RequestResult) => void
  let fail: (error: Error) => void
  const done = new Promise<RequestResult>((resolve, reject) => {
    settle = resolve
    fail = reject
  })

  function write (buffers: Buffer[]): void {
    if (buffers.length === 0 || caller.destroyed) return
    answered = true
    caller.cork()
    let flowing = true
    for (const buffer of buffers) flowing = caller.write(buffer)
    caller.uncork()
    if (flowing || waitingForDrain) return
    // The caller reads slower than the server answers, so the server has to wait.
    waitingForDrain = true
    backend.pauseReading()
    caller.once('drain', () => {
      waitingForDrain = false
      backend.resumeReading()
    })
  }

  const readers: Record<number, (frame: Frame) => boolean> = {
    [BACKEND.parameterStatus]: frame => {
      const [name, value] = readParameterStatus(frame)
      if (name !== POSITION_PARAMETER) return true
      committed = parsePosition(value)
      return false
    },
    [BACKEND.errorResponse]: frame => {
      errorCode = readErrorResponse(frame).code
      return true
    },
    [BACKEND.commandComplete]: () => {
      holding = mayCommit
      return true
    }
  }

  function pass (frame: Frame): void {
    if (!holding && frame.type !== BACKEND.readyForQuery) {
      passing.push(frame.bytes)
      return
    }
    held.push(frame.bytes)
    heldBytes += frame.bytes.length
    if (heldBytes < MAXIMUM_HELD_BYTES) return
    // ReadyForQuery is what tells a caller that its work is committed; rows may go ahead of it.
    passing.push(...held)
    held = []
    heldBytes = 0
  }

  function onFrame (frame: Frame): void {
    const wanted = readers[frame.type]?.(frame) ?? true
    const fate = plan.next(frame.type)
    if (!wanted || fate === 'swallow') return
    pass(frame)
    if (frame.type !== BACKEND.readyForQuery || plan.readyOwed() > 0) return
    write(passing)
    passing = []
    backend.receive(undefined)
    settle({ transaction: readTransactionState(frame), committed, errorCode })
  }

  backend.receive({
    onFrame,
    onChunkEnd: () => {
      write(passing)
      passing = []
    },
    onClosed: () => { fail(new ConnectionLostError(answered || passing.length > 0, sent)) }
  })

  /** Messages as the backend server gets them, with statements prepared that it lacks. */
  function translate (message: BatchMessage, out: Buffer[]): void {
    const { type, bytes, statementName } = message
    if (statementName === undefined || statementName === '') {
      plan.expect(type, 'pass')
      out.push(bytes)
      return
    }
    throw new RefusalError('not supported', `named prepared statements are not supported yet (${statementName}, ${prepared.size})`)
  }

  return {
    send: batch => {
      const out: Buffer[] = []
      for (const message of batch.messages) translate(message, out)
      sent = true
      backend.send(out.length === 1 ? out[0] : Buffer.concat(out))
    },
    done,
    flush: token => {
      const last = held.at(-1)
      const before = held.slice(0, -1)
      if (token !== undefined) before.push(buildParameterStatus('cyclamenusher.session', token))
      write(last === undefined ? before : [...before, last])
      held = []
    },
    replace: (error, transaction) => {
      held = []
      write([error, buildReadyForQuery(transaction)])
    },
    hasAnswered: () => answered
  }
}

/** Runs a statement of the system's own on a connection that no request holds. */
export async function runOwnStatement (backend: BackendConnection, text: string): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    let error: string | undefined
    backend.receive({
      onFrame: frame => {
        if (frame.type === BACKEND.errorResponse) error = readErrorResponse(frame).message
        if (frame.type !== BACKEND.readyForQuery) return
        backend.receive(undefined)
        if (error === undefined) resolve()
        else reject(new Error(error))
      },
      onChunkEnd: () => {},
      onClosed: () => { reject(new ConnectionLostError(false, true)) }
    })
    backend.send(buildFrame(FRONTEND.query, Buffer.from(`${text}\0`, 'utf8')))
  })
}

/** The error for a commit whose outcome is not known. */
export function unknownOutcome (message: string): Buffer {
  return buildErrorResponse({
    severity: 'ERROR',
    code: '08007',
    message,
    detail: 'Whether the request ran is not known: look before sending it again.'
  })
}
