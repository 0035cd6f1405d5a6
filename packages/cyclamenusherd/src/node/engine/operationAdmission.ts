/** Decides whether an operation may run, by its route, its key and its client account's rate in the current declaration. */

import { combineRegions, decideAccess, digestKey, findKeyLoss, reviewAccess } from '@cyclamenusher/decisions'
import { isLeaseOverdue } from './confirmation.js'
import { StatementFailure } from './errors.js'
import { findAccountByDigest } from './keyDigest.js'
import { ANONYMOUS_ACCOUNT, accountName } from './session.js'
import { pause } from '../process/clock.js'
import type { AccessRefusal, ClientAccount, DeclarationIndex, KeyLoss, Route } from '@cyclamenusher/decisions'
import type { AcquiredConnection } from './groupPool.js'
import type { LocalServices } from './operations.js'
import type { EngineServices } from './services.js'
import type { Admission, AdmittedOperation, Session, StatementContext, Transaction } from './session.js'

/** Interval at which an instance looks whether it knows the newest declaration again, in milliseconds. */
const TRUST_POLL_INTERVAL_MILLISECONDS = 20

const KEY_LOSSES: Record<KeyLoss, string> = {
  withdrawn: 'no client account has this key any more',
  moved: 'the key belongs to another client account now'
}

export interface Access {
  index: DeclarationIndex
  route: Route
  /** Undefined: the route is open, and the key belongs to no client account. */
  account: ClientAccount | undefined
}

/** Refuses access that the declaration lacks. A newer one may grant it, and other instances may hold that one. */
function createAccessFailure ({ link }: Pick<EngineServices, 'link'>, reason: AccessRefusal, explanation: string): StatementFailure {
  return link.isDeclarationCurrent() ? new StatementFailure(reason, explanation) : new StatementFailure('busy', `${explanation} here, but this instance may not hold the newest declaration: try another one`)
}

/** Finds the route of the caller's database and the account of its key. @throws StatementFailure */
export function resolveAccess (services: EngineServices, { database, key }: Pick<Session, 'database' | 'key'>): Access {
  const index = services.link.declaration()
  if (index === undefined) throw new StatementFailure('busy', 'this instance holds no declaration yet: try another one')
  const decision = decideAccess(index, database, index.accountOf(key))
  if (decision.kind === 'refused') throw createAccessFailure(services, decision.reason, decision.explanation)
  return { index, ...decision }
}

/** Describes by what an operation is admitted, if another instance may hold a newer declaration. */
function describeAdmission ({ link }: Pick<EngineServices, 'link'>, session: Session, { version }: DeclarationIndex): Admission | undefined {
  if (link.isDeclarationCurrent()) return undefined
  session.keyDigest ??= digestKey(session.key)
  return { version, database: session.database, keyDigest: session.keyDigest }
}

/** The same for a statement of an open transaction; one without an account needs no key. */
export function describeStatementAdmission (services: Pick<EngineServices, 'link'>, session: Session, { account }: Transaction): Admission | undefined {
  const index = services.link.declaration()
  return index === undefined || account === ANONYMOUS_ACCOUNT ? undefined : describeAdmission(services, session, index)
}

/** The account of the caller's key now. `known` is false where this instance has not been told the key, or was told by one with a newer declaration. */
function findCurrentAccount (index: DeclarationIndex, { key }: Session, admission: Admission | undefined): { known: boolean, account?: ClientAccount } {
  if (key !== '') return { known: true, account: index.accountOf(key) }
  if (admission === undefined || index.version <= admission.version) return { known: false }
  return { known: true, account: findAccountByDigest(index, admission.keyDigest) }
}

/** Why the key of an admitted operation no longer stands for its account; undefined: it does, as far as this instance can tell. */
function findLoss ({ link }: Pick<LocalServices, 'link'>, session: Session, account: string, admission: Admission | undefined): KeyLoss | undefined {
  const index = link.declaration()
  const current = index === undefined ? undefined : findCurrentAccount(index, session, admission)
  if (current?.known !== true) return undefined
  return findKeyLoss(account === ANONYMOUS_ACCOUNT ? undefined : account, current.account)
}

/**
 * Why an operation that has waited must not be sent: its key no longer stands for its
 * account. Undefined: it may be sent. Where another account has the key, or the route
 * needs none, it may run when it is sent again.
 */
export function findKeyFailure (services: Pick<LocalServices, 'link'>, { session }: Pick<StatementContext, 'session'>, { account, admission }: AdmittedOperation): StatementFailure | undefined {
  const loss = findLoss(services, session, account, admission)
  if (loss === undefined) return undefined
  const isOpen = services.link.declaration()?.routeOf(admission?.database ?? session.database)?.open === true
  if (loss === 'withdrawn' && !isOpen) return createAccessFailure(services, 'key refused', KEY_LOSSES.withdrawn)
  return new StatementFailure('busy', `${KEY_LOSSES[loss]}; the operation did not run: try again`)
}

/** Releases the connection if its operation must not be sent any more. @throws StatementFailure */
export function requireKey (services: LocalServices, context: StatementContext, operation: AdmittedOperation, acquired: AcquiredConnection): void {
  const failure = findKeyFailure(services, context, operation)
  if (failure === undefined) return
  acquired.release(true)
  throw failure
}

/** Why an open transaction must end, by the declaration here; undefined: it may go on. A change of its route applies from the next transaction onward. */
export function findTransactionEnd (services: Pick<LocalServices, 'link'>, { session, admission }: Pick<StatementContext, 'session' | 'admission'>, transaction: Transaction): string | undefined {
  const loss = findLoss(services, session, transaction.account, admission ?? transaction.admission)
  return loss === undefined ? undefined : `${KEY_LOSSES[loss]}; the transaction was rolled back`
}

/**
 * The same at the instance that runs the transaction, which must have known the newest
 * declaration lately where the callers' instance has not. Waits until the deadline for a
 * lease that is expected back.
 */
export async function reviewTransaction (services: LocalServices, context: StatementContext, transaction: Transaction): Promise<string | undefined> {
  const { link, clock } = services
  if (context.admission !== undefined) {
    while (!link.isDeclarationTrusted() && !isLeaseOverdue(link, clock) && clock.now() < context.deadline) await pause(TRUST_POLL_INTERVAL_MILLISECONDS)
    if (!link.isDeclarationTrusted()) return 'this instance has no word from control and can not tell whether the key still stands; the transaction was rolled back'
  }
  return findTransactionEnd(services, context, transaction)
}

/** The regions of an operation, as a part of it; none where neither list limits it. */
function limitRegions (route: Route, account: ClientAccount | undefined): Pick<AdmittedOperation, 'allowedRegions'> {
  const allowedRegions = combineRegions(route, account)
  return allowedRegions === undefined ? {} : { allowedRegions }
}

/** Admits one operation and charges it to the account's rate. @throws StatementFailure */
export async function admitOperation (services: EngineServices, session: Session): Promise<AdmittedOperation> {
  const { account: charged } = resolveAccess(services, session)
  if (charged !== undefined && !await services.rates.admit(charged)) {
    // Without control there may be tokens elsewhere.
    if (!services.link.isLeased()) throw new StatementFailure('busy', `this instance has no word from control and no token of client account ${charged.name}; the operation did not run: try another one`)
    throw new StatementFailure('too many', `client account ${charged.name} is over its rate; the operation did not run`)
  }
  // The declaration may have been replaced while the operation waited for its rate.
  const { index, route, account } = resolveAccess(services, session)
  const admission = describeAdmission(services, session, index)
  return { route, account: accountName(account), ...limitRegions(route, account), ...(admission === undefined ? {} : { admission }) }
}

/**
 * Decides again, where an operation runs, about one that was admitted by a declaration
 * that may not be the newest. Returns it with the route of the declaration here, if that
 * is newer. An instance whose own declaration was not the newest lately can't decide.
 *
 * @throws StatementFailure
 */
export function confirmAdmission <Operation extends AdmittedOperation> (services: LocalServices, operation: Operation): Operation {
  const { route, account, admission } = operation
  const { link, log } = services
  if (admission === undefined) return operation
  const index = link.declaration()
  if (index === undefined || !link.isDeclarationTrusted()) throw new StatementFailure('busy', 'this instance has no word from control and may not hold the newest declaration: try another one')
  if (index.version <= admission.version) return operation
  const { version, database, keyDigest } = admission
  const currentAccount = findAccountByDigest(index, keyDigest)
  const review = reviewAccess(index, { database, group: route.group, account: account === ANONYMOUS_ACCOUNT ? undefined : account }, currentAccount)
  if (review.kind === 'granted') return { ...operation, route: review.route, allowedRegions: combineRegions(review.route, currentAccount) }
  log.logDecision('A newer declaration refuses an admitted operation.', { database, account, admittedBy: version, version: index.version, reason: review.explanation })
  if (review.kind === 'refused') throw createAccessFailure(services, review.reason, review.explanation)
  throw new StatementFailure('busy', `${review.explanation}: try another instance`)
}
