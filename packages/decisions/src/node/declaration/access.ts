/** Decides who may use which route, by a declaration. */

import type { ClientAccount, DeclarationIndex, Route } from './declaration.js'

export type AccessRefusal = 'database unknown' | 'key refused'

export type AccessDecision =
  /** Without an account, the route is open, and the key belongs to no client account. */
  | { kind: 'granted', route: Route, account: ClientAccount | undefined }
  | { kind: 'refused', reason: AccessRefusal, explanation: string }

/** Decides whether a caller may use a database. `account` is that of the caller's key, if there is one. */
export function decideAccess (index: DeclarationIndex, database: string, account: ClientAccount | undefined): AccessDecision {
  const route = index.routeOf(database)
  if (route === undefined) return { kind: 'refused', reason: 'database unknown', explanation: `no route leads to database ${database}` }
  if (account === undefined && !route.open) return { kind: 'refused', reason: 'key refused', explanation: 'no client account has this key' }
  return { kind: 'granted', route, account }
}

/** An operation as an older declaration admitted it. */
export interface AdmittedAccess {
  database: string
  group: string
  /** Name of the client account; undefined: none. */
  account: string | undefined
}

export type AccessReview =
  | { kind: 'granted', route: Route }
  | { kind: 'refused', reason: AccessRefusal, explanation: string }
  /** The newer declaration allows the operation elsewhere, or to another account. */
  | { kind: 'moved', explanation: string }

/** Why a client account may no longer act for its caller. */
export type KeyLoss =
  /** No client account has the caller's key any more. */
  | 'withdrawn'
  /** Another client account has it. */
  | 'moved'

/**
 * Decides about the key of an operation or a transaction that was admitted before, whose
 * route stands. `admitted` is the client account that it runs for, `current` that of the
 * caller's key now. What runs without an account needs no key. Undefined: it may go on.
 */
export function findKeyLoss (admitted: string | undefined, current: ClientAccount | undefined): KeyLoss | undefined {
  if (admitted === undefined || current?.name === admitted) return undefined
  return current === undefined ? 'withdrawn' : 'moved'
}

/** Decides about an admitted operation by a newer declaration. `account` is that of the caller's key there. */
export function reviewAccess (index: DeclarationIndex, admitted: AdmittedAccess, account: ClientAccount | undefined): AccessReview {
  const decision = decideAccess(index, admitted.database, account)
  if (decision.kind === 'refused') return decision
  if (decision.route.group !== admitted.group) return { kind: 'moved', explanation: `database ${admitted.database} has moved to another service` }
  if (account?.name !== admitted.account) return { kind: 'moved', explanation: 'the key belongs to another client account' }
  return { kind: 'granted', route: decision.route }
}
