/**
 * One connection to a backend server. The library opens it and authenticates;
 * from then on this module owns the socket and deals in whole frames.
 */

import { NO_SETTINGS } from '@cyclamenusher/decisions'
import pg from 'pg'
import { buildCancelRequest, buildFrame, createFrameSplitter, FRONTEND } from '@cyclamenusher/protocol'
import { connect } from 'node:net'
import { writePieces } from '../request/byteRuns.js'
import type { Socket } from 'node:net'
import type { Frame } from '@cyclamenusher/protocol'
import type { SettingValues } from '@cyclamenusher/decisions'

/** Largest frame of a backend server, in bytes. */
const MAXIMUM_FRAME_BYTES = 1024 * 1024 * 1024
/** Parameter in which a backend server says which one it is. */
const SERVER_IDENTITY_PARAMETER = 'cyclamenusher.server'
/** Time that opening may take, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000

/** Time that ending in good order may take, in milliseconds. */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000

export interface FrameReceiver {
  onFrame: (frame: Frame) => void
  /** All frames of one chunk have been handed over. */
  onChunkEnd: () => void
  onClosed: () => void
}

export interface BackendConnection {
  readonly member: string
  /** What the server calls itself: "group/member/incarnation". */
  readonly serverIdentity: string
  /** Statements prepared here, by name. */
  readonly prepared: Set<string>
  /** Settings in force here that are not the defaults, by name. */
  settings: SettingValues
  /** A statement ran that may have left marks on the server's session. */
  mayHaveChangedSession: boolean
  /** When it was last lent or checked, in milliseconds of the process's clock. */
  usedAt: number
  /** Writes the pieces in one go. False: the server takes no more now; `onDrain` tells when it does. */
  send: (pieces: readonly Buffer[]) => boolean
  onDrain: (listener: () => void) => void
  /** Who gets the frames; undefined: nobody, and any frame closes the connection. */
  setReceiver: (receiver: FrameReceiver | undefined) => void
  pauseReading: () => void
  resumeReading: () => void
  /** Asks the server to stop what runs here. It may come late, so the connection is not lent again. */
  cancel: () => void
  /** Whether it may be lent to another request. */
  isReusable: () => boolean
  isOpen: () => boolean
  /** Ends it in good order. */
  close: () => void
  /** Drops it at once, also when the other end is silent. */
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
    // A frame that nobody waits for means that the state is not what it seemed.
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
      // A silent other end acknowledges nothing: the socket must not outlive this.
      setTimeout(() => { socket.destroy() }, CLOSE_TIMEOUT_MILLISECONDS).unref()
    },
    destroy: () => { socket.destroy() }
  }
}
