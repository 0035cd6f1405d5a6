/**
 * Limits how many connections one instance may have to one server.
 *
 * Load patterns:
 * - A server accepts few connections from all instances together, fewer than there
 *   are client accounts. Each instance that holds connections to it opens up to its
 *   even share, and one more while others leave connections free. It closes
 *   connections that it does not use.
 * - More client accounts than connections, a few statements a second of each. A
 *   connection that was closed for being idle is missed: with half of the total idle at
 *   most, a fifth of the operations waited 20 to 28 ms for a new one.
 * - After a power loss a server still counts the connections of the lost instances
 *   for 3 s. The first lease comes after about the same time, and what is left of them
 *   then is met by the connection allowance; a part stays free for what it does not cover.
 */

export interface ConnectionBudget {
  /** Maximum number of open connections. */
  maximum: number
  /** Maximum number of idle connections. */
  idle: number
}

/** Connections to each server that are reserved for control. */
const CONTROL_CONNECTIONS = 2
/** Connections beyond its even share that an instance may open while others leave them free. */
const SURPLUS_CONNECTIONS = 1
/** Fraction of an instance's even share of a server's connections that may be idle. */
const IDLE_FRACTION = 0.8

export function planConnections (connectionsPerServer: number, instances: number): ConnectionBudget {
  const available = Math.max(0, connectionsPerServer - CONTROL_CONNECTIONS)
  const instanceCount = Math.max(1, instances)
  return { maximum: Math.floor(available / instanceCount) + SURPLUS_CONNECTIONS, idle: Math.floor(available * IDLE_FRACTION / instanceCount) }
}
