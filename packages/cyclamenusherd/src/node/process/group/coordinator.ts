/**
 * Orders promotions. Any instance may: the terms that members adopt are ballots,
 * so two coordinators can't both win one. Rank by rendezvous hashing decides
 * only who goes first.
 */

import { GRANT_VALIDITY_MILLISECONDS, choosePrimary, currentPrimary, decideFailover, hasVote, highestTerm, majorityOf, nextTerm, rankNodes } from '@cyclamenusher/decisions'
import { pause } from '../clock.js'
import type { FailoverDecision, FailoverLimits, MemberStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { Metrics } from '../metrics.js'
import type { GroupMonitor } from './groupMonitor.js'
import type { MemberAnswer } from './memberLink.js'

/** How often a group is looked at, in milliseconds. */
const TICK_MILLISECONDS = 20
/** Head start of each rank over the next, in milliseconds. */
const RANK_MILLISECONDS = 200
/** Longest head start, in milliseconds. */
const MAXIMUM_RANK_DELAY_MILLISECONDS = 1_500
/** Time that a majority waits for the other members' logs, in milliseconds. */
const STRAGGLER_MILLISECONDS = 30

/** An instance that may coordinate. */
export interface CoordinatorInstance {
  name: string
  failureDomain: string
}

export interface CoordinatorOptions {
  monitor: GroupMonitor
  self: CoordinatorInstance
  /** The live entry instances. */
  instances: () => readonly CoordinatorInstance[]
  /** Whether the rules name the group, so that its number of places is known. */
  isKnown: () => boolean
  limits: FailoverLimits
  clock: Clock
  logger: ScopedLogger
  metrics: Metrics
}

export interface Coordinator {
  close: () => void
}

type Handlers = { [Kind in Exclude<FailoverDecision['kind'], 'none'>]: (decision: Extract<FailoverDecision, { kind: Kind }>) => Promise<void> }

export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { monitor, self, limits, clock, logger, metrics } = options
  const { group } = monitor
  let needed: { since: number, term: number } | undefined
  let working = false

  function primaryDomain (): string | undefined {
    const primary = currentPrimary(monitor.view())
    return primary === undefined ? undefined : monitor.member(primary.status.member)?.failureDomain
  }

  function rankDelay (): number {
    const others = options.instances().filter(({ name }) => name !== self.name)
    const domainOf = new Map([...others, self].map(({ name, failureDomain }) => [name, failureDomain]))
    const ranked = rankNodes(group, [...domainOf.keys()])
    // A primary often fails together with its failure domain, and with the instances there.
    const failing = primaryDomain()
    const away = ranked.filter(name => domainOf.get(name) !== failing)
    const rank = [...away, ...ranked.filter(name => domainOf.get(name) === failing)].indexOf(self.name)
    return Math.min(rank * RANK_MILLISECONDS, MAXIMUM_RANK_DELAY_MILLISECONDS)
  }

  /** Gives an order to all, and resolves when each has answered or `enough` of the answers are there. */
  async function orderAll (members: readonly string[], statement: string, enough: (answers: readonly MemberAnswer[]) => boolean): Promise<MemberAnswer[]> {
    const answers: MemberAnswer[] = []
    await new Promise<void>(resolve => {
      const ended = members.map(async member => {
        const answer = await monitor.order(member, statement).catch(() => undefined)
        if (answer === undefined) return
        answers.push(answer)
        if (!enough(answers)) return
        await pause(STRAGGLER_MILLISECONDS)
        resolve()
      })
      void Promise.all(ended).then(() => { resolve() })
    })
    return answers
  }

  async function follow (primary: string, term: number, members: readonly string[]): Promise<void> {
    const at = monitor.member(primary)
    if (at === undefined) return
    await orderAll(members, `SELECT * FROM cyclamenusher.follow(${term}, '${at.host}', ${at.port})`, answers => answers.length > 0)
  }

  async function adopt (term: number, members: readonly string[], wanted: number, counts: (answer: MemberAnswer) => boolean): Promise<MemberStatus[]> {
    const startedAt = clock.now()
    const granted = (answers: readonly MemberAnswer[]): MemberAnswer[] => answers.filter(answer => answer.granted && counts(answer))
    const answers = await orderAll(members, `SELECT * FROM cyclamenusher.adopt(${term})`, current => granted(current).length >= wanted)
    // A member that lost its state is admitted again only when its old grants have run out.
    return granted(answers).filter(({ answeredAt }) => answeredAt - startedAt <= GRANT_VALIDITY_MILLISECONDS).map(({ status }) => status)
  }

  function hasCountedVote ({ status }: MemberAnswer): boolean {
    const known = monitor.view().members.get(status.member)
    return known !== undefined && hasVote(known) && status.voting
  }

  async function install (chosen: MemberStatus, term: number, members: readonly string[], startedAt: number, fenced: number): Promise<void> {
    const promoted = await monitor.order(chosen.member, `SELECT * FROM cyclamenusher.promote(${term})`)
    if (!promoted.granted) {
      metrics.failovers.inc({ outcome: 'overtaken' })
      logger.warn('A promotion was overtaken.', { group, term, member: chosen.member })
      return
    }
    const milliseconds = clock.now() - startedAt
    metrics.failovers.inc({ outcome: 'promoted' })
    metrics.recordLatency('failover', milliseconds)
    logger.info('A member was promoted.', { group, member: chosen.member, term, fenceMilliseconds: Math.round(fenced), milliseconds: Math.round(milliseconds) })
    await follow(chosen.member, term, members.filter(member => member !== chosen.member))
  }

  async function promote (reason: string): Promise<void> {
    const startedAt = clock.now()
    const view = monitor.view()
    const term = nextTerm(view)
    const members = [...view.members.keys()]
    logger.info('A promotion begins.', { group, term, reason })
    const granted = await adopt(term, members, majorityOf(view.size), hasCountedVote)
    const chosen = choosePrimary(granted, view.size)
    if (chosen === undefined) {
      metrics.failovers.inc({ outcome: 'no majority' })
      logger.warn('A promotion found no majority.', { group, term, granted: granted.length })
      return
    }
    await install(chosen, term, members, startedAt, clock.now() - startedAt)
  }

  /** The first promotion takes every place, since an empty disk proves nothing about the others. */
  async function form (): Promise<void> {
    const startedAt = clock.now()
    const view = monitor.view()
    const term = nextTerm(view)
    const members = [...view.members.keys()].sort()
    logger.info('A group is formed.', { group, term, members: members.join(',') })
    const granted = await adopt(term, members, view.size, ({ status }) => status.logTerm === 0 && status.position === 0)
    if (granted.length < view.size) return
    const admitted = await Promise.all(granted.map(async ({ member, incarnation }) => await admit(member, term, 0, incarnation)))
    if (!admitted.every(Boolean)) return
    const [chosen] = granted.sort((left, right) => left.member < right.member ? -1 : 1)
    await install(chosen, term, members, startedAt, clock.now() - startedAt)
  }

  async function admit (member: string, term: number, position: number, incarnation: string): Promise<boolean> {
    const { granted } = await monitor.order(member, `SELECT * FROM cyclamenusher.admit(${term}, ${position}, '${incarnation}')`)
    logger.info('A member is admitted to its group\'s majorities.', { group, member, term, position, granted })
    return granted
  }

  const handlers: Handlers = {
    form,
    promote: async ({ reason }) => { await promote(reason) },
    'hand over': async ({ reason }) => { await promote(reason) },
    admit: async ({ member, term, position, incarnation }) => { await admit(member, term, position, incarnation) },
    repair: async ({ primary, term, members }) => {
      logger.info('Members are told to follow the primary.', { group, primary, term, members: members.join(',') })
      await follow(primary, term, members)
    }
  }

  async function look (): Promise<void> {
    if (!options.isKnown()) return
    const view = monitor.view()
    const decision = decideFailover(view, limits, clock.now())
    if (decision.kind === 'none') {
      needed = undefined
      return
    }
    // A newer term means that another coordinator is at work.
    const term = highestTerm(view)
    if (needed?.term !== term) needed = { since: clock.now(), term }
    if (clock.now() - needed.since < rankDelay()) return
    needed = undefined
    const handle = handlers[decision.kind] as (decision: FailoverDecision) => Promise<void>
    await handle(decision)
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
