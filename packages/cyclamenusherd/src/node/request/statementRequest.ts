/**
 * Runs one batch on one backend connection: passes the bytes on, holds back the
 * word that a commit is done until a majority holds it, and never lets more
 * rows wait than the caller takes.
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

/** Name of the parameter in which a backend server reports a commit's place. */
const POSITION_PARAMETER = 'cyclamenusher.position'
/** Name of the parameter in which a caller gets its session's token. */
const SESSION_TOKEN_PARAMETER = 'cyclamenusher.session'
/** Bytes that may be held back while a commit waits for its majority. */
const MAXIMUM_HELD_BYTES = 1024 * 1024
/** Statements that one backend connection keeps prepared. */
const MAXIMUM_PREPARED_PER_CONNECTION = 200
/** SQLSTATE of a server that is asked to write but is not the primary. */
const NOT_PRIMARY_CODE = '25006'

/** What came of a batch. */
export interface RequestResult {
  transaction: TransactionState
  /** Where the batch's commit stands, if it committed something. */
  commitPosition?: LogPosition
  /** SQLSTATE of the backend server's error, if it answered one. */
  errorCode?: string
  /** The server is not the primary, nothing ran and the caller got nothing: another server may run it. */
  notPrimary: boolean
}

/** A connection that ended in the middle of a request. */
export class ConnectionLostError extends Error {
  override readonly name = 'ConnectionLostError'
  constructor () {
    super('the connection to the backend server was lost')
  }
}

/** The backend server wants to copy, which the system does not carry. */
export class CopyError extends Error {
  override readonly name = 'CopyError'
  constructor () {
    super('COPY has no place on a shared connection')
  }
}

export interface BatchRequest {
  /** Sends a batch, or a further part of one that did not end with Sync. False: the server takes no more now. */
  send: (batch: Batch) => boolean
  /** Resolves when the backend server is ready again; the answer's end is still held back. */
  done: Promise<RequestResult>
  /** Gives the caller what was held back, behind the session's new token. */
  releaseReply: (token: string | undefined) => void
  /** Gives the caller an error in place of what was held back. */
  replaceReply: (error: Buffer, transaction: TransactionState, token: string) => void
  /** Anything of an answer has gone to the caller. */
  hasAnswered: () => boolean
  /** Where the commit stands that the server reported, if it did. */
  commitPosition: () => LogPosition | undefined
  /** Ends the request as if the connection were gone; the caller gets nothing more. */
  abort: (error: Error) => void
}

export interface BatchRequestOptions {
  caller: Socket
  backend: BackendConnection
  prepared: PreparedStatements
  /** A commit may happen in this request, so its answer is held back. */
  mayCommit: boolean
  /** The connection is in a transaction already. */
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
  /** Statements as this request leaves them at the server, ahead of its replies. */
  const expectedPrepared = new Map<string, boolean>()
  let resolveDone: (result: RequestResult) => void
  let rejectDone: (error: Error) => void
  const done = new Promise<RequestResult>((resolve, reject) => {
    resolveDone = resolve
    rejectDone = reject
  })
  // The connection may be lost while nobody waits for the end yet.
  done.catch(() => {})

  function write (buffers: readonly Buffer[]): void {
    if (buffers.length === 0 || caller.destroyed) return
    replyStarted = true
    const canWriteMore = writePieces(caller, buffers)
    if (canWriteMore || waitingForDrain) return
    // The caller reads slower than the server answers, so the server has to wait.
    waitingForDrain = true
    backend.pauseReading()
    caller.once('drain', () => {
      waitingForDrain = false
      backend.resumeReading()
    })
  }

  /** Readers of frames that matter here; false: the caller does not get the frame. */
  const frameHandlers: Record<number, (frame: Frame) => boolean> = {
    [BACKEND.parameterStatus]: frame => {
      const [name, value] = readParameterStatus(frame)
      if (name !== POSITION_PARAMETER) return true
      commitPosition = parsePosition(value)
      return false
    },
    [BACKEND.errorResponse]: frame => {
      const { severity, code } = readErrorResponse(frame)
      // The server ends the connection: the caller's own goes on, and is told of the loss.
      if (severity === 'FATAL' || severity === 'PANIC') return false
      errorCode = code
      notPrimary = errorCode === NOT_PRIMARY_CODE && !replyStarted && !inTransaction && commitPosition === undefined && partCount === 1 && !sentPartly
      return true
    },
    [BACKEND.commandComplete]: () => {
      // Before Sync nothing is committed, and a caller that sent Flush waits for this.
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
    backend.receive({ onFrame: () => {}, onChunkEnd: () => {}, onClosed: () => {} })
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
    // ReadyForQuery is what tells a caller that its work is committed; rows may go ahead of it.
    for (const bytes of held.take()) toCaller.add(bytes)
  }

  function onFrame (frame: Frame): void {
    const isForwarded = frameHandlers[frame.type]?.(frame) ?? true
    const action = plan.receiveFrame(frame.type)
    if (!isForwarded || action === 'swallow') return
    if (frame.type !== BACKEND.readyForQuery) return forwardToCaller(frame)
    if (plan.pendingReadyCount() > 0) return forwardToCaller(frame)
    readyFrame = frame.bytes
    backend.receive(undefined)
    resolveDone({ transaction: readTransactionState(frame), commitPosition, errorCode, notPrimary })
  }

  backend.receive({
    onFrame,
    onChunkEnd: () => {
      // What says nothing yet waits, so that the batch can still run elsewhere.
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
      // Another caller may have prepared the same content here.
      if (statement.serverName !== '' && willBePrepared(statement.serverName)) closeAtServer(statement.serverName, out)
      prepareAtServer(statement, 'pass', out, () => { confirmStatement(message, prepared) })
    },
    [FRONTEND.bind]: sendWithStatement,
    [FRONTEND.describe]: sendWithStatement,
    [FRONTEND.close]: (message, out) => {
      if (message.statementName === undefined) return sendUnchanged(message, out)
      // The server's copy stays for other callers; closing an unknown name is no error.
      plan.expect(FRONTEND.close, 'pass', () => { confirmStatement(message, prepared) })
      out.push(renameStatement({ ...message, statement: undefined }))
    }
  }

  function evictStatements (out: Buffer[]): void {
    // Closing a statement closes its portals, so it happens between transactions only.
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
