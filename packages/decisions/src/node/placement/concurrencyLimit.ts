/**
 * How many statements one instance may have outstanding at one server, by how
 * long the server's answers take beside its fastest ones.
 *
 * Load pattern: many instances share the few slots of one server, and more
 * arrives than it can run, as when the replicas of a group fall behind and its
 * primary answers all reads. Without a limit the server's own queue fills: what
 * is urgent waits behind what is not, answers come after their deadline, and the
 * server refuses the rest. With it work waits in the instances, which know its
 * priority and its time.
 */

export interface ConcurrencyLimit {
  /** Statements that may be outstanding; fractions add up to the next whole one. */
  limit: number
  /** Moving average of the time of an answer, in milliseconds. */
  averageMilliseconds: number
  /** Least average lately, in milliseconds: what an answer takes without a queue. */
  baselineMilliseconds: number
  answeredAt: number
  decreasedAt: number
}

/** What a limit may be: between enough to keep every slot busy and the connections that there are. */
export interface ConcurrencyBounds {
  minimum: number
  maximum: number
}

/** Weight of a new time in the average: some ten answers. */
const AVERAGE_WEIGHT = 0.1
/** Factor over the fastest answers above which the server's queue is too long: as many wait in it as run. */
const CONGESTION_FACTOR = 2.5
/** Part of the limit that is kept when the queue is too long. */
const CONGESTION_DECREASE_FACTOR = 0.8
/** Part of the limit that is kept when the server refuses work. */
const REFUSAL_DECREASE_FACTOR = 0.5
/** Pause between two reductions, in milliseconds: until answers show what the last one did. */
const DECREASE_PAUSE_MILLISECONDS = 100
/** Time in which the fastest average is forgotten, in milliseconds: a server that became slower for good. */
const BASELINE_RISE_MILLISECONDS = 20_000

export function createConcurrencyLimit (averageMilliseconds: number, now: number): ConcurrencyLimit {
  return { limit: Infinity, averageMilliseconds, baselineMilliseconds: averageMilliseconds, answeredAt: now, decreasedAt: -Infinity }
}

/** Statements that may be outstanding now. */
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

/** Takes the time of an answer. */
export function recordAnswer (previous: ConcurrencyLimit, milliseconds: number, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  const state = updateAverage(previous, milliseconds, now)
  if (state.averageMilliseconds > state.baselineMilliseconds * CONGESTION_FACTOR) return decreaseLimit(state, CONGESTION_DECREASE_FACTOR, bounds, now)
  const limit = Math.min(bounds.maximum, state.limit)
  return { ...state, limit: Math.min(bounds.maximum, limit + 1 / limit) }
}

/** Takes the word of the server that it has no room; that says nothing of how long an answer takes. */
export function recordRefusal (state: ConcurrencyLimit, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  return decreaseLimit(state, REFUSAL_DECREASE_FACTOR, bounds, now)
}
