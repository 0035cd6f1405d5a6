/**
 * Calls between processes: connect-es over HTTP/2, authenticated by a secret
 * that all instances and announcers share and, where configured, by mutual TLS.
 */

import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, createSecureServer } from 'node:http2'
import { createServer as createTcpServer } from 'node:net'
import { createServer as createTlsServer } from 'node:tls'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createGrpcTransport } from '@connectrpc/connect-node'
import { createCallSessionManager } from './callSession.js'
import { createMessageStream } from './messageStream.js'
import { createSilentConnections } from './silentConnections.js'
import { createStreamOpener } from './streamOpener.js'
import { STREAM_PROTOCOL, acceptSocketStream, distinguishStreams } from './streamSocket.js'
import type { Http2SecureServer, Http2Session, Http2Server, Http2ServerRequest, Http2ServerResponse, ServerHttp2Session, ServerHttp2Stream } from 'node:http2'
import type { Server as TcpServer, Socket } from 'node:net'
import type { DescService } from '@bufbuild/protobuf'
import type { Client, ConnectRouter, Interceptor } from '@connectrpc/connect'
import type { MessageStream, MessageStreamHandlers } from './messageStream.js'

/** Header that carries the shared secret. */
const SECRET_HEADER = 'x-cyclamenusher-secret'

/** Path of message streams; the name of the stream follows. */
const STREAM_PATH = '/cyclamenusher.streams/'
const HTTP_OK = 200
const HTTP_KEY_MISSING = 401
const HTTP_NOT_FOUND = 404
/** HTTP/2 as it is negotiated over TLS. */
const HTTP2_PROTOCOL = 'h2'

/** Largest message between two processes, in bytes. */
export const MAXIMUM_CALL_BYTES = 16 * 1024 * 1024

/** Certificates for mutual TLS between processes, as PEM text. */
export interface PeerTls {
  certificate: string
  key: string
  authority: string
}

export interface PeerCredentials {
  secret: string
  /** @default undefined - calls are not encrypted, which is allowed on loopback only */
  tls?: PeerTls
}

export interface CallServer {
  port: number
  close: () => Promise<void>
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}

/** Returns whether a text is the shared secret, in a time that does not depend on the text. */
function createSecretCheck (secret: string): (given: string) => boolean {
  const expected = digest(secret)
  return given => timingSafeEqual(digest(given), expected)
}

function requireSecret (secret: string): Interceptor {
  const isSecret = createSecretCheck(secret)
  return next => async request => {
    if (!isSecret(request.header.get(SECRET_HEADER) ?? '')) {
      throw new ConnectError(SECRET_WRONG, Code.Unauthenticated)
    }
    return await next(request)
  }
}

function sendSecret (secret: string): Interceptor {
  return next => async request => {
    request.header.set(SECRET_HEADER, secret)
    return await next(request)
  }
}

/** By name, what accepts message streams of that name. */
export type StreamRoutes = ReadonlyMap<string, (stream: MessageStream) => MessageStreamHandlers>

type RequestHandler = (request: Http2ServerRequest, response: Http2ServerResponse) => void

/** Whether the other side has ended the stream already, also in the chunk that opened it: to respond would throw. */
function isReset (stream: ServerHttp2Stream): boolean {
  return stream.destroyed || stream.closed
}

/** Accepts the requests for message streams of the build before, and passes on all others. */
function acceptStreams (streams: StreamRoutes, isSecret: (given: string) => boolean, handleCall: RequestHandler): RequestHandler {
  return (request, response) => {
    if (!request.url.startsWith(STREAM_PATH)) return handleCall(request, response)
    const { stream } = response
    const accept = streams.get(request.url.slice(STREAM_PATH.length))
    const isAuthenticated = isSecret(String(request.headers[SECRET_HEADER] ?? ''))
    if (isReset(stream)) return
    if (!isAuthenticated || accept === undefined) return stream.respond({ ':status': isAuthenticated ? HTTP_NOT_FOUND : HTTP_KEY_MISSING }, { endStream: true })
    stream.respond({ ':status': HTTP_OK })
    createMessageStream(stream, accept)
  }
}

/** Bounds the connections that no authenticated call or stream has come on. */
export interface UnauthenticatedCalls {
  /** The oldest is closed for a further one. */
  maximum: number
  /** Called when one was closed, for a further one or after its time. */
  onClosed: () => void
}

const DEFAULT_SILENT_CALLS: UnauthenticatedCalls = { maximum: 1_024, onClosed: () => {} }
/** Time within which a connection must have brought an authenticated call or stream, in milliseconds. */
const AUTHENTICATION_TIMEOUT_MILLISECONDS = 5_000
/** Most calls of one connection at once. */
const MAXIMUM_CALLS_OF_CONNECTION = 1_000
/** Status of gRPC for a call without valid credentials. */
const GRPC_SECRET_WRONG = 16
const SECRET_WRONG = 'the shared secret is wrong: give both sides the same secret file'

/** Refuses calls without the secret before their messages are read. */
function requireSecretFirst (isSecret: (given: string) => boolean, onAuthenticated: (session: Http2Session | undefined) => void, handleCall: RequestHandler): RequestHandler {
  return (request, response) => {
    const { stream } = response
    if (isSecret(String(request.headers[SECRET_HEADER] ?? ''))) {
      onAuthenticated(stream.session)
      return handleCall(request, response)
    }
    if (isReset(stream)) return
    stream.on('error', () => {})
    if (request.url.startsWith(STREAM_PATH)) stream.respond({ ':status': HTTP_KEY_MISSING }, { endStream: true })
    else stream.respond({ ':status': HTTP_OK, 'content-type': 'application/grpc', 'grpc-status': GRPC_SECRET_WRONG, 'grpc-message': encodeURIComponent(SECRET_WRONG) }, { endStream: true })
    stream.close()
  }
}

/** Bounds the connections whose TLS handshake is not complete. */
function boundHandshakes (server: TcpServer, maximum: number, onClosed: () => void): void {
  const handshaking = createSilentConnections(maximum, onClosed)
  const plainSockets = new Map<string, Socket>()
  const nameOf = ({ remoteAddress, remotePort }: Socket): string => `${remoteAddress} ${remotePort}`
  server.on('connection', (socket: Socket) => {
    const name = nameOf(socket)
    plainSockets.set(name, socket)
    handshaking.add(socket)
    socket.once('close', () => { plainSockets.delete(name) })
  })
  server.on('secureConnection', (socket: Socket) => {
    const plainSocket = plainSockets.get(nameOf(socket))
    if (plainSocket !== undefined) handshaking.remove(plainSocket)
  })
}

/** Serves the services that `routes` registers and the message streams on `host:port`; port 0 selects a free port. */
export async function listenForCalls (host: string, port: number, credentials: PeerCredentials, routes: (router: ConnectRouter) => void, streams: StreamRoutes = new Map(), { maximum, onClosed } = DEFAULT_SILENT_CALLS): Promise<CallServer> {
  const isSecret = createSecretCheck(credentials.secret)
  const unauthenticated = createSilentConnections(maximum, onClosed)
  const timers = new Map<Socket, NodeJS.Timeout>()
  const socketsOfSessions = new WeakMap<Http2Session, Socket>()
  const authenticate = (socket: Socket): void => {
    clearTimeout(timers.get(socket))
    timers.delete(socket)
    unauthenticated.remove(socket)
  }
  const handler = requireSecretFirst(isSecret, session => {
    const socket = session === undefined ? undefined : socketsOfSessions.get(session)
    if (socket !== undefined) authenticate(socket)
  }, acceptStreams(streams, isSecret, connectNodeAdapter({
    routes,
    interceptors: [requireSecret(credentials.secret)],
    readMaxBytes: MAXIMUM_CALL_BYTES
  })))
  const { tls } = credentials
  const callOptions = { settings: { maxConcurrentStreams: MAXIMUM_CALLS_OF_CONNECTION } }
  const calls: Http2Server | Http2SecureServer = tls === undefined ? createServer(callOptions, handler) : createSecureServer(callOptions, handler)
  // The library's own answer to `expect: 100-continue`, which no instance sends, throws if the stream was reset.
  calls.on('checkContinue', (_: Http2ServerRequest, { stream }: Http2ServerResponse) => { stream.close() })
  const sessions = new Set<ServerHttp2Session>()
  let connecting: Socket | undefined
  /** Hands a connection to HTTP/2, which opens its session at once. */
  const acceptCalls = (event: 'connection' | 'secureConnection', socket: Socket): void => {
    connecting = socket
    calls.emit(event, socket)
    connecting = undefined
  }
  calls.on('session', session => {
    if (connecting !== undefined) socketsOfSessions.set(session, connecting)
    sessions.add(session)
    session.on('close', () => { sessions.delete(session) })
    session.on('error', () => { session.destroy() })
  })
  const sockets = new Set<Socket>()
  const acceptStream = (socket: Socket): void => { acceptSocketStream(socket, { isSecret, findStream: name => streams.get(name), onAuthenticated: () => { authenticate(socket) } }) }
  const track = (socket: Socket): void => {
    sockets.add(socket)
    unauthenticated.add(socket)
    timers.set(socket, setTimeout(() => {
      onClosed()
      socket.destroy()
    }, AUTHENTICATION_TIMEOUT_MILLISECONDS))
    socket.on('close', () => {
      sockets.delete(socket)
      authenticate(socket)
    })
  }
  const server = tls === undefined
    ? createTcpServer(socket => {
      track(socket)
      distinguishStreams(socket, acceptStream, other => { acceptCalls('connection', other) })
    })
    : createTlsServer({ key: tls.key, cert: tls.certificate, ca: tls.authority, requestCert: true, rejectUnauthorized: true, handshakeTimeout: AUTHENTICATION_TIMEOUT_MILLISECONDS, ALPNProtocols: [STREAM_PROTOCOL, HTTP2_PROTOCOL] }, socket => {
      track(socket)
      if (socket.alpnProtocol === STREAM_PROTOCOL) distinguishStreams(socket, acceptStream, other => { other.destroy() })
      else acceptCalls('secureConnection', socket)
    })
  if (tls !== undefined) boundHandshakes(server, maximum, onClosed)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const address = server.address()
  return {
    port: typeof address === 'object' && address !== null ? address.port : port,
    close: async () => {
      const closed = new Promise<void>(resolve => server.close(() => { resolve() }))
      for (const session of sessions) session.destroy()
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}

/** A client with a function that closes its connection, so that the next call opens a new one. */
export interface PeerLink<Service extends DescService> {
  client: Client<Service>
  /** Opens a message stream. An aborted `signal` gives up a connection that is being established. @throws ConnectionError */
  openStream: (name: string, attach: (stream: MessageStream) => MessageStreamHandlers, signal?: AbortSignal) => Promise<MessageStream>
  reconnect: () => void
}

/**
 * Creates a link to `service` at `host:port`. Pings detect a connection that no
 * longer responds: an unanswered ping closes it, and the next call opens a new one.
 */
export function createPeerLink<Service extends DescService> (service: Service, host: string, port: number, credentials: PeerCredentials): PeerLink<Service> {
  const { tls } = credentials
  const baseUrl = `${tls === undefined ? 'http' : 'https'}://${host.includes(':') ? `[${host}]` : host}:${port}`
  const nodeOptions = tls === undefined ? undefined : { key: tls.key, cert: tls.certificate, ca: tls.authority, checkServerIdentity: () => undefined }
  const sessionManager = createCallSessionManager(baseUrl, nodeOptions)
  const transport = createGrpcTransport({ baseUrl, interceptors: [sendSecret(credentials.secret)], readMaxBytes: MAXIMUM_CALL_BYTES, sessionManager })
  const openCallStream = async (name: string, attach: (stream: MessageStream) => MessageStreamHandlers): Promise<MessageStream> => createMessageStream(await sessionManager.openStream(`${STREAM_PATH}${name}`, { [SECRET_HEADER]: credentials.secret }), attach)
  const streams = createStreamOpener({ host, port, credentials, openCallStream })
  return {
    client: createClient(service, transport),
    openStream: streams.open,
    reconnect: () => {
      sessionManager.abort()
      streams.abort()
    }
  }
}

/** Creates a client of `service` at `host:port`. It replaces a failed connection, as a link does. */
export function createPeerClient<Service extends DescService> (service: Service, host: string, port: number, credentials: PeerCredentials): Client<Service> {
  return createPeerLink(service, host, port, credentials).client
}
