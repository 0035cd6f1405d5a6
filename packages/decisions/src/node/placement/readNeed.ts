/** Determines the log position that a server must hold to answer a read, by the read policy of the route. */

import { oldestSampleWithin } from '../session/positionHistory.js'
import { comparePositions } from '../session/position.js'
import type { LogPosition } from '../session/position.js'
import type { PositionHistory } from '../session/positionHistory.js'
import type { ReadPolicy } from '../declaration/declaration.js'

/** Part of the maximum staleness that is reserved for the network and the server's queue, in milliseconds. */
const AGE_MARGIN_MILLISECONDS = 150

export type ReadRequirement =
  /** Only the primary, under a lease, can answer. */
  | { kind: 'primary' }
  /** Any server that holds this position can answer, the primary always. The primary had reached the position by `reachedAt`. */
  | { kind: 'position', position: LogPosition, reachedAt: number }

export interface ReadRequest {
  policy: ReadPolicy
  /** Maximum age of the data that the read may see, in milliseconds. */
  maximumStalenessMilliseconds?: number
  /** Log position of the session's last commit, and when the commit was acknowledged. */
  session?: { position: LogPosition, at: number }
  history: PositionHistory
  /** Log term of the current primary. */
  term: number
  now: number
}

/**
 * Resolves what a read requires of the server that answers it. A promotion may have
 * rolled back a session's position of an earlier term, so such a position can't be
 * required of a replica: the primary answers until the session has a position of
 * the current term.
 */
export function resolveReadRequirement ({ policy, maximumStalenessMilliseconds, session, history, term, now }: ReadRequest): ReadRequirement {
  if (policy === 'primary' || maximumStalenessMilliseconds === undefined) return { kind: 'primary' }
  const oldestAllowed = oldestSampleWithin(history, maximumStalenessMilliseconds - AGE_MARGIN_MILLISECONDS, now)
  if (oldestAllowed === undefined) return { kind: 'primary' }
  const bounded: ReadRequirement = { kind: 'position', position: oldestAllowed.position, reachedAt: oldestAllowed.askedAt }
  if (policy === 'bounded staleness' || session === undefined) return bounded
  if (session.position.term !== term) return { kind: 'primary' }
  return comparePositions(session.position, oldestAllowed.position) > 0 ? { kind: 'position', position: session.position, reachedAt: session.at } : bounded
}
