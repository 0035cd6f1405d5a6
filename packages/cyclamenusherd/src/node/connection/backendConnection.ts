/**
 * One connection to a backend server. The pg library opens and authenticates it;
 * afterwards this module owns the socket and exchanges complete frames.
 */

import { NO_SETTINGS } from '@cyclamenusher/decisions'
import pg from 'pg'
import { buildCancelRequest, buildFrame, createFrameSplitter, FRONTEND } from '@cyclamenusher/protocol'
import { connect } from 'node:net'
import { writePieces } from '../request/byteRuns.js'
import type { Socket } from 'node:net'
import type { Frame } from '@cyclamenusher/protocol'
import type { SettingValues } from '@cyclamenusher/decisions'

/** Maximum length of a frame from a backend server, in bytes. */
const MAXIMUM_FRAME_BYTES = 1024 * 1024 * 1024
/** Parameter in which a backend server reports its identity. */
const SERVER_IDENTITY_PARAMETER = 'cyclamenusher.server'
/** Time that opening a connection may take, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000
/** Time that a graceful close may take, in milliseconds. */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000

export interface FrameReceiver {
  onFrame: (frame: Frame) => void
  /** Called after all frames of one chunk were delivered. */
  onChunkEnd: () => void
  onClosed: () => void
}

export interface BackendConnection {
  readonly member: string
  /** Identity that the server reports: "group/member/incarnation". */
  readonly serverIdentity: string
  /** Names at the server of the statements that are prepared there. */
  readonly prepared: Set<string>
  /** Settings of the connection that differ from the defaults, by name. */
  settings: SettingValues
  /** Whether a statement ran that may have changed the state of the server's session. */
  mayHaveChangedSession: boolean
  /** When the connection was opened or last released, in milliseconds of the process's clock. */
  usedAt: number
  /** Writes the pieces as one. Returns false when the socket's buffer is full. */
  send: (pieces: readonly Buffer[]) => boolean
  /** Calls `listener` once, when the socket can be written to again. */
  onDrain: (listener: () => void) => void
  /** Sets the receiver of frames. Without a receiver, any frame closes the connection. */
  setReceiver: (receiver: FrameReceiver | undefined) => void
  pauseReading: () => void
  resumeReading: () => void
  /** Asks the server to cancel the running statement. The request may arrive late, so the connection is not reused. */
  cancel: () => void
  /** Whether another request may use the connection. */
  isReusable: () => boolean
  isOpen: () => boolean
  /** Closes the connection gracefully. */
  close: () => void
  /** Closes the socket at once, without waiting for the server. */
  destroy: () => void
}

export interface BackendTarget {
  member: string
  host: string
  port: number
  user: string
  password: string
  database: string
}

/** Fields of a connected pg client that its types do not declare. */
interface ConnectedClient {
  connection: { stream: Socket }
  processID: number
  secretKey: number
}

export async function openBackendConnection (target: BackendTarget, onClosed: () => void): Promise<BackendConnection> {
  const { member, host, port, user, password, database } = target
  const client = new pg.Client({ host, port, user, password, database, connectionTimeoutMillis: CONNECT_TIMEOUT_MILLISECONDS, keepAlive: true })
  client.on('error', () => {})
  let serverIdentity = ''
  const protocolEvents = (client as unknown as { connection: NodeJS.EventEmitter }).connection
  protocolEvents.on('parameterStatus', ({ parameterName, parameterValue }: Record<string, string>) => {
    if (parameterName === SERVER_IDENTITY_PARAMETER) serverIdentity = parameterValue
  })
  await client.connect()
  const { connection, processID, secretKey } = client as unknown as ConnectedClient
  const socket = connection.stream
  socket.removeAllListeners('data')
  socket.setNoDelay(true)
  let receiver: FrameReceiver | undefined
  let open = true
  let cancelled = false

  const splitter = createFrameSplitter(MAXIMUM_FRAME_BYTES, frame => {
    // An unexpected frame means that the state of the connection is unknown.
    if (receiver === undefined) {
      socket.destroy()
      return
    }
    receiver.onFrame(frame)
  })
  socket.on('data', (chunk: Buffer) => {
    try {
      splitter.push(chunk)
    } catch {
      socket.destroy()
      return
    }
    receiver?.onChunkEnd()
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    open = false
    const lastReceiver = receiver
    receiver = undefined
    lastReceiver?.onClosed()
    onClosed()
  })

  return {
    member,
    serverIdentity,
    prepared: new Set(),
    settings: NO_SETTINGS,
    mayHaveChangedSession: false,
    usedAt: 0,
    send: pieces => writePieces(socket, pieces),
    onDrain: listener => { socket.once('drain', listener) },
    setReceiver: newReceiver => { receiver = newReceiver },
    pauseReading: () => { socket.pause() },
    resumeReading: () => { socket.resume() },
    cancel: () => {
      cancelled = true
      const request = connect({ host, port }, () => { request.end(buildCancelRequest(processID, secretKey)) })
      request.on('error', () => {})
      request.setTimeout(CONNECT_TIMEOUT_MILLISECONDS, () => { request.destroy() })
    },
    isReusable: () => open && !cancelled,
    isOpen: () => open,
    close: () => {
      if (!open) return
      socket.write(buildFrame(FRONTEND.terminate))
      socket.destroySoon()
      // A server that does not answer never acknowledges the data, so the socket is destroyed after a timeout.
      setTimeout(() => { socket.destroy() }, CLOSE_TIMEOUT_MILLISECONDS).unref()
    },
    destroy: () => { socket.destroy() }
  }
}
