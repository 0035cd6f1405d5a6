/**
 * How many connections an instance opens to a server that has refused some as too many.
 *
 * Load pattern: after a loss of power a server still counts the connections of lost
 * instances for some seconds, and all instances come back at once. Each refused opening
 * takes time of a request and of the server. An instance then keeps to the connections that
 * it has, and gives those that are idle to other accounts, until the server may have room.
 */

/** How long after a refusal, or after the last increase, one more connection is tried, in milliseconds. */
const INCREASE_INTERVAL_MILLISECONDS = 250

export interface ConnectionAllowance {
  /** Connections that the instance had when the server last refused one; infinite if it never did. */
  held: number
  refusedAt: number
}

export const FULL_ALLOWANCE: ConnectionAllowance = { held: Infinity, refusedAt: -Infinity }

/** Most connections now, of the `maximum` that the budget allows; at least one, as otherwise none would ever be opened again. */
export function computeAllowedConnections ({ held, refusedAt }: ConnectionAllowance, maximum: number, now: number): number {
  const increase = Math.floor((now - refusedAt) / INCREASE_INTERVAL_MILLISECONDS)
  return Math.min(maximum, Math.max(1, held + increase))
}

/** Notes that the server refused a connection as one too many, while the instance had `held` others. */
export function recordFullServer (held: number, now: number): ConnectionAllowance {
  return { held, refusedAt: now }
}
