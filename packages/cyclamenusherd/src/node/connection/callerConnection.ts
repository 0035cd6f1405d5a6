/**
 * One caller's connection: it owns the caller's socket, cuts what arrives into
 * batches, and has them run one after another.
 */

import { SESSION_TOKEN_SETTING } from '@cyclamenusher/decisions'
import { BACKEND, FRONTEND, buildBackendKeyData, buildFrame, buildParameterStatus, buildReadyForQuery, createFrameSplitter } from '@cyclamenusher/protocol'
import { readExtendedBatch, readSimpleQuery } from '../request/batch.js'
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
import type { InputBudget } from './callerInput.js'
import type { CallerSession } from './callerSession.js'

/** A backend connection lent to a request, with what giving it back takes. */
export interface Lease {
  backend: BackendConnection
  release: (clean: boolean) => void
}

/** What the process gives a caller's connection. */
export interface CallerServices {
  tokenSecret: string
  maximumMessageBytes: number
  requestMilliseconds: number
  now: () => number
  /** Whether this identity may run `need` now. @throws RefusalError */
  admit: (identity: Identity, database: string, need: BatchNeed) => Promise<void> | void
  /** Finds a member and a connection. @throws RefusalError when the request has not run */
  lease: (request: LeaseRequest) => Promise<Lease>
  /** The session's place in a group that it has not used yet. */
  confirmPlace: (group: string) => Promise<LogPosition>
  acknowledge: (group: string, at: LogPosition) => Promise<'held' | 'replaced' | 'timeout'>
  recordRequest: (need: BatchNeed, outcome: string, milliseconds: number) => void
}

export interface LeaseRequest {
  identity: Identity
  database: string
  group: string
  need: BatchNeed
  token: LogPosition | undefined
}

export interface CallerConnectionOptions {
  socket: Socket
  identity: Identity
  database: string
  group: string
  parameters: Record<string, string>
  processNumber: number
  secret: number
  rest: Buffer
  services: CallerServices
  inputBudget: InputBudget
  /** Time that a transaction may wait for its next request, in milliseconds. */
  idleTransactionMilliseconds: number
  onRefused: (error: RefusalError) => void
  onClosed: () => void
}

export interface CallerConnection {
  readonly identity: Identity
  /** Stops what runs now. */
  cancel: () => void
  /** Ends the connection at once with an error. */
  end: (error: RefusalError) => void
  /** Ends the connection when its running request or transaction is over. */
  drain: () => void
  isBusy: () => boolean
}

/** Messages of a batch that are sent on before its Sync has come. */
const MAXIMUM_COLLECTED_FRAMES = 5_000
const MAXIMUM_COLLECTED_BYTES = 1024 * 1024

const EXTENDED: ReadonlySet<number> = new Set([
  FRONTEND.parse, FRONTEND.bind, FRONTEND.describe, FRONTEND.execute, FRONTEND.close, FRONTEND.sync, FRONTEND.flush
])

/** What a caller is told of the server before its first request. */
const GREETING = Buffer.concat([
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
  let collected: Frame[] = []
  let collectedBytes = 0
  /** After an error in a batch, what comes before its Sync is left out. */
  let skipping = false
  /** The batch that was read last ended, so that ReadyForQuery follows even an error. */
  let ended = true
  /** What this caller has taken of the budget. */
  let inputBytes = 0
  let running = false
  let draining = false
  let closed = false
  const runner = createRequestRunner({
    caller: socket,
    session,
    identity,
    database: options.database,
    group: options.group,
    services,
    onOpenBatchFailed: error => {
      skipping = true
      collected = []
      collectedBytes = 0
      options.onRefused(error)
      if (!closed) socket.write(buildRefusalResponse(error))
    }
  })
  let idleTransaction: NodeJS.Timeout | undefined

  function close (): void {
    if (closed) return
    closed = true
    clearTimeout(idleTransaction)
    options.inputBudget.take(-inputBytes)
    inputBytes = 0
    runner.stop()
    socket.destroySoon()
    options.onClosed()
  }

  function end (error: RefusalError): void {
    if (closed) return
    const known = runner.mayHaveCommitted() ? new RefusalError('outcome unknown', error.message, 'unknown', error.hint) : error
    options.onRefused(known)
    if (!socket.destroyed) socket.write(buildRefusalResponse(known, 'FATAL'))
    close()
    // A caller that does not read must not keep the socket.
    setTimeout(() => { socket.destroy() }, CLOSE_MILLISECONDS).unref()
  }

  function endIfDrained (): void {
    if (draining && session.transaction === 'idle' && !runner.isBatchOpen()) end(new RefusalError('shutting down', 'this instance is shutting down: connect again'))
  }

  function takeBatch (): Batch {
    const frames = collected
    collected = []
    collectedBytes = 0
    ended = frames.at(-1)?.type === FRONTEND.sync
    return readExtendedBatch(frames, session.prepared, session.portals)
  }

  function readSimple (frame: Frame): Batch {
    if (collected.length > 0 || runner.isBatchOpen()) throw new RefusalError('protocol broken', 'a simple query came before the Sync of the batch in front of it')
    ended = true
    return readSimpleQuery(frame)
  }

  /** The next batch that is whole, or that has grown so long that a part of it goes ahead. */
  function nextBatch (): Batch | undefined {
    for (let frame = queue.take(); frame !== undefined; frame = queue.take()) {
      if (frame.type === FRONTEND.terminate) {
        close()
        return undefined
      }
      if (skipping) {
        if (frame.type === FRONTEND.sync) endSkipping()
        continue
      }
      if (frame.type === FRONTEND.query) return readSimple(frame)
      if (frame.type === FRONTEND.functionCall) {
        ended = true
        throw new RefusalError('not supported', 'function calls by message are not supported', 'not run', 'Call the function in a SELECT.')
      }
      if (!EXTENDED.has(frame.type)) throw new RefusalError('protocol broken', `there is no message of type ${frame.type} here`)
      collected.push(frame)
      collectedBytes += frame.bytes.length
      const whole = frame.type === FRONTEND.sync || frame.type === FRONTEND.flush
      if (whole || collected.length >= MAXIMUM_COLLECTED_FRAMES || collectedBytes >= MAXIMUM_COLLECTED_BYTES) return takeBatch()
    }
    return undefined
  }

  function endSkipping (): void {
    skipping = false
    socket.write(buildReadyForQuery(session.transaction))
  }

  /** Tells the caller of a refusal, with what is left of its transaction. */
  async function refuse (error: unknown): Promise<void> {
    const refusal = error instanceof RefusalError ? error : new RefusalError('server lost', (error as Error).message, 'unknown')
    collected = []
    collectedBytes = 0
    await runner.failTransaction()
    if (closed) return
    options.onRefused(refusal)
    skipping = !ended
    // The caller's last token may lack a write that lasts: the new one makes its next read ask first.
    if (refusal.runState === 'unknown') socket.write(buildParameterStatus(SESSION_TOKEN_SETTING, session.tokenText()))
    socket.write(buildRefusalResponse(refusal))
    if (!skipping) socket.write(buildReadyForQuery(session.transaction))
  }

  async function workOnce (): Promise<boolean> {
    try {
      const batch = nextBatch()
      if (batch === undefined) return false
      const flowing = await runner.run(batch)
      if (!flowing) await new Promise<void>(resolve => { runner.onDrain(resolve) })
    } catch (error) {
      if (error instanceof RefusalError && error.kind === 'protocol broken') end(error)
      else if (!closed) await refuse(error)
    }
    return true
  }

  /** A transaction that waits for its caller keeps a scarce connection, so the wait has a bound. */
  function watchTransaction (): void {
    if (closed || !runner.holdsConnection()) return
    idleTransaction = setTimeout(() => {
      end(new RefusalError('idle in transaction', 'the transaction waited too long for its next request', 'stopped', 'Send a transaction\'s requests without a pause.'))
    }, options.idleTransactionMilliseconds)
  }

  async function work (): Promise<void> {
    if (running) return
    running = true
    clearTimeout(idleTransaction)
    while (!closed && await workOnce()) endIfDrained()
    running = false
    countInput()
    watchTransaction()
    if (!closed && socket.isPaused()) socket.resume()
  }

  /** Keeps the account of what waits here; a caller that overdraws the budget is ended. */
  function countInput (): void {
    if (closed) return
    const bytes = splitter.pendingBytes() + queue.byteLength() + collectedBytes
    const more = bytes - inputBytes
    inputBytes = bytes
    if (more === 0 || options.inputBudget.take(more)) return
    end(new RefusalError('limit exceeded', 'this instance holds too many incomplete requests', 'not run', 'Try again, or send smaller messages.'))
  }

  const splitter = createFrameSplitter(services.maximumMessageBytes, frame => { queue.add(frame) })

  function receive (chunk: Buffer): void {
    try {
      splitter.push(chunk)
    } catch (error) {
      return end(new RefusalError('protocol broken', (error as Error).message))
    }
    void work()
    countInput()
    // What a caller sends ahead of its answers waits in its own buffers.
    if (running && queue.isFull()) socket.pause()
  }

  socket.on('error', close)
  socket.on('close', close)
  socket.on('end', close)
  socket.write(Buffer.concat([GREETING, buildBackendKeyData(options.processNumber, options.secret), buildReadyForQuery('idle')]))
  if (options.rest.length > 0) receive(options.rest)
  socket.on('data', receive)
  socket.resume()

  return {
    identity,
    cancel: runner.cancel,
    end,
    drain: () => {
      draining = true
      if (!running) endIfDrained()
    },
    isBusy: () => running || runner.isBatchOpen() || session.transaction !== 'idle'
  }
}

/** Time that a caller has to take the last answer, in milliseconds. */
const CLOSE_MILLISECONDS = 2_000
