/**
 * HTTP interface through which tests set a stand-in's faults and read its state:
 * `POST /faults` with JSON, `GET /state`, `GET /log`, `GET /received?text=...`.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ConnectionRegistry } from './registry.js'
import type { BackendServer, ServerFaults } from './server.js'

type Route = (url: URL, body: string) => unknown

async function readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function createRoutes (server: BackendServer, registry: ConnectionRegistry): Record<string, Route> {
  return {
    'POST /faults': (_url, body) => {
      server.setFaults(JSON.parse(body) as Partial<ServerFaults>)
      return server.faults
    },
    'GET /state': () => ({ ...server.status(), open: registry.open, opened: registry.opened, statements: registry.statements }),
    'GET /log': () => server.log.records(),
    'GET /received': url => ({ found: Buffer.concat(registry.received).includes(url.searchParams.get('text') ?? '') })
  }
}

/** Starts the HTTP interface; port 0 selects a free port. */
export async function listenForAdministration (host: string, port: number, server: BackendServer, registry: ConnectionRegistry): Promise<Server> {
  const routes = createRoutes(server, registry)
  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://stand-in')
    const route = routes[`${request.method} ${url.pathname}`]
    if (route === undefined) {
      response.writeHead(404).end()
      return
    }
    const body = await readBody(request)
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(route(url, body)))
  }
  const httpServer = createServer((request, response) => { void handleRequest(request, response) })
  await new Promise<void>(resolve => { httpServer.listen(port, host, resolve) })
  return httpServer
}
