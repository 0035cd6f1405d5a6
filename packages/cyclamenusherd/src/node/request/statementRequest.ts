/**
 * Runs one batch on one backend connection: forwards the bytes in both directions,
 * holds back the end of a commit's reply, which is released once a majority holds the
 * commit, and pauses reading from the server while the caller reads more slowly.
 */

import { BACKEND, FRONTEND, buildParameterStatus, buildReadyForQuery, readErrorResponse, readParameterStatus, readTransactionState } from '@cyclamenusher/protocol'
import { PRELIMINARY_FRAMES, buildCloseStatement, buildParse, confirmStatement, renameStatement } from './batch.js'
import { createByteRuns, writePieces } from './byteRuns.js'
import { createReplyPlan } from './replyPlan.js'
import type { Socket } from 'node:net'
import type { Frame, TransactionState } from '@cyclamenusher/protocol'
import type { LogPosition } from '@cyclamenusher/decisions'
import type { BackendConnection } from '../connection/backendConnection.js'
import type { Batch, BatchMessage, PreparedStatement, PreparedStatements } from './batch.js'

/** Parameter in which a backend server reports the log position of a commit. */
const POSITION_PARAMETER = 'cyclamenusher.position'
/** Parameter in which a caller receives its session token; it has the name of the setting, SESSION_TOKEN_SETTING. */
const SESSION_TOKEN_PARAMETER = 'cyclamenusher.session'
/** Maximum bytes that are held back while a commit waits for a majority. */
const MAXIMUM_HELD_BYTES = 1024 * 1024
/** Number of prepared statements that one backend connection keeps between requests. */
const MAXIMUM_PREPARED_PER_CONNECTION = 200
/** SQLSTATE with which a server that is not the primary refuses a write. */
const NOT_PRIMARY_CODE = '25006'

/** Result of a batch that the backend server completed. */
export interface RequestResult {
  transaction: TransactionState
  /** Log position of the batch's commit, if it committed anything. */
  commitPosition?: LogPosition
  /** SQLSTATE of the backend server's error, if there was one. */
  errorCode?: string
  /** Whether the server refused the batch because it is not the primary. Nothing ran and the caller received nothing, so another server can run the batch. */
  notPrimary: boolean
}

/** The connection to the backend server was lost during a request. */
export class ConnectionLostError extends Error {
  override readonly name = 'ConnectionLostError'
  constructor () {
    super('the connection to the backend server was lost')
  }
}

/** The backend server started a COPY, which is not supported. */
export class CopyError extends Error {
  override readonly name = 'CopyError'
  constructor () {
    super('COPY has no place on a shared connection')
  }
}

export interface BatchRequest {
  /** Sends a batch, or a further part of one that did not end with Sync. Returns false if the connection's write buffer is full. */
  send: (batch: Batch) => boolean
  /** Resolves when the backend server is ready for the next request; the end of the reply is still held back. */
  done: Promise<RequestResult>
  /** Sends the caller the rest of the reply, with the session's new token before ReadyForQuery. */
  releaseReply: (token: string | undefined) => void
  /** Sends the caller an error in place of the part of the reply that was held back. */
  replaceReply: (error: Buffer, transaction: TransactionState, token: string) => void
  /** Whether any part of a reply has been sent to the caller. */
  hasAnswered: () => boolean
  /** Log position of the commit that the server has reported, if any. */
  commitPosition: () => LogPosition | undefined
  /** Rejects `done` with the error; the caller receives nothing more of the reply. */
  abort: (error: Error) => void
}

export interface BatchRequestOptions {
  caller: Socket
  backend: BackendConnection
  prepared: PreparedStatements
  /** Whether the request may commit, so that the end of its reply is held back. */
  mayCommit: boolean
  /** Whether the connection is already in a transaction. */
  inTransaction: boolean
}

function parsePosition (value: string): LogPosition | undefined {
  const [term, position] = value.split('/').map(Number)
  return Number.isSafeInteger(term) && Number.isSafeInteger(position) ? { term, position } : undefined
}

export function createBatchRequest ({ caller, backend, prepared, mayCommit, inTransaction }: BatchRequestOptions): BatchRequest {
  const plan = createReplyPlan()
  const toCaller = createByteRuns()
  const held = createByteRuns()
  const toServer = createByteRuns()
  let readyFrame: Buffer | undefined
  let holdingBack = false
  let replyStarted = false
  let hasConclusiveFrame = false
  let sentPartly = false
  let partCount = 0
  let commitPosition: LogPosition | undefined
  let errorCode: string | undefined
  let notPrimary = false
  let waitingForDrain = false
  /** Whether a statement is prepared at the server, by name, once all messages sent so far have run. */
  const expectedPrepared = new Map<string, boolean>()
  let resolveDone: (result: RequestResult) => void
  let rejectDone: (error: Error) => void
  const done = new Promise<RequestResult>((resolve, reject) => {
    resolveDone = resolve
    rejectDone = reject
  })
  // The connection may be lost before the owner awaits `done`; avoids an unhandled rejection.
  done.catch(() => {})

  function write (buffers: readonly Buffer[]): void {
    if (buffers.length === 0 || caller.destroyed) return
    replyStarted = true
    const canWriteMore = writePieces(caller, buffers)
    if (canWriteMore || waitingForDrain) return
    // The caller reads more slowly than the server sends, so reading from the server pauses.
    waitingForDrain = true
    backend.pauseReading()
    caller.once('drain', () => {
      waitingForDrain = false
      backend.resumeReading()
    })
  }

  /** Handlers of frames by type. They return whether the caller receives the frame. */
  const frameHandlers: Record<number, (frame: Frame) => boolean> = {
    [BACKEND.parameterStatus]: frame => {
      const [name, value] = readParameterStatus(frame)
      if (name !== POSITION_PARAMETER) return true
      commitPosition = parsePosition(value)
      return false
    },
    [BACKEND.errorResponse]: frame => {
      const { severity, code } = readErrorResponse(frame)
      // The server closes its connection. The caller's connection stays open, and the caller receives an error for the lost server instead.
      if (severity === 'FATAL' || severity === 'PANIC') return false
      errorCode = code
      notPrimary = errorCode === NOT_PRIMARY_CODE && !replyStarted && !inTransaction && commitPosition === undefined && partCount === 1 && !sentPartly
      return true
    },
    [BACKEND.commandComplete]: () => {
      // Nothing is committed before Sync, and a caller that sent Flush waits for this frame.
      holdingBack = mayCommit && plan.pendingReadyCount() > 0
      return true
    },
    [BACKEND.copyInResponse]: refuseCopy,
    [BACKEND.copyOutResponse]: refuseCopy,
    [BACKEND.copyBothResponse]: refuseCopy
  }

  function refuseCopy (): boolean {
    abort(new CopyError())
    return false
  }

  function abort (error: Error): void {
    backend.setReceiver({ onFrame: () => {}, onChunkEnd: () => {}, onClosed: () => {} })
    toCaller.take()
    held.take()
    rejectDone(error)
  }

  function forwardToCaller (frame: Frame): void {
    if (!hasConclusiveFrame && !PRELIMINARY_FRAMES.has(frame.type)) hasConclusiveFrame = true
    if (!holdingBack) {
      toCaller.add(frame.bytes)
      return
    }
    held.add(frame.bytes)
    if (held.byteLength() < MAXIMUM_HELD_BYTES) return
    // The rest can be sent early: only ReadyForQuery confirms the commit to the caller.
    for (const bytes of held.take()) toCaller.add(bytes)
  }

  function onFrame (frame: Frame): void {
    const isForwarded = frameHandlers[frame.type]?.(frame) ?? true
    const action = plan.receiveFrame(frame.type)
    if (!isForwarded || action === 'swallow') return
    if (frame.type !== BACKEND.readyForQuery) return forwardToCaller(frame)
    if (plan.pendingReadyCount() > 0) return forwardToCaller(frame)
    readyFrame = frame.bytes
    backend.setReceiver(undefined)
    resolveDone({ transaction: readTransactionState(frame), commitPosition, errorCode, notPrimary })
  }

  backend.setReceiver({
    onFrame,
    onChunkEnd: () => {
      // Preliminary frames wait, so that the batch can still run at another server.
      if (toCaller.isEmpty() || notPrimary || (!hasConclusiveFrame && !sentPartly)) return
      write(toCaller.take())
    },
    onClosed: () => { rejectDone(new ConnectionLostError()) }
  })

  if (!backend.isOpen()) abort(new ConnectionLostError())

  function willBePrepared (name: string): boolean {
    return expectedPrepared.get(name) ?? backend.prepared.has(name)
  }

  function setExpectedPrepared (name: string, present: boolean): void {
    expectedPrepared.set(name, present)
  }

  function closeAtServer (name: string, out: Buffer[]): void {
    plan.expect(FRONTEND.close, 'swallow', () => { backend.prepared.delete(name) })
    setExpectedPrepared(name, false)
    out.push(buildCloseStatement(name))
  }

  function prepareAtServer (statement: PreparedStatement, action: 'pass' | 'swallow', out: Buffer[], onEnd: () => void = () => {}): void {
    const { serverName } = statement
    plan.expect(FRONTEND.parse, action, () => {
      if (serverName !== '') backend.prepared.add(serverName)
      onEnd()
    })
    setExpectedPrepared(serverName, true)
    out.push(buildParse(statement))
  }

  type Translator = (message: BatchMessage, out: Buffer[]) => void

  function sendUnchanged (message: BatchMessage, out: Buffer[]): void {
    plan.expect(message.type, 'pass')
    out.push(message.bytes)
  }

  function sendWithStatement (message: BatchMessage, out: Buffer[]): void {
    const { statement, type } = message
    if (statement === undefined) return sendUnchanged(message, out)
    if (!willBePrepared(statement.serverName)) prepareAtServer(statement, 'swallow', out)
    plan.expect(type, 'pass')
    out.push(statement.serverName === '' ? message.bytes : renameStatement(message))
  }

  const translators: Record<number, Translator> = {
    [FRONTEND.parse]: (message, out) => {
      const { statement } = message
      if (statement === undefined) return sendUnchanged(message, out)
      // Another caller may have prepared the same content on this connection.
      if (statement.serverName !== '' && willBePrepared(statement.serverName)) closeAtServer(statement.serverName, out)
      prepareAtServer(statement, 'pass', out, () => { confirmStatement(message, prepared) })
    },
    [FRONTEND.bind]: sendWithStatement,
    [FRONTEND.describe]: sendWithStatement,
    [FRONTEND.close]: (message, out) => {
      if (message.statementName === undefined) return sendUnchanged(message, out)
      // The server's statement stays for other callers, so a name that is never prepared is closed; that is not an error.
      plan.expect(FRONTEND.close, 'pass', () => { confirmStatement(message, prepared) })
      out.push(renameStatement({ ...message, statement: undefined }))
    }
  }

  function evictStatements (out: Buffer[]): void {
    // Closing a statement closes its portals, so statements are evicted between transactions only.
    if (inTransaction || partCount > 0) return
    for (const name of backend.prepared) {
      if (backend.prepared.size - out.length <= MAXIMUM_PREPARED_PER_CONNECTION) return
      closeAtServer(name, out)
    }
  }

  function send (batch: Batch): boolean {
    const out: Buffer[] = []
    if (!batch.simple) evictStatements(out)
    partCount += 1
    for (const message of batch.messages) (translators[message.type] ?? sendUnchanged)(message, out)
    if (!batch.complete) {
      sentPartly = true
      if (batch.messages.at(-1)?.type !== FRONTEND.flush) out.push(FLUSH)
    }
    for (const bytes of out) toServer.add(bytes)
    const canSendMore = backend.send(toServer.take())
    if (sentPartly && !toCaller.isEmpty()) write(toCaller.take())
    return canSendMore
  }

  return {
    send,
    done,
    releaseReply: token => {
      for (const bytes of held.take()) toCaller.add(bytes)
      if (token !== undefined) toCaller.add(buildParameterStatus(SESSION_TOKEN_PARAMETER, token))
      if (readyFrame !== undefined) toCaller.add(readyFrame)
      write(toCaller.take())
    },
    replaceReply: (error, transaction, token) => {
      held.take()
      write([...toCaller.take(), error, buildParameterStatus(SESSION_TOKEN_PARAMETER, token), buildReadyForQuery(transaction)])
    },
    hasAnswered: () => replyStarted,
    commitPosition: () => commitPosition,
    abort
  }
}

const FLUSH = Buffer.from([FRONTEND.flush, 0, 0, 0, 4])
