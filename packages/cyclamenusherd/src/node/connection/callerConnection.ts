/**
 * One caller's connection: owns the caller's socket, splits its input into
 * batches and runs them one after another.
 */

import { SESSION_TOKEN_SETTING } from '@cyclamenusher/decisions'
import { BACKEND, FRONTEND, buildBackendKeyData, buildFrame, buildParameterStatus, buildReadyForQuery, createFrameSplitter } from '@cyclamenusher/protocol'
import { measureStatement, readExtendedBatch, readSimpleQuery } from '../request/batch.js'
import { RefusalError, buildRefusalResponse } from '../request/refusal.js'
import { createRequestRunner } from '../request/requestRunner.js'
import { createFrameQueue } from './callerInput.js'
import { createCallerSession } from './callerSession.js'
import type { Socket } from 'node:net'
import type { LogPosition } from '@cyclamenusher/decisions'
import type { Frame } from '@cyclamenusher/protocol'
import type { Batch, BatchNeed } from '../request/batch.js'
import type { Identity } from '../version/rulesStore.js'
import type { BackendConnection } from './backendConnection.js'
import type { Config } from '../process/config.js'
import type { LimitName } from '../process/limits.js'
import type { InputBudget } from './callerInput.js'
import type { CallerSession } from './callerSession.js'

/**
 * A backend connection in use by one request or transaction, until it is released to
 * its pool. It is unrelated to the leases that control grants to entry instances.
 */
export interface ConnectionLease {
  backend: BackendConnection
  /** Releases the connection to its pool. `clean`: its state is known, so it may be reused. */
  release: (clean: boolean) => void
}

/** Services of the instance that a caller's connection uses. */
export interface CallerServices {
  /** Key that signs session tokens. */
  tokenSecret: string
  maximumMessageBytes: number
  /** Time that a request may take, in milliseconds. */
  requestMilliseconds: number
  /** Time of the process's clock, in milliseconds. */
  now: () => number
  /**
   * Checks that this identity may run a request of kind `need` now.
   *
   * @throws RefusalError when it may not
   */
  admit: (identity: Identity, database: string, need: BatchNeed) => Promise<void> | void
  /**
   * Checks the key and the access rules again, without taking a token. A request may have
   * waited since it was admitted.
   *
   * @throws RefusalError when the request may no longer run
   */
  requireAccess: (identity: Identity, database: string, need: BatchNeed) => void
  /**
   * Chooses a member and acquires a connection to it.
   *
   * @throws RefusalError when no connection is available; the request has not run
   */
  lease: (request: ConnectionLeaseRequest) => Promise<ConnectionLease>
  /** The group that holds a database; undefined if the rules name no such database. */
  findGroup: (database: string) => string | undefined
  /** Resolves with the current position of a group's log, for a session that has no position in it. */
  confirmPosition: (group: string) => Promise<LogPosition>
  /** Waits until a majority holds the commit at `position`, its primary is replaced or the wait times out. */
  acknowledge: (group: string, position: LogPosition) => Promise<'held' | 'replaced' | 'timeout'>
  recordRequest: (need: BatchNeed, outcome: string, milliseconds: number) => void
}

/** A request for a connection to a member of a group. */
export interface ConnectionLeaseRequest {
  identity: Identity
  database: string
  group: string
  need: BatchNeed
  /** The session's position in the group's log, if known. */
  position: LogPosition | undefined
  /** Sends the read that runs on the connection elsewhere, because its server went silent; returns whether it does. */
  move: () => boolean
}

export interface CallerConnectionOptions {
  socket: Socket
  identity: Identity
  database: string
  /** Parameters of the start-up message. */
  parameters: Record<string, string>
  /** Process number and secret that identify this connection in a cancel request. */
  processNumber: number
  secret: number
  /** Bytes received after the handshake. */
  remaining: Buffer
  services: CallerServices
  inputBudget: InputBudget
  limits: Pick<Config['callers'], 'maximumSessionBytes' | 'messageMilliseconds' | 'unreadAnswerMilliseconds'>
  /** Called when a limit was met that this connection alone has. */
  onLimit: (limit: LimitName) => void
  /** Time that a transaction may wait for its next request, in milliseconds. */
  idleTransactionMilliseconds: number
  onRefused: (error: RefusalError) => void
  onClosed: () => void
}

export interface CallerConnection {
  readonly identity: Identity
  /** Cancels the running request. */
  cancel: () => void
  /** Sends an error and closes the connection at once. */
  closeWithError: (error: RefusalError) => void
  /** Closes the connection once its running request or transaction ends. */
  drain: () => void
  isBusy: () => boolean
}

/** Number of collected messages at which a part of a batch is sent to the backend server before Sync arrives. */
const MAXIMUM_COLLECTED_FRAMES = 5_000
/** Collected bytes at which a part of a batch is sent to the backend server before Sync arrives. */
const MAXIMUM_COLLECTED_BYTES = 1024 * 1024

/** Messages of the extended query protocol. */
const EXTENDED_MESSAGE_TYPES: ReadonlySet<number> = new Set([
  FRONTEND.parse, FRONTEND.bind, FRONTEND.describe, FRONTEND.execute, FRONTEND.close, FRONTEND.sync, FRONTEND.flush
])

/** AuthenticationOk and the server parameters that every caller receives after its handshake. */
const STARTUP_RESPONSE = Buffer.concat([
  buildFrame(BACKEND.authentication, Uint8Array.of(0, 0, 0, 0)),
  buildParameterStatus('server_version', '15.0'),
  buildParameterStatus('server_encoding', 'UTF8'),
  buildParameterStatus('client_encoding', 'UTF8'),
  buildParameterStatus('DateStyle', 'ISO, MDY'),
  buildParameterStatus('integer_datetimes', 'on'),
  buildParameterStatus('standard_conforming_strings', 'on')
])

export function createCallerConnection (options: CallerConnectionOptions): CallerConnection | undefined {
  const { socket, identity, services } = options
  let session: CallerSession
  try {
    session = createCallerSession(options.parameters, services.tokenSecret)
  } catch (error) {
    const refusal = error instanceof RefusalError ? error : new RefusalError('protocol broken', (error as Error).message)
    options.onRefused(refusal)
    socket.resume()
    socket.end(buildRefusalResponse(refusal, 'FATAL'))
    return undefined
  }
  return serveCaller(options, session, socket, identity, services)
}

function serveCaller (options: CallerConnectionOptions, session: CallerSession, socket: Socket, identity: Identity, services: CallerServices): CallerConnection {
  const queue = createFrameQueue()
  let collectedFrames: Frame[] = []
  let collectedBytes = 0
  /** Whether messages are ignored up to the next Sync, after an error in a batch. */
  let skippingToSync = false
  /** Whether the batch that was read last is complete, so that ReadyForQuery follows an error at once. */
  let batchComplete = true
  /** Bytes of the input budget that this caller has reserved. */
  let reservedBytes = 0
  /** Bytes of prepared statements that are reserved. */
  let keptBytes = 0
  /** Number of prepared statements when the reservation was last adjusted; undefined if a statement was reserved since. */
  let keptStatements: number | undefined
  let messageTimer: NodeJS.Timeout | undefined
  let processingQueue = false
  let draining = false
  let closed = false
  const runner = createRequestRunner({
    caller: socket,
    session,
    identity,
    database: options.database,
    services,
    onOpenBatchFailed: error => {
      skippingToSync = true
      collectedFrames = []
      collectedBytes = 0
      options.onRefused(error)
      if (!closed) socket.write(buildRefusalResponse(error))
    }
  })
  let idleTransactionTimer: NodeJS.Timeout | undefined

  function close (): void {
    if (closed) return
    closed = true
    clearTimeout(idleTransactionTimer)
    clearTimeout(messageTimer)
    options.inputBudget.adjust(-reservedBytes)
    options.inputBudget.keep(-keptBytes)
    reservedBytes = 0
    keptBytes = 0
    runner.stop()
    socket.destroySoon()
    options.onClosed()
  }

  function closeWithError (error: RefusalError): void {
    if (closed) return
    const reported = runner.mayHaveCommitted() ? new RefusalError('outcome unknown', error.message, 'unknown', error.hint) : error
    options.onRefused(reported)
    if (!socket.destroyed) socket.write(buildRefusalResponse(reported, 'FATAL'))
    close()
    // A caller that does not read must not keep the socket open.
    setTimeout(() => { socket.destroy() }, CLOSE_TIMEOUT_MILLISECONDS).unref()
  }

  function closeIfDrained (): void {
    if (draining && session.transaction === 'idle' && !runner.isBatchOpen()) closeWithError(new RefusalError('shutting down', 'this instance is shutting down: connect again'))
  }

  function readCollectedBatch (): Batch {
    const frames = collectedFrames
    collectedFrames = []
    collectedBytes = 0
    batchComplete = frames.at(-1)?.type === FRONTEND.sync
    return readExtendedBatch(frames, session.prepared, session.portals, mayPrepare)
  }

  /** Reserves the memory of a statement that is to be prepared; it is corrected once the batch has run. */
  function mayPrepare (bytes: number): boolean {
    if (keptBytes + bytes <= options.limits.maximumSessionBytes && options.inputBudget.keep(bytes)) {
      keptBytes += bytes
      keptStatements = undefined
      return true
    }
    options.onLimit('session bytes')
    return false
  }

  /** Adjusts the reservation to the statements that are prepared. */
  function updateKeptBytes (): void {
    if (closed || keptStatements === session.prepared.size) return
    keptStatements = session.prepared.size
    const bytes = [...session.prepared].reduce((sum, [name, statement]) => name === '' ? sum : sum + measureStatement(statement), 0)
    if (bytes < keptBytes) options.inputBudget.keep(bytes - keptBytes)
    keptBytes = Math.min(keptBytes, bytes)
  }

  /** Limits the time of a message that is incomplete, while it is read. */
  function watchMessage (): void {
    if (splitter.pendingBytes() === 0 || closed || socket.isPaused()) {
      clearTimeout(messageTimer)
      messageTimer = undefined
      return
    }
    messageTimer ??= setTimeout(() => {
      options.onLimit('partial message time')
      closeWithError(new RefusalError('limit exceeded', 'a message was not complete in time', 'not run'))
    }, options.limits.messageMilliseconds)
  }

  function readSimpleBatch (frame: Frame): Batch {
    if (collectedFrames.length > 0 || runner.isBatchOpen()) throw new RefusalError('protocol broken', 'a simple query came before the Sync of the batch in front of it')
    batchComplete = true
    return readSimpleQuery(frame)
  }

  /** Reads the next batch that ends in Sync or Flush, or the next part of a batch that is longer than the limits. */
  function readNextBatch (): Batch | undefined {
    for (let frame = queue.take(); frame !== undefined; frame = queue.take()) {
      if (frame.type === FRONTEND.terminate) {
        close()
        return undefined
      }
      if (skippingToSync) {
        if (frame.type === FRONTEND.sync) stopSkipping()
        continue
      }
      if (frame.type === FRONTEND.query) return readSimpleBatch(frame)
      if (frame.type === FRONTEND.functionCall) {
        batchComplete = true
        throw new RefusalError('not supported', 'function calls by message are not supported', 'not run', 'Call the function in a SELECT.')
      }
      if (!EXTENDED_MESSAGE_TYPES.has(frame.type)) throw new RefusalError('protocol broken', `there is no message of type ${frame.type} here`)
      collectedFrames.push(frame)
      collectedBytes += frame.bytes.length
      const endsBatch = frame.type === FRONTEND.sync || frame.type === FRONTEND.flush
      if (endsBatch || collectedFrames.length >= MAXIMUM_COLLECTED_FRAMES || collectedBytes >= MAXIMUM_COLLECTED_BYTES) return readCollectedBatch()
    }
    return undefined
  }

  function stopSkipping (): void {
    skippingToSync = false
    socket.write(buildReadyForQuery(session.transaction))
  }

  /** Fails the current transaction and sends the refusal to the caller. */
  async function refuse (error: unknown): Promise<void> {
    const refusal = error instanceof RefusalError ? error : new RefusalError('server lost', (error as Error).message, 'unknown')
    collectedFrames = []
    collectedBytes = 0
    await runner.failTransaction()
    if (closed) return
    options.onRefused(refusal)
    skippingToSync = !batchComplete
    // The caller's last token may not cover a write that was committed. The new token covers it,
    // or makes the next read ask the primary for its position first.
    if (refusal.runState === 'unknown') socket.write(buildParameterStatus(SESSION_TOKEN_SETTING, session.tokenText()))
    socket.write(buildRefusalResponse(refusal))
    if (!skippingToSync) socket.write(buildReadyForQuery(session.transaction))
  }

  async function processNextBatch (): Promise<boolean> {
    try {
      const batch = readNextBatch()
      if (batch === undefined) return false
      const canWriteMore = await runner.run(batch)
      if (!canWriteMore) await new Promise<void>(resolve => { runner.onDrain(resolve) })
    } catch (error) {
      if (error instanceof RefusalError && error.kind === 'protocol broken') closeWithError(error)
      else if (!closed) await refuse(error)
    }
    return true
  }

  /** Limits the time that a transaction waits for its caller, because it holds one of the few backend connections. */
  function startIdleTransactionTimer (): void {
    if (closed || !runner.holdsConnection()) return
    idleTransactionTimer = setTimeout(() => {
      closeWithError(new RefusalError('idle in transaction', 'the transaction waited too long for its next request', 'stopped', 'Send a transaction\'s requests without a pause.'))
    }, options.idleTransactionMilliseconds)
  }

  async function processQueue (): Promise<void> {
    if (processingQueue) return
    processingQueue = true
    clearTimeout(idleTransactionTimer)
    while (!closed && await processNextBatch()) closeIfDrained()
    processingQueue = false
    updateKeptBytes()
    updateInputBudget()
    startIdleTransactionTimer()
    if (!closed && socket.isPaused()) socket.resume()
    watchMessage()
  }

  /** Adjusts the reservation to the bytes buffered here. Closes the connection when the budget is exceeded. */
  function updateInputBudget (): void {
    if (closed) return
    const bytes = splitter.pendingBytes() + queue.byteLength() + collectedBytes
    const additionalBytes = bytes - reservedBytes
    reservedBytes = bytes
    if (additionalBytes === 0 || options.inputBudget.adjust(additionalBytes)) return
    options.onLimit('buffered bytes closed')
    closeWithError(new RefusalError('limit exceeded', 'this instance holds too many incomplete requests', 'not run', 'Try again, or send smaller messages.'))
  }

  const splitter = createFrameSplitter(services.maximumMessageBytes, frame => {
    // The next message has its own time.
    clearTimeout(messageTimer)
    messageTimer = undefined
    queue.add(frame)
  })

  function handleData (chunk: Buffer): void {
    try {
      splitter.push(chunk)
    } catch (error) {
      options.onLimit('message bytes')
      return closeWithError(new RefusalError('protocol broken', (error as Error).message))
    }
    void processQueue()
    updateInputBudget()
    // Further requests wait in the caller's own buffers until the queue is processed.
    if (processingQueue && queue.isFull()) socket.pause()
    watchMessage()
  }

  // The time starts again with each byte that the caller takes or sends.
  socket.setTimeout(options.limits.unreadAnswerMilliseconds, () => {
    if (socket.writableLength === 0) return
    options.onLimit('unread answer time')
    close()
    socket.destroy()
  })
  socket.on('error', close)
  socket.on('close', close)
  socket.on('end', close)
  socket.write(Buffer.concat([STARTUP_RESPONSE, buildBackendKeyData(options.processNumber, options.secret), buildReadyForQuery('idle')]))
  if (options.remaining.length > 0) handleData(options.remaining)
  socket.on('data', handleData)
  socket.resume()

  return {
    identity,
    cancel: runner.cancel,
    closeWithError,
    drain: () => {
      draining = true
      if (!processingQueue) closeIfDrained()
    },
    isBusy: () => processingQueue || runner.isBatchOpen() || session.transaction !== 'idle'
  }
}

/** Time that a caller has to read the last answer before its socket is destroyed, in milliseconds. */
const CLOSE_TIMEOUT_MILLISECONDS = 2_000
