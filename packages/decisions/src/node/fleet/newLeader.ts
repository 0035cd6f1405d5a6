/**
 * What a new leader of control may decide while entry instances are still on their way
 * back to it.
 *
 * Load patterns:
 * - The leader changes, and all instances renew at its successor within one hold of a
 *   renewal or a few retries. A plan that is made with the first of them moves shares and
 *   lenders away from the others, and back again with the next plan; until all have
 *   applied both, their operations are lent by control.
 * - All instances start again after a loss of power, and ask for a lease within a few
 *   tenths of a second, as do all callers. A plan that is made with the first of them
 *   makes these the holders and lenders for all, and the next plan others. Without a plan
 *   each instance connects to the servers itself, and these refuse most connections.
 */

/** How long a new leader waits for instances that hold shares, in milliseconds: as long as a lease of theirs lasts. */
const RETURN_TIMEOUT_MILLISECONDS = 1_500

/** How long after its election a leader expects instances that have not reported their shares, in milliseconds: the timeout of a renewal at the previous leader and a few retries. */
const SHARE_REPORT_MILLISECONDS = 800
/** Fraction of the instances that must be back for a plan after all have lost what they knew: some may not come back. */
const RESTARTED_FRACTION = 0.9
/** How long a new leader waits for them, in milliseconds: the differences between the starts of instances. */
const RESTART_TIMEOUT_MILLISECONDS = 600

export interface ReturningInstances {
  /** Time since this leader was elected, in milliseconds. */
  ledMilliseconds: number
  /** Whether an instance has reported shares that an earlier leader granted. */
  sharesReported: boolean
  /** Instances that have asked this leader for a lease lately. */
  returned: number
  /** Instances that an earlier leader last counted. */
  expected: number
  /** Instances that may hold shares or loans of an earlier leader and have not renewed at this one. @default 0 */
  missing?: number
}

/** Whether the leader makes no plan of shares, lenders and holders yet; what the instances know stays in use. */
export function awaitsReturn ({ ledMilliseconds, sharesReported, returned, expected }: ReturningInstances): boolean {
  if (sharesReported) return ledMilliseconds < RETURN_TIMEOUT_MILLISECONDS && returned < expected
  return ledMilliseconds < RESTART_TIMEOUT_MILLISECONDS && returned < expected * RESTARTED_FRACTION
}

/** Whether instances may hold shares of an earlier leader that they have not reported yet. */
export function mayHoldUnreportedShares ({ ledMilliseconds, returned, expected, missing = 0 }: ReturningInstances): boolean {
  return ledMilliseconds < SHARE_REPORT_MILLISECONDS && (expected === 0 || returned < expected || missing > 0)
}

/** How long after its election a leader learns what was lent before it, in milliseconds: shorter than instances that are missing are counted. */
export const LOAN_HISTORY_TIMEOUT_MILLISECONDS = 3_000

/** Whether every instance to which an earlier leader may have lent operations has reported its loans. Later on, missing instances are no longer expected, and their loans are not known. */
export function isLoanHistoryComplete ({ ledMilliseconds, returned, expected, missing = 0 }: ReturningInstances): boolean {
  return ledMilliseconds < LOAN_HISTORY_TIMEOUT_MILLISECONDS && returned > 0 && returned >= expected && missing === 0
}
