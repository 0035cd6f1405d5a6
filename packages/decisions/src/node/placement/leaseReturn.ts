/**
 * How long operations wait for the lease of their instance to return.
 *
 * Load patterns:
 * - All control instances are lost at the same moment and start again, or a leader is lost
 *   and its successor late. The lease is missing for some tenths of a second at every
 *   instance, so an operation that is refused is refused wherever it goes.
 * - An instance is cut off. Its lease does not return, and operations that waited once are
 *   refused immediately from then on, so that callers can go elsewhere.
 */

/** Longest usual time for which a lease is missing, in milliseconds: a loss of all control instances, their start and an election take up to three seconds, and a lease that was renewed just before covers about half of them. */
const USUAL_ABSENCE_MILLISECONDS = 1_200

/** Earliest time at which a lease that ended, or was lost in a suspension, at `endedAt` may be held again; infinite if it is overdue, or there never was one. */
export function estimateLeaseReturn (endedAt: number, now: number): number {
  return endedAt !== -Infinity && now < endedAt + USUAL_ABSENCE_MILLISECONDS ? now : Infinity
}
