/**
 * Order and admission of the requests that wait for a connection of one group.
 *
 * Load patterns:
 * - A burst makes requests wait. The most urgent priority is served first, then
 *   requests that can still meet their objective, then the earliest deadline.
 * - More requests arrive than can be served, for longer than a burst. If all were
 *   served in turn, all would be late. So requests that can't meet their objective
 *   are refused immediately, and the others are answered in time.
 * - A primary that is being replaced serves no requests for a known time. Requests
 *   whose deadline is earlier are refused immediately, so that their callers can try
 *   elsewhere.
 */

export interface QueuedRequest {
  priority: number
  /** Time after which an answer is late, but still useful. */
  objective: number
  /** Time after which an answer is useless. */
  deadline: number
  /** When the request joined the queue. */
  queuedAt: number
}

/** Compares two requests by the order in which they are served; negative if `left` comes first. */
export function compareRequests (left: QueuedRequest, right: QueuedRequest, now: number): number {
  if (left.priority !== right.priority) return left.priority - right.priority
  const overdue = Number(left.objective <= now) - Number(right.objective <= now)
  return overdue === 0 ? left.deadline - right.deadline : overdue
}

export interface QueuePressure {
  /** Since when requests have been waiting without interruption although they could be served; undefined if none waits. */
  waitingSince?: number
  /** Until when the queue counts as overloaded. */
  overloadedUntil: number
}

export const NO_PRESSURE: QueuePressure = { overloadedUntil: -Infinity }

/** How long a queue that does not empty counts as a burst, in milliseconds: a few objectives. */
const MAXIMUM_BURST_MILLISECONDS = 500
/** How long an overload lasts after the last refusal, in milliseconds: refused callers have returned by then. */
const OVERLOAD_RECOVERY_MILLISECONDS = 1_000

export function isOverloaded ({ overloadedUntil }: QueuePressure, now: number): boolean {
  return now < overloadedUntil
}

/** Records how many requests wait now, and whether they could be served. */
export function recordWaiting (pressure: QueuePressure, waiting: number, servable: boolean, now: number): QueuePressure {
  if (waiting === 0 || !servable) return { ...pressure, waitingSince: undefined }
  const waitingSince = pressure.waitingSince ?? now
  const exceedsBurst = now - waitingSince > MAXIMUM_BURST_MILLISECONDS
  return { waitingSince, overloadedUntil: exceedsBurst ? now + OVERLOAD_RECOVERY_MILLISECONDS : pressure.overloadedUntil }
}

/** Records that a request was refused because it could not be served in time; this extends an overload. */
export function recordTimeRefusal (pressure: QueuePressure, now: number): QueuePressure {
  return isOverloaded(pressure, now) ? { ...pressure, overloadedUntil: now + OVERLOAD_RECOVERY_MILLISECONDS } : pressure
}

/** Fraction of its objective that a request may wait under overload; the rest is for the server, and for a retry elsewhere. */
const OVERLOADED_WAIT_FRACTION = 0.3

/** Time until which a request may wait. */
export function computeWaitDeadline ({ objective, deadline, queuedAt }: QueuedRequest, overloaded: boolean): number {
  return overloaded ? Math.min(queuedAt + (objective - queuedAt) * OVERLOADED_WAIT_FRACTION, deadline) : deadline
}

export interface QueueLoad {
  /** Number of requests that would be served before this one. */
  ahead: number
  /** Statements per second that the connections can carry; 0 if unknown. */
  servedPerSecond: number
  /** Earliest time at which any request can be served. */
  servedFrom: number
  overloaded: boolean
}

/** Number of requests that may wait while no server is known to take any: one second of load at one instance. */
const MAXIMUM_REQUESTS_AHEAD = 64

/** Whether a request that joins the queue now is expected to be served in time. */
export function canServeInTime (request: QueuedRequest, { ahead, servedPerSecond, servedFrom, overloaded }: QueueLoad, now: number): boolean {
  const waitDeadline = computeWaitDeadline(request, overloaded)
  if (servedFrom >= waitDeadline) return false
  if (servedPerSecond <= 0) return ahead < MAXIMUM_REQUESTS_AHEAD
  return Math.max(now, servedFrom) + ahead / servedPerSecond * 1000 < waitDeadline
}

/** Returns the time until the queue is expected to take a request, in milliseconds; infinite if that is not known. */
export function estimateQueueWait ({ ahead, servedPerSecond, servedFrom }: Omit<QueueLoad, 'overloaded'>, now: number): number {
  const untilServed = Math.max(0, servedFrom - now)
  if (ahead === 0) return untilServed
  return servedPerSecond <= 0 ? Infinity : untilServed + ahead / servedPerSecond * 1000
}

/**
 * Whether a request that joins the queue now can meet its objective, or nothing more
 * urgent waits.
 *
 * Load pattern: a burst in which urgent requests wait. A less urgent one that would be
 * late in any case takes capacity from requests that can still be answered in time.
 */
export function canMeetObjectiveBehindUrgent ({ priority, objective }: QueuedRequest, waiting: ReadonlyArray<Pick<QueuedRequest, 'priority'>>, waitMilliseconds: number, now: number): boolean {
  if (now + waitMilliseconds < objective) return true
  return !waiting.some(other => other.priority < priority)
}

/** Waiting requests that each account may have in any case, so that a short burst of a small account is not refused. */
const MINIMUM_WAITING_OF_ACCOUNT = 4

export interface AccountShare {
  /** Requests of the account that wait with the same priority. */
  waiting: number
  /** Weight of the account, and of all accounts that have requests of this priority waiting, itself included. */
  weight: number
  totalWeight: number
}

/**
 * Whether one more waiting request of an account exceeds its fair share of the queue.
 * The queue holds as many requests as can be served within the request's objective; the
 * accounts that wait with the same priority share it by their weights.
 *
 * Load pattern: an account sends many times its usual load. Without a bound its requests
 * fill the queue, and those of all other accounts are late.
 */
export function isExcessOfAccount ({ waiting, weight, totalWeight }: AccountShare, servedPerSecond: number, objectiveMilliseconds: number): boolean {
  if (waiting < MINIMUM_WAITING_OF_ACCOUNT || weight >= totalWeight) return false
  const places = servedPerSecond * Math.max(0, objectiveMilliseconds) / 1000
  return waiting >= places * weight / totalWeight
}
