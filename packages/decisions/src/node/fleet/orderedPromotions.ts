/**
 * Orders of promotions, and what is known of their outcome. The answer to an order only
 * says that it was accepted. It takes effect some hundred milliseconds later, or never,
 * and a lost answer says nothing. That it has taken effect shows in a newer term; until
 * then the former primary still reports that it is primary, in its old term.
 */

import type { GroupControlState, GroupStep, PromotionOutcome, ServerStatus } from './groupTypes.js'
import type { Designation, VerifiedTerm } from './state.js'

/** How long after a call that promotes a server it may still take effect, in milliseconds: several times the usual length of a promotion. */
export const PROMOTION_TIMEOUT_MILLISECONDS = 4_000

/** The calls that order the promotion of one server. */
export interface PromotionOrder {
  /** Newest term known when the order was given; the server leads in a newer one once the order has taken effect. */
  after: number
  /** Calls without an outcome so far. */
  calls: number
  /** Whether a call was accepted. */
  isAccepted: boolean
  /** Until when the order may take effect; -Infinity if no call can have been accepted. */
  until: number
  /** Until when a call with an unknown outcome may take effect, also after another one has; -Infinity if there is none. */
  unknownUntil: number
}

const NO_CALL = { calls: 0, isAccepted: false, until: -Infinity, unknownUntil: -Infinity }

export type PromotionOrders = ReadonlyMap<string, PromotionOrder>

/** The term that the log tells a new leader, and the order that the earlier leader may have given. */
export function inheritOrders (designation: Designation | undefined, now: number): Pick<GroupControlState, 'newestTerm' | 'orders'> {
  if (designation?.term !== undefined) return { newestTerm: designation.term, orders: new Map() }
  if (designation?.leadsFrom === undefined) return { newestTerm: 0, orders: new Map() }
  const after = designation.leadsFrom - 1
  return { newestTerm: after, orders: new Map([[designation.member, { ...NO_CALL, after, until: now + PROMOTION_TIMEOUT_MILLISECONDS }]]) }
}

/** Lowest term in which a server can lead the group. */
export function computeLeadingTerm ({ newestTerm, orders }: GroupControlState): number {
  return Math.max(newestTerm, ...[...orders.values()].map(({ after }) => after + 1))
}

function isPending ({ newestTerm }: GroupControlState, { after, calls, until, unknownUntil }: PromotionOrder, now: number): boolean {
  const hasTakenEffect = newestTerm > after
  return calls > 0 || now <= unknownUntil || (!hasTakenEffect && now <= until)
}

/** Whether the promotion of a server other than `member` may still take effect. */
export function isOtherPending ({ state, environment }: GroupStep, member: string | undefined): boolean {
  return [...state.orders].some(([target, order]) => target !== member && isPending(state, order, environment.now))
}

/** Whether any ordered promotion may still take effect. */
export function isAnyPending (step: GroupStep): boolean {
  return isOtherPending(step, undefined)
}

/** Whether a server with this status leads the group: no newer term is known or may have begun. A former primary reports its role until it learns of its successor. */
export function isLeading ({ state }: GroupStep, { role, term }: ServerStatus): boolean {
  return role === 'primary' && term >= computeLeadingTerm(state)
}

/** Notes that the promotion of a server is about to be ordered. Ordering the server that leads changes nothing. */
export function beginOrder (step: GroupStep, member: string): void {
  const { state } = step
  const status = state.statuses.get(member)?.status
  if (status !== undefined && isLeading(step, status)) return
  const earlier = state.orders.get(member) ?? NO_CALL
  state.orders = new Map(state.orders).set(member, { ...earlier, after: state.newestTerm })
}

/** Notes that a call is made. */
export function recordCall ({ state }: GroupStep, member: string): void {
  const order = state.orders.get(member)
  if (order !== undefined) state.orders = new Map(state.orders).set(member, { ...order, calls: order.calls + 1 })
}

/** Notes the outcome of a call. An order of which no call can have been accepted is dropped. */
export function recordOutcome ({ state, environment }: GroupStep, member: string, outcome: PromotionOutcome): void {
  const order = state.orders.get(member)
  if (order === undefined || order.calls === 0) return
  const until = environment.now + PROMOTION_TIMEOUT_MILLISECONDS
  const next = {
    ...order,
    calls: order.calls - 1,
    ...(outcome === 'done' ? { isAccepted: true, until } : {}),
    ...(outcome === 'unknown' ? { until, unknownUntil: until } : {})
  }
  const orders = new Map(state.orders).set(member, next)
  if (next.calls === 0 && next.until === -Infinity) orders.delete(member)
  state.orders = orders
}

/**
 * Drops orders that have taken effect or can no longer. After its time, an order had no
 * effect if its server says so: as a replica, or as the primary that it was before an
 * accepted order, which then changes nothing.
 */
export function settleOrders ({ state, environment }: GroupStep): void {
  if (state.orders.size === 0) return
  const over = [...state.orders].filter(([_member, order]) => !isPending(state, order, environment.now))
  const answerOf = (member: string, { until }: PromotionOrder): ServerStatus | undefined => {
    const latest = state.statuses.get(member)
    return latest !== undefined && latest.at > until ? latest.status : undefined
  }
  const isUnchangedPrimary = ([member, order]: [string, PromotionOrder]): boolean => {
    const status = answerOf(member, order)
    return order.isAccepted && status?.role === 'primary' && status.term === order.after && order.after === state.newestTerm
  }
  const isPrimaryUnchanged = over.some(isUnchangedPrimary)
  const settled = over.filter(([member, order]) => isPrimaryUnchanged || state.newestTerm > order.after || answerOf(member, order)?.role === 'replica')
  if (settled.length === 0) return
  const orders = new Map(state.orders)
  for (const [member] of settled) orders.delete(member)
  state.orders = orders
}

/** The term in which the open primary was verified; undefined while a call that promotes it may still take effect. */
export function findVerifiedTerm (state: GroupControlState, now: number): VerifiedTerm | undefined {
  const { group, phase, designation, term, orders } = state
  if (phase !== 'serving' || designation === undefined || [...orders.values()].some(order => isPending(state, order, now))) return undefined
  return { group, designation: designation.number, term }
}

/** Notes the newest term that any server has reported. */
export function noteNewestTerm ({ state }: GroupStep, { term }: ServerStatus): void {
  state.newestTerm = Math.max(state.newestTerm, term)
}
