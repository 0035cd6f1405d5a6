/** Finds client accounts by the digests of their keys, which instances send to each other in place of the keys. */

import { digestKey } from '@cyclamenusher/decisions'
import type { ClientAccount, DeclarationIndex } from '@cyclamenusher/decisions'

/** By declaration, the accounts by the digests of their keys; made on first use, because most declarations need none. */
const accountsByDigest = new WeakMap<DeclarationIndex, ReadonlyMap<string, ClientAccount>>()

export function findAccountByDigest (index: DeclarationIndex, digest: string): ClientAccount | undefined {
  const known = accountsByDigest.get(index) ?? new Map(index.declaration.accounts.flatMap(account => account.keys.map(key => [digestKey(key), account] as const)))
  accountsByDigest.set(index, known)
  return known.get(digest)
}
