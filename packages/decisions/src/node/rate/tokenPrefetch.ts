/**
 * Whether an instance borrows a token of an account's rate while a caller prepares an
 * operation, so that the operation does not wait for the loan.
 *
 * Load patterns:
 * - Callers that start a session, set values or prepare a statement right before an
 *   operation, at instances without a share of the account's rate. A loan before the hop
 *   to the holder took 4 to 12 ms of half of the operations.
 * - Callers that prepare and send no operation for long, as connection pools do. A token
 *   that is borrowed for nothing is lost to all instances. For each kind of preparation, an
 *   instance has a credit of tokens that may be unused, which its operations earn, and it
 *   pauses for the account after whose preparation no operation came.
 */

export type PreparationKind = 'start' | 'set' | 'prepare'

/** How long a token that was borrowed ahead may be used, in milliseconds. Later it counts as used: if each instance kept one, they could be spent together beyond the account's burst. */
export const PREFETCHED_TOKEN_MILLISECONDS = 1_000
/** Tokens that may be unused, by the kind of preparation for which they were borrowed. */
export type PrefetchCredit = Record<PreparationKind, number>

/** Credit of an instance that has just started. */
export const INITIAL_PREFETCH_CREDIT: PrefetchCredit = { start: 1, set: 1, prepare: 1 }
/** Credit that an operation earns for each kind: unused tokens of all three add 3% to the loans at most. */
const CREDIT_PER_OPERATION = 0.01
const MAXIMUM_CREDIT = 4
/** Operations of the account after an unused token until the kind of preparation is tried again. */
const PAUSE_OPERATIONS = 10
/** Time in which the instance's own share yields a token early enough, in milliseconds: as long as a loan takes. */
const LOAN_MILLISECONDS = 10

/** By kind of preparation, the operations of an account until a token is borrowed ahead again. */
export type PrefetchPauses = Partial<Record<PreparationKind, number>>

export interface PrefetchSituation {
  kind: PreparationKind
  /** Of the account. */
  pauses: PrefetchPauses
  /** Tokens of the account that were borrowed ahead, or are being borrowed, and that no operation has claimed. */
  unclaimed: number
  /** Of the instance. */
  credit: PrefetchCredit
  /** Tokens of all accounts that were borrowed ahead, or are being borrowed, for this kind of preparation, and are not used yet. */
  outstanding: number
  /** How long until the instance's own share yields a token, in milliseconds; 0 if it holds one. */
  tokenMilliseconds: number
  /** Whether there were no tokens to borrow a moment ago. */
  isPoolEmpty: boolean
}

export function shouldPrefetchToken ({ kind, pauses, unclaimed, credit, outstanding, tokenMilliseconds, isPoolEmpty }: PrefetchSituation): boolean {
  if (unclaimed > 0 || isPoolEmpty || tokenMilliseconds <= LOAN_MILLISECONDS || (pauses[kind] ?? 0) > 0) return false
  // All tokens that are outstanding may turn out to be unused.
  return outstanding + 1 <= credit[kind]
}

/** The credit after an operation of any account. */
export function earnPrefetchCredit ({ start, set, prepare }: PrefetchCredit): PrefetchCredit {
  const earn = (credit: number): number => Math.min(MAXIMUM_CREDIT, credit + CREDIT_PER_OPERATION)
  return { start: earn(start), set: earn(set), prepare: earn(prepare) }
}

/** The credit after a token was not used in time. */
export function chargeUnusedToken (credit: PrefetchCredit, kind: PreparationKind): PrefetchCredit {
  return { ...credit, [kind]: Math.max(0, credit[kind] - 1) }
}

/** The pauses of an account after a token for this kind of preparation was not used in time. */
export function pausePrefetch (pauses: PrefetchPauses, kind: PreparationKind): PrefetchPauses {
  return { ...pauses, [kind]: PAUSE_OPERATIONS }
}

/** The pauses of an account after an operation of it. */
export function shortenPauses (pauses: PrefetchPauses): PrefetchPauses {
  const left = Object.entries(pauses).filter(([, operations]) => operations > 1)
  return Object.fromEntries(left.map(([kind, operations]) => [kind, operations - 1]))
}
