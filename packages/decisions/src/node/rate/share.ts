/** How an account's rate and burst are split over failure domains. */

import { rankNodes } from '../group/rendezvous.js'
import type { BucketLimits } from './bucket.js'

/** Number of seats in each failure domain, for each kind of account. A seat is a subset of the accounts, chosen by hash; the instance that holds it is their home and lends their tokens. */
export const SEATS_PER_DOMAIN = 16

/** The only owner where the rules name no failure domains. */
export const WHOLE_FLEET = ''

/** The account of callers with a key, or a route open to all. */
export type AccountKind = 'keyed' | 'open'

/** The failure domains that own a share of the account, in the order in which they are asked for tokens. */
export function ownersOf (account: string, domains: readonly string[]): string[] {
  return domains.length === 0 ? [WHOLE_FLEET] : rankNodes(account, domains)
}

/** The limits of one owner when `owners` split them equally. */
export function ownerShare (limits: BucketLimits, owners: number): BucketLimits {
  return { rate: limits.rate / owners, burst: limits.burst / owners }
}

function slotOf (account: string): number {
  let hash = 0
  for (let index = 0; index < account.length; index += 1) hash = (hash * 31 + account.charCodeAt(index)) % 0x7fffffff
  return hash % SEATS_PER_DOMAIN
}

/** The seat of the account in a failure domain. */
export function seatOf (kind: AccountKind, domain: string, account: string): string {
  return seatName(kind, domain, slotOf(account))
}

export function seatName (kind: AccountKind, domain: string, slot: number): string {
  return `${kind}/${domain}/${slot}`
}

/** Every seat of a failure domain. */
export function seatsOf (domain: string): Array<{ kind: AccountKind, seat: string }> {
  return (['keyed', 'open'] as const).flatMap(kind => Array.from({ length: SEATS_PER_DOMAIN }, (_value, slot) => ({ kind, seat: seatName(kind, domain, slot) })))
}

/** Names a split: the failure domains that the limits of each account are divided over. Instances with the same split agree on the owners of every account. */
export function splitName (domains: readonly string[]): string {
  return [...domains].sort().join(' ')
}
