/**
 * How control keeps one primary for a group, as a reducer: it takes the primary
 * out of use at every entry instance, waits until each has confirmed that or
 * has lost its lease, and only then has another server promoted. Nothing is
 * promoted while an entry instance may still use the old primary.
 */

import { comparePositions } from '../session/position.js'
import { LEASE_MILLISECONDS } from './messages.js'
import { chooseCandidate, listCandidates, findFreshStatus, findRecoveredPrimary, findRestartedPrimary, hasEnoughAnswers, listMembersToAsk, findPrimary } from './successor.js'
import type { PrimaryAssignment, GroupControlState, GroupEffect, GroupEvent, GroupPhase, GroupStep, GroupEnvironment, PrimaryUse, PromotionOutcome, ServerStatus } from './groupTypes.js'
import type { Designation } from './state.js'

/** Pause between two questions for a server's state, in milliseconds: a third of the time that a promotion takes at best. */
const STATUS_INTERVAL_MILLISECONDS = 150
/** The same while only the last commits of a planned replacement are missing. */
const CATCH_UP_INTERVAL_MILLISECONDS = 25
/** Time that running transactions have to end at a primary that is replaced, in milliseconds. */
const CLOSING_TIMEOUT_MILLISECONDS = 700
/** Part of the drain time in which a primary without a successor is taken out of use, in milliseconds: its transactions end, and an instance that hears nothing loses its lease. */
const DRAIN_RESERVE_MILLISECONDS = CLOSING_TIMEOUT_MILLISECONDS + LEASE_MILLISECONDS
/** Time that a successor has to receive the last commits of a planned replacement, in milliseconds. */
const HANDOVER_TIMEOUT_MILLISECONDS = 1_000
/** Time after which the call for a promotion is made again, in milliseconds. */
const PROMOTION_RETRY_MILLISECONDS = 400
/** Time that a promoted server has to lead before another is chosen, in milliseconds: several times a promotion's usual length. */
const PROMOTION_TIMEOUT_MILLISECONDS = 4_000
/** How long a server that could not be promoted is passed over, in milliseconds. */
const EXCLUSION_MILLISECONDS = 2_000
/** How long a replaced primary is told to step down, in milliseconds. */
const STEP_DOWN_TIMEOUT_MILLISECONDS = 60_000
/** Pause between two such orders, in milliseconds. */
const STEP_DOWN_INTERVAL_MILLISECONDS = 500

export function createGroupControl (group: string, designation: Designation | undefined, now: number): GroupControlState {
  return { group, phase: 'unverified', phaseSince: now, designation, term: 0, planned: false, statuses: new Map(), statusAskedAt: -Infinity, orderedAt: -Infinity, excludedUntil: new Map(), stepDownAskedAt: -Infinity }
}

const USE_BY_PHASE: Record<GroupPhase, PrimaryUse> = {
  unverified: 'closed', serving: 'open', closing: 'closing', fenced: 'closed', choosing: 'closed', designating: 'closed', promoting: 'closed', awaiting: 'closed'
}

export function getPrimaryAssignment ({ group, designation, phase, term }: GroupControlState): PrimaryAssignment {
  return { group, designation: designation?.number ?? 0, member: designation?.member, use: USE_BY_PHASE[phase], term }
}

function enterPhase (step: GroupStep, phase: GroupPhase, changes: Partial<GroupControlState> = {}): void {
  const { state, environment } = step
  const previous = getPrimaryAssignment(state)
  Object.assign(state, { phase, phaseSince: environment.now, statusAskedAt: -Infinity, orderedAt: -Infinity, ...changes })
  const current = getPrimaryAssignment(state)
  const changed = previous.use !== current.use || previous.designation !== current.designation || previous.term !== current.term
  if (changed) step.effects.push({ kind: 'publish' })
}

function requestStatus (step: GroupStep, members: readonly string[], intervalMilliseconds: number): void {
  const { state, environment } = step
  if (environment.now - state.statusAskedAt < intervalMilliseconds) return
  state.statusAskedAt = environment.now
  for (const member of members) step.effects.push({ kind: 'ask status', member })
}

function startServing (step: GroupStep, status: ServerStatus): void {
  const primary = findPrimary(step)
  enterPhase(step, 'serving', { term: status.term, bornAt: primary?.bornAt, leavingSince: undefined, target: undefined, planned: false, excludedUntil: new Map() })
}

function tickUnverified (step: GroupStep): void {
  const { state, environment } = step
  if (state.designation === undefined) {
    const announced = environment.servers.find(({ role }) => role === 'primary')
    if (announced === undefined || environment.now - state.orderedAt < PROMOTION_RETRY_MILLISECONDS) return
    state.orderedAt = environment.now
    step.effects.push({ kind: 'designate', member: announced.member, after: 0 })
    return
  }
  const status = findFreshStatus(step, state.designation.member)
  if (status?.role === 'primary') return startServing(step, status)
  if (status?.role === 'replica' || environment.verdict === 'failed') return enterPhase(step, 'fenced')
  const primary = findPrimary(step)
  // Nobody has announced the primary for as long as a server waits between announcements.
  if (primary === undefined && environment.now - state.phaseSince > PROMOTION_TIMEOUT_MILLISECONDS && listCandidates(step).length > 0) return enterPhase(step, 'fenced')
  requestStatus(step, [state.designation.member], STATUS_INTERVAL_MILLISECONDS)
}

function tickServing (step: GroupStep): void {
  const { state, environment } = step
  const primary = findPrimary(step)
  const restartedAsReplica = primary !== undefined && primary.bornAt !== state.bornAt && primary.role === 'replica'
  const hasSuccessor = listCandidates(step).length > 0
  if (environment.verdict === 'failed' || restartedAsReplica) return enterPhase(step, 'fenced', { planned: false })
  const missing = primary === undefined && environment.verdict !== 'reachable'
  if (missing && hasSuccessor) return enterPhase(step, 'fenced', { planned: false })
  if (primary?.leaving === true && hasSuccessor) return enterPhase(step, 'closing', { planned: true })
  state.leavingSince = primary?.leaving === true ? state.leavingSince ?? environment.now : undefined
  if (isDrainEnding(step)) return enterPhase(step, 'closing', { planned: false })
  requestStepDown(step)
}

/** Whether a primary that leaves without a successor has to be taken out of use, so that nothing reaches it after its drain time. */
function isDrainEnding ({ state, environment }: GroupStep): boolean {
  return state.leavingSince !== undefined && environment.now - state.leavingSince > environment.drainMilliseconds - DRAIN_RESERVE_MILLISECONDS
}

/** Has the primary before step down, until it has. */
function requestStepDown (step: GroupStep): void {
  const { state, environment } = step
  if (state.formerPrimary === undefined) return
  const { member, until } = state.formerPrimary
  const status = findFreshStatus(step, member)
  const present = environment.servers.some(server => server.member === member)
  if (status?.role === 'replica' || environment.now > until || !present) {
    state.formerPrimary = undefined
    return
  }
  if (environment.now - state.stepDownAskedAt < STEP_DOWN_INTERVAL_MILLISECONDS) return
  state.stepDownAskedAt = environment.now
  step.effects.push({ kind: 'step down', member, term: state.term })
}

function tickClosing (step: GroupStep): void {
  const { state, environment } = step
  if (environment.verdict === 'failed') return enterPhase(step, 'fenced', { planned: false })
  const timedOut = environment.now - state.phaseSince > CLOSING_TIMEOUT_MILLISECONDS
  if ((environment.confirmed && !environment.busy) || timedOut) enterPhase(step, 'fenced')
}

function tickFenced (step: GroupStep): void {
  const { state, environment } = step
  if (!environment.confirmed || environment.now < environment.earlierLeasesExpireAt) return
  enterPhase(step, 'choosing', { target: undefined })
  requestStatus(step, listMembersToAsk(step), state.planned ? CATCH_UP_INTERVAL_MILLISECONDS : STATUS_INTERVAL_MILLISECONDS)
}

function tickChoosing (step: GroupStep): void {
  const { state, environment } = step
  const candidates = listCandidates(step)
  const resumable = findRestartedPrimary(step) ?? findRecoveredPrimary(step, candidates)
  if (resumable !== undefined) return startServing(step, resumable)
  const best = chooseCandidate(step, candidates)
  const primaryStatus = state.designation === undefined ? undefined : findFreshStatus(step, state.designation.member)
  const behind = best !== undefined && primaryStatus !== undefined && comparePositions(best.status.received, primaryStatus.received) < 0
  const waitsForCatchUp = state.planned && behind && environment.now - state.phaseSince < HANDOVER_TIMEOUT_MILLISECONDS
  if (best === undefined || waitsForCatchUp || !hasEnoughAnswers(step, candidates)) {
    return requestStatus(step, listMembersToAsk(step), state.planned ? CATCH_UP_INTERVAL_MILLISECONDS : STATUS_INTERVAL_MILLISECONDS)
  }
  enterPhase(step, 'designating', { target: best.member })
  state.orderedAt = environment.now
  step.effects.push({ kind: 'designate', member: best.member, after: state.designation?.number ?? 0 })
}

function tickDesignating (step: GroupStep): void {
  const { state, environment } = step
  // The log did not answer: what became of the order shows when it is made again.
  if (environment.now - state.orderedAt < PROMOTION_TIMEOUT_MILLISECONDS || state.target === undefined) return
  state.orderedAt = environment.now
  step.effects.push({ kind: 'designate', member: state.target, after: state.designation?.number ?? 0 })
}

function tickPromoting (step: GroupStep): void {
  const { state, environment } = step
  if (state.target === undefined || environment.now - state.orderedAt < PROMOTION_RETRY_MILLISECONDS) return
  state.orderedAt = environment.now
  step.effects.push({ kind: 'promote', member: state.target })
}

function tickAwaiting (step: GroupStep): void {
  const { state, environment } = step
  if (state.target === undefined) return enterPhase(step, 'fenced')
  const status = findFreshStatus(step, state.target)
  if (status?.role === 'primary') return startServing(step, status)
  if (environment.now - state.phaseSince > PROMOTION_TIMEOUT_MILLISECONDS) return excludeTarget(step, state.target)
  requestStatus(step, [state.target], STATUS_INTERVAL_MILLISECONDS / 3)
}

/** The target can't take over: another is chosen. */
function excludeTarget (step: GroupStep, member: string): void {
  const { state, environment } = step
  enterPhase(step, 'choosing', { target: undefined, planned: false, excludedUntil: new Map(state.excludedUntil).set(member, environment.now + EXCLUSION_MILLISECONDS) })
}

const TICK_HANDLERS: Record<GroupPhase, (step: GroupStep) => void> = {
  unverified: tickUnverified,
  serving: tickServing,
  closing: tickClosing,
  fenced: tickFenced,
  choosing: tickChoosing,
  designating: tickDesignating,
  promoting: tickPromoting,
  awaiting: tickAwaiting
}

function handleDesignated (step: GroupStep, { designation, accepted }: Extract<GroupEvent, { kind: 'designated' }>): void {
  const { state, environment } = step
  if (designation === undefined) return
  if (!accepted) return enterPhase(step, 'unverified', { designation })
  if (state.phase !== 'designating') return enterPhase(step, 'unverified', { designation })
  const previousMember = state.designation?.member
  const formerPrimary = previousMember === undefined || previousMember === designation.member ? state.formerPrimary : { member: previousMember, until: environment.now + STEP_DOWN_TIMEOUT_MILLISECONDS }
  enterPhase(step, 'promoting', { designation, formerPrimary })
  tickPromoting(step)
}

const PROMOTION_HANDLERS: Record<PromotionOutcome, (step: GroupStep, member: string) => void> = {
  done: step => { enterPhase(step, 'awaiting') },
  refused: excludeTarget,
  // The call is made again after a pause.
  unknown: () => {},
  'not sent': () => {}
}

type EventHandlers = { [Kind in GroupEvent['kind']]: (step: GroupStep, event: Extract<GroupEvent, { kind: Kind }>) => void }

const EVENT_HANDLERS: EventHandlers = {
  tick: step => { TICK_HANDLERS[step.state.phase](step) },
  status: (step, { member, status }) => {
    step.state.statuses = new Map(step.state.statuses).set(member, { status, at: step.environment.now })
    TICK_HANDLERS[step.state.phase](step)
  },
  designated: handleDesignated,
  promoted: (step, { member, outcome }) => {
    if (step.state.phase === 'promoting' && step.state.target === member) PROMOTION_HANDLERS[outcome](step, member)
  }
}

/** One step: the next state, and what the process is to do. */
export function stepGroupControl (previous: GroupControlState, event: GroupEvent, environment: GroupEnvironment): { state: GroupControlState, effects: GroupEffect[] } {
  const step: GroupStep = { state: { ...previous }, effects: [], environment }
  const handle = EVENT_HANDLERS[event.kind] as (step: GroupStep, event: GroupEvent) => void
  handle(step, event)
  return { state: step.state, effects: step.effects }
}
