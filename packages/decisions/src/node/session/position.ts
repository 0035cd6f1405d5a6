/** Log positions of backend servers and comparisons between them. */

/** Identifies a record in a group's log by its term and its position. */
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

/** Returns the later of two positions. */
export function laterPosition (left: LogPosition, right: LogPosition): LogPosition {
  return includesPosition(left, right) ? left : right
}

/** Compares two positions by term, then by position; negative if `left` comes first. */
export function comparePositions (left: LogPosition, right: LogPosition): number {
  return left.term !== right.term ? left.term - right.term : left.position - right.position
}
