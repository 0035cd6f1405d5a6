/**
 * How long an instance goes on by the declaration that it holds.
 *
 * No instance can tell "nothing was declared since" from "the declaration did not
 * arrive". What it holds counts as the newest from when it asked, if the answer named
 * no newer version; a declaration that is acknowledged after that may have replaced it.
 */

/** What control has last said of the newest declaration. */
export interface DeclarationTrust {
  /** Version of the newest declaration that control has named; -1 if it has named none. */
  newest: number
  /** When the last request was sent whose answer named no newer version than the one held, in milliseconds; -Infinity if there was none. */
  confirmedAt: number
}

export const NO_DECLARATION_TRUST: DeclarationTrust = { newest: -1, confirmedAt: -Infinity }

/** Default time within which a declaration is in force at every instance, in milliseconds from its acknowledgement. */
export const DECLARATION_TRUST_MILLISECONDS = 3_000

/** Takes over an answer of control to a request that was sent at `sentAt`, after the declaration that came with it. `named` is undefined in answers of earlier builds. */
export function recordNewestVersion ({ newest, confirmedAt }: DeclarationTrust, { held, named = held, sentAt }: { held: number, named?: number, sentAt: number }): DeclarationTrust {
  const known = Math.max(newest, named)
  return { newest: known, confirmedAt: held >= known ? Math.max(confirmedAt, sentAt) : confirmedAt }
}

/** Time until which the declaration held counts as the newest for `milliseconds` after it was confirmed; -Infinity after a suspension of the process that ended at `resumedAt`, because its duration is unknown. */
export function trustedUntil ({ confirmedAt }: DeclarationTrust, milliseconds: number, resumedAt: number): number {
  return confirmedAt <= resumedAt ? -Infinity : confirmedAt + milliseconds
}
