/**
 * Orders promotions. Any instance may: the terms that members adopt are ballots,
 * so two coordinators can't both win one. Rank by rendezvous hashing decides
 * only who goes first.
 */

import { choosePrimary, decideFailover, nextTerm, rankNodes } from '@cyclamenusher/decisions'
import type { FailoverLimits, MemberStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { Metrics } from '../metrics.js'
import type { GroupMonitor } from './groupMonitor.js'

/** How often a group is looked at, in milliseconds. */
const TICK_MILLISECONDS = 50
/** Head start of each rank over the next, in milliseconds. */
const RANK_MILLISECONDS = 300
/** Longest head start, in milliseconds. */
const MAXIMUM_RANK_DELAY_MILLISECONDS = 1_500

export interface CoordinatorOptions {
  monitor: GroupMonitor
  self: string
  /** Names of the live entry instances. */
  instances: () => readonly string[]
  limits: FailoverLimits
  clock: Clock
  logger: ScopedLogger
  metrics: Metrics
}

export interface Coordinator {
  close: () => void
}

export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { monitor, self, limits, clock, logger, metrics } = options
  const { group } = monitor
  let neededSince: number | undefined
  let working = false

  function rankDelay (): number {
    const names = new Set([...options.instances(), self])
    const rank = rankNodes(group, [...names]).indexOf(self)
    return Math.min(rank * RANK_MILLISECONDS, MAXIMUM_RANK_DELAY_MILLISECONDS)
  }

  async function orderAll (members: readonly string[], statement: string): Promise<Array<{ status: MemberStatus, granted: boolean }>> {
    const answers = await Promise.allSettled(members.map(async member => await monitor.order(member, statement)))
    return answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value] : [])
  }

  async function follow (primary: string, term: number, members: readonly string[]): Promise<void> {
    const at = monitor.member(primary)
    if (at === undefined) return
    await orderAll(members, `SELECT * FROM cyclamenusher.follow(${term}, '${at.host}', ${at.port})`)
  }

  async function promote (reason: string): Promise<void> {
    const startedAt = clock.now()
    const view = monitor.view()
    const term = nextTerm(view)
    const members = [...view.members.keys()]
    logger.info('A promotion begins.', { group, term, reason })
    const answers = await orderAll(members, `SELECT * FROM cyclamenusher.adopt(${term})`)
    const granted = answers.filter(answer => answer.granted).map(({ status }) => status)
    const chosen = choosePrimary(granted, view.size)
    if (chosen === undefined) {
      metrics.failovers.inc({ outcome: 'no majority' })
      logger.warn('A promotion found no majority.', { group, term, granted: granted.length })
      return
    }
    const promoted = await monitor.order(chosen.member, `SELECT * FROM cyclamenusher.promote(${term})`)
    if (!promoted.granted) {
      metrics.failovers.inc({ outcome: 'overtaken' })
      logger.warn('A promotion was overtaken.', { group, term, member: chosen.member })
      return
    }
    await follow(chosen.member, term, members.filter(member => member !== chosen.member))
    const milliseconds = clock.now() - startedAt
    metrics.failovers.inc({ outcome: 'promoted' })
    metrics.recordLatency('failover', milliseconds)
    logger.info('A member was promoted.', { group, member: chosen.member, term, milliseconds: Math.round(milliseconds) })
  }

  async function look (): Promise<void> {
    const decision = decideFailover(monitor.view(), limits, clock.now())
    if (decision.kind === 'none') {
      neededSince = undefined
      return
    }
    neededSince ??= clock.now()
    if (clock.now() - neededSince < rankDelay()) return
    neededSince = undefined
    if (decision.kind === 'promote') return await promote(decision.reason)
    logger.info('Members are told to follow the primary.', { group, primary: decision.primary, term: decision.term, members: decision.members.join(',') })
    await follow(decision.primary, decision.term, decision.members)
  }

  const timer = setInterval(() => {
    if (working) return
    working = true
    look()
      .catch((error: Error) => { logger.warn('A promotion failed.', { group, error: error.message }) })
      .finally(() => { working = false })
  }, TICK_MILLISECONDS)
  return { close: () => { clearInterval(timer) } }
}
