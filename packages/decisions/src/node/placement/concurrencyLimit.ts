/**
 * Adaptive limit on the statements that one instance has outstanding at one server.
 * The limit follows the server's answer time relative to its fastest answers.
 *
 * Load pattern: many instances share the few slots of one server, and more
 * statements arrive than it can run, for instance when the replicas of a group fall
 * behind and its primary answers all reads. Without a limit the server's own queue
 * fills: urgent statements wait behind others, answers miss their deadlines, and the
 * server refuses the rest. With a limit, statements wait in the instances, which
 * know their priorities and deadlines.
 */

export interface ConcurrencyLimit {
  /** Statements that may be outstanding; grows by fractions, and is rounded down when applied. */
  limit: number
  /** Moving average of the answer time, in milliseconds. */
  averageMilliseconds: number
  /** Lowest recent average, in milliseconds: the answer time without queueing. */
  baselineMilliseconds: number
  answeredAt: number
  decreasedAt: number
}

/** Range of a limit: from enough to keep every slot busy to the number of connections. */
export interface ConcurrencyBounds {
  minimum: number
  maximum: number
}

/** Weight of a new answer time in the average, which so covers about ten answers. */
const AVERAGE_WEIGHT = 0.1
/** Ratio of average to baseline above which the server counts as congested: at least as many statements wait in its queue as run. */
const CONGESTION_FACTOR = 2.5
/** Factor applied to the limit when the server is congested. */
const CONGESTION_DECREASE_FACTOR = 0.8
/** Factor applied to the limit when the server refuses a statement. */
const REFUSAL_DECREASE_FACTOR = 0.5
/** Minimum time between two decreases, in milliseconds: until answers show the effect of the last one. */
const DECREASE_PAUSE_MILLISECONDS = 100
/** Time in which the baseline rises by its own value, in milliseconds, so that it adapts to a server that has become permanently slower. */
const BASELINE_RISE_MILLISECONDS = 20_000

export function createConcurrencyLimit (averageMilliseconds: number, now: number): ConcurrencyLimit {
  return { limit: Infinity, averageMilliseconds, baselineMilliseconds: averageMilliseconds, answeredAt: now, decreasedAt: -Infinity }
}

/** Number of statements that may be outstanding now. */
export function computeAllowedStatements ({ limit }: ConcurrencyLimit, { minimum, maximum }: ConcurrencyBounds): number {
  return Math.max(minimum, Math.min(maximum, Math.floor(limit)))
}

function decreaseLimit (state: ConcurrencyLimit, factor: number, { minimum, maximum }: ConcurrencyBounds, now: number): ConcurrencyLimit {
  if (now - state.decreasedAt < DECREASE_PAUSE_MILLISECONDS) return state
  return { ...state, limit: Math.max(minimum, Math.min(maximum, state.limit) * factor), decreasedAt: now }
}

function updateAverage (state: ConcurrencyLimit, milliseconds: number, now: number): ConcurrencyLimit {
  const averageMilliseconds = state.averageMilliseconds + (milliseconds - state.averageMilliseconds) * AVERAGE_WEIGHT
  const raisedBaseline = state.baselineMilliseconds * (1 + (now - state.answeredAt) / BASELINE_RISE_MILLISECONDS)
  return { ...state, averageMilliseconds, baselineMilliseconds: Math.min(raisedBaseline, averageMilliseconds), answeredAt: now }
}

/** Records an answer time: lowers the limit if the server is congested, otherwise raises it by one statement for each full limit of answers. */
export function recordAnswer (previous: ConcurrencyLimit, milliseconds: number, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  const state = updateAverage(previous, milliseconds, now)
  if (state.averageMilliseconds > state.baselineMilliseconds * CONGESTION_FACTOR) return decreaseLimit(state, CONGESTION_DECREASE_FACTOR, bounds, now)
  const limit = Math.min(bounds.maximum, state.limit)
  return { ...state, limit: Math.min(bounds.maximum, limit + 1 / limit) }
}

/** Lowers the limit because the server refused a statement. The refusal does not count as an answer time. */
export function recordRefusal (state: ConcurrencyLimit, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  return decreaseLimit(state, REFUSAL_DECREASE_FACTOR, bounds, now)
}
