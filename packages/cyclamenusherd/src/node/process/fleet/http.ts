/** HTTP server and client for the platform, with limits on body size and call duration. */

import { createServer, request as sendRequest } from 'node:http'
import { connect } from 'node:net'
import { startAnswerTimeout } from '@cyclamenusher/protocol'
import type { Server } from 'node:http'
import type { Address } from '../address.js'

/** Largest request body that is accepted, in bytes: several times the largest document that the platform allows. */
const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
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

/** Serves requests with `handler`. Responds with 413 if the body is too large, and with 500 if the handler fails. */
export async function listenForHttp ({ host, port }: Address, handler: HttpHandler, onError: (error: Error) => void): Promise<Server> {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = []
    let size = 0
    const respond = ({ status, body }: HttpResponse): void => { response.writeHead(status, JSON_HEADERS).end(body) }
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size <= MAXIMUM_BODY_BYTES) chunks.push(chunk)
    })
    request.on('error', onError)
    request.on('end', () => {
      if (size > MAXIMUM_BODY_BYTES) return respond({ status: 413, body: '{}' })
      const body = Buffer.concat(chunks).toString('utf8')
      handler({ method: request.method ?? '', path: request.url ?? '', body }).then(respond, (error: Error) => {
        onError(error)
        respond({ status: 500, body: '{}' })
      })
    })
  })
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
