/** Measures what each group of backend servers costs the entry instance that monitors it. */

import { createServer } from 'node:net'
import { readFileSync } from 'node:fs'
import { createBackendServer, createConnectionRegistry, serveConnection, startDeployment } from '@cyclamenusher/stand-ins'
import { DirectoryService, createPeerClient } from '@cyclamenusher/protocol'
import { fitLine, observeUsage } from './processUsage.js'
import type { Server } from 'node:net'
import type { BackendServer, ConnectionRegistry, Deployment } from '@cyclamenusher/stand-ins'
import type { Figures } from '../scenario.js'

const GROUP_COUNTS = [3, 30, 100, 300]
const MEMBERS = 3
/** Time for new groups to settle before usage is measured, in milliseconds. */
const SETTLE_MILLISECONDS = 10_000
/** Time over which the instance's usage is measured, in milliseconds. */
const OBSERVATION_MILLISECONDS = 5_000
/** Interval between announcements of one server, in milliseconds. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 1_000
const SYSTEM_PASSWORD = 'system-password'

interface LocalServer {
  server: BackendServer
  registry: ConnectionRegistry
  listener: Server
  port: number
}

async function startServer (group: string, index: number): Promise<LocalServer> {
  const listener = createServer()
  await new Promise<void>(resolve => { listener.listen(0, '127.0.0.1', resolve) })
  const address = listener.address()
  const port = typeof address === 'object' && address !== null ? address.port : 0
  const server = createBackendServer({ group, member: `${group}-${index + 1}`, failureDomain: `domain-${index}`, host: '127.0.0.1', port, connectionLimit: 25, openMilliseconds: 0, lagMilliseconds: 0 })
  const registry = createConnectionRegistry(new Map([['cyclamenusher', SYSTEM_PASSWORD], ['cyclamenusher_monitor', SYSTEM_PASSWORD]]), new Set(['cyclamenusher_monitor']))
  listener.on('connection', socket => { serveConnection(socket, server, registry) })
  return { server, registry, listener, port }
}

/** Announces every server at an interval, over one connection; the returned function stops it. */
function startAnnouncements (deployment: Deployment, servers: readonly LocalServer[]): () => void {
  const [entry] = deployment.entries
  const client = createPeerClient(DirectoryService, '127.0.0.1', entry.calls, { secret: readFileSync(deployment.secretFile, 'utf8').trim() })
  let sequence = Date.now() * 1000
  const announce = ({ server, port }: LocalServer): void => {
    const status = server.status()
    sequence += 1
    client.announce({
      announcement: {
        group: server.options.group,
        member: status.member,
        role: status.role,
        term: BigInt(status.adoptedTerm),
        logTerm: BigInt(status.logTerm),
        position: BigInt(status.position),
        host: '127.0.0.1',
        port,
        failureDomain: server.options.failureDomain,
        leaving: false,
        sequence: BigInt(sequence)
      }
    }, { timeoutMs: 2_000 }).catch(() => {})
  }
  const timer = setInterval(() => { for (const server of servers) announce(server) }, ANNOUNCE_INTERVAL_MILLISECONDS)
  return () => { clearInterval(timer) }
}

export async function measureGroups (): Promise<Figures> {
  const deployment = await startDeployment({
    failureDomains: ['domain-0'], entries: 1, controls: 1, databases: [], members: MEMBERS, accounts: [], connectionLimit: 25, openMilliseconds: 0, lagMilliseconds: 0
  })
  const servers: LocalServer[] = []
  const stopAnnouncements = startAnnouncements(deployment, servers)
  try {
    const [entry] = deployment.entries
    const memoryPoints: Array<{ x: number, y: number }> = []
    const processorPoints: Array<{ x: number, y: number }> = []
    const figures: Figures = {}
    for (const count of GROUP_COUNTS) {
      for (let groupIndex = servers.length / MEMBERS; groupIndex < count; groupIndex += 1) {
        deployment.rules.set(`databases.group-${groupIndex}`, `databases.group-${groupIndex} = { group = "group-${groupIndex}", members = ${MEMBERS} } # asked for by the measurement`)
        for (let index = 0; index < MEMBERS; index += 1) servers.push(await startServer(`group-${groupIndex}`, index))
      }
      // An instance promotes members only in groups that the rules name.
      await deployment.applyRules()
      await new Promise(resolve => setTimeout(resolve, SETTLE_MILLISECONDS))
      const primaries = servers.filter(({ server }) => server.status().role === 'primary').length
      const { coreShare, residentBytes } = await observeUsage(entry.process.child.pid ?? 0, OBSERVATION_MILLISECONDS)
      memoryPoints.push({ x: count, y: residentBytes })
      processorPoints.push({ x: count, y: coreShare })
      figures[`groups ${count}`] = { residentBytes, coreShare: Number(coreShare.toFixed(4)), primaries }
    }
    figures['memory, bytes a group'] = Math.round(fitLine(memoryPoints).slope)
    figures['processor, milliseconds a second for each group'] = Number((fitLine(processorPoints).slope * 1000).toFixed(3))
    return figures
  } finally {
    stopAnnouncements()
    for (const { server, listener } of servers) {
      server.close()
      listener.close()
    }
    await deployment.close()
  }
}
