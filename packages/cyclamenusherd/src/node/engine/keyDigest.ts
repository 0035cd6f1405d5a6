/** Digests of callers' keys, which instances send to each other in place of the keys. */

import { createHash } from 'node:crypto'
import type { ClientAccount, DeclarationIndex } from '@cyclamenusher/decisions'

/** Length of a digest, in bytes: no two keys share one. */
const DIGEST_BYTES = 16

/** By declaration, the accounts by the digests of their keys; made on first use, because most declarations need none. */
const accountsByDigest = new WeakMap<DeclarationIndex, ReadonlyMap<string, ClientAccount>>()

export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest().subarray(0, DIGEST_BYTES).toString('base64url')
}

export function findAccountByDigest (index: DeclarationIndex, digest: string): ClientAccount | undefined {
  const known = accountsByDigest.get(index) ?? new Map(index.declaration.accounts.flatMap(account => account.keys.map(key => [digestKey(key), account] as const)))
  accountsByDigest.set(index, known)
  return known.get(digest)
}
