/** Decides whether an operation may run, by its route, its key and its client account's rate in the current declaration. */

import { StatementFailure } from './errors.js'
import { accountName } from './session.js'
import type { ClientAccount, Route } from '@cyclamenusher/decisions'
import type { EngineServices } from './services.js'
import type { AdmittedOperation, Session } from './session.js'

export interface Access {
  route: Route
  /** Undefined: the route is open, and the key belongs to no client account. */
  account: ClientAccount | undefined
}

/** Refuses access that the declaration lacks. Without a lease, a newer declaration may grant it, and other instances may hold that one. */
function createAccessFailure ({ link }: EngineServices, kind: 'database unknown' | 'key refused', explanation: string): StatementFailure {
  return link.isLeased() ? new StatementFailure(kind, explanation) : new StatementFailure('busy', `${explanation} here, but this instance may not hold the newest declaration: try another one`)
}

/** Finds the route of the caller's database and the account of its key. @throws StatementFailure */
export function resolveAccess (services: EngineServices, { database, key }: Pick<Session, 'database' | 'key'>): Access {
  const index = services.link.declaration()
  if (index === undefined) throw new StatementFailure('busy', 'this instance holds no declaration yet: try another one')
  const route = index.routeOf(database)
  if (route === undefined) throw createAccessFailure(services, 'database unknown', `no route leads to database ${database}`)
  const account = index.accountOf(key)
  if (account === undefined && !route.open) throw createAccessFailure(services, 'key refused', 'no client account has this key')
  return { route, account }
}

/** Admits one operation and charges it to the account's rate. @throws StatementFailure */
export async function admitOperation (services: EngineServices, session: Session): Promise<AdmittedOperation> {
  const { route, account } = resolveAccess(services, session)
  if (account !== undefined && !await services.rates.admit(account)) {
    throw new StatementFailure('too many', `client account ${account.name} is over its rate; the operation did not run`)
  }
  return { route, account: accountName(account) }
}
