/** An entry instance of a fleet: callers by one codec, servers by another, beliefs from control. */

import { createEngine, createRequestLog, listenForSessions } from '../../engine/index.js'
import { systemClock } from '../clock.js'
import { createLogger } from '../logger.js'
import { startMetrics } from './metricsPage.js'
import { createFleetLink } from './fleetLink.js'
import { listenForHttp } from './http.js'
import type { Declaration, DeclarationDocument } from '@cyclamenusher/decisions'
import type { CallerCodec, ServerCodec } from '../../engine/index.js'
import type { FleetEntryConfig } from './config.js'
import type { RunningInstance } from '../instance.js'

/** Time until the balancer has noticed that an instance is not ready, in milliseconds: two misses, a second apart. */
const ROTATION_MILLISECONDS = 2_300
/** Part of the grace time that open transactions have. */
const TRANSACTION_PART = 0.5
/** Part of the grace time after which all that is left is cut. */
const CUT_PART = 0.9

export interface FleetEntryPorts {
  createCallerCodec: () => CallerCodec
  createServerCodec: () => ServerCodec
  decodeDeclaration: (document: DeclarationDocument) => Declaration
}

export async function startFleetEntry (config: FleetEntryConfig, ports: FleetEntryPorts): Promise<RunningInstance> {
  const logger = createLogger(config.log)
  const log = logger.scope('process')
  const clock = systemClock
  const requestLog = createRequestLog(logger.scope('request'), clock)
  const engine = createEngine({
    clock,
    logger: logger.scope('pool'),
    log: requestLog,
    tolerance: config.rateTolerance,
    codec: ports.createServerCodec,
    createLink: report => createFleetLink({
      name: config.name,
      failureDomain: config.failureDomain,
      seeds: config.seeds,
      decodeDeclaration: ports.decodeDeclaration,
      report,
      credentials: { secret: config.secret },
      clock,
      logger: logger.scope('fleet')
    })
  })

  /** Whether new callers are welcome: this instance can serve them. */
  function isReady (): boolean {
    const index = engine.link.declaration()
    if (engine.isDraining() || index === undefined || !engine.link.isConnected()) return false
    return index.declaration.accounts.every(({ name }) => engine.link.part(name) > 0)
  }

  const callers = await listenForSessions({ listen: config.callers, createCodec: ports.createCallerCodec, services: engine, maximumConnections: config.maximumCallers })
  const readiness = await listenForHttp(config.readiness, async () => ({ status: isReady() ? 200 : 503, body: '{}' }), error => { log.warn('The readiness address failed.', { reason: error.message }) })
  log.info('The entry instance runs.', { name: config.name, failureDomain: config.failureDomain, callers: `${config.callers.host}:${config.callers.port}` })

  const pages = await startMetrics(config.metrics, isReady)
  requestLog.setMetrics(pages.metrics)

  async function close (): Promise<void> {
    callers.close()
    engine.close()
    readiness.close()
    pages.close()
    requestLog.close()
    logger.close()
  }

  return {
    stop: async () => {
      log.info('The instance leaves.', { callers: callers.callers(), graceMilliseconds: config.graceMilliseconds })
      engine.startDraining()
      const { graceMilliseconds } = config
      const left = await callers.drain({ closeIdleAfter: ROTATION_MILLISECONDS, endTransactionsAfter: graceMilliseconds * TRANSACTION_PART, forceCloseAfter: graceMilliseconds * CUT_PART })
      log.info('The instance stops.', { cut: left.cut })
      await close()
    },
    abort: close
  }
}
