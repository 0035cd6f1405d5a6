/** HTTP server and client for the platform, with limits on body size and call duration. */

import { createServer, request as sendRequest } from 'node:http'
import { connect } from 'node:net'
import { CLIENT_RESERVE_BYTES } from '@cyclamenusher/decisions'
import { createByteCollector, startAnswerTimeout } from '@cyclamenusher/protocol'
import { DEFAULT_HTTP_PROTECTION, buildHttpOptions, protectHttpServer } from '../httpProtection.js'
import type { Server } from 'node:http'
import type { Address } from '../address.js'
import type { LimitName } from '../limits.js'

/** Timeout of a call to the platform, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 1_000
const JSON_HEADERS = { 'content-type': 'application/json' }

export interface HttpRequest {
  method: string
  path: string
  body: string
}

export interface HttpResponse {
  status: number
  body: string
}

export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>

export interface HttpCall extends HttpRequest {
  headers: Record<string, string>
}

/** Serves requests with `handler`. Responds with 413 if the body is too large, with 503 if all unfinished bodies together are, and with 500 if the handler fails. */
export async function listenForHttp ({ host, port }: Address, handler: HttpHandler, onError: (error: Error) => void, protection = DEFAULT_HTTP_PROTECTION): Promise<Server> {
  const { limits, report } = protection
  let bufferedBytes = 0
  const server = createServer(buildHttpOptions(protection), (request, response) => {
    const body = createByteCollector()
    let counted = 0
    let isRefused = false
    const respond = ({ status, body }: HttpResponse): void => { response.writeHead(status, JSON_HEADERS).end(body) }
    const count = (bytes: number): void => {
      bufferedBytes += bytes - counted
      counted = bytes
    }

    /** Answers at once and closes the connection: nothing more of the body is read. */
    function refuse (status: number, limit: LimitName): void {
      isRefused = true
      body.take()
      count(0)
      report(limit, { client: request.socket.remoteAddress, path: request.url })
      response.writeHead(status, { ...JSON_HEADERS, connection: 'close' }).end('{}', () => { request.socket.destroySoon() })
    }

    if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) return refuse(413, 'http body bytes')
    request.on('data', (chunk: Buffer) => {
      if (isRefused) return
      if (body.byteLength() + chunk.length > limits.bodyBytes) return refuse(413, 'http body bytes')
      body.add(chunk)
      count(body.capacity())
      if (bufferedBytes > limits.bufferedBytes && body.byteLength() > CLIENT_RESERVE_BYTES) refuse(503, 'http buffered bytes')
    })
    request.on('error', onError)
    response.on('close', () => { count(0) })
    request.on('end', () => {
      if (isRefused) return
      handler({ method: request.method ?? '', path: request.url ?? '', body: body.take().toString('utf8') }).then(respond, (error: Error) => {
        onError(error)
        respond({ status: 500, body: '{}' })
      })
    })
  })
  protectHttpServer(server, protection)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}

export type CallOutcome = { kind: 'answered', status: number } | { kind: 'not sent' | 'no answer' }

/** Sends one request. `maySend` is checked again once the connection is established. */
export async function callHttp ({ host, port }: Address, { method, path, headers, body }: HttpCall, maySend: () => boolean): Promise<CallOutcome> {
  return await new Promise<CallOutcome>(resolve => {
    let sent = false
    const socket = connect({ host, port, noDelay: true })
    const finish = (status?: number): void => {
      cancelTimeout()
      // A call that is given up must not arrive later: a reset takes back what was not delivered.
      if (status === undefined) socket.resetAndDestroy()
      else socket.destroy()
      resolve(status === undefined ? { kind: sent ? 'no answer' : 'not sent' } : { kind: 'answered', status })
    }
    const cancelTimeout = startAnswerTimeout(CALL_TIMEOUT_MILLISECONDS, () => { finish() })
    socket.once('error', () => { finish() })
    socket.once('connect', () => {
      if (!maySend()) return finish()
      sent = true
      const clientRequest = sendRequest({ createConnection: () => socket, method, path, headers: { ...JSON_HEADERS, ...headers, host: `${host}:${port}`, 'content-length': Buffer.byteLength(body) } }, response => {
        response.resume()
        finish(response.statusCode)
      })
      clientRequest.once('error', () => { finish() })
      clientRequest.end(body)
    })
  })
}
