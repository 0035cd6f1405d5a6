/** A control instance of a fleet: runs the replicated log and the fleet's control, and serves the platform's API. */

import { DEFAULT_CONSENSUS_LIMITS } from '@cyclamenusher/decisions'
import { listenForCalls } from '@cyclamenusher/protocol'
import { createServerAdministration } from '../../engine/index.js'
import { systemClock } from '../clock.js'
import { openConsensusLog } from '../control/consensusLog.js'
import { createLimitReport } from '../limits.js'
import { createLogger } from '../logger.js'
import { startMetrics } from './metricsPage.js'
import { createFleetControl } from './fleetControl.js'
import { callHttp, listenForHttp } from './http.js'
import type { ConsensusLimits, Declaration, DeclarationDocument, PromotionOutcome } from '@cyclamenusher/decisions'
import type { ServerCodec } from '../../engine/index.js'
import type { RunningInstance } from '../instance.js'
import type { FleetControlConfig } from './config.js'
import type { FleetControl } from './fleetControl.js'
import type { HttpCall, HttpHandler } from './http.js'
import type { PromotionOrder, PromotionPort } from './ports.js'

/** Number of applied entries after which the log is compacted into a snapshot: low, because an entry may hold a whole document. */
const COMPACTION_ENTRIES = 32
/**
 * Fewer entries per message than the default, because an entry may hold a whole
 * document. The election timeout covers several syncs of a slow disk. The heartbeat
 * interval is about a quarter of it, which costs little of a small core.
 */
const CONSENSUS_LIMITS: ConsensusLimits = { ...DEFAULT_CONSENSUS_LIMITS, heartbeatMilliseconds: 120, electionTimeoutMilliseconds: 450, maximumEntries: 12 }

export interface FleetControlPorts {
  createServerCodec: () => ServerCodec
  createApi: (control: FleetControl) => HttpHandler
  decodeDeclaration: (document: DeclarationDocument) => Declaration
  buildPromotionCall: (order: PromotionOrder) => HttpCall
  readPromotionStatus: (status: number) => PromotionOutcome
}

function createPromotionPort ({ promotion }: FleetControlConfig, { buildPromotionCall, readPromotionStatus }: FleetControlPorts): PromotionPort {
  return {
    promote: async (order, mayCall) => {
      if (promotion === undefined) return 'unknown'
      const outcome = await callHttp(promotion, buildPromotionCall(order), mayCall)
      if (outcome.kind === 'not sent') return 'not sent'
      return outcome.kind === 'answered' ? readPromotionStatus(outcome.status) : 'unknown'
    }
  }
}

export async function startFleetControl (config: FleetControlConfig, ports: FleetControlPorts, onFailure: () => void): Promise<RunningInstance> {
  const logger = createLogger(config.log)
  const log = logger.scope('process')
  const clock = systemClock
  const limits = createLimitReport(logger.scope('process'), clock)
  const { report } = limits
  const http = { limits: config.limits.http, report }
  const credentials = { secret: config.secret }
  const administration = createServerAdministration(ports.createServerCodec, clock)
  const control = createFleetControl({
    name: config.name,
    administration,
    promotion: createPromotionPort(config, ports),
    announceIntervalMilliseconds: config.announceIntervalMilliseconds,
    drainMilliseconds: config.drainMilliseconds,
    domainDrainMilliseconds: config.domainDrainMilliseconds,
    failureDomains: config.failureDomains,
    rateTolerance: config.rateTolerance,
    warmupTolerance: config.warmupTolerance,
    decodeDeclaration: ports.decodeDeclaration,
    credentials,
    clock,
    logger: logger.scope('fleet')
  })
  const consensus = openConsensusLog({
    name: config.name,
    failureDomain: config.failureDomain,
    address: config.calls,
    addresses: config.seeds,
    mayFound: config.bootstrap,
    membership: { automatic: true, voters: 2 * config.toleratedLosses + 1 },
    compactionEntries: COMPACTION_ENTRIES,
    limits: CONSENSUS_LIMITS,
    dataFolder: config.dataFolder,
    stateMachine: control.stateMachine,
    credentials,
    clock,
    logger: logger.scope('control'),
    onStopped: onFailure
  })
  control.attach(consensus)
  const calls = await listenForCalls(config.calls.host, config.calls.port, credentials, router => {
    consensus.routes(router)
    control.routes(router)
  }, control.streams, { maximum: config.limits.silentCalls, onClosed: () => { report('silent calls', { maximum: config.limits.silentCalls }) } })
  const api = await listenForHttp(config.api, ports.createApi(control), error => { log.warn('A request from the platform failed.', { reason: error.message }) }, http)
  log.info('The control instance runs.', { name: config.name, failureDomain: config.failureDomain, calls: `${config.calls.host}:${config.calls.port}`, api: `${config.api.host}:${config.api.port}`, bootstrap: config.bootstrap })
  const metricsPage = await startMetrics(config.metrics, () => consensus.status().leader !== '', http)
  limits.setMetrics(metricsPage.metrics)

  async function close (): Promise<void> {
    control.close()
    administration.close()
    api.close()
    metricsPage.close()
    await consensus.close()
    await calls.close()
    logger.close()
  }

  return {
    stop: async () => {
      log.info('The instance stops.')
      await close()
    },
    abort: close
  }
}
