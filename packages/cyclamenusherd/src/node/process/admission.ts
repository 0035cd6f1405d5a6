/** Whether a request may run: key, access and rate of its client account. */

import { take } from '@cyclamenusher/decisions'
import { RefusalError } from '../request/refusal.js'
import type { Bucket, BucketLimits } from '@cyclamenusher/decisions'
import type { BatchNeed } from '../request/batch.js'
import type { Identity, RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'

/** Account name that stands for callers without a key. */
export const OPEN_ACCOUNT = 'open'

export interface Admission {
  /** @throws RefusalError when the request must not run */
  admit: (identity: Identity, database: string, need: BatchNeed) => void
}

export interface AdmissionOptions {
  store: RulesStore
  /** Number of entry instances that share each account's rate. */
  sharers: () => number
  clock: Clock
}

export function createAdmission ({ store, sharers, clock }: AdmissionOptions): Admission {
  const buckets = new Map<string, Bucket>()

  function takeToken (account: string, limits: BucketLimits): void {
    const share = Math.max(1, sharers())
    const own = { rate: limits.rate / share, burst: Math.max(1, limits.burst / share) }
    const bucket = buckets.get(account) ?? { tokens: own.burst, refilledAt: clock.now() }
    const result = take(bucket, own, clock.now())
    buckets.set(account, result.bucket)
    if (!result.taken) throw new RefusalError('rate exceeded', `client account ${account} is over its rate`, 'not run', 'Send less, or ask the operators for a higher rate.')
  }

  function admitOpen (database: string, need: BatchNeed): void {
    const rule = store.open(database)
    if (rule === undefined) throw new RefusalError('access denied', `database ${database} is not open to all`, 'not run', 'Connect with an account and its key.')
    if (need !== 'read') throw new RefusalError('access denied', 'only reads are open to all', 'not run', 'Connect with an account and its key.')
    takeToken(`${OPEN_ACCOUNT} ${database}`, rule)
  }

  function admitKeyed (identity: Identity, database: string, need: BatchNeed): void {
    if (!store.isFresh()) throw new RefusalError('rules not fresh', 'this instance can\'t tell whether the key still stands', 'not run', 'Connect through another failure domain, or try again.')
    if (!store.isValid(identity)) throw new RefusalError('key refused', `the key of client account ${identity.account} is no longer valid`)
    const access = store.access(identity.account, database)
    if (access === undefined) throw new RefusalError('access denied', `client account ${identity.account} may not reach database ${database}`, 'not run', 'Ask the operators for an access rule.')
    if (need !== 'read' && !access.write) throw new RefusalError('access denied', `client account ${identity.account} may only read database ${database}`, 'not run', 'Ask the operators for write access.')
    const account = store.rules().accounts.get(identity.account)
    if (account === undefined) throw new RefusalError('account unknown', `client account ${identity.account} is gone`)
    takeToken(identity.account, account)
  }

  return {
    admit: (identity, database, need) => {
      if (identity.key === undefined) admitOpen(database, need)
      else admitKeyed(identity, database, need)
    }
  }
}
