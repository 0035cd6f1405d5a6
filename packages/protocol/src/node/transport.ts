/**
 * Calls between processes: connect-es over HTTP/2, authenticated by a secret
 * that all instances and announcers share and, where configured, by mutual TLS.
 */

import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, createSecureServer } from 'node:http2'
import { Code, ConnectError, createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createGrpcTransport } from '@connectrpc/connect-node'
import { createCallSessionManager } from './callSession.js'
import type { Http2SecureServer, Http2Server, ServerHttp2Session } from 'node:http2'
import type { DescService } from '@bufbuild/protobuf'
import type { Client, ConnectRouter, Interceptor } from '@connectrpc/connect'

/** Header that carries the shared secret. */
const SECRET_HEADER = 'x-cyclamenusher-secret'

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

function requireSecret (secret: string): Interceptor {
  const expected = digest(secret)
  return next => async request => {
    const given = digest(request.header.get(SECRET_HEADER) ?? '')
    if (!timingSafeEqual(given, expected)) {
      throw new ConnectError('the shared secret is wrong: give both sides the same secret file', Code.Unauthenticated)
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

/** Serves the services that `routes` registers on `host:port`; port 0 selects a free port. */
export async function listenForCalls (host: string, port: number, credentials: PeerCredentials, routes: (router: ConnectRouter) => void): Promise<CallServer> {
  const handler = connectNodeAdapter({
    routes,
    interceptors: [requireSecret(credentials.secret)],
    readMaxBytes: MAXIMUM_CALL_BYTES
  })
  const { tls } = credentials
  const server: Http2Server | Http2SecureServer = tls === undefined
    ? createServer(handler)
    : createSecureServer({ key: tls.key, cert: tls.certificate, ca: tls.authority, requestCert: true, rejectUnauthorized: true }, handler)
  const sessions = new Set<ServerHttp2Session>()
  server.on('session', session => {
    sessions.add(session)
    session.on('close', () => { sessions.delete(session) })
    session.on('error', () => { session.destroy() })
  })
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
      await closed
    }
  }
}

/** A client with a function that closes its connection, so that the next call opens a new one. */
export interface PeerLink<Service extends DescService> {
  client: Client<Service>
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
  return { client: createClient(service, transport), reconnect: () => { sessionManager.abort() } }
}

/** Creates a client of `service` at `host:port`. It replaces a failed connection, as a link does. */
export function createPeerClient<Service extends DescService> (service: Service, host: string, port: number, credentials: PeerCredentials): Client<Service> {
  return createPeerLink(service, host, port, credentials).client
}
