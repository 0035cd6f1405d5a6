/** Counters, gauges and latencies, and the page that reports them in the Prometheus text format. */

import { createServer } from 'node:http'
import { build } from 'hdr-histogram-js/dist/HistogramBuilder.js'
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client'
import { buildHttpOptions, protectHttpServer } from './httpProtection.js'
import type { Histogram } from 'hdr-histogram-js'
import type { Server } from 'node:http'
import type { Address } from './address.js'
import type { HttpProtection } from './httpProtection.js'

/** Longest latency that is recorded, in microseconds; longer ones count as this. */
const MAXIMUM_LATENCY_MICROSECONDS = 60_000_000
const QUANTILES = [0.5, 0.9, 0.99, 0.999]

export type LatencyName = 'request' | 'connection_wait' | 'acknowledge' | 'failover'

export interface Metrics {
  requests: Counter<'kind' | 'outcome'>
  routes: Counter<'role' | 'reason'>
  refusals: Counter<'code'>
  callers: Gauge
  backendConnections: Gauge<'member'>
  failovers: Counter<'outcome'>
  /** Versions of the declaration: the one that this instance holds, and the newest that control has named. */
  declarationVersions: Gauge<'known'>
  leaseLosses: Counter
  /** Drained failure domains of which this instance knows. */
  drainedFailureDomains: Gauge
  /** Tokens of rates that were requested while callers prepared their operations. */
  prefetchedTokens: Counter<'outcome'>
  /** Holders of connections, by what this instance has noticed of them. */
  holders: Gauge<'state'>
  /** Backend servers that count as cold at this instance. */
  coldServers: Gauge
  warmupRefusals: Counter
  /** Statements of this instance that wait for a server's answer. */
  serverOutstanding: Gauge<'group' | 'member'>
  /** Share of the statements reserved for the most urgent priority that is in use. */
  reservedUse: Gauge<'group' | 'member'>
  queueRefusals: Counter<'reason' | 'priority'>
  /** How often a limit against untrusted clients was met. */
  limits: Counter<'limit'>
  recordLatency: (name: LatencyName, milliseconds: number) => void
  render: () => Promise<string>
}

function renderLatency (name: string, histogram: Histogram): string {
  const metric = `cyclamenusher_${name}_seconds`
  const lines = QUANTILES.map(quantile => `${metric}{quantile="${quantile}"} ${histogram.getValueAtPercentile(quantile * 100) / 1e6}`)
  const sum = histogram.totalCount === 0 ? 0 : histogram.mean * histogram.totalCount / 1e6
  return [`# HELP ${metric} Latency in seconds.`, `# TYPE ${metric} summary`, ...lines, `${metric}_sum ${sum}`, `${metric}_count ${histogram.totalCount}`].join('\n')
}

export interface MetricsOptions {
  /** Whether metrics of the Node.js runtime are collected too; this costs a hundred wake-ups a second. @default true */
  runtime?: boolean
}

export function createMetrics ({ runtime = true }: MetricsOptions = {}): Metrics {
  const registry = new Registry()
  if (runtime) collectDefaultMetrics({ register: registry })
  const latencies: Record<LatencyName, Histogram> = {
    request: build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 2 }),
    connection_wait: build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 2 }),
    acknowledge: build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 2 }),
    failover: build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 2 })
  }
  const registers = [registry]
  return {
    requests: new Counter({ name: 'cyclamenusher_requests_total', help: 'Requests of callers.', labelNames: ['kind', 'outcome'], registers }),
    routes: new Counter({ name: 'cyclamenusher_routes_total', help: 'Routing decisions.', labelNames: ['role', 'reason'], registers }),
    refusals: new Counter({ name: 'cyclamenusher_refusals_total', help: 'Requests refused, by SQLSTATE.', labelNames: ['code'], registers }),
    callers: new Gauge({ name: 'cyclamenusher_callers', help: 'Connections of callers.', registers }),
    backendConnections: new Gauge({ name: 'cyclamenusher_backend_connections', help: 'Connections to backend servers.', labelNames: ['member'], registers }),
    failovers: new Counter({ name: 'cyclamenusher_failovers_total', help: 'Promotions that this instance ordered.', labelNames: ['outcome'], registers }),
    declarationVersions: new Gauge({ name: 'cyclamenusher_declaration_version', help: 'Version of the declaration that the instance holds, and of the newest that control has named.', labelNames: ['known'], registers }),
    leaseLosses: new Counter({ name: 'cyclamenusher_lease_losses_total', help: 'Leases that ended before they were renewed.', registers }),
    drainedFailureDomains: new Gauge({ name: 'cyclamenusher_drained_failure_domains', help: 'Failure domains to whose backend servers nothing is sent.', registers }),
    prefetchedTokens: new Counter({ name: 'cyclamenusher_prefetched_tokens_total', help: 'Tokens of rates that were requested before an operation needed them: used, unused or not granted.', labelNames: ['outcome'], registers }),
    holders: new Gauge({ name: 'cyclamenusher_holders', help: 'Instances that hold connections to backend servers, by whether this instance can send operations to them.', labelNames: ['state'], registers }),
    coldServers: new Gauge({ name: 'cyclamenusher_cold_servers', help: 'Backend servers in use here that count as cold.', registers }),
    warmupRefusals: new Counter({ name: 'cyclamenusher_warmup_refusals_total', help: 'Operations refused because all servers that could run them are cold.', registers }),
    serverOutstanding: new Gauge({ name: 'cyclamenusher_server_outstanding', help: 'Statements of this instance that wait for the answer of a backend server.', labelNames: ['group', 'member'], registers }),
    reservedUse: new Gauge({ name: 'cyclamenusher_reserved_in_use', help: 'Share of the statements reserved for the most urgent priority that is in use, from 0 to 1.', labelNames: ['group', 'member'], registers }),
    queueRefusals: new Counter({ name: 'cyclamenusher_queue_refusals_total', help: 'Requests refused by the queue of a group.', labelNames: ['reason', 'priority'], registers }),
    limits: new Counter({ name: 'cyclamenusher_limits_total', help: 'Limits against untrusted clients that were met.', labelNames: ['limit'], registers }),
    recordLatency: (name, milliseconds) => {
      const microseconds = Math.min(MAXIMUM_LATENCY_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000)))
      latencies[name].recordValue(microseconds)
    },
    render: async () => {
      const counters = await registry.metrics()
      const summaries = Object.entries(latencies).map(([name, histogram]) => renderLatency(name, histogram))
      return `${counters}\n${summaries.join('\n')}\n`
    }
  }
}

/** Serves `/metrics`, and `/health` with 200 while `isHealthy` returns true and 503 otherwise. */
export async function listenForMetrics (address: Address, metrics: Metrics, isHealthy: () => boolean, protection?: HttpProtection): Promise<Server> {
  const server = createServer(buildHttpOptions(protection), (request, response) => {
    request.resume()
    if (request.url === '/health') {
      const healthy = isHealthy()
      response.writeHead(healthy ? 200 : 503, { 'content-type': 'text/plain' }).end(healthy ? 'ready\n' : 'not ready\n')
      return
    }
    if (request.url !== '/metrics') {
      response.writeHead(404).end()
      return
    }
    void metrics.render().then(page => response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(page))
  })
  protectHttpServer(server, protection)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, resolve)
  })
  return server
}
