/** A stand-in for the provider: promotes servers on `POST /promotion`. */

import { createServer } from 'node:http'
import { PORTS } from './network.js'

export async function startProvider ({ host, groups, promoteMilliseconds = 600, onCall = () => {} }) {
  const provider = createServer((request, response) => {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', () => {
      const { Service, Id } = JSON.parse(Buffer.concat(chunks).toString('utf8'))
      const server = groups.get(Service)?.servers.find(candidate => candidate.id === Id && !candidate.stopped)
      onCall({ service: Service, id: Id, holder: request.headers['x-lease-holder'], fence: Number(request.headers['x-fencing-token']), found: server !== undefined })
      if (server !== undefined && server.role !== 'primary') setTimeout(() => { if (!server.stopped) server.lead() }, promoteMilliseconds)
      response.writeHead(server === undefined ? 409 : 200).end()
    })
  })
  await new Promise((resolve, reject) => {
    provider.once('error', reject)
    provider.listen({ host, port: PORTS.provider }, resolve)
  })
  return { close: () => { provider.close() } }
}
