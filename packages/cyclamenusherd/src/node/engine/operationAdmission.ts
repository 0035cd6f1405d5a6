/** Decides whether an operation may run, by its route, its key and its client account's rate in the current declaration. */

import { combineRegions, decideAccess, digestKey, reviewAccess } from '@cyclamenusher/decisions'
import { StatementFailure } from './errors.js'
import { findAccountByDigest } from './keyDigest.js'
import { ANONYMOUS_ACCOUNT, accountName } from './session.js'
import type { AccessRefusal, ClientAccount, DeclarationIndex, Route } from '@cyclamenusher/decisions'
import type { LocalServices } from './operations.js'
import type { EngineServices } from './services.js'
import type { Admission, AdmittedOperation, Session } from './session.js'

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
function describeAdmission ({ link }: EngineServices, session: Session, { version }: DeclarationIndex): Admission | undefined {
  if (link.isDeclarationCurrent()) return undefined
  session.keyDigest ??= digestKey(session.key)
  return { version, database: session.database, keyDigest: session.keyDigest }
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
