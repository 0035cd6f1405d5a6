/** Starts and stops an instance with its roles. */

import { listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from './clock.js'
import { createControlRole } from './control/controlRole.js'
import { createEntryRole } from './entry.js'
import { computeHttpLimits } from './httpProtection.js'
import { createLimitReport } from './limits.js'
import { createLogger } from './logger.js'
import { createMetrics, listenForMetrics } from './metrics.js'
import type { Config } from './config.js'

/** Exit code of an instance that stops because a role has failed. */
const FAILURE_EXIT_CODE = 1

export interface RunningInstance {
  /** Drains within the time that the settings allow, then closes; resolves when everything is closed. */
  stop: () => Promise<void>
  /** Closes without draining. */
  abort: () => Promise<void>
}

export async function startInstance (config: Config): Promise<RunningInstance> {
  const logger = createLogger(config.log)
  const log = logger.scope('process')
  const clock = systemClock
  const metrics = createMetrics()
  const credentials = { secret: config.calls.secret, tls: config.calls.tls }
  const { roles } = config.instance
  const requestStop = (): void => { process.kill(process.pid, 'SIGTERM') }
  const stopAfterFailure = (): void => {
    process.exitCode = FAILURE_EXIT_CODE
    requestStop()
  }
  const limits = createLimitReport(log, clock)
  limits.setMetrics(metrics)
  const { report } = limits
  const { maximumUnauthenticated } = config.calls
  const entry = roles.includes('entry') ? createEntryRole({ config, report, credentials, clock, logger, metrics, requestStop }) : undefined
  const control = roles.includes('control') ? createControlRole(config, clock, logger, stopAfterFailure) : undefined
  const callServer = await listenForCalls(config.calls.listen.host, config.calls.listen.port, credentials, router => {
    entry?.routes(router)
    control?.routes(router)
  }, new Map(), { maximum: maximumUnauthenticated, onClosed: () => { report('silent calls', { maximum: maximumUnauthenticated }) } })
  await entry?.start(callServer.port)
  const metricsServer = await listenForMetrics(config.metrics.listen, metrics, () => (entry?.isReady() ?? true) && (control?.isReady() ?? true), { limits: { ...computeHttpLimits(0, config.metrics.maximumConnections), requestMilliseconds: config.metrics.requestMilliseconds }, report })
  log.info('The instance runs.', { name: config.instance.name, failureDomain: config.instance.failureDomain, roles: roles.join(','), calls: `${config.calls.listen.host}:${callServer.port}` })

  async function close (): Promise<void> {
    entry?.close()
    await callServer.close()
    await control?.close()
    metricsServer.close()
    logger.close()
  }

  return {
    stop: async () => {
      log.info('The instance drains.', { graceMilliseconds: config.shutdown.graceMilliseconds })
      const drained = await entry?.drain()
      log.info('The instance stops.', { cut: drained?.cut ?? 0 })
      await close()
    },
    abort: close
  }
}
