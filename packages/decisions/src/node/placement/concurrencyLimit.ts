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
  fastestMilliseconds: number
  answeredAt: number
  loweredAt: number
}

/** What a limit may be: between enough to keep every slot busy and the connections that there are. */
export interface ConcurrencyBounds {
  least: number
  most: number
}

/** Weight of a new time in the average: some ten answers. */
const AVERAGE_WEIGHT = 0.1
/** Factor over the fastest answers above which the server's queue is too long: as many wait in it as run. */
const CONGESTED_FACTOR = 2.5
/** Part of the limit that is kept when the queue is too long. */
const CONGESTED_PART = 0.8
/** Part of the limit that is kept when the server refuses work. */
const REFUSED_PART = 0.5
/** Pause between two reductions, in milliseconds: until answers show what the last one did. */
const LOWER_PAUSE_MILLISECONDS = 100
/** Time in which the fastest average is forgotten, in milliseconds: a server that became slower for good. */
const FORGET_MILLISECONDS = 20_000

export function openConcurrencyLimit (averageMilliseconds: number, now: number): ConcurrencyLimit {
  return { limit: Infinity, averageMilliseconds, fastestMilliseconds: averageMilliseconds, answeredAt: now, loweredAt: -Infinity }
}

/** Statements that may be outstanding now. */
export function allowedStatements ({ limit }: ConcurrencyLimit, { least, most }: ConcurrencyBounds): number {
  return Math.max(least, Math.min(most, Math.floor(limit)))
}

function lower (state: ConcurrencyLimit, part: number, { least, most }: ConcurrencyBounds, now: number): ConcurrencyLimit {
  if (now - state.loweredAt < LOWER_PAUSE_MILLISECONDS) return state
  return { ...state, limit: Math.max(least, Math.min(most, state.limit) * part), loweredAt: now }
}

function learn (state: ConcurrencyLimit, milliseconds: number, now: number): ConcurrencyLimit {
  const averageMilliseconds = state.averageMilliseconds + (milliseconds - state.averageMilliseconds) * AVERAGE_WEIGHT
  const risen = state.fastestMilliseconds * (1 + (now - state.answeredAt) / FORGET_MILLISECONDS)
  return { ...state, averageMilliseconds, fastestMilliseconds: Math.min(risen, averageMilliseconds), answeredAt: now }
}

/** Takes the time of an answer. */
export function recordAnswer (before: ConcurrencyLimit, milliseconds: number, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  const state = learn(before, milliseconds, now)
  if (state.averageMilliseconds > state.fastestMilliseconds * CONGESTED_FACTOR) return lower(state, CONGESTED_PART, bounds, now)
  const limit = Math.min(bounds.most, state.limit)
  return { ...state, limit: Math.min(bounds.most, limit + 1 / limit) }
}

/** Takes the word of the server that it has no room; that says nothing of how long an answer takes. */
export function recordRefusal (state: ConcurrencyLimit, bounds: ConcurrencyBounds, now: number): ConcurrencyLimit {
  return lower(state, REFUSED_PART, bounds, now)
}
