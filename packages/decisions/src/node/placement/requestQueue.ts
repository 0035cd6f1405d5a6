/**
 * The queue of requests that wait for a connection of one group.
 *
 * Load patterns:
 * - A burst makes requests wait. The most urgent priority goes first, then what
 *   can still be answered in its objective, then the one whose time ends first.
 * - More arrives than can be served, for longer than a burst. Were all of it
 *   served in turn, all of it would be late; so what can't be answered in its
 *   objective is refused at once, and the rest is on time.
 * - A primary that is being replaced serves nobody for a known time. What ends
 *   before that is refused at once, so that its caller can ask elsewhere.
 */

export interface QueuedRequest {
  priority: number
  /** When its answer is late; it is still worth something. */
  objective: number
  /** When its time is over. */
  deadline: number
  /** When it began to wait. */
  queuedAt: number
}

/** Order in which entries are served: below zero, `left` comes first. */
export function compareRequests (left: QueuedRequest, right: QueuedRequest, now: number): number {
  if (left.priority !== right.priority) return left.priority - right.priority
  const overdue = Number(left.objective <= now) - Number(right.objective <= now)
  return overdue === 0 ? left.deadline - right.deadline : overdue
}

export interface QueuePressure {
  /** Since when requests have waited without a break though they could be served; undefined: none waits. */
  waitingSince?: number
  /** The queue counts as overloaded until then. */
  overloadedUntil: number
}

export const NO_PRESSURE: QueuePressure = { overloadedUntil: -Infinity }

/** Time for which a queue that does not empty counts as a burst, in milliseconds: some objectives long. */
const MAXIMUM_BURST_MILLISECONDS = 500
/** Time without a refusal after which an overload is over, in milliseconds: callers that were refused have come back by then. */
const OVERLOAD_RECOVERY_MILLISECONDS = 1_000

export function isOverloaded ({ overloadedUntil }: QueuePressure, now: number): boolean {
  return now < overloadedUntil
}

/** Takes how many wait now, and whether they could be served. */
export function recordWaiting (pressure: QueuePressure, waiting: number, servable: boolean, now: number): QueuePressure {
  if (waiting === 0 || !servable) return { ...pressure, waitingSince: undefined }
  const waitingSince = pressure.waitingSince ?? now
  const exceedsBurst = now - waitingSince > MAXIMUM_BURST_MILLISECONDS
  return { waitingSince, overloadedUntil: exceedsBurst ? now + OVERLOAD_RECOVERY_MILLISECONDS : pressure.overloadedUntil }
}

/** Takes that a request was refused for want of time: what was overloaded still is. */
export function recordTimeRefusal (pressure: QueuePressure, now: number): QueuePressure {
  return isOverloaded(pressure, now) ? { ...pressure, overloadedUntil: now + OVERLOAD_RECOVERY_MILLISECONDS } : pressure
}

/** Part of its objective that an entry may wait under overload; the rest is for the server, and for another try elsewhere. From the comparison in docs/design/load.md. */
const OVERLOADED_WAIT_FRACTION = 0.3

/** Until when an entry may wait. */
export function computeWaitDeadline ({ objective, deadline, queuedAt }: QueuedRequest, overloaded: boolean): number {
  return overloaded ? Math.min(queuedAt + (objective - queuedAt) * OVERLOADED_WAIT_FRACTION, deadline) : deadline
}

export interface QueueLoad {
  /** Entries that would be served before this one. */
  ahead: number
  /** Statements a second that the connections can carry; 0: not known. */
  servedPerSecond: number
  /** Earliest time at which anything can be served. */
  servedFrom: number
  overloaded: boolean
}

/** Requests that may wait while nobody can serve any: a second's worth at one instance. */
const MAXIMUM_REQUESTS_AHEAD = 64

/** Whether an entry that joins the queue now can be expected to be served in its time. */
export function canServeInTime (request: QueuedRequest, { ahead, servedPerSecond, servedFrom, overloaded }: QueueLoad, now: number): boolean {
  const waitDeadline = computeWaitDeadline(request, overloaded)
  if (servedFrom >= waitDeadline) return false
  if (servedPerSecond <= 0) return ahead < MAXIMUM_REQUESTS_AHEAD
  return Math.max(now, servedFrom) + ahead / servedPerSecond * 1000 < waitDeadline
}
