/** One connection to a backend server, for one client account: owns the socket and matches replies with statements. */

import { connect } from 'node:net'
import { startAnswerTimeout } from '@cyclamenusher/protocol'
import { OpenError } from './errors.js'
import type { Socket } from 'node:net'
import type { KnownServer, LogPosition } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { FailureKind, ServerCodec, ServerMessage, SessionState } from './statement.js'

/** Time within which a TCP connection must be established, in milliseconds: above any round trip between regions. */
const CONNECT_TIMEOUT_MILLISECONDS = 250
/** Time within which a server must accept an established connection, in milliseconds: it waits in the server's queue like a statement. */
const START_TIMEOUT_MILLISECONDS = 1_000
/** Idle time after which the operating system sends TCP keepalive probes, in milliseconds. */
const KEEPALIVE_IDLE_MILLISECONDS = 1_000

export type Reply =
  | { kind: 'complete', rows: string[], digest: string, state: SessionState, position?: LogPosition, askedAt: number }
  | { kind: 'failure', failure: FailureKind, explanation: string, state: SessionState, position?: LogPosition }
  /** The connection closed before the reply; whether the statement ran is unknown. */
  | { kind: 'lost', reason: string }

export interface ServerConnection {
  readonly member: string
  readonly account: string
  /** Session values that are set at the server. */
  readonly values: Map<string, string>
  /** Names at the server of the statements that are prepared there. */
  readonly prepared: Set<string>
  /** Runs a statement. Without an answer within the limit the connection is closed. */
  run: (id: string, text: string, limitMilliseconds: number) => Promise<Reply>
  /** Sends several statements at once; the replies are in the same order. Without all answers within the limit the connection is closed. */
  runAll: (id: string, texts: readonly string[], limitMilliseconds: number) => Promise<Reply[]>
  /** When the oldest unanswered statement was sent; undefined: all are answered. */
  runningSince: () => number | undefined
  isOpen: () => boolean
  lastUsedAt: () => number
  close: (reason: string) => void
}

export interface ServerConnectionOptions {
  server: KnownServer
  account: string
  codec: ServerCodec
  clock: Clock
  /** Called for everything that the server sends. */
  onData: () => void
  /** `lost`: the server or the network closed the connection, and not this instance. */
  onClose: (reason: string, lost: boolean) => void
}

interface RunningStatement {
  askedAt: number
  rows: string[]
  outcome?: { kind: 'complete', digest: string } | { kind: 'failure', failure: FailureKind, explanation: string }
  resolve: (reply: Reply) => void
}

async function openSocket ({ host, port }: KnownServer): Promise<Socket> {
  return await new Promise<Socket>((resolve, reject) => {
    const socket = connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEPALIVE_IDLE_MILLISECONDS })
    const cancelTimeout = startAnswerTimeout(CONNECT_TIMEOUT_MILLISECONDS, () => { socket.destroy(new OpenError('no answer', 'the server did not answer in time')) })
    socket.once('connect', () => {
      cancelTimeout()
      socket.removeAllListeners('error')
      resolve(socket)
    })
    socket.once('error', error => {
      cancelTimeout()
      reject(error instanceof OpenError ? error : new OpenError('refused', error.message))
    })
  })
}

/** Whether a TCP connection to the server's address can be established. */
export async function isReachable (server: KnownServer): Promise<boolean> {
  try {
    const socket = await openSocket(server)
    socket.destroy()
    return true
  } catch {
    return false
  }
}

/** Opens a connection and waits until the server accepts it. @throws OpenError */
export async function openServerConnection (options: ServerConnectionOptions): Promise<ServerConnection> {
  const { server, account, codec, clock } = options
  const socket = await openSocket(server)
  const values = new Map<string, string>()
  const prepared = new Set<string>()
  /** Statements without a complete reply, in the order in which they were sent. */
  const running: RunningStatement[] = []
  let pendingStart: { resolve: () => void, reject: (error: OpenError) => void } | undefined
  let lastUsedAt = clock.now()
  let closeReason: string | undefined

  function close (reason: string): void {
    end(reason, false)
  }

  function end (reason: string, lost: boolean): void {
    if (closeReason !== undefined) return
    closeReason = reason
    // A statement that is given up must not reach the server later.
    if (running.length > 0) socket.resetAndDestroy()
    else socket.destroy()
    for (const { resolve } of running.splice(0)) resolve({ kind: 'lost', reason })
    pendingStart?.reject(new OpenError('refused', reason))
    pendingStart = undefined
    options.onClose(reason, lost)
  }

  function finishStatement (state: SessionState, position: LogPosition | undefined): void {
    const finished = running.shift()
    if (finished?.outcome === undefined) {
      finished?.resolve({ kind: 'lost', reason: 'the server was ready without an answer' })
      return close('the server was ready without an answer')
    }
    const { rows, outcome, askedAt, resolve } = finished
    lastUsedAt = clock.now()
    if (outcome.kind === 'complete') resolve({ kind: 'complete', rows, digest: outcome.digest, state, position, askedAt })
    else resolve({ kind: 'failure', failure: outcome.failure, explanation: outcome.explanation, state, position })
  }

  function receiveStartReply (message: ServerMessage): void {
    if (message.kind === 'ready') {
      pendingStart?.resolve()
      pendingStart = undefined
      return
    }
    if (message.kind === 'failure') pendingStart?.reject(new OpenError(message.failure, message.explanation))
    pendingStart = undefined
    close('the server refused the connection')
  }

  function receive (message: ServerMessage): void {
    if (pendingStart !== undefined) return receiveStartReply(message)
    const [next] = running
    if (next === undefined) return close(`the server sent ${message.kind} unasked`)
    if (message.kind === 'row') next.rows.push(message.row)
    else if (message.kind === 'complete' || message.kind === 'failure') next.outcome = message
    else if (message.kind === 'ready') finishStatement(message.state, message.position)
    else close(message.reason)
  }

  socket.on('data', chunk => {
    options.onData()
    for (const message of codec.read(chunk)) {
      if (closeReason !== undefined) return
      receive(message)
    }
  })
  socket.on('error', error => { end(error.message, true) })
  socket.on('close', () => { end('the server closed the connection', true) })

  await new Promise<void>((resolve, reject) => {
    const cancelTimeout = startAnswerTimeout(START_TIMEOUT_MILLISECONDS, () => {
      pendingStart = undefined
      close('the server did not accept the connection in time')
      reject(new OpenError('busy', 'the server did not accept the connection in time'))
    })
    pendingStart = {
      resolve: () => {
        cancelTimeout()
        resolve()
      },
      reject: error => {
        cancelTimeout()
        reject(error)
      }
    }
    socket.write(codec.start(server.group, account, server.member), 'latin1')
  })

  async function runAll (id: string, texts: readonly string[], limitMilliseconds: number): Promise<Reply[]> {
    if (closeReason !== undefined) return texts.map(() => ({ kind: 'lost', reason: closeReason ?? '' }))
    lastUsedAt = clock.now()
    const replies = texts.map(async () => await new Promise<Reply>(resolve => { running.push({ askedAt: lastUsedAt, rows: [], resolve }) }))
    socket.write(texts.map(text => codec.statement(id, text)).join(''), 'latin1')
    const cancelTimeout = startAnswerTimeout(limitMilliseconds, () => { close('the server did not answer in time') })
    const received = await Promise.all(replies)
    cancelTimeout()
    return received
  }

  return {
    member: server.member,
    account,
    values,
    prepared,
    run: async (id, text, limitMilliseconds) => (await runAll(id, [text], limitMilliseconds))[0],
    runAll,
    runningSince: () => running[0]?.askedAt,
    isOpen: () => closeReason === undefined,
    lastUsedAt: () => lastUsedAt,
    close
  }
}
