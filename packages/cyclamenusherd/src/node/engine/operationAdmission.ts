/** Whether an operation may run: its route, its key and its client account's rate, by the declaration in force. */

import { StatementFailure } from './errors.js'
import { accountName } from './session.js'
import type { ClientAccount, Route } from '@cyclamenusher/decisions'
import type { EngineServices } from './services.js'
import type { AdmittedOperation, Session } from './session.js'

export interface Access {
  route: Route
  /** Undefined: the route is open, and the key is none that is known. */
  account: ClientAccount | undefined
}

/** What the caller's key and database lead to. @throws StatementFailure */
export function resolveAccess ({ link }: EngineServices, { database, key }: Pick<Session, 'database' | 'key'>): Access {
  const index = link.declaration()
  if (index === undefined) throw new StatementFailure('busy', 'this instance holds no declaration yet: try another one')
  const route = index.routeOf(database)
  if (route === undefined) throw new StatementFailure('database unknown', `no route leads to database ${database}`)
  const account = index.accountOf(key)
  if (account === undefined && !route.open) throw new StatementFailure('key refused', 'no client account has this key')
  return { route, account }
}

/** Admits one operation. @throws StatementFailure */
export async function admitOperation (services: EngineServices, session: Session): Promise<AdmittedOperation> {
  const { route, account } = resolveAccess(services, session)
  if (account !== undefined && !await services.rates.admit(account)) {
    throw new StatementFailure('too many', `client account ${account.name} is over its rate; the operation did not run`)
  }
  return { route, account: accountName(account) }
}
