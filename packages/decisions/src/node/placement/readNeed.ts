/** Which position a server must hold to answer a read, by the policy of its route. */

import { positionWithin } from '../session/positionHistory.js'
import { comparePositions } from '../session/position.js'
import type { LogPosition } from '../session/position.js'
import type { PositionHistory } from '../session/positionHistory.js'
import type { ReadPolicy } from '../declaration/declaration.js'

/** Part of an age bound that is kept for the way to the server and its queue, in milliseconds. */
const AGE_MARGIN_MILLISECONDS = 150

export type ReadRequirement =
  /** Only the primary, under a lease, can show all that it must see. */
  | { kind: 'primary' }
  /** Any server that holds this position, which the primary reached at `since`; the primary holds it always. */
  | { kind: 'position', position: LogPosition, reachedAt: number }

export interface ReadRequest {
  policy: ReadPolicy
  /** Oldest data that the read may see, in milliseconds. */
  maximumStalenessMilliseconds?: number
  /** Position of the session's last commit, and when it was acknowledged. */
  session?: { position: LogPosition, at: number }
  history: PositionHistory
  /** Log term of the present primary. */
  term: number
  now: number
}

/**
 * What a server must hold for the read. A session's position of an earlier term
 * may have been rolled back by a promotion, so nothing can be asked for by it:
 * the primary answers, until the session has a position of this term.
 */
export function resolveReadRequirement ({ policy, maximumStalenessMilliseconds, session, history, term, now }: ReadRequest): ReadRequirement {
  if (policy === 'primary' || maximumStalenessMilliseconds === undefined) return { kind: 'primary' }
  const oldestAllowed = positionWithin(history, maximumStalenessMilliseconds - AGE_MARGIN_MILLISECONDS, now)
  if (oldestAllowed === undefined) return { kind: 'primary' }
  const bounded: ReadRequirement = { kind: 'position', position: oldestAllowed.position, reachedAt: oldestAllowed.askedAt }
  if (policy === 'bounded staleness' || session === undefined) return bounded
  if (session.position.term !== term) return { kind: 'primary' }
  return comparePositions(session.position, oldestAllowed.position) > 0 ? { kind: 'position', position: session.position, reachedAt: session.at } : bounded
}
