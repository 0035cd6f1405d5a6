/**
 * Chooses between warm and cold servers.
 *
 * Load pattern: a server that has just started has nothing outstanding and looks like the
 * best choice, although it is slow. Warm servers are used while they can serve; a cold one
 * takes a statement only if its share has a token.
 */

import type { ServerLoad } from './serverChoice.js'

/** "cold": it may take one more statement now; "exhausted": cold, and it may not. */
export type ServerWarmth = 'warm' | 'cold' | 'exhausted'

/** Chooses among the warm servers, and among the others with a token if no warm one can serve now. A server that may not be chosen remains in the list, with no statement allowed. */
export function chooseWarmFirst (servers: readonly ServerLoad[], warmthOf: (member: string) => ServerWarmth, choose: (servers: readonly ServerLoad[]) => ServerLoad | undefined): ServerLoad | undefined {
  const assessed = servers.map(server => ({ server, warmth: warmthOf(server.member) }))
  const restrict = (usable: readonly ServerWarmth[]): ServerLoad[] => assessed.map(({ server, warmth }) => usable.includes(warmth) ? server : { ...server, allowed: 0 })
  return choose(restrict(['warm'])) ?? choose(restrict(['warm', 'cold']))
}
