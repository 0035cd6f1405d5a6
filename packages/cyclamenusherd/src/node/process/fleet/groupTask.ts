/** Runs the control of one group: passes events to it and carries out its effects, which are requests to servers, designations and promotions. */

import { getPrimaryAssignment, assessPrimary, createGroupControl, findVerifiedTerm, stepGroupControl } from '@cyclamenusher/decisions'
import type { CommitCopies, Designation, FleetCommand, FleetOutcome, PrimaryAssignment, GroupControlState, GroupEffect, GroupEvent, GroupEnvironment, KnownServer, PromotionOutcome, ServerObservation, ServerStatus, VerifiedTerm } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { ProposeOutcome } from '../control/replicatedLog.js'
import type { PromotionPort, ServerAdministration } from './ports.js'

/** Time without an announcement after which a server is observed as failing, in announcement intervals. */
export const SILENCE_INTERVALS = 3

/** Interval between two status requests to a suspected primary, in milliseconds: shorter than the shortest failure that counts. */
const CHECK_INTERVAL_MILLISECONDS = 150

/** How long promotion requests must fail to be sent before the leader steps down, in milliseconds: two more attempts. */
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
  /** Whether this instance holds the leader lease, and the leases granted by earlier leaders have expired. */
  mayPromote: () => boolean
  announceIntervalMilliseconds: number
  /** Gives up leadership, so that another control instance is elected. */
  resign: () => void
  readEnvironment: (group: string) => Omit<GroupEnvironment, 'verdict' | 'now'>
  /** Writes the servers that may hold the group's acknowledged commits to the log. */
  recordCopies: (copies: CommitCopies) => void
  /** What entry instances observe of a server. */
  listObservations: (member: string) => ServerObservation[]
  /** When the server last announced itself to this leader. */
  announcedAt: (member: string) => number | undefined
  publish: (assignment: PrimaryAssignment) => void
  clock: Clock
  logger: ScopedLogger
}

export interface GroupTask {
  tick: () => void
  /** Whether the designated primary has been verified: entry instances may use it, or it is to be replaced. */
  settled: () => boolean
  /** The term in which the open primary was verified. */
  verifiedTerm: () => VerifiedTerm | undefined
  close: () => void
}

export function createGroupTask (options: GroupTaskOptions): GroupTask {
  const { group, administration, promotion, propose, clock, logger } = options
  const startedAt = clock.now()
  let state: GroupControlState = createGroupControl(group, options.designation, startedAt)
  let closed = false
  /** Since when promotion requests could not be sent; undefined if the last one was sent. */
  let unsentSince: number | undefined
  /** When each server last answered a request of control. */
  const answeredAt = new Map<string, number>()
  /** Since when requests of control to a server have failed. */
  const failingSince = new Map<string, number>()
  /** Servers with a request in progress. */
  const pendingMembers = new Set<string>()

  function ownObservation (member: string, now: number): ServerObservation {
    const lastAnswerAt = answeredAt.get(member)
    const firstFailureAt = failingSince.get(member)
    return { ...(lastAnswerAt === undefined ? {} : { answeredAgo: now - lastAnswerAt }), ...(firstFailureAt === undefined ? {} : { failingFor: now - firstFailureAt }) }
  }

  /** Reports a server whose announcements are overdue as failing. */
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
      step({ kind: 'status', member, status, askedAt: requestedAt })
    } catch (error) {
      if (!failingSince.has(member)) failingSince.set(member, requestedAt)
      logger.debug('A backend server did not answer control.', { group, member, reason: (error as Error).message })
    } finally {
      pendingMembers.delete(member)
    }
  }

  async function designate ({ member, after, leadsFrom }: Extract<GroupEffect, { kind: 'designate' }>): Promise<void> {
    const outcome = await propose({ kind: 'designate', group, member, after, ...(leadsFrom === undefined ? {} : { leadsFrom }) })
    if (outcome.kind !== 'applied' || !('designation' in outcome.result)) {
      logger.warn('A designation was not confirmed by the log.', { group, member, outcome: outcome.kind })
      return
    }
    step({ kind: 'designated', designation: outcome.result.designation, accepted: outcome.result.kind === 'designated' })
  }

  async function promote (member: string): Promise<void> {
    if (!options.mayPromote()) return step({ kind: 'promoted', member, outcome: 'not sent' })
    const outcome = await promotion.promote({ group, member, holder: options.holder, fence: options.fence }, options.mayPromote)
    logger.info('A promotion was ordered.', { group, member, fence: options.fence, outcome, newestTerm: state.newestTerm })
    resignIfUnsent(outcome)
    step({ kind: 'promoted', member, outcome })
  }

  /** Steps down if promotion requests could not be sent for too long; another leader may reach the promotion service. */
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
    designate: effect => { void designate(effect) },
    promote: ({ member }) => { void promote(member) },
    'record copies': ({ copies }) => { options.recordCopies(copies) },
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
      logger.info('The control of a group moved on.', { group, from: phase, to: state.phase, primary: state.designation?.member, designation: state.designation?.number, target: state.target, verdict: environment.verdict, term: state.term, newestTerm: state.newestTerm, ...describeOrders(), ...describeChoice(environment) })
    }
    for (const effect of next.effects) {
      const handle = EFFECT_HANDLERS[effect.kind] as (effect: GroupEffect) => void
      handle(effect)
    }
  }

  /** The promotions whose outcome is not known, for the log. */
  function describeOrders (): Record<string, unknown> {
    return state.orders.size === 0 ? {} : { ordered: [...state.orders].map(([member, { after }]) => `${member} after ${after}`).join(', ') }
  }

  /** The positions on which the choice of a successor depends, for the log. */
  function describeChoice ({ copies }: GroupEnvironment): Record<string, unknown> {
    if (state.phase !== 'choosing' && state.phase !== 'designating') return {}
    const received = [...state.statuses].map(([member, { status }]) => `${member} ${status.role} in ${status.term}, ${status.received.term}.${status.received.position}`)
    return { received: received.join(', '), copies: copies?.servers.map(({ member }) => member).join(', ') }
  }

  let checkedAt = -Infinity

  /** Verifies a suspected primary with a status request, at the check interval. */
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
    verifiedTerm: () => findVerifiedTerm(state, clock.now()),
    close: () => { closed = true }
  }
}
