/** The operator and the provider. */

import { createServer } from 'node:http'

const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

export function buildManifest ({ version, service, synchronousReplicas = 0, ratePerSecond = 500, burst = 500 }) {
  const route = (name, database, kind, timeout, extra) => ({ Name: name, DatabaseName: database, PathPrefix: '/', Kind: kind, TimeoutMs: timeout, TargetLatencyMs: 250, Priority: 1, Service: service, MaxAttempts: 2, Public: false, ...extra })
  return {
    Version: version,
    Routes: [
      route('r-primary', 'db-primary', 'primary', 800),
      route('r-own', 'db-own', 'read_your_writes', 800, { MaxStalenessMs: 2_500 }),
      route('r-bounded', 'db-bounded', 'bounded_staleness', 2_000, { MaxStalenessMs: 1_500 })
    ],
    Services: [{ Name: service, HealthCheckPath: '/health', MaxConnections: 46, Protocol: 'h1', Tls: false, SyncReplicas: synchronousReplicas }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000, TransactionIdleMs: 3_000 },
    Tenants: [{ Name: 'tenant-1', ApiKeys: ['key-of-tenant-1'], Priority: 1, RatePerS: ratePerSecond, Burst: burst }]
  }
}

/** Sends a manifest until it is acknowledged. */
export async function declareManifest (deployment, manifest) {
  for (let attempt = 0; ; attempt += 1) {
    try {
      const response = await fetch(`http://${deployment.controlHosts[attempt % 3]}:${deployment.ports.api}/v1/Configuration.Replace`, { method: 'POST', headers: { 'content-type': 'application/json', connection: 'close' }, body: JSON.stringify(manifest), signal: AbortSignal.timeout(1_000) })
      if (response.ok) return
    } catch {}
    await pause(100)
  }
}

/** Waits until every entry instance reports that it is ready. */
export async function awaitReady (deployment) {
  for (const host of deployment.entryHosts()) {
    for (let ready = false; !ready; await pause(100)) {
      ready = await fetch(`http://${host}:${deployment.ports.readiness}/v1/readiness`, { headers: { connection: 'close' }, signal: AbortSignal.timeout(1_000) }).then(({ status }) => status === 200, () => false)
    }
  }
}

/** The provider. It checks no fence, and records each call in the order in which they arrive. */
export async function startProvider ({ host, port, service, record }) {
  const calls = []
  const server = createServer((request, response) => {
    let body = ''
    request.on('data', chunk => { body += chunk })
    request.on('end', () => {
      const { Id } = JSON.parse(body)
      const call = { at: performance.now(), holder: request.headers['x-lease-holder'], fence: Number(request.headers['x-fencing-token']), id: Id }
      calls.push(call)
      const status = service.promote(Id)
      record(`provider: POST /promotion ${Id} from ${call.holder}, fence ${call.fence}: ${status}`)
      response.writeHead(status, { 'content-type': 'application/json' }).end('{}')
    })
  })
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    calls,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
