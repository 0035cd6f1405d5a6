/**
 * What a new leader of control may decide while entry instances are still on their way
 * back to it.
 *
 * Load pattern: the leader changes, and all instances renew at its successor within one
 * hold of a renewal or a few retries. A plan that is made with the first of them
 * moves shares and lenders away from the others, and back again with the next plan; until
 * all have applied both, their operations are lent by control.
 */

/** How long a new leader waits for instances that hold shares, in milliseconds: as long as a lease of theirs lasts. */
export const RETURN_TIMEOUT_MILLISECONDS = 1_500

export interface ReturningInstances {
  /** Time since this leader was elected, in milliseconds. */
  ledMilliseconds: number
  /** Whether an instance has reported shares that an earlier leader granted. */
  sharesReported: boolean
  /** Instances that hold a lease of this leader. */
  returned: number
  /** Instances that an earlier leader last counted. */
  expected: number
}

/** Whether the leader makes no plan of shares, lenders and holders yet; what the instances know stays in use. */
export function awaitsReturn ({ ledMilliseconds, sharesReported, returned, expected }: ReturningInstances): boolean {
  return ledMilliseconds < RETURN_TIMEOUT_MILLISECONDS && sharesReported && returned < expected
}

/** Whether every instance to which an earlier leader may have lent operations has reported its loans. */
export function isLoanHistoryComplete ({ returned, expected }: ReturningInstances): boolean {
  return returned > 0 && returned >= expected
}
