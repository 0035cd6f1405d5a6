/** Measures what each idle connection of a caller costs an entry instance. */

import pg from 'pg'
import { startDeployment } from '@cyclamenusher/stand-ins'
import { fitLine, observeUsage } from './processUsage.js'
import type { Figures } from '../scenario.js'

const CONNECTION_COUNTS = [100, 1_000, 2_500, 5_000]
/** Connections that are opened concurrently. */
const MAXIMUM_CONCURRENT_OPENS = 50
/** Time over which the instance's usage is measured, in milliseconds. */
const OBSERVATION_MILLISECONDS = 4_000
const KEY = 'key of the measurement'

export async function measureIdleConnections (): Promise<Figures> {
  const deployment = await startDeployment({
    failureDomains: ['domain-a'],
    entries: 1,
    controls: 1,
    databases: ['padron'],
    members: 3,
    accounts: [{ name: 'account', key: KEY, rate: 100_000, burst: 100_000 }],
    connectionLimit: 25,
    openMilliseconds: 0,
    lagMilliseconds: 0,
    settings: { callers: ['maximum_connections = 6000'] }
  })
  try {
    const [entry] = deployment.entries
    const clients: pg.Client[] = []
    const openConnection = async (): Promise<void> => {
      const client = new pg.Client({ host: '127.0.0.1', port: entry.callers, user: 'account', password: KEY, database: 'padron' })
      client.on('error', () => {})
      await client.connect()
      clients.push(client)
    }
    const memoryPoints: Array<{ x: number, y: number }> = []
    const processorPoints: Array<{ x: number, y: number }> = []
    const figures: Figures = {}
    for (const count of CONNECTION_COUNTS) {
      while (clients.length < count) await Promise.all(Array.from({ length: Math.min(MAXIMUM_CONCURRENT_OPENS, count - clients.length) }, openConnection))
      const { coreShare, residentBytes } = await observeUsage(entry.process.child.pid ?? 0, OBSERVATION_MILLISECONDS)
      memoryPoints.push({ x: count, y: residentBytes })
      processorPoints.push({ x: count, y: coreShare })
      figures[`connections ${count}`] = { residentBytes, coreShare: Number(coreShare.toFixed(4)) }
    }
    for (const client of clients) (client as unknown as { connection: { stream: { destroy: () => void } } }).connection.stream.destroy()
    figures['memory, bytes a connection'] = Math.round(fitLine(memoryPoints).slope)
    figures['processor, microseconds a second for each connection'] = Number((fitLine(processorPoints).slope * 1e6).toFixed(3))
    return figures
  } finally {
    await deployment.close()
  }
}
