/**
 * How control keeps one primary for a group, as a reducer: it takes the primary
 * out of use at every entry instance, waits until each has confirmed that or
 * has lost its lease, and only then has another server promoted. Nothing is
 * promoted while an entry instance may still use the old primary.
 */

import { comparePositions } from '../session/position.js'
import { LEASE_MILLISECONDS } from './messages.js'
import { bestChoice, candidatesOf, freshStatus, hasRecovered, hasReturned, isCovered, membersToAsk, primaryOf } from './successor.js'
import type { GroupBelief, GroupControl, GroupEffect, GroupEvent, GroupPhase, GroupStep, GroupSurroundings, PrimaryUse, PromotionOutcome, ServerStatus } from './groupTypes.js'
import type { Designation } from './state.js'

/** Pause between two questions for a server's state, in milliseconds: a third of the time that a promotion takes at best. */
const ASK_MILLISECONDS = 150
/** The same while only the last commits of a planned replacement are missing. */
const CATCH_UP_MILLISECONDS = 25
/** Time that running transactions have to end at a primary that is replaced, in milliseconds. */
const CLOSING_MILLISECONDS = 700
/** Part of the drain time in which a primary without a successor is taken out of use, in milliseconds: its transactions end, and an instance that hears nothing loses its lease. */
const CLOSE_AHEAD_MILLISECONDS = CLOSING_MILLISECONDS + LEASE_MILLISECONDS
/** Time that a successor has to receive the last commits of a planned replacement, in milliseconds. */
const HANDOVER_MILLISECONDS = 1_000
/** Time after which the call for a promotion is made again, in milliseconds. */
const PROMOTE_AGAIN_MILLISECONDS = 400
/** Time that a promoted server has to lead before another is chosen, in milliseconds: several times a promotion's usual length. */
const AWAIT_MILLISECONDS = 4_000
/** How long a server that could not be promoted is passed over, in milliseconds. */
const PASS_OVER_MILLISECONDS = 2_000
/** How long a replaced primary is told to step down, in milliseconds. */
const RETIRE_MILLISECONDS = 60_000
/** Pause between two such orders, in milliseconds. */
const RETIRE_AGAIN_MILLISECONDS = 500

export function openGroupControl (group: string, designation: Designation | undefined, now: number): GroupControl {
  return { group, phase: 'unverified', since: now, designation, term: 0, planned: false, statuses: new Map(), askedAt: -Infinity, orderedAt: -Infinity, passedOver: new Map(), retiredAskedAt: -Infinity }
}

const USES: Record<GroupPhase, PrimaryUse> = {
  unverified: 'closed', serving: 'open', closing: 'closing', fenced: 'closed', choosing: 'closed', designating: 'closed', promoting: 'closed', awaiting: 'closed'
}

export function beliefOf ({ group, designation, phase, term }: GroupControl): GroupBelief {
  return { group, designation: designation?.number ?? 0, member: designation?.member, use: USES[phase], term }
}

function enter (step: GroupStep, phase: GroupPhase, change: Partial<GroupControl> = {}): void {
  const { state, around } = step
  const before = beliefOf(state)
  Object.assign(state, { phase, since: around.now, askedAt: -Infinity, orderedAt: -Infinity, ...change })
  const after = beliefOf(state)
  const told = before.use !== after.use || before.designation !== after.designation || before.term !== after.term
  if (told) step.effects.push({ kind: 'publish' })
}

function ask (step: GroupStep, members: readonly string[], pause: number): void {
  const { state, around } = step
  if (around.now - state.askedAt < pause) return
  state.askedAt = around.now
  for (const member of members) step.effects.push({ kind: 'ask status', member })
}

function serve (step: GroupStep, status: ServerStatus): void {
  const primary = primaryOf(step)
  enter(step, 'serving', { term: status.term, bornAt: primary?.bornAt, leavingSince: undefined, target: undefined, planned: false, passedOver: new Map() })
}

function tickUnverified (step: GroupStep): void {
  const { state, around } = step
  if (state.designation === undefined) {
    const first = around.servers.find(({ role }) => role === 'primary')
    if (first === undefined || around.now - state.orderedAt < PROMOTE_AGAIN_MILLISECONDS) return
    state.orderedAt = around.now
    step.effects.push({ kind: 'designate', member: first.member, after: 0 })
    return
  }
  const status = freshStatus(step, state.designation.member)
  if (status?.role === 'primary') return serve(step, status)
  if (status?.role === 'replica' || around.verdict === 'failed') return enter(step, 'fenced')
  const primary = primaryOf(step)
  // Nobody has announced the primary for as long as a server waits between announcements.
  if (primary === undefined && around.now - state.since > AWAIT_MILLISECONDS && candidatesOf(step).length > 0) return enter(step, 'fenced')
  ask(step, [state.designation.member], ASK_MILLISECONDS)
}

function tickServing (step: GroupStep): void {
  const { state, around } = step
  const primary = primaryOf(step)
  const reborn = primary !== undefined && primary.bornAt !== state.bornAt && primary.role === 'replica'
  const others = candidatesOf(step).length > 0
  if (around.verdict === 'failed' || reborn) return enter(step, 'fenced', { planned: false })
  const gone = primary === undefined && around.verdict !== 'reachable'
  if (gone && others) return enter(step, 'fenced', { planned: false })
  if (primary?.leaving === true && others) return enter(step, 'closing', { planned: true })
  state.leavingSince = primary?.leaving === true ? state.leavingSince ?? around.now : undefined
  if (outstaysDrain(step)) return enter(step, 'closing', { planned: false })
  retire(step)
}

/** Whether a primary that leaves without a successor has to be taken out of use, so that nothing reaches it after its drain time. */
function outstaysDrain ({ state, around }: GroupStep): boolean {
  return state.leavingSince !== undefined && around.now - state.leavingSince > around.drainMilliseconds - CLOSE_AHEAD_MILLISECONDS
}

/** Has the primary before step down, until it has. */
function retire (step: GroupStep): void {
  const { state, around } = step
  if (state.retired === undefined) return
  const { member, until } = state.retired
  const status = freshStatus(step, member)
  const present = around.servers.some(server => server.member === member)
  if (status?.role === 'replica' || around.now > until || !present) {
    state.retired = undefined
    return
  }
  if (around.now - state.retiredAskedAt < RETIRE_AGAIN_MILLISECONDS) return
  state.retiredAskedAt = around.now
  step.effects.push({ kind: 'step down', member, term: state.term })
}

function tickClosing (step: GroupStep): void {
  const { state, around } = step
  if (around.verdict === 'failed') return enter(step, 'fenced', { planned: false })
  const late = around.now - state.since > CLOSING_MILLISECONDS
  if ((around.confirmed && !around.busy) || late) enter(step, 'fenced')
}

function tickFenced (step: GroupStep): void {
  const { state, around } = step
  if (!around.confirmed || around.now < around.earlierLeasesOverAt) return
  enter(step, 'choosing', { target: undefined })
  ask(step, membersToAsk(step), state.planned ? CATCH_UP_MILLISECONDS : ASK_MILLISECONDS)
}

function tickChoosing (step: GroupStep): void {
  const { state, around } = step
  const candidates = candidatesOf(step)
  const returned = hasReturned(step) ?? hasRecovered(step, candidates)
  if (returned !== undefined) return serve(step, returned)
  const best = bestChoice(step, candidates)
  const old = state.designation === undefined ? undefined : freshStatus(step, state.designation.member)
  const behind = best !== undefined && old !== undefined && comparePositions(best.status.received, old.received) < 0
  const waits = state.planned && behind && around.now - state.since < HANDOVER_MILLISECONDS
  if (best === undefined || waits || !isCovered(step, candidates)) {
    return ask(step, membersToAsk(step), state.planned ? CATCH_UP_MILLISECONDS : ASK_MILLISECONDS)
  }
  enter(step, 'designating', { target: best.member })
  state.orderedAt = around.now
  step.effects.push({ kind: 'designate', member: best.member, after: state.designation?.number ?? 0 })
}

function tickDesignating (step: GroupStep): void {
  const { state, around } = step
  // The log did not answer: what became of the order shows when it is made again.
  if (around.now - state.orderedAt < AWAIT_MILLISECONDS || state.target === undefined) return
  state.orderedAt = around.now
  step.effects.push({ kind: 'designate', member: state.target, after: state.designation?.number ?? 0 })
}

function tickPromoting (step: GroupStep): void {
  const { state, around } = step
  if (state.target === undefined || around.now - state.orderedAt < PROMOTE_AGAIN_MILLISECONDS) return
  state.orderedAt = around.now
  step.effects.push({ kind: 'promote', member: state.target })
}

function tickAwaiting (step: GroupStep): void {
  const { state, around } = step
  if (state.target === undefined) return enter(step, 'fenced')
  const status = freshStatus(step, state.target)
  if (status?.role === 'primary') return serve(step, status)
  if (around.now - state.since > AWAIT_MILLISECONDS) return passOver(step, state.target)
  ask(step, [state.target], ASK_MILLISECONDS / 3)
}

/** The target can't take over: another is chosen. */
function passOver (step: GroupStep, member: string): void {
  const { state, around } = step
  enter(step, 'choosing', { target: undefined, planned: false, passedOver: new Map(state.passedOver).set(member, around.now + PASS_OVER_MILLISECONDS) })
}

const TICKS: Record<GroupPhase, (step: GroupStep) => void> = {
  unverified: tickUnverified,
  serving: tickServing,
  closing: tickClosing,
  fenced: tickFenced,
  choosing: tickChoosing,
  designating: tickDesignating,
  promoting: tickPromoting,
  awaiting: tickAwaiting
}

function receiveDesignated (step: GroupStep, { designation, accepted }: Extract<GroupEvent, { kind: 'designated' }>): void {
  const { state, around } = step
  if (designation === undefined) return
  if (!accepted) return enter(step, 'unverified', { designation })
  if (state.phase !== 'designating') return enter(step, 'unverified', { designation })
  const before = state.designation?.member
  const retired = before === undefined || before === designation.member ? state.retired : { member: before, until: around.now + RETIRE_MILLISECONDS }
  enter(step, 'promoting', { designation, retired })
  tickPromoting(step)
}

const OUTCOMES: Record<PromotionOutcome, (step: GroupStep, member: string) => void> = {
  done: step => { enter(step, 'awaiting') },
  refused: passOver,
  // The call is made again after a pause.
  unknown: () => {},
  'not sent': () => {}
}

type Receivers = { [Kind in GroupEvent['kind']]: (step: GroupStep, event: Extract<GroupEvent, { kind: Kind }>) => void }

const RECEIVERS: Receivers = {
  tick: step => { TICKS[step.state.phase](step) },
  status: (step, { member, status }) => {
    step.state.statuses = new Map(step.state.statuses).set(member, { status, at: step.around.now })
    TICKS[step.state.phase](step)
  },
  designated: receiveDesignated,
  promoted: (step, { member, outcome }) => {
    if (step.state.phase === 'promoting' && step.state.target === member) OUTCOMES[outcome](step, member)
  }
}

/** One step: the next state, and what the process is to do. */
export function stepGroupControl (before: GroupControl, event: GroupEvent, around: GroupSurroundings): { state: GroupControl, effects: GroupEffect[] } {
  const step: GroupStep = { state: { ...before }, effects: [], around }
  const receive = RECEIVERS[event.kind] as (step: GroupStep, event: GroupEvent) => void
  receive(step, event)
  return { state: step.state, effects: step.effects }
}
