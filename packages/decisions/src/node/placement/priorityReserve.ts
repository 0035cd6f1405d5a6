/**
 * Reserves a part of the statements that may be outstanding at a server for the most
 * urgent priority in use, and one for the least urgent priority.
 *
 * Load patterns:
 * - A burst of less urgent statements fills all slots and connections of a server.
 *   Urgent statements of a few milliseconds then wait behind long ones.
 * - A burst of urgent statements takes each place that becomes free. Without a place of
 *   their own, the least urgent statements would wait until the burst has ended.
 */

import type { QueuedRequest } from './requestQueue.js'

/** Fraction of the allowed statements that is open to the most urgent priority only. */
const RESERVED_FRACTION = 0.25

/** Number of statements, out of those allowed, that are reserved for the most urgent priority: at least one. */
export function countReserved (allowed: number): number {
  return Math.max(1, Math.floor(allowed * RESERVED_FRACTION))
}

/** The range of priorities in use; smaller numbers are more urgent. */
export interface PriorityRange {
  mostUrgent: number
  leastUrgent: number
}

/** Time after its last request for which a priority counts as in use, in milliseconds. */
const PRIORITY_USE_MILLISECONDS = 5_000

/** Returns the range of the priorities in use, given when each was last requested; undefined if there is one only, as nothing is reserved then. */
export function findPriorityRange (requestedAt: ReadonlyMap<number, number>, now: number): PriorityRange | undefined {
  const inUse = [...requestedAt].filter(([, at]) => now - at < PRIORITY_USE_MILLISECONDS).map(([priority]) => priority)
  const mostUrgent = Math.min(...inUse)
  const leastUrgent = Math.max(...inUse)
  return mostUrgent < leastUrgent ? { mostUrgent, leastUrgent } : undefined
}

export interface PriorityUse {
  /** Statements that may be outstanding by the concurrency limit. */
  allowed: number
  /** Connections that this instance may have to the server. */
  maximum: number
  priority: number
  priorities: PriorityRange
  /** Whether the least urgent priority has waited long without a statement outstanding, see `isStarved`. */
  leastUrgentStarved: boolean
}

/** Statements that are allowed at least where priorities differ: an urgent one may be sent to a server that runs a less urgent one. */
export const LEAST_ALLOWED_WITH_PRIORITIES = 2

/** Number of statements that may be outstanding, of all priorities. */
function computeTotal (allowed: number, maximum: number): number {
  return Math.min(maximum, Math.max(LEAST_ALLOWED_WITH_PRIORITIES, allowed))
}

/**
 * Returns how many statements may be outstanding in total for one more of the given
 * priority to be sent.
 */
export function computePriorityLimit ({ allowed, maximum, priority, priorities, leastUrgentStarved }: PriorityUse): number {
  const total = computeTotal(allowed, maximum)
  if (priority === priorities.leastUrgent && leastUrgentStarved) return total
  if (priority !== priorities.mostUrgent) return Math.max(1, Math.min(allowed, total - countReserved(total)))
  return leastUrgentStarved ? Math.max(1, total - 1) : total
}

/** Fraction of its objective for which the least urgent priority may wait without a place. */
const STARVED_FRACTION = 0.2

/** Whether the least urgent priority must be given the next place: it has no statement outstanding at any server, and its first request has waited long. */
export function isStarved (leastUrgentOutstanding: number, firstWaiting: Pick<QueuedRequest, 'queuedAt' | 'objective'> | undefined, now: number): boolean {
  if (firstWaiting === undefined || leastUrgentOutstanding > 0) return false
  return now - firstWaiting.queuedAt >= (firstWaiting.objective - firstWaiting.queuedAt) * STARVED_FRACTION
}

/**
 * Whether a statement of the given priority may take one more connection, of those that
 * this instance may have to the server; `acquired` are in use, also by transactions that
 * wait for their next statement.
 */
export function mayAcquireConnection (acquired: number, { maximum, priority, priorities, leastUrgentStarved }: Omit<PriorityUse, 'allowed'>): boolean {
  if (priority === priorities.mostUrgent || acquired === 0) return true
  if (priority === priorities.leastUrgent && leastUrgentStarved) return true
  return acquired < maximum - countReserved(maximum)
}

/** Returns the share of the reserve that is in use, from 0 to 1. */
export function computeReservedUse (allowed: number, maximum: number, outstanding: number): number {
  const total = computeTotal(allowed, maximum)
  const reserved = countReserved(total)
  return Math.min(1, Math.max(0, outstanding - (total - reserved)) / reserved)
}
