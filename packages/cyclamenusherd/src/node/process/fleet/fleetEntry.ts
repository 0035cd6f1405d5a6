/** An entry instance of a fleet: serves callers, sends their statements to backend servers, and takes its configuration from control. */

import { FleetService, listenForCalls } from '@cyclamenusher/protocol'
import { createEngine, createRequestLog, listenForSessions } from '../../engine/index.js'
import { systemClock } from '../clock.js'
import { createLimitReport } from '../limits.js'
import { createLogger } from '../logger.js'
import { createMemoryAccount } from '../memoryAccount.js'
import { createPeers } from '../peers.js'
import { decodeBody, encodeBody } from './bodies.js'
import { startMetrics } from './metricsPage.js'
import { checkExplanationRequest } from './explanationFields.js'
import { createFleetLink } from './fleetLink.js'
import { checkLoan, createFleetStreams } from './fleetStreams.js'
import { listenForHttp } from './http.js'
import type { BorrowReply, BorrowRequest, Declaration, DeclarationDocument } from '@cyclamenusher/decisions'
import type { CallerCodec, Engine, ServerCodec } from '../../engine/index.js'
import type { FleetEntryConfig } from './config.js'
import type { RunningInstance } from '../instance.js'
import type { Metrics } from '../metrics.js'
import type { FleetLink } from './fleetLink.js'

/** Time in which the load balancer notices that an instance is not ready and sends it no more callers, in milliseconds: two failed checks, a second apart. */
const BALANCER_REACTION_MILLISECONDS = 2_300
/** Interval at which the holders are counted for the metrics, in milliseconds. */
const HOLDER_COUNT_INTERVAL_MILLISECONDS = 1_000
/** Longest body of a request for readiness, which needs none. */
const PAGE_BODY_BYTES = 16 * 1024
/** Fraction of the grace period after which open transactions are ended. */
const TRANSACTION_GRACE_FRACTION = 0.5
/** Fraction of the grace period after which all remaining connections are closed. */
const CUT_GRACE_FRACTION = 0.9
/** Interval between two updates of the number of cold servers, in milliseconds: metrics are read every few seconds. */
const COLD_SERVERS_INTERVAL_MILLISECONDS = 1_000

export interface FleetEntryPorts {
  createCallerCodec: () => CallerCodec
  createServerCodec: () => ServerCodec
  decodeDeclaration: (document: DeclarationDocument) => Declaration
}

/** Keeps the metrics of the lease, of the declaration and of the drains. */
function observeLink (link: FleetLink, { declarationVersions, drainedFailureDomains, leaseLosses }: Metrics): void {
  let wasLeased = link.isLeased()
  function observe (): void {
    declarationVersions.set({ known: 'held' }, link.declaration()?.version ?? -1)
    declarationVersions.set({ known: 'newest' }, link.newestVersion())
    drainedFailureDomains.set(link.drains().size)
    if (wasLeased && !link.isLeased()) leaseLosses.inc()
    wasLeased = link.isLeased()
  }
  link.onChange(observe)
  observe()
}

/** Keeps the metric of the holders. Returns a function that ends it. */
function observeHolders ({ countHolders }: Pick<Engine, 'countHolders'>, { holders }: Metrics): () => void {
  const timer = setInterval(() => { for (const [state, count] of Object.entries(countHolders())) holders.set({ state }, count) }, HOLDER_COUNT_INTERVAL_MILLISECONDS)
  return () => { clearInterval(timer) }
}

export async function startFleetEntry (config: FleetEntryConfig, ports: FleetEntryPorts): Promise<RunningInstance> {
  const logger = createLogger(config.log)
  const log = logger.scope('process')
  const clock = systemClock
  const credentials = { secret: config.secret }
  const peers = createPeers(credentials)
  let onWarmupRefusal = (): void => {}
  const requestLog = createRequestLog(logger.scope('request'), clock)
  const limits = createLimitReport(logger.scope('process'), clock)
  const { report } = limits
  const account = createMemoryAccount(config.callerLimits.bufferedBytes, clock, limits)
  const http = { limits: { ...config.limits.http, bodyBytes: Math.min(config.limits.http.bodyBytes, PAGE_BODY_BYTES) }, report }
  const engine = createEngine({
    account,
    clock,
    logger: logger.scope('pool'),
    log: requestLog,
    tolerance: config.rateTolerance,
    regions: config.regions,
    reservesUrgentCapacity: config.reservesUrgentCapacity,
    onWarmupRefusal: () => { onWarmupRefusal() },
    codec: ports.createServerCodec,
    peers,
    createLink: report => createFleetLink({
      name: config.name,
      failureDomain: config.failureDomain,
      seeds: config.seeds,
      decodeDeclaration: ports.decodeDeclaration,
      report,
      lendsAt: config.calls,
      declarationTrustMilliseconds: config.declarationTrustMilliseconds,
      domainDrainMilliseconds: config.domainDrainMilliseconds,
      peers,
      clock,
      logger: logger.scope('fleet')
    })
  })

  /** Whether this instance can serve new callers: it is connected to control and has a share or a lender of every account's rate. */
  function isReady (): boolean {
    const declarationIndex = engine.link.declaration()
    if (engine.isDraining() || declarationIndex === undefined || !engine.link.isConnected()) return false
    return declarationIndex.declaration.accounts.every(({ name }) => engine.link.rateShare(name) > 0 || engine.link.hasLender(name))
  }

  async function lend ({ account: name, wanted }: BorrowRequest): Promise<BorrowReply> {
    const account = engine.link.declaration()?.account(name)
    if (account === undefined || engine.link.rateShare(name) === 0) return { granted: 0, isNoLender: true }
    return { granted: await engine.rates.lend(account, wanted) }
  }

  const calls = await listenForCalls(config.calls.host, config.calls.port, credentials, router => {
    router.service(FleetService, {
      borrow: async ({ body }) => ({ body: encodeBody(await lend(checkLoan(decodeBody(body)))) }),
      where: ({ body }) => ({ body: encodeBody(engine.explain(checkExplanationRequest(decodeBody(body)))) })
    })
  }, createFleetStreams({ borrow: lend, operations: engine.holder.accept }, logger.scope('fleet')), { maximum: config.limits.silentCalls, onClosed: () => { report('silent calls', { maximum: config.limits.silentCalls }) } })
  const callers = await listenForSessions({ listen: config.callers, createCodec: ports.createCallerCodec, services: engine, maximumConnections: config.maximumCallers, protection: { limits: config.callerLimits, account, report } })
  const readiness = await listenForHttp(config.readiness, async () => ({ status: isReady() ? 200 : 503, body: '{}' }), error => { log.warn('A request to the readiness address failed.', { reason: error.message }) }, http)
  log.info('The entry instance runs.', { name: config.name, failureDomain: config.failureDomain, callers: `${config.callers.host}:${config.callers.port}` })

  const metricsPage = await startMetrics(config.metrics, isReady, http)
  limits.setMetrics(metricsPage.metrics)
  requestLog.setMetrics(metricsPage.metrics)
  onWarmupRefusal = () => { metricsPage.metrics.warmupRefusals.inc() }
  const coldServersTimer = setInterval(() => { metricsPage.metrics.coldServers.set(engine.coldServers()) }, COLD_SERVERS_INTERVAL_MILLISECONDS)
  engine.poolMetrics.setMetrics(metricsPage.metrics)
  observeLink(engine.link, metricsPage.metrics)
  const endHolderCount = observeHolders(engine, metricsPage.metrics)

  async function close (): Promise<void> {
    endHolderCount()
    clearInterval(coldServersTimer)
    callers.close()
    engine.close()
    account.close()
    readiness.close()
    metricsPage.close()
    await calls.close()
    requestLog.close()
    logger.close()
  }

  return {
    stop: async () => {
      log.info('The instance starts to drain.', { callers: callers.callers(), graceMilliseconds: config.graceMilliseconds })
      engine.startDraining()
      const { graceMilliseconds } = config
      const endTransactionsAfter = graceMilliseconds * TRANSACTION_GRACE_FRACTION
      const plan = { closeIdleAfter: Math.min(BALANCER_REACTION_MILLISECONDS, endTransactionsAfter), endTransactionsAfter, forceCloseAfter: graceMilliseconds * CUT_GRACE_FRACTION }
      const [result] = await Promise.all([callers.drain(plan), engine.holder.drain(plan)])
      log.info('The instance stops.', { cut: result.cut })
      await close()
    },
    abort: close
  }
}
