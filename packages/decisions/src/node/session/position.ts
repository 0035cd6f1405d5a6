/** Log positions of backend servers, and what one of them proves about another. */

/** A place in a group's log: the term of the record and its position. */
export interface LogPosition {
  term: number
  position: number
}

/**
 * Whether a log that ends at `holder` holds the acknowledged record at `wanted`.
 *
 * A promotion keeps every acknowledged record, so any log with a record of a
 * later term holds it. A higher position in an earlier term proves nothing.
 */
export function includesPosition (holder: LogPosition, wanted: LogPosition): boolean {
  if (holder.term > wanted.term) return true
  return holder.term === wanted.term && holder.position >= wanted.position
}

/** The later of two places. */
export function laterPosition (left: LogPosition, right: LogPosition): LogPosition {
  return includesPosition(left, right) ? left : right
}

/** Orders places by term, then by position; below zero: `left` comes first. */
export function comparePositions (left: LogPosition, right: LogPosition): number {
  return left.term !== right.term ? left.term - right.term : left.position - right.position
}
