/** Decides whether a request may run, by the key, the access rules and the rate of its client account. */

import { RefusalError } from '../request/refusal.js'
import type { AccountKind } from '@cyclamenusher/decisions'
import type { BatchNeed } from '../request/batch.js'
import type { Identity, RulesStore } from '../version/rulesStore.js'

/** Account name of callers without a key. */
export const OPEN_ACCOUNT = 'open'

export interface Admission {
  /** Resolves when the request may run. @throws RefusalError when it is refused */
  admit: (identity: Identity, database: string, need: BatchNeed) => Promise<void>
  /** Checks the key and the access rules without taking a token. @throws RefusalError when the request may not run */
  requireAccess: (identity: Identity, database: string, need: BatchNeed) => void
}

export interface AdmissionOptions {
  store: RulesStore
  /** Takes a token of the account; resolves to false if the account is over its rate. */
  takeToken: (kind: AccountKind, account: string) => Promise<boolean>
}

/**
 * Requires that the rules open the database to all. Without the lease of the rules the route goes on for
 * its stated age: a failure domain that is cut off alone can't serve it longer either.
 *
 * @throws RefusalError of this kind when the route is closed
 */
export function requireOpenRoute (store: RulesStore, kind: 'access denied' | 'database unknown', database: string): void {
  const rule = store.open(database)
  if (rule !== undefined && store.isFresh(rule.maximum_age_milliseconds)) return
  // Rules that are not fresh may lack a route only because they are old.
  if (!store.isFresh()) throw new RefusalError('rules not fresh', `this instance can't tell whether database ${database} is open to all`, 'not run', 'Connect through another instance, or try again.')
  throw new RefusalError(kind, `database ${database} is not open to all`, 'not run', 'Connect with an account and its key.')
}

export function createAdmission ({ store, takeToken }: AdmissionOptions): Admission {
  async function requireToken (kind: AccountKind, account: string): Promise<void> {
    if (await takeToken(kind, account)) return
    const subject = kind === 'open' ? `the open route to ${account}` : `client account ${account}`
    throw new RefusalError('rate exceeded', `${subject} is over its rate`, 'not run', 'Send less, or ask the operators for a higher rate.')
  }

  function checkOpenRoute (database: string, need: BatchNeed): void {
    requireOpenRoute(store, 'access denied', database)
    if (need !== 'read') throw new RefusalError('access denied', 'only reads are open to all', 'not run', 'Connect with an account and its key.')
  }

  function checkKey (identity: Identity, database: string, need: BatchNeed): void {
    if (!store.isFresh()) throw new RefusalError('rules not fresh', 'this instance can\'t tell whether the key still stands', 'not run', 'Connect through another failure domain, or try again.')
    if (!store.isValid(identity)) throw new RefusalError('key refused', `the key of client account ${identity.account} is no longer valid`)
    const access = store.access(identity.account, database)
    if (access === undefined) throw new RefusalError('access denied', `client account ${identity.account} may not reach database ${database}`, 'not run', 'Ask the operators for an access rule.')
    if (need !== 'read' && !access.write) throw new RefusalError('access denied', `client account ${identity.account} may only read database ${database}`, 'not run', 'Ask the operators for write access.')
    if (!store.rules().accounts.has(identity.account)) throw new RefusalError('account unknown', `client account ${identity.account} is gone`)
  }

  function requireAccess (identity: Identity, database: string, need: BatchNeed): void {
    if (identity.key === undefined) checkOpenRoute(database, need)
    else checkKey(identity, database, need)
  }

  return {
    admit: async (identity, database, need) => {
      requireAccess(identity, database, need)
      await (identity.key === undefined ? requireToken('open', database) : requireToken('keyed', identity.account))
      // The rules may have changed while the request waited.
      requireAccess(identity, database, need)
    },
    requireAccess
  }
}
