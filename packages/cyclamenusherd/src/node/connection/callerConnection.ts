/**
 * One caller's connection: its session, its place in the groups' logs, and its
 * requests one after another. It owns the caller's socket.
 */

import { EMPTY_TOKEN, SessionTokenError, advanceToken, decodeToken, encodeToken } from '@cyclamenusher/decisions'
import { BACKEND, FRONTEND, buildBackendKeyData, buildCommandComplete, buildFrame, buildParameterStatus, buildReadyForQuery, createFrameSplitter } from '@cyclamenusher/protocol'
import { needOf, readExtendedBatch, readSimpleQuery } from '../request/batch.js'
import { RefusalError, refusalResponse } from '../request/refusal.js'
import { ConnectionLostError, createStatementRequest, unknownOutcome } from '../request/statementRequest.js'
import type { Socket } from 'node:net'
import type { LogPosition, SessionToken, StatementClass } from '@cyclamenusher/decisions'
import type { Frame, TransactionState } from '@cyclamenusher/protocol'
import type { Batch, BatchNeed, PreparedStatements } from '../request/batch.js'
import type { StatementRequest } from '../request/statementRequest.js'
import type { Identity } from '../version/rulesStore.js'
import type { BackendConnection } from './backendConnection.js'

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
  admit: (identity: Identity, database: string, need: BatchNeed) => void
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

/** Setting with which a caller gives its token back. */
const SESSION_SETTING = 'cyclamenusher.session'
/** Frames that may wait while a request runs. */
const MAXIMUM_QUEUED_FRAMES = 10_000

function startupToken (parameters: Record<string, string>, secret: string): SessionToken {
  const fromOptions = /(?:^|\s)(?:-c\s*|--)cyclamenusher\.session=(\S+)/.exec(parameters.options ?? '')
  return decodeToken(parameters[SESSION_SETTING] ?? fromOptions?.[1] ?? '', secret)
}

export function createCallerConnection (options: CallerConnectionOptions): CallerConnection {
  const { socket, identity, database, group, services } = options
  let token: SessionToken = EMPTY_TOKEN
  let pinned: Lease | undefined
  let transaction: TransactionState = 'idle'
  let current: { request: StatementRequest, lease: Lease } | undefined
  let running = false
  let draining = false
  let closed = false
  const frames: Frame[] = []
  let collected: Frame[] = []
  const prepared: PreparedStatements = new Map()
  const portals = new Map<string, string>()

  function write (...buffers: Buffer[]): void {
    if (!socket.destroyed) socket.write(buffers.length === 1 ? buffers[0] : Buffer.concat(buffers))
  }

  function end (error: RefusalError): void {
    if (closed) return
    write(refusalResponse(error, 'FATAL'))
    close()
  }

  function close (): void {
    if (closed) return
    closed = true
    // Whatever runs for a caller that is gone must not reach the next one.
    current?.lease.backend.cancel()
    if (current !== undefined && current.lease !== pinned) current.lease.release(false)
    pinned?.release(false)
    pinned = undefined
    socket.destroySoon()
    options.onClosed()
  }

  function greet (): void {
    write(
      buildFrame(BACKEND.authentication, Uint8Array.of(0, 0, 0, 0)),
      buildParameterStatus('server_version', '15.0'),
      buildParameterStatus('server_encoding', 'UTF8'),
      buildParameterStatus('client_encoding', 'UTF8'),
      buildParameterStatus('DateStyle', 'ISO, MDY'),
      buildParameterStatus('integer_datetimes', 'on'),
      buildParameterStatus('standard_conforming_strings', 'on'),
      buildBackendKeyData(options.processNumber, options.secret),
      buildReadyForQuery('idle')
    )
  }

  function applySetting ({ setting, value }: StatementClass): void {
    if (setting === SESSION_SETTING) {
      try {
        token = decodeToken(value ?? '', services.tokenSecret)
      } catch (error) {
        if (error instanceof SessionTokenError) throw new RefusalError('token refused', error.message)
        throw error
      }
      return
    }
    throw new RefusalError('not supported', `SET ${setting ?? ''} is not supported on a shared connection`, 'not run', 'Use SET LOCAL in a transaction.')
  }

  function answerSetting (batch: Batch): void {
    applySetting(batch.statements[0])
    const replies: Buffer[] = batch.simple ? [buildCommandComplete('SET')] : batch.messages.flatMap(({ type }) => SETTING_REPLIES[type] ?? [])
    write(...replies, buildReadyForQuery(transaction))
  }

  async function sessionPlace (need: BatchNeed): Promise<LogPosition | undefined> {
    const known = token.get(group)
    if (known !== undefined || need !== 'read') return known
    // Without a token the session may have written anywhere: learn how far the group is.
    const place = await services.confirmPlace(group)
    token = advanceToken(token, group, place)
    return place
  }

  async function finish (request: StatementRequest, lease: Lease): Promise<string> {
    const result = await request.done
    transaction = result.transaction
    if (result.transaction === 'idle') {
      pinned = undefined
      lease.release(true)
    } else {
      pinned = lease
    }
    if (result.committed === undefined) {
      request.flush(undefined)
      return result.errorCode === undefined ? 'done' : 'failed'
    }
    token = advanceToken(token, group, result.committed)
    const outcome = await services.acknowledge(group, result.committed)
    if (outcome === 'held') {
      request.flush(encodeToken(token, services.tokenSecret))
      return 'done'
    }
    const message = outcome === 'replaced'
      ? 'the primary was replaced before a majority held the commit'
      : 'no majority confirmed the commit in time'
    request.replace(unknownOutcome(message), transaction)
    return 'unknown'
  }

  async function run (batch: Batch): Promise<void> {
    const startedAt = services.now()
    const need = needOf(batch)
    if (need === 'setting') return answerSetting(batch)
    if (need === 'empty') return write(buildReadyForQuery(transaction))
    services.admit(identity, database, need)
    const place = pinned === undefined ? await sessionPlace(need) : undefined
    const lease = pinned ?? await services.lease({ identity, database, group, need, token: place })
    if (closed) return lease.release(lease !== pinned)
    const request = createStatementRequest({ caller: socket, backend: lease.backend, prepared, mayCommit: need === 'write' })
    current = { request, lease }
    const deadline = setTimeout(() => {
      // The server is told to stop; its connection is not lent again.
      lease.backend.cancel()
      lease.backend.close()
    }, services.requestMilliseconds)
    try {
      request.send(batch)
      const outcome = await finish(request, lease)
      services.recordRequest(need, outcome, services.now() - startedAt)
    } catch (error) {
      pinned = undefined
      lease.release(false)
      throw translateLoss(error, need, request)
    } finally {
      clearTimeout(deadline)
      current = undefined
    }
  }

  function translateLoss (error: unknown, need: BatchNeed, request: StatementRequest): unknown {
    if (!(error instanceof ConnectionLostError)) return error
    const wasInTransaction = transaction !== 'idle'
    transaction = 'idle'
    if (need === 'read') return new RefusalError('server lost', 'the backend server was lost while it answered a read', 'stopped')
    if (request.hasAnswered() || wasInTransaction || need === 'write') {
      return new RefusalError('outcome unknown', 'the backend server was lost before it said whether the work was committed', 'unknown')
    }
    return new RefusalError('server lost', 'the backend server was lost', 'not run')
  }

  function refuse (error: unknown): void {
    const refusal = error instanceof RefusalError ? error : new RefusalError('server lost', (error as Error).message, 'unknown')
    write(refusalResponse(refusal), buildReadyForQuery(transaction === 'idle' ? 'idle' : 'failed'))
  }

  function nextBatch (): Batch | undefined {
    for (let frame = frames.shift(); frame !== undefined; frame = frames.shift()) {
      if (frame.type === FRONTEND.terminate) {
        close()
        return undefined
      }
      if (frame.type === FRONTEND.query) return readSimpleQuery(frame)
      if (!EXTENDED.has(frame.type)) throw new RefusalError('not supported', `message type ${frame.type} is not supported`)
      collected.push(frame)
      if (frame.type !== FRONTEND.sync) continue
      const batch = readExtendedBatch(collected, prepared, portals)
      collected = []
      return batch
    }
    return undefined
  }

  async function work (): Promise<void> {
    if (running) return
    running = true
    while (!closed) {
      try {
        const batch = nextBatch()
        if (batch === undefined) break
        await run(batch)
      } catch (error) {
        if (!closed) refuse(error)
      }
      if (draining && transaction === 'idle') end(new RefusalError('shutting down', 'this instance is shutting down: connect again'))
    }
    running = false
    if (frames.length < MAXIMUM_QUEUED_FRAMES / 2) socket.resume()
  }

  const splitter = createFrameSplitter(services.maximumMessageBytes, frame => {
    frames.push(frame)
    if (frames.length > MAXIMUM_QUEUED_FRAMES) socket.pause()
  })

  function receive (chunk: Buffer): void {
    try {
      splitter.push(chunk)
    } catch (error) {
      return end(new RefusalError('protocol broken', (error as Error).message))
    }
    void work()
  }

  try {
    token = startupToken(options.parameters, services.tokenSecret)
  } catch (error) {
    end(new RefusalError('token refused', (error as Error).message))
  }
  socket.on('error', () => { close() })
  socket.on('close', close)
  socket.on('end', close)
  if (!closed) {
    greet()
    if (options.rest.length > 0) receive(options.rest)
    socket.on('data', receive)
    socket.resume()
  }

  return {
    identity,
    cancel: () => { current?.lease.backend.cancel() },
    end,
    drain: () => {
      draining = true
      if (!running && transaction === 'idle') end(new RefusalError('shutting down', 'this instance is shutting down: connect again'))
    },
    isBusy: () => running || transaction !== 'idle'
  }
}

const EXTENDED: ReadonlySet<number> = new Set([
  FRONTEND.parse, FRONTEND.bind, FRONTEND.describe, FRONTEND.execute, FRONTEND.close, FRONTEND.sync, FRONTEND.flush
])

const SETTING_REPLIES: Record<number, Buffer> = {
  [FRONTEND.parse]: buildFrame(BACKEND.parseComplete),
  [FRONTEND.bind]: buildFrame(BACKEND.bindComplete),
  [FRONTEND.describe]: buildFrame(BACKEND.noData),
  [FRONTEND.execute]: buildCommandComplete('SET')
}
