/** Serves the metrics. The module is imported after an instance has started to serve, because its libraries take a fifth of the startup time. */

import type { Address } from '../address.js'
import type { HttpProtection } from '../httpProtection.js'
import type { Metrics } from '../metrics.js'

export interface MetricsPage {
  metrics: Metrics
  close: () => void
}

export async function startMetrics (address: Address, healthy: () => boolean, protection: HttpProtection): Promise<MetricsPage> {
  const { createMetrics, listenForMetrics } = await import('../metrics.js')
  const metrics = createMetrics({ runtime: false })
  const server = await listenForMetrics(address, metrics, healthy, protection)
  return { metrics, close: () => { server.close() } }
}
