/** Limits of the HTTP servers: connections, headers, and time of a request. */

import { createSilentConnections } from '@cyclamenusher/protocol'
import type { Server, ServerOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { HttpLimits, LimitReport } from './limits.js'

/** Longest headers of a request, in bytes; those of the platform and of collectors take a few hundred. */
const MAXIMUM_HEADER_BYTES = 8 * 1024
const MAXIMUM_HEADERS = 64
/** Interval at which the times of requests are checked, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 1_000
/** Part of the connections that may be without a complete request; the oldest of them is closed for a further one. */
const UNFINISHED_PART = 0.75
const MEBIBYTE = 1024 * 1024

export interface HttpProtection {
  limits: HttpLimits
  report: LimitReport['report']
}

/** Limits of servers that clients may make hold this much, on this many connections. */
export function computeHttpLimits (bufferedBytes: number, connections: number): HttpLimits {
  return {
    connections,
    // Several times the largest document that the platform allows.
    bodyBytes: 4 * MEBIBYTE,
    bufferedBytes,
    requestMilliseconds: 30_000
  }
}

export const DEFAULT_HTTP_PROTECTION: HttpProtection = { limits: computeHttpLimits(25 * MEBIBYTE, 1_024), report: () => {} }

export function buildHttpOptions ({ limits }: HttpProtection = DEFAULT_HTTP_PROTECTION): ServerOptions {
  const { requestMilliseconds } = limits
  return {
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    headersTimeout: requestMilliseconds,
    requestTimeout: requestMilliseconds,
    connectionsCheckingInterval: Math.min(requestMilliseconds, CHECK_INTERVAL_MILLISECONDS)
  }
}

export function protectHttpServer (server: Server, { limits, report }: HttpProtection = DEFAULT_HTTP_PROTECTION): void {
  const unfinished = createSilentConnections(Math.max(1, Math.floor(limits.connections * UNFINISHED_PART)), () => { report('http connections', { maximum: limits.connections }) })
  server.maxHeadersCount = MAXIMUM_HEADERS
  server.maxConnections = limits.connections
  server.on('drop', () => { report('http connections', { maximum: limits.connections }) })
  server.on('connection', (socket: Socket) => {
    unfinished.add(socket)
  })
  // A reader that takes nothing of its answer holds its connection no longer than a request may take.
  server.setTimeout(limits.requestMilliseconds, socket => {
    if (socket.writableLength > 0) report('http time', { client: socket.remoteAddress })
    socket.destroy()
  })
  server.on('request', request => {
    request.once('end', () => { unfinished.remove(request.socket) })
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') report('http time', { client: socket.remoteAddress })
    socket.destroy()
  })
}
