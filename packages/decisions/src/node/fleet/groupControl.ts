/**
 * Reducer by which control replaces the primary of a group. It closes the primary
 * for all entry instances, waits until each of them has confirmed that or has lost
 * its lease, and only then promotes another server. No server is promoted while an
 * entry instance may still use the old primary, and none is opened while another one
 * leads the group or may be about to (orderedPromotions.ts).
 */

import { comparePositions } from '../session/position.js'
import { RELEASE_CHECK_INTERVAL_MILLISECONDS, countSynchronousReplicas, listUnseenServers, noteInheritedLog, noteSeenPosition, recordCopies, releaseCopies, toRun } from './commitCopies.js'
import { filterAskable, isDrainDue, isDrained } from './drainedServers.js'
import { LEASE_MILLISECONDS } from './messages.js'
import { PROMOTION_TIMEOUT_MILLISECONDS, beginOrder, computeLeadingTerm, inheritOrders, isAnyPending, isLeading, isOtherPending, noteNewestTerm, recordCall, recordOutcome, settleOrders } from './orderedPromotions.js'
import { chooseCandidate, listCandidates, findFreshStatus, findLeadingStatus, findRecoveredPrimary, findRestartedPrimary, hasFollowingCandidate, isDrainedOnly, listMembersToAsk, findPrimary } from './successor.js'
import type { KnownServer } from './directory.js'
import type { PrimaryAssignment, GroupControlState, GroupEffect, GroupEvent, GroupPhase, GroupStep, GroupEnvironment, PrimaryUse, PromotionOutcome, ServerStatus } from './groupTypes.js'
import type { Designation } from './state.js'

/** Interval between status requests, in milliseconds: a third of the time that the fastest promotion takes. */
const STATUS_INTERVAL_MILLISECONDS = 150
/** Interval between status requests during a planned replacement, in milliseconds: only the last commits are missing. */
const CATCH_UP_INTERVAL_MILLISECONDS = 25
/** How long running transactions may take to end at a primary that is closing, in milliseconds. */
const CLOSING_TIMEOUT_MILLISECONDS = 700
/** How long before the end of its drain time, or of the bound of its failure domain's drain, a primary without a successor is closed, in milliseconds: enough for its transactions to end and for the leases of unreachable entry instances to expire. */
const DRAIN_RESERVE_MILLISECONDS = CLOSING_TIMEOUT_MILLISECONDS + LEASE_MILLISECONDS
/** How long a planned replacement waits until a candidate has received the last commits, in milliseconds. */
const CATCH_UP_TIMEOUT_MILLISECONDS = 1_000
/** How long a leaving primary stays open after no successor caught up, in milliseconds: several times as long as it was closed for that. */
const PLANNED_RETRY_MILLISECONDS = 4_000
/** Interval between attempts to promote a server, or to designate a group's first primary, in milliseconds. */
const PROMOTION_RETRY_MILLISECONDS = 400
/** How long to wait until the server whose promotion was ordered leads, in milliseconds. Then another server is chosen. */
const AWAITING_TIMEOUT_MILLISECONDS = PROMOTION_TIMEOUT_MILLISECONDS
/** The same where it already was primary and still is, in milliseconds: its answers after the end of the order show that nothing has changed. */
const UNCHANGED_TIMEOUT_MILLISECONDS = 2 * PROMOTION_TIMEOUT_MILLISECONDS
/** How long to wait until the log answers a designation, in milliseconds. */
const DESIGNATION_TIMEOUT_MILLISECONDS = 4_000
/** How long to wait for an answer of the designated primary, in milliseconds: longer than the interval between two announcements. */
const VERIFICATION_TIMEOUT_MILLISECONDS = 4_000
/** How long a server that could not be promoted is excluded from the candidates, in milliseconds. */
const EXCLUSION_MILLISECONDS = 2_000
/** How long a replaced primary is asked to step down without a new announcement of it, in milliseconds. */
const STEP_DOWN_TIMEOUT_MILLISECONDS = 60_000
/** Interval between step-down requests, in milliseconds. */
const STEP_DOWN_INTERVAL_MILLISECONDS = 500

export function createGroupControl (group: string, designation: Designation | undefined, now: number): GroupControlState {
  return { group, phase: 'unverified', phaseSince: now, designation, term: 0, planned: false, statuses: new Map(), statusAskedAt: -Infinity, orderedAt: -Infinity, excludedUntil: new Map(), formerPrimaries: new Set(), stepDownAsked: new Map(), seenPositions: new Map(), ...inheritOrders(designation, now) }
}

const USE_BY_PHASE: Record<GroupPhase, PrimaryUse> = {
  unverified: 'closed', serving: 'open', closing: 'closing', fenced: 'closed', drained: 'closed', choosing: 'closed', designating: 'closed', promoting: 'closed', awaiting: 'closed'
}

/** The part of the state that is published to entry instances. */
export function getPrimaryAssignment ({ group, designation, phase, term }: GroupControlState): PrimaryAssignment {
  return { group, designation: designation?.number ?? 0, member: designation?.member, use: USE_BY_PHASE[phase], term }
}

/** Enters a phase, and publishes the assignment if it has changed. */
function enterPhase (step: GroupStep, phase: GroupPhase, changes: Partial<GroupControlState> = {}): void {
  const { state, environment } = step
  const previous = getPrimaryAssignment(state)
  Object.assign(state, { phase, phaseSince: environment.now, statusAskedAt: -Infinity, orderedAt: -Infinity, ...changes })
  const current = getPrimaryAssignment(state)
  const changed = previous.use !== current.use || previous.designation !== current.designation || previous.term !== current.term
  if (changed) step.effects.push({ kind: 'publish' })
}

/** Requests the status of the members, at most once per interval. */
function requestStatus (step: GroupStep, members: readonly string[], intervalMilliseconds: number): void {
  const { state, environment } = step
  if (environment.now - state.statusAskedAt < intervalMilliseconds) return
  state.statusAskedAt = environment.now
  // A drained primary that nothing can replace is not asked.
  const isReplacing = (): boolean => state.phase === 'unverified' || listCandidates(step).length > 0
  for (const member of filterAskable(step, members, isReplacing)) step.effects.push({ kind: 'ask status', member })
}

function startServing (step: GroupStep, status: ServerStatus): void {
  const { state } = step
  const primary = findPrimary(step)
  noteInheritedLog(step, status)
  const seenPositions: GroupControlState['seenPositions'] = state.term === status.term ? state.seenPositions : new Map()
  enterPhase(step, 'serving', { term: status.term, bornAt: primary?.bornAt, leavingSince: undefined, target: undefined, planned: false, excludedUntil: new Map(), lastPrimary: primary === undefined ? state.lastPrimary : toRun(primary), successorTarget: undefined, drainedSince: undefined, seenPositions })
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
  if (status !== undefined && isLeading(step, status)) return startServing(step, status)
  if (status !== undefined || environment.verdict === 'failed') return enterPhase(step, 'fenced')
  if (environment.now - state.phaseSince > VERIFICATION_TIMEOUT_MILLISECONDS && listCandidates(step).length > 0) return enterPhase(step, 'fenced')
  requestStatus(step, [state.designation.member], STATUS_INTERVAL_MILLISECONDS)
}

function tickServing (step: GroupStep): void {
  const { state, environment } = step
  // Another server leads, or the primary was promoted once more.
  if (state.newestTerm > state.term) return enterPhase(step, 'unverified')
  requestStepDown(step)
  const primary = findPrimary(step)
  const restartedAsReplica = primary !== undefined && primary.bornAt !== state.bornAt && primary.role === 'replica'
  const hasSuccessor = listCandidates(step).length > 0
  if (environment.verdict === 'failed' || restartedAsReplica) return enterPhase(step, 'fenced', { planned: false })
  const missing = primary === undefined && environment.verdict !== 'reachable'
  if (missing && hasSuccessor) return enterPhase(step, 'fenced', { planned: false })
  if (isToBeReplaced(step, primary) && !isAnyPending(step) && isReplaceable(step)) return enterPhase(step, 'closing', { planned: true })
  if (state.drainedSince !== undefined && !isDrainedOnly(step)) Object.assign(state, { drainedSince: undefined, successorTarget: undefined })
  state.leavingSince = primary?.leaving === true ? state.leavingSince ?? environment.now : undefined
  if (isDrainEnding(step)) return enterPhase(step, 'closing', { planned: false })
  if (isDrainDue(step, primary, DRAIN_RESERVE_MILLISECONDS)) return enterPhase(step, 'closing', { planned: true })
  if (primary === undefined) return
  if (findFreshStatus(step, primary.member)?.role === 'replica') return enterPhase(step, 'fenced', { planned: false })
  const unconfirmed = [...new Set([...releaseCopies(step, primary.member), ...listUnseenServers(step), ...(primary.role === 'replica' ? [primary.member] : [])])]
  if (unconfirmed.length > 0) requestStatus(step, unconfirmed, RELEASE_CHECK_INTERVAL_MILLISECONDS)
}

function isToBeReplaced (step: GroupStep, primary: KnownServer | undefined): boolean {
  return primary !== undefined && (primary.leaving || isDrained(step, primary))
}

/** Whether a primary that is to be replaced can be closed now; asks for the positions on which that depends. */
function isReplaceable (step: GroupStep): boolean {
  const { state, environment } = step
  if (environment.now < (state.plannedRetryAt ?? -Infinity)) return false
  if (hasFollowingCandidate(step)) return true
  requestStatus(step, listMembersToAsk(step), STATUS_INTERVAL_MILLISECONDS)
  return false
}

/** Whether a leaving primary without a successor has to be closed now, so that no work reaches it after its drain time. */
function isDrainEnding ({ state, environment }: GroupStep): boolean {
  return state.leavingSince !== undefined && environment.now - state.leavingSince > environment.drainMilliseconds - DRAIN_RESERVE_MILLISECONDS
}

/** Asks servers other than the primary that were designated before, or announce themselves as primary, to step down. One that leads a newer term does not, and its answer shows the term. */
function requestStepDown (step: GroupStep): void {
  const { state, environment } = step
  const former = listFormerPrimaries(step)
  if (former.length === 0 && state.stepDownAsked.size > 0) state.stepDownAsked = new Map()
  for (const { member, sequence } of former) {
    const last = state.stepDownAsked.get(member)
    const isKnown = last?.sequence === sequence && environment.now - state.phaseSince > STEP_DOWN_TIMEOUT_MILLISECONDS
    if (isKnown || environment.now - (last?.at ?? -Infinity) < STEP_DOWN_INTERVAL_MILLISECONDS) continue
    state.stepDownAsked = new Map(state.stepDownAsked).set(member, { at: environment.now, sequence })
    step.effects.push({ kind: 'step down', member, term: state.term })
  }
}

function listFormerPrimaries (step: GroupStep): KnownServer[] {
  const { state, environment } = step
  const others = environment.servers.filter(({ member }) => member !== state.designation?.member)
  const replaced = others.filter(({ member }) => state.formerPrimaries.has(member) && findFreshStatus(step, member)?.role !== 'replica')
  if (replaced.length !== state.formerPrimaries.size) state.formerPrimaries = new Set(replaced.map(({ member }) => member))
  return others.filter(server => server.role === 'primary' || replaced.includes(server))
}

function tickClosing (step: GroupStep): void {
  const { state, environment } = step
  if (environment.verdict === 'failed') return enterPhase(step, 'fenced', { planned: false })
  const timedOut = environment.now - state.phaseSince > CLOSING_TIMEOUT_MILLISECONDS
  if ((environment.assignmentConfirmed && !environment.busy) || timedOut) enterPhase(step, 'fenced')
}

function tickFenced (step: GroupStep): void {
  const { state, environment } = step
  if (!environment.assignmentConfirmed || environment.now < environment.earlierLeasesExpireAt) return
  enterPhase(step, 'choosing', { target: undefined })
  requestStatus(step, listMembersToAsk(step), state.planned ? CATCH_UP_INTERVAL_MILLISECONDS : STATUS_INTERVAL_MILLISECONDS)
}

function tickChoosing (step: GroupStep): void {
  const { state, environment } = step
  const candidates = listCandidates(step)
  if (isDrainedWithoutSuccessor(step, candidates)) return enterPhase(step, 'drained')
  const resumable = findRestartedPrimary(step) ?? findRecoveredPrimary(step, candidates)
  if (resumable !== undefined) return startServing(step, resumable)
  const best = chooseCandidate(step, candidates)
  const primaryStatus = findLeadingStatus(step)
  const behind = best !== undefined && (primaryStatus === undefined ? isPrimaryDrained(step) : comparePositions(best.status.received, primaryStatus.received) < 0)
  const hasTimedOut = environment.now - state.phaseSince >= CATCH_UP_TIMEOUT_MILLISECONDS
  const isDue = isDrainDue(step, findPrimary(step), DRAIN_RESERVE_MILLISECONDS)
  const lacksSuccessor = countSynchronousReplicas(step) > 0 ? best === undefined : isDrainedOnly(step) && (best === undefined || behind)
  if (lacksSuccessor && hasTimedOut && !isDue && state.planned && primaryStatus !== undefined) return resumePlanned(step, primaryStatus)
  // Two promotions that are under way may take effect in any order.
  const isBlocked = best !== undefined && isOtherPending(step, best.server.member)
  if (best === undefined || isBlocked || (state.planned && behind && !hasTimedOut)) {
    return requestStatus(step, listMembersToAsk(step), state.planned && !(isDue && hasTimedOut) ? CATCH_UP_INTERVAL_MILLISECONDS : STATUS_INTERVAL_MILLISECONDS)
  }
  const { member, bornAt } = best.server
  const leadsFrom = isLeading(step, best.status) ? best.status.term : Math.max(state.newestTerm + 1, computeLeadingTerm(state))
  enterPhase(step, 'designating', { target: member, targetBornAt: bornAt, leadsFrom })
  designateTarget(step)
}

/** Whether the primary is in a drained failure domain. It works, so its last commits are known only once it has answered. */
function isPrimaryDrained (step: GroupStep): boolean {
  const primary = findPrimary(step)
  return primary !== undefined && isDrained(step, primary)
}

/** Whether a working primary was closed for the drain of its failure domain, and no server outside can be promoted. */
function isDrainedWithoutSuccessor (step: GroupStep, candidates: readonly KnownServer[]): boolean {
  return step.state.planned && isPrimaryDrained(step) && candidates.length === 0
}

/** Waits for a successor, or for the end of the drain: then the primary is opened again. It is asked for nothing while it is drained. */
function tickDrained (step: GroupStep): void {
  const { environment } = step
  const primary = findPrimary(step)
  if (primary === undefined || environment.verdict === 'failed') return enterPhase(step, 'fenced', { planned: false })
  if (isDrained(step, primary)) {
    // The positions and the time limit of the choice count from now, when a successor has come.
    if (listCandidates(step).length > 0) enterPhase(step, 'choosing', { target: undefined })
    return
  }
  const status = findFreshStatus(step, primary.member)
  if (status !== undefined && isLeading(step, status)) return startServing(step, status)
  if (status !== undefined) return enterPhase(step, 'fenced', { planned: false })
  requestStatus(step, [primary.member], STATUS_INTERVAL_MILLISECONDS)
}

/** Opens a leaving or drained primary again that no successor has caught up with. */
function resumePlanned (step: GroupStep, status: ServerStatus): void {
  startServing(step, status)
  step.state.plannedRetryAt = step.environment.now + PLANNED_RETRY_MILLISECONDS
}

function tickDesignating (step: GroupStep): void {
  const { state, environment } = step
  // The log did not answer. Proposing the designation again shows whether the first proposal was applied.
  if (environment.now - state.orderedAt >= DESIGNATION_TIMEOUT_MILLISECONDS) designateTarget(step)
}

function designateTarget (step: GroupStep): void {
  const { state, environment } = step
  if (state.target === undefined) return
  state.orderedAt = environment.now
  step.effects.push({ kind: 'designate', member: state.target, after: state.designation?.number ?? 0, leadsFrom: state.leadsFrom })
}

function tickPromoting (step: GroupStep): void {
  const { state, environment } = step
  if (state.target === undefined || environment.now - state.orderedAt < PROMOTION_RETRY_MILLISECONDS) return
  // A server that runs anew may have lost its log.
  if (hasTargetRestarted(step)) return enterPhase(step, 'choosing', { target: undefined, planned: false })
  state.orderedAt = environment.now
  recordCall(step, state.target)
  step.effects.push({ kind: 'promote', member: state.target })
}

function hasTargetRestarted ({ state, environment }: GroupStep): boolean {
  const server = environment.servers.find(({ member }) => member === state.target)
  return server !== undefined && server.bornAt !== state.targetBornAt
}

function tickAwaiting (step: GroupStep): void {
  const { state, environment } = step
  if (state.target === undefined) return enterPhase(step, 'fenced')
  const status = findFreshStatus(step, state.target)
  if (status !== undefined && isLeading(step, status)) return startServing(step, status)
  const timeout = status?.role === 'primary' ? UNCHANGED_TIMEOUT_MILLISECONDS : AWAITING_TIMEOUT_MILLISECONDS
  if (environment.now - state.phaseSince > timeout) return excludeTarget(step, state.target)
  requestStatus(step, [state.target], STATUS_INTERVAL_MILLISECONDS / 3)
}

/** Excludes a target that can't be promoted, and chooses another one. */
function excludeTarget (step: GroupStep, member: string): void {
  const { state, environment } = step
  enterPhase(step, 'choosing', { target: undefined, planned: false, excludedUntil: new Map(state.excludedUntil).set(member, environment.now + EXCLUSION_MILLISECONDS) })
}

const TICK_HANDLERS: Record<GroupPhase, (step: GroupStep) => void> = {
  unverified: tickUnverified,
  serving: tickServing,
  closing: tickClosing,
  fenced: tickFenced,
  drained: tickDrained,
  choosing: tickChoosing,
  designating: tickDesignating,
  promoting: tickPromoting,
  awaiting: tickAwaiting
}

function handleDesignated (step: GroupStep, { designation, accepted }: Extract<GroupEvent, { kind: 'designated' }>): void {
  const { state } = step
  if (designation === undefined) return
  if (!accepted || state.phase !== 'designating') return adoptDesignation(step, designation)
  const previousMember = state.designation?.member
  enterPhase(step, 'promoting', { designation, formerPrimaries: new Set([...state.formerPrimaries, ...(previousMember === undefined ? [] : [previousMember])]) })
  beginOrder(step, designation.member)
  tickPromoting(step)
}

/** Takes over a designation that this leader has not ordered a promotion for. */
function adoptDesignation (step: GroupStep, designation: Designation): void {
  const { state, environment } = step
  const { newestTerm, orders } = inheritOrders(designation, environment.now)
  enterPhase(step, 'unverified', { designation, newestTerm: Math.max(state.newestTerm, newestTerm), orders: new Map([...orders, ...state.orders]) })
}

const PROMOTION_HANDLERS: Record<PromotionOutcome, (step: GroupStep, member: string) => void> = {
  done: step => { enterPhase(step, 'awaiting') },
  refused: excludeTarget,
  // The next attempt follows after PROMOTION_RETRY_MILLISECONDS.
  unknown: () => {},
  'not sent': () => {}
}

type EventHandlers = { [Kind in GroupEvent['kind']]: (step: GroupStep, event: Extract<GroupEvent, { kind: Kind }>) => void }

const EVENT_HANDLERS: EventHandlers = {
  tick: step => {
    recordCopies(step)
    TICK_HANDLERS[step.state.phase](step)
  },
  status: (step, { member, status, askedAt }) => {
    noteSeenPosition(step, member, status)
    noteNewestTerm(step, status)
    step.state.statuses = new Map(step.state.statuses).set(member, { status, at: askedAt ?? step.environment.now })
    settleOrders(step)
    TICK_HANDLERS[step.state.phase](step)
  },
  designated: handleDesignated,
  promoted: (step, { member, outcome }) => {
    recordOutcome(step, member, outcome)
    if (step.state.phase === 'promoting' && step.state.target === member) PROMOTION_HANDLERS[outcome](step, member)
  }
}

/** Handles an event, and returns the next state and the effects that the process has to carry out. */
export function stepGroupControl (previous: GroupControlState, event: GroupEvent, environment: GroupEnvironment): { state: GroupControlState, effects: GroupEffect[] } {
  const step: GroupStep = { state: { ...previous }, effects: [], environment }
  const handle = EVENT_HANDLERS[event.kind] as (step: GroupStep, event: GroupEvent) => void
  handle(step, event)
  return { state: step.state, effects: step.effects }
}
