/** Command line of the stand-ins: each process runs one of them. */

import { createServer } from 'node:net'
import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import { createBalancer } from './balancer/balancer.js'
import { createAnnouncer } from './announcer/announcer.js'
import { listenForAdministration } from './backend/administration.js'
import { serveConnection } from './backend/connection.js'
import { countTransactions, createConnectionRegistry } from './backend/registry.js'
import { createBackendServer } from './backend/server.js'

interface BackendFlags {
  group: string
  member: string
  failureDomain: string
  host: string
  port: number
  administrationPort: number
  connectionLimit: number
  openMilliseconds: number
  lagMilliseconds: number
  dataFolder?: string
  entries: string
  secretFile: string
  user: string
  password: string
}

function parseAddresses (text: string): Array<{ host: string, port: number }> {
  return String(text).split(',').map(address => {
    const [host, port] = address.split(':')
    return { host, port: Number(port) }
  })
}

async function runBackend (flags: BackendFlags): Promise<void> {
  const server = createBackendServer({ ...flags, dataFolder: flags.dataFolder })
  const users = new Map([[flags.user, flags.password], ['cyclamenusher_monitor', flags.password]])
  const registry = createConnectionRegistry(users, new Set(['cyclamenusher_monitor']))
  server.countTransactions = () => countTransactions(registry)
  const listener = createServer(socket => { serveConnection(socket, server, registry) })
  await new Promise<void>(resolve => { listener.listen(flags.port, flags.host, resolve) })
  await listenForAdministration(flags.host, flags.administrationPort, server, registry)
  createAnnouncer({ server, entries: parseAddresses(flags.entries), credentials: { secret: readFileSync(flags.secretFile, 'utf8').trim() } })
  console.log(JSON.stringify({ ready: true, member: flags.member, port: flags.port }))
  process.once('SIGTERM', () => { process.exit(0) })
}

interface BalancerFlags {
  listen: string
  instances: string
}

async function runBalancer ({ listen, instances }: BalancerFlags): Promise<void> {
  const parsedInstances = String(instances).split(',').map(instance => {
    const [host, port, healthPort] = instance.split(':')
    return { host, port: Number(port), healthPort: Number(healthPort) }
  })
  const balancer = await createBalancer({ listen: parseAddresses(listen)[0], instances: parsedInstances })
  console.log(JSON.stringify({ ready: true, port: balancer.port }))
  process.once('SIGTERM', () => { process.exit(0) })
}

const program = cac('stand-ins')
program.command('balancer', 'load balancer in front of the entry instances')
  .option('--listen <address>', 'address for callers, HOST:PORT')
  .option('--instances <addresses>', 'entry instances, a comma-separated list of HOST:PORT:HEALTHPORT')
  .action(runBalancer)
program.command('backend', 'one member of a replicated group of backend servers')
  .option('--group <name>', 'group')
  .option('--member <name>', 'member')
  .option('--failure-domain <name>', 'failure domain', { default: 'local' })
  .option('--host <address>', 'address to listen on', { default: '127.0.0.1' })
  .option('--port <number>', 'port of the wire protocol')
  .option('--administration-port <number>', 'port of the HTTP interface for faults and state')
  .option('--connection-limit <number>', 'maximum number of connections, those of monitoring not counted', { default: 25 })
  .option('--open-milliseconds <number>', 'time to open a connection', { default: 10 })
  .option('--lag-milliseconds <number>', 'time from receiving a record to showing it to reads', { default: 0 })
  .option('--data-folder <folder>', 'folder of the log; without it, the log is kept in memory')
  .option('--entries <addresses>', 'entry instances, a comma-separated list of HOST:PORT')
  .option('--secret-file <file>', 'file with the shared secret of the system')
  .option('--user <name>', 'user that the system logs in as', { default: 'cyclamenusher' })
  .option('--password <text>', 'password of that user and of the monitoring user', { default: 'system-password' })
  .action(runBackend)
program.help()
program.parse()
