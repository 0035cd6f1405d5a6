/** Connects callers to stand-in backend servers through the daemon's caller and pool code, in one process over TCP sockets. */

import { createServer } from 'node:net'
import { createHash } from 'node:crypto'
import pg from 'pg'
import { loadParser } from '@cyclamenusher/decisions'
import { createBackendServer, createConnectionRegistry, serveConnection } from '@cyclamenusher/stand-ins'
import { createAdmission } from '../../process/admission.js'
import { listenForCallers } from '../../process/callers.js'
import { createMetrics } from '../../process/metrics.js'
import { createPool } from '../../process/pool.js'
import { createRulesStore } from '../../version/rulesStore.js'
import type { BackendServer, ConnectionRegistry } from '@cyclamenusher/stand-ins'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Callers } from '../../process/callers.js'
import type { Config } from '../../process/config.js'
import type { ScopedLogger } from '../../process/logger.js'
import type { Pool } from '../../process/pool.js'
import type { RulesStore } from '../../version/rulesStore.js'
import type { CallerServices, ConnectionLeaseRequest } from '../callerConnection.js'

export const KEY = 'the key of a test'
export const PASSWORD = 'system-password'
export const MONITOR_USER = 'cyclamenusher_monitor'
const HOST = '127.0.0.1'

const RULES = [
  'accounts.alfa = { rate = 100000, burst = 100000 } # asked for by tests',
  'accounts.beta = { rate = 100000, burst = 100000 } # asked for by tests',
  `keys.alfa-key = { account = "alfa", digest = "sha256:${createHash('sha256').update(KEY).digest('hex')}" } # asked for by tests`,
  'databases.main = { group = "main", members = 3 } # asked for by tests',
  'access.alfa-main = { account = "alfa", database = "main", write = true } # asked for by tests',
  'open.main = { database = "main", maximum_age_milliseconds = 500, rate = 100000, burst = 100000 } # asked for by tests'
]

export const SILENT_LOGGER: ScopedLogger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

/** A stand-in backend server, its sockets and the pool of connections to it. */
export interface HarnessServer {
  server: BackendServer
  registry: ConnectionRegistry
  listener: Server
  sockets: Set<Socket>
  port: number
  pool: Pool
}

export interface Harness {
  primary: HarnessServer
  replica: HarnessServer
  callers: Callers
  store: RulesStore
  services: CallerServices
  /** Chooses the server of a request; a test may replace `member`. */
  choose: { member: (request: ConnectionLeaseRequest) => HarnessServer }
  connect: (options?: pg.ClientConfig) => Promise<pg.Client>
  /** Moves the clock of the rules store until the rules are no longer fresh. */
  makeRulesStale: () => void
  /** Makes a new version of the rules. */
  changeRules: (removed: string[], added: string[]) => void
  /** Requests that hold or wait for a backend connection. */
  busyRequests: () => number
  close: () => Promise<void>
}

export interface HarnessOptions {
  /** Maximum number of connections to each server. @default 4 */
  limit?: number
  requestMilliseconds?: number
  maximumConnections?: number
  handshakeMilliseconds?: number
  idleTransactionMilliseconds?: number
  unreadAnswerMilliseconds?: number
  tls?: { certificate: string, key: string }
  services?: Partial<CallerServices>
}

async function startServer (member: string, limit: number): Promise<HarnessServer> {
  const sockets = new Set<Socket>()
  const server = createBackendServer({ group: 'main', member, failureDomain: 'a', host: HOST, port: 0, connectionLimit: 20, openMilliseconds: 0, lagMilliseconds: 0 })
  const registry = createConnectionRegistry(new Map([['cyclamenusher', PASSWORD], [MONITOR_USER, PASSWORD]]), new Set([MONITOR_USER]))
  const listener = createServer(socket => {
    sockets.add(socket)
    socket.on('close', () => { sockets.delete(socket) })
    serveConnection(socket, server, registry)
  })
  await new Promise<void>(resolve => { listener.listen(0, HOST, resolve) })
  const { port } = listener.address() as AddressInfo
  const pool = createPool({
    target: { member, host: HOST, port, user: 'cyclamenusher', password: PASSWORD, database: 'main' },
    limit: () => limit,
    clock: { now: () => performance.now() },
    logger: SILENT_LOGGER,
    onSizeChange: () => {}
  })
  return { server, registry, listener, sockets, port, pool }
}

function createConfig (options: HarnessOptions): Config {
  return {
    callers: {
      listen: { host: HOST, port: 0 },
      clearTextKeys: options.tls === undefined,
      tlsCertificate: options.tls?.certificate,
      tlsKey: options.tls?.key,
      maximumConnections: options.maximumConnections ?? 100,
      maximumMessageBytes: 1024 * 1024,
      maximumInputBytes: 10 * 1024 * 1024,
      maximumSessionBytes: 1024 * 1024,
      handshakeGraceMilliseconds: 1_000,
      messageMilliseconds: 5_000,
      unreadAnswerMilliseconds: options.unreadAnswerMilliseconds ?? 5_000,
      requestMilliseconds: options.requestMilliseconds ?? 5_000,
      handshakeMilliseconds: options.handshakeMilliseconds ?? 5_000,
      idleTransactionMilliseconds: options.idleTransactionMilliseconds ?? 5_000
    }
  } as unknown as Config
}

/** Time for which the rules of a harness stay fresh, in milliseconds. */
const RULES_LEASE_MILLISECONDS = 60_000

export async function startHarness (options: HarnessOptions = {}): Promise<Harness> {
  await loadParser()
  const primary = await startServer('main-1', options.limit ?? 4)
  const replica = await startServer('main-2', options.limit ?? 4)
  // A new member counts towards a majority and can be promoted only once it is admitted.
  for (const { server } of [primary, replica]) server.admit(0, 0, server.incarnation)
  primary.server.adopt(1)
  primary.server.promote(1)
  replica.server.adopt(1)
  replica.server.follow(1, HOST, primary.port)
  let clockOffsetMilliseconds = 0
  const store = createRulesStore({ now: () => performance.now() + clockOffsetMilliseconds }, RULES_LEASE_MILLISECONDS)
  const updateRules = (number: number, baseNumber: number, removed: string[], added: string[]): void => {
    store.update({ number, baseNumber, removed, added, fresh: true, ageMilliseconds: 0, askedAt: performance.now() })
  }
  updateRules(1, 0, [], RULES)
  const choose = { member: (_request: ConnectionLeaseRequest) => primary }
  const services: CallerServices = {
    tokenSecret: 'a secret of tests',
    maximumMessageBytes: 1024 * 1024,
    requestMilliseconds: options.requestMilliseconds ?? 5_000,
    now: () => performance.now(),
    ...createAdmission({ store, takeToken: async () => true }),
    findGroup: database => store.rules().databases.get(database)?.group,
    lease: async request => {
      const { pool } = choose.member(request)
      const backend = await pool.acquire(request.identity.account, 2_000)
      return { backend, release: clean => { pool.release(backend, clean) } }
    },
    confirmPosition: async () => ({ term: 1, position: primary.server.status().position }),
    acknowledge: async () => 'held',
    recordRequest: () => {},
    ...options.services
  }
  const callers = await listenForCallers({ config: createConfig(options), store, services, logger: SILENT_LOGGER, metrics: createMetrics() })
  const clients: pg.Client[] = []

  async function connect (clientConfig: pg.ClientConfig = {}): Promise<pg.Client> {
    const client = new pg.Client({ host: HOST, port: callers.port, user: 'alfa', password: KEY, database: 'main', ...clientConfig })
    client.on('error', () => {})
    clients.push(client)
    await client.connect()
    return client
  }

  return {
    primary,
    replica,
    callers,
    store,
    services,
    choose,
    connect,
    makeRulesStale: () => { clockOffsetMilliseconds = RULES_LEASE_MILLISECONDS },
    changeRules: (removed, added) => { updateRules(store.number() + 1, store.number(), removed, added) },
    busyRequests: () => primary.pool.busy() + replica.pool.busy(),
    close: async () => {
      await Promise.all(clients.map(async client => { if (isOpen(client)) await client.end().catch(() => {}) }))
      callers.close()
      for (const { server, listener, sockets, pool } of [primary, replica]) {
        pool.close()
        server.close()
        listener.close()
        for (const socket of sockets) socket.destroy()
      }
    }
  }
}

function isOpen (client: pg.Client): boolean {
  return !(client as unknown as { connection: { stream: Socket } }).connection.stream.destroyed
}

/** Runs `body` with a new harness and checks that no request stays busy. */
export async function useHarness (options: HarnessOptions, body: (harness: Harness) => Promise<void>): Promise<void> {
  const harness = await startHarness(options)
  try {
    await body(harness)
    await eventually('a request still holds or waits for a connection', () => harness.busyRequests() === 0)
  } finally {
    await harness.close()
  }
}

/**
 * Waits until `condition` holds.
 *
 * @throws Error with the message `problem` after `milliseconds`
 */
export async function eventually (problem: string, condition: () => boolean, milliseconds = 3_000): Promise<void> {
  const deadline = performance.now() + milliseconds
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(problem)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

/**
 * Resolves with the SQLSTATE that `work` is rejected with, or with the error's text when it has none.
 *
 * @throws Error when `work` succeeds
 */
export async function expectErrorCode (work: Promise<unknown>): Promise<string> {
  try {
    await work
  } catch (error) {
    return (error as { code?: string }).code ?? String(error)
  }
  throw new Error('an error was expected, but there was none')
}
