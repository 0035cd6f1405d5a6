/**
 * Manages the HTTP/2 session of a link: opens it on demand, checks it with pings
 * while calls are in progress and replaces it when it fails. Every session keeps
 * an error listener until it ends. The library's own manager removes it too
 * early, so that an error after a GOAWAY would end the process.
 */

import { connect } from 'node:http2'
import { Code, ConnectError } from '@connectrpc/connect'
import type { ClientHttp2Session, ClientHttp2Stream, OutgoingHttpHeaders, SecureClientSessionOptions } from 'node:http2'
import type { GrpcTransportOptions } from '@connectrpc/connect-node'

/** Interval between pings while calls are in progress, in milliseconds. A ping that is unanswered for this long ends the session. */
const PING_INTERVAL_MILLISECONDS = 1_000
/** Maximum time to open a session, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000

type SessionManager = NonNullable<GrpcTransportOptions['sessionManager']>

/** There is no connection to the other instance. */
export class ConnectionError extends Error {
  override name = 'ConnectionError'
}

export interface CallSessionManager extends SessionManager {
  /** Opens a stream that stays open. It is not checked with pings: its user notices a silent connection by what it waits for. @throws ConnectionError */
  openStream: (path: string, headers: OutgoingHttpHeaders) => Promise<ClientHttp2Stream>
  /** Closes the session and its calls; the next call opens a new session. */
  abort: () => void
}

interface OpenSession {
  session: ClientHttp2Session
  connected: Promise<void>
  /** Streams of calls in progress. */
  streams: Set<ClientHttp2Stream>
  /** Number of message streams. */
  messageStreams: number
}

function startKeepalivePings ({ session, streams }: OpenSession): void {
  let pingAnswered = true
  const timer = setInterval(() => {
    if (!pingAnswered) {
      session.destroy(new ConnectionError('the connection went silent'))
      return
    }
    if (streams.size === 0) return
    pingAnswered = false
    session.ping(() => { pingAnswered = true })
  }, PING_INTERVAL_MILLISECONDS)
  timer.unref()
  session.once('close', () => { clearInterval(timer) })
}

function openSession (authority: string, options: SecureClientSessionOptions | undefined): OpenSession {
  const session = connect(authority, options)
  session.on('error', () => {})
  const connected = new Promise<void>((resolve, reject) => {
    const fail = (reason: string): void => { reject(new ConnectionError(reason)) }
    const timer = setTimeout(() => { session.destroy(new Error('no connection in time')) }, CONNECT_TIMEOUT_MILLISECONDS)
    session.once('connect', () => {
      clearTimeout(timer)
      resolve()
    })
    session.once('error', error => { fail(error.message) })
    session.once('close', () => {
      clearTimeout(timer)
      fail('the connection was closed')
    })
  })
  connected.catch(() => {})
  const open = { session, connected, streams: new Set<ClientHttp2Stream>(), messageStreams: 0 }
  startKeepalivePings(open)
  return open
}

export function createCallSessionManager (authority: string, options?: SecureClientSessionOptions): CallSessionManager {
  let current: OpenSession | undefined

  function ensureSession (): OpenSession {
    const isUsable = current !== undefined && !current.session.closed && !current.session.destroyed
    if (current === undefined || !isUsable) current = openSession(authority, options)
    return current
  }

  /** A session without streams does not keep the process running. */
  function unrefIfUnused ({ session, streams, messageStreams }: OpenSession): void {
    if (streams.size === 0 && messageStreams === 0 && !session.destroyed) session.unref()
  }

  async function connectedSession (): Promise<OpenSession> {
    const open = ensureSession()
    await open.connected
    if (open.session.closed || open.session.destroyed) throw new ConnectionError('the connection was closed')
    return open
  }

  /** The session for a call, whose callers expect a ConnectError. */
  async function connectedSessionForCall (): Promise<OpenSession> {
    try {
      return await connectedSession()
    } catch (error) {
      throw new ConnectError((error as Error).message, Code.Unavailable)
    }
  }

  return {
    authority,
    openStream: async (path, headers) => {
      const open = await connectedSession()
      const stream = open.session.request({ ...headers, ':method': 'POST', ':path': path })
      open.messageStreams += 1
      open.session.ref()
      stream.once('close', () => {
        open.messageStreams -= 1
        unrefIfUnused(open)
      })
      return stream
    },
    request: async (method, path, headers, requestOptions) => {
      const open = await connectedSessionForCall()
      const allHeaders: OutgoingHttpHeaders = { ...headers, ':method': method, ':path': path }
      const stream = open.session.request(allHeaders, requestOptions)
      open.streams.add(stream)
      open.session.ref()
      stream.once('close', () => {
        open.streams.delete(stream)
        unrefIfUnused(open)
      })
      return stream
    },
    notifyResponseByteRead: () => {},
    abort: () => {
      current?.session.destroy()
      current = undefined
    }
  }
}
