/**
 * Carries out the failover decisions of a group. Any entry instance may do so: a
 * member grants each term only once, so two coordinators can't both win the same
 * term. The rank by rendezvous hashing only decides which instance acts first.
 */

import { GRANT_VALIDITY_MILLISECONDS, choosePrimary, currentPrimary, decideFailover, hasVote, highestTerm, majorityOf, nextTerm, rankNodes } from '@cyclamenusher/decisions'
import { pause } from '../clock.js'
import type { FailoverDecision, FailoverLimits, MemberStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { Metrics } from '../metrics.js'
import type { GroupMonitor } from './groupMonitor.js'
import type { MemberAnswer } from './memberLink.js'

/** Interval at which the group is checked, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 20
/** Delay that each rank adds before an instance acts, in milliseconds. */
const RANK_DELAY_MILLISECONDS = 200
/** Maximum delay because of the rank, in milliseconds. */
const MAXIMUM_RANK_DELAY_MILLISECONDS = 1_500
/** Time to wait for further answers once there are enough, in milliseconds, so that the logs of more members are compared. */
const STRAGGLER_WAIT_MILLISECONDS = 30

/** An instance that may coordinate a failover. */
export interface CoordinatorInstance {
  name: string
  failureDomain: string
}

export interface CoordinatorOptions {
  monitor: GroupMonitor
  self: CoordinatorInstance
  /** The live entry instances. */
  instances: () => readonly CoordinatorInstance[]
  /** Whether the rules name the group, so that its configured number of members is known. */
  isConfigured: () => boolean
  limits: FailoverLimits
  clock: Clock
  logger: ScopedLogger
  metrics: Metrics
}

export interface Coordinator {
  close: () => void
}

type DecisionHandlers = { [Kind in Exclude<FailoverDecision['kind'], 'none'>]: (decision: Extract<FailoverDecision, { kind: Kind }>) => Promise<void> }

export function createCoordinator (options: CoordinatorOptions): Coordinator {
  const { monitor, self, limits, clock, logger, metrics } = options
  const { group } = monitor
  let actionNeeded: { since: number, term: number } | undefined
  let checking = false

  function findPrimaryDomain (): string | undefined {
    const primary = currentPrimary(monitor.view())
    return primary === undefined ? undefined : monitor.member(primary.status.member)?.failureDomain
  }

  function computeRankDelay (): number {
    const others = options.instances().filter(({ name }) => name !== self.name)
    const failureDomains = new Map([...others, self].map(({ name, failureDomain }) => [name, failureDomain]))
    const ranked = rankNodes(group, [...failureDomains.keys()])
    // A primary often fails together with its failure domain, and so with the instances there.
    const primaryDomain = findPrimaryDomain()
    const outsidePrimaryDomain = ranked.filter(name => failureDomains.get(name) !== primaryDomain)
    const rank = [...outsidePrimaryDomain, ...ranked.filter(name => failureDomains.get(name) === primaryDomain)].indexOf(self.name)
    return Math.min(rank * RANK_DELAY_MILLISECONDS, MAXIMUM_RANK_DELAY_MILLISECONDS)
  }

  /** Sends a command to all members; resolves once each has answered or failed, or shortly after `isEnough` is true. */
  async function sendCommandToAll (members: readonly string[], statement: string, isEnough: (answers: readonly MemberAnswer[]) => boolean): Promise<MemberAnswer[]> {
    const answers: MemberAnswer[] = []
    await new Promise<void>(resolve => {
      const commands = members.map(async member => {
        const answer = await monitor.sendCommand(member, statement).catch(() => undefined)
        if (answer === undefined) return
        answers.push(answer)
        if (!isEnough(answers)) return
        await pause(STRAGGLER_WAIT_MILLISECONDS)
        resolve()
      })
      void Promise.all(commands).then(() => { resolve() })
    })
    return answers
  }

  async function redirectMembers (primary: string, term: number, members: readonly string[]): Promise<void> {
    const address = monitor.member(primary)
    if (address === undefined) return
    await sendCommandToAll(members, `SELECT * FROM cyclamenusher.follow(${term}, '${address.host}', ${address.port})`, answers => answers.length > 0)
  }

  async function collectGrants (term: number, members: readonly string[], required: number, isCounted: (answer: MemberAnswer) => boolean): Promise<MemberStatus[]> {
    const startedAt = clock.now()
    const filterGranted = (answers: readonly MemberAnswer[]): MemberAnswer[] => answers.filter(answer => answer.granted && isCounted(answer))
    const answers = await sendCommandToAll(members, `SELECT * FROM cyclamenusher.adopt(${term})`, current => filterGranted(current).length >= required)
    // Later grants don't count: a member that lost its state is admitted again once its earlier grants have expired.
    return filterGranted(answers).filter(({ answeredAt }) => answeredAt - startedAt <= GRANT_VALIDITY_MILLISECONDS).map(({ status }) => status)
  }

  function hasCountedVote ({ status }: MemberAnswer): boolean {
    const memberView = monitor.view().members.get(status.member)
    return memberView !== undefined && hasVote(memberView) && status.voting
  }

  async function promoteMember (chosen: MemberStatus, term: number, members: readonly string[], startedAt: number, fenceMilliseconds: number): Promise<void> {
    const promoted = await monitor.sendCommand(chosen.member, `SELECT * FROM cyclamenusher.promote(${term})`)
    if (!promoted.granted) {
      metrics.failovers.inc({ outcome: 'overtaken' })
      logger.warn('A promotion was overtaken.', { group, term, member: chosen.member })
      return
    }
    const milliseconds = clock.now() - startedAt
    metrics.failovers.inc({ outcome: 'promoted' })
    metrics.recordLatency('failover', milliseconds)
    logger.info('A member was promoted.', { group, member: chosen.member, term, fenceMilliseconds: Math.round(fenceMilliseconds), milliseconds: Math.round(milliseconds) })
    await redirectMembers(chosen.member, term, members.filter(member => member !== chosen.member))
  }

  async function runPromotion (reason: string): Promise<void> {
    const startedAt = clock.now()
    const view = monitor.view()
    const term = nextTerm(view)
    const members = [...view.members.keys()]
    logger.info('A promotion begins.', { group, term, reason })
    const granted = await collectGrants(term, members, majorityOf(view.size), hasCountedVote)
    const chosen = choosePrimary(granted, view.size)
    if (chosen === undefined) {
      metrics.failovers.inc({ outcome: 'no majority' })
      logger.warn('A promotion found no majority.', { group, term, granted: granted.length })
      return
    }
    await promoteMember(chosen, term, members, startedAt, clock.now() - startedAt)
  }

  /** Makes the first promotion. It needs the grant of every member, because an empty disk proves nothing about the others. */
  async function formGroup (): Promise<void> {
    const startedAt = clock.now()
    const view = monitor.view()
    const term = nextTerm(view)
    const members = [...view.members.keys()].sort()
    logger.info('A group is formed.', { group, term, members: members.join(',') })
    const granted = await collectGrants(term, members, view.size, ({ status }) => status.logTerm === 0 && status.position === 0)
    if (granted.length < view.size) return
    const admitted = await Promise.all(granted.map(async ({ member, incarnation }) => await admitMember(member, term, 0, incarnation)))
    if (!admitted.every(Boolean)) return
    const [chosen] = granted.sort((left, right) => left.member < right.member ? -1 : 1)
    await promoteMember(chosen, term, members, startedAt, clock.now() - startedAt)
  }

  async function admitMember (member: string, term: number, position: number, incarnation: string): Promise<boolean> {
    const { granted } = await monitor.sendCommand(member, `SELECT * FROM cyclamenusher.admit(${term}, ${position}, '${incarnation}')`)
    logger.info('A member is admitted to its group\'s majorities.', { group, member, term, position, granted })
    return granted
  }

  const handlers: DecisionHandlers = {
    form: formGroup,
    promote: async ({ reason }) => { await runPromotion(reason) },
    'hand over': async ({ reason }) => { await runPromotion(reason) },
    admit: async ({ member, term, position, incarnation }) => { await admitMember(member, term, position, incarnation) },
    repair: async ({ primary, term, members }) => {
      logger.info('Members are redirected to the primary.', { group, primary, term, members: members.join(',') })
      await redirectMembers(primary, term, members)
    }
  }

  async function checkGroup (): Promise<void> {
    if (!options.isConfigured()) return
    const view = monitor.view()
    const decision = decideFailover(view, limits, clock.now())
    if (decision.kind === 'none') {
      actionNeeded = undefined
      return
    }
    // A newer term means that another coordinator is at work.
    const term = highestTerm(view)
    if (actionNeeded?.term !== term) actionNeeded = { since: clock.now(), term }
    if (clock.now() - actionNeeded.since < computeRankDelay()) return
    actionNeeded = undefined
    const handle = handlers[decision.kind] as (decision: FailoverDecision) => Promise<void>
    await handle(decision)
  }

  const timer = setInterval(() => {
    if (checking) return
    checking = true
    checkGroup()
      .catch((error: Error) => { logger.warn('A promotion failed.', { group, error: error.message }) })
      .finally(() => { checking = false })
  }, CHECK_INTERVAL_MILLISECONDS)
  return { close: () => { clearInterval(timer) } }
}
