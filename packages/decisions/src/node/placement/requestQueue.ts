/**
 * The queue of requests that wait for a connection of one group.
 *
 * Load patterns: a burst, or a primary that is being replaced, makes requests
 * wait. The most urgent priority goes first, among equals the one whose time
 * ends first. One that can't be served in its time is refused at once, so that
 * its caller can ask elsewhere while there is time left.
 */

export interface QueuedRequest {
  priority: number
  /** When its time is over. */
  deadline: number
  /** When it began to wait. */
  since: number
}

/** Order in which entries are served: below zero, `left` comes first. */
export function compareEntries (left: QueuedRequest, right: QueuedRequest): number {
  return left.priority !== right.priority ? left.priority - right.priority : left.deadline - right.deadline
}

export interface QueueLoad {
  /** Entries that would be served before this one. */
  ahead: number
  /** Statements a second that the connections can carry; 0: not known. */
  servedPerSecond: number
  /** Earliest time at which anything can be served. */
  servedFrom: number
}

/** Requests that may wait while nobody can serve any: a second's worth at one instance. */
const MAXIMUM_AHEAD = 64

/** Whether an entry that joins the queue now can be expected to be served in its time. */
export function canServeInTime ({ deadline }: QueuedRequest, { ahead, servedPerSecond, servedFrom }: QueueLoad, now: number): boolean {
  if (servedFrom >= deadline) return false
  if (servedPerSecond <= 0) return ahead < MAXIMUM_AHEAD
  return Math.max(now, servedFrom) + ahead / servedPerSecond * 1000 < deadline
}
