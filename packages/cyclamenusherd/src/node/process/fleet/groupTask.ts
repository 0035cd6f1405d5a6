/** Carries out what the control of one group decides: questions to servers, designations, promotions. */

import { getPrimaryAssignment, assessPrimary, createGroupControl, stepGroupControl } from '@cyclamenusher/decisions'
import type { Designation, FleetCommand, FleetOutcome, PrimaryAssignment, GroupControlState, GroupEffect, GroupEvent, GroupEnvironment, KnownServer, PromotionOutcome, ServerObservation, ServerStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { ProposeOutcome } from '../control/replicatedLog.js'
import type { PromotionPort, ServerAdministration } from './ports.js'

/** Time without an announcement after which a server counts as silent, in announcement intervals. */
const SILENCE_INTERVALS = 3

/** Pause between two questions to a primary that is accused, in milliseconds: below the time that a failure must last to count. */
const CHECK_INTERVAL_MILLISECONDS = 150

/** Time for which no call for a promotion can be sent until the leader leaves the lead to another, in milliseconds: two more tries. */
const UNSENT_TIMEOUT_MILLISECONDS = 700

export interface GroupTaskOptions {
  group: string
  designation: Designation | undefined
  holder: string
  /** Fencing token of this leader. */
  fence: number
  administration: ServerAdministration
  promotion: PromotionPort
  propose: (command: FleetCommand) => Promise<ProposeOutcome<FleetOutcome>>
  /** Whether this instance leads at this moment, and leases of an earlier leader are over. */
  mayPromote: () => boolean
  announceIntervalMilliseconds: number
  /** Leaves the lead of control to another instance. */
  resign: () => void
  readEnvironment: (group: string) => Omit<GroupEnvironment, 'verdict' | 'now'>
  /** What entry instances see of a server. */
  listObservations: (member: string) => ServerObservation[]
  announcedAt: (member: string) => number | undefined
  publish: (assignment: PrimaryAssignment) => void
  clock: Clock
  logger: ScopedLogger
}

export interface GroupTask {
  tick: () => void
  /** Whether entry instances may use the primary, or it is known that they may not. */
  settled: () => boolean
  close: () => void
}

export function createGroupTask (options: GroupTaskOptions): GroupTask {
  const { group, administration, promotion, propose, clock, logger } = options
  const startedAt = clock.now()
  let state: GroupControlState = createGroupControl(group, options.designation, startedAt)
  let closed = false
  /** Since when no call for a promotion could be sent. */
  let unsentSince: number | undefined
  /** What control itself sees of servers. */
  const answeredAt = new Map<string, number>()
  const failingSince = new Map<string, number>()
  const pendingMembers = new Set<string>()

  function ownObservation (member: string, now: number): ServerObservation {
    const lastAnswerAt = answeredAt.get(member)
    const firstFailureAt = failingSince.get(member)
    return { ...(lastAnswerAt === undefined ? {} : { answeredAgo: now - lastAnswerAt }), ...(firstFailureAt === undefined ? {} : { failingFor: now - firstFailureAt }) }
  }

  /** Announcements that stay away speak against a server. */
  function listSilenceObservations (member: string, now: number): ServerObservation[] {
    const overdueMilliseconds = now - (options.announcedAt(member) ?? startedAt) - SILENCE_INTERVALS * options.announceIntervalMilliseconds
    return overdueMilliseconds > 0 ? [{ failingFor: overdueMilliseconds }] : []
  }

  function findServer (member: string): KnownServer | undefined {
    return options.readEnvironment(group).servers.find(server => server.member === member)
  }

  async function sendRequest (member: string, request: (server: KnownServer) => Promise<ServerStatus>): Promise<void> {
    const server = findServer(member)
    if (server === undefined || pendingMembers.has(member)) return
    pendingMembers.add(member)
    const requestedAt = clock.now()
    try {
      const status = await request(server)
      answeredAt.set(member, clock.now())
      failingSince.delete(member)
      step({ kind: 'status', member, status })
    } catch (error) {
      if (!failingSince.has(member)) failingSince.set(member, requestedAt)
      logger.debug('A backend server did not answer control.', { group, member, reason: (error as Error).message })
    } finally {
      pendingMembers.delete(member)
    }
  }

  async function designate (member: string, after: number): Promise<void> {
    const outcome = await propose({ kind: 'designate', group, member, after })
    if (outcome.kind !== 'applied' || !('designation' in outcome.result)) {
      logger.warn('A designation got no answer from the log.', { group, member, outcome: outcome.kind })
      return
    }
    step({ kind: 'designated', designation: outcome.result.designation, accepted: outcome.result.kind === 'designated' })
  }

  async function promote (member: string): Promise<void> {
    if (!options.mayPromote()) return
    const outcome = await promotion.promote({ group, member, holder: options.holder, fence: options.fence }, options.mayPromote)
    logger.info('A promotion was ordered.', { group, member, fence: options.fence, outcome })
    resignIfUnsent(outcome)
    step({ kind: 'promoted', member, outcome })
  }

  /** Another leader may reach what orders promotions. */
  function resignIfUnsent (outcome: PromotionOutcome): void {
    const now = clock.now()
    if (outcome !== 'not sent') unsentSince = undefined
    else unsentSince ??= now
    if (unsentSince === undefined || now - unsentSince < UNSENT_TIMEOUT_MILLISECONDS) return
    unsentSince = undefined
    options.resign()
  }

  type EffectHandlers = { [Kind in GroupEffect['kind']]: (effect: Extract<GroupEffect, { kind: Kind }>) => void }
  const EFFECT_HANDLERS: EffectHandlers = {
    publish: () => { options.publish(getPrimaryAssignment(state)) },
    'ask status': ({ member }) => { void sendRequest(member, administration.askStatus) },
    designate: ({ member, after }) => { void designate(member, after) },
    promote: ({ member }) => { void promote(member) },
    'step down': ({ member, term }) => { void sendRequest(member, async server => await administration.stepDown(server, term)) }
  }

  function buildEnvironment (now: number): GroupEnvironment {
    const primary = state.designation?.member
    const verdict = primary === undefined ? 'unknown' : assessPrimary(options.listObservations(primary), [ownObservation(primary, now), ...listSilenceObservations(primary, now)])
    return { ...options.readEnvironment(group), now, verdict }
  }

  function step (event: GroupEvent): void {
    if (closed) return
    const now = clock.now()
    const { phase } = state
    const environment = buildEnvironment(now)
    const next = stepGroupControl(state, event, environment)
    state = next.state
    if (state.phase !== phase) {
      logger.info('The control of a group moved on.', { group, from: phase, to: state.phase, primary: state.designation?.member, designation: state.designation?.number, target: state.target, verdict: environment.verdict, term: state.term })
    }
    for (const effect of next.effects) {
      const handle = EFFECT_HANDLERS[effect.kind] as (effect: GroupEffect) => void
      handle(effect)
    }
  }

  let checkedAt = -Infinity

  /** An accusation by others is checked by a question of our own. */
  function checkSuspectedPrimary (now: number): void {
    const primary = state.designation?.member
    if (primary === undefined || state.phase !== 'serving' || now - checkedAt < CHECK_INTERVAL_MILLISECONDS) return
    const suspected = [...options.listObservations(primary), ...listSilenceObservations(primary, now)].some(({ failingFor }) => failingFor !== undefined)
    if (!suspected && !failingSince.has(primary)) return
    checkedAt = now
    void sendRequest(primary, administration.askStatus)
  }

  options.publish(getPrimaryAssignment(state))
  return {
    tick: () => {
      checkSuspectedPrimary(clock.now())
      step({ kind: 'tick' })
    },
    settled: () => state.phase !== 'unverified',
    close: () => { closed = true }
  }
}
