/** Digests of callers' keys, which are sent in place of the keys. */

import { createHash } from 'node:crypto'

/** Length of a digest, in bytes: no two keys share one. */
const DIGEST_BYTES = 16

export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest().subarray(0, DIGEST_BYTES).toString('base64url')
}
