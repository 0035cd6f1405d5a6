/**
 * How many connections one instance may have to one server.
 *
 * Load patterns:
 * - A server takes few connections from all instances together, and fewer than
 *   there are pairs of instance and client account. Each instance opens up to its
 *   even part and one more while others leave room, and closes what it does not use.
 * - After a loss of power a server counts the connections of instances that are
 *   gone for some seconds more. What was idle then is missing when all come back
 *   at once, so idle connections take half of the room at most.
 */

export interface ConnectionBudget {
  /** Connections that may be open. */
  maximum: number
  /** Connections that may stay open without work. */
  idle: number
}

/** Connections to a server that are left to control. */
const CONTROL_CONNECTIONS = 2
/** Connections beyond its even part that an instance may open while others leave room. */
const SURPLUS_CONNECTIONS = 1
/** Part of a server's connections that may be idle. */
const IDLE_FRACTION = 0.5

export function planConnections (connectionsPerServer: number, instances: number): ConnectionBudget {
  const available = Math.max(0, connectionsPerServer - CONTROL_CONNECTIONS)
  const instanceCount = Math.max(1, instances)
  return { maximum: Math.floor(available / instanceCount) + SURPLUS_CONNECTIONS, idle: Math.floor(available * IDLE_FRACTION / instanceCount) }
}
