/**
 * Chooses the server for a statement: the one with the shortest expected wait.
 *
 * Load patterns: a slow server receives less work as its answers take longer, and is
 * tried again as its average fades. A replica that lacks a position is not chosen for
 * reads that require it until it may have caught up. Servers of other failure domains
 * are used when those of the same domain are busier by more than the network latency
 * costs.
 */

import { comparePositions } from '../session/position.js'
import { isPositionExpected } from './replicaLag.js'
import type { LogPosition } from '../session/position.js'
import type { ReadRequirement } from './readNeed.js'
import type { ReplicaLag } from './replicaLag.js'

export interface ServerLoad {
  member: string
  isPrimary: boolean
  slots: number
  /** Statements of this instance that wait for the server's answer. */
  outstanding: number
  /** Maximum of `outstanding`, see concurrencyLimit.ts. */
  allowed: number
  /** Moving average of the answer time, in milliseconds. */
  averageMilliseconds: number
  /** Time of the last answer. */
  answeredAt: number
  /** Whether the server is unreachable or refuses connections. */
  failing: boolean
  leaving: boolean
  /** Which connection a statement would get. */
  connection: ConnectionState
  /** Position that the server last reported as missing, and when it may hold it. */
  missing?: { position: LogPosition, until: number }
  lag: ReplicaLag
}

/** "match": an idle connection of the account; "spare": a new connection, or one that replaces an idle one of another account; "none": all connections are in use. */
export type ConnectionState = 'match' | 'spare' | 'none'

/** Time for which opening a connection occupies a slot of the server, in milliseconds: a server with an idle connection is preferred to one without while the rest of its expected wait is longer by less than this. */
const CONNECT_COST_MILLISECONDS = 15
/** Penalty added to the primary's expected wait for a read that a replica can answer, in milliseconds: only the primary takes writes, and they wait behind long reads. */
const PRIMARY_PENALTY_MILLISECONDS = 60
/** Age of the last answer from which the average fades towards the assumed one, in milliseconds. */
const AVERAGE_FADE_MILLISECONDS = 2_000
/** Average answer time that is assumed of a server without answers, in milliseconds. */
export const ASSUMED_ANSWER_MILLISECONDS = 20

const CONNECTION_COSTS: Record<ConnectionState, number> = { match: 0, spare: CONNECT_COST_MILLISECONDS, none: Infinity }

function computeFadedAverage ({ averageMilliseconds, answeredAt }: ServerLoad, now: number): number {
  const staleMilliseconds = Math.max(0, now - answeredAt - AVERAGE_FADE_MILLISECONDS)
  const weight = AVERAGE_FADE_MILLISECONDS / (AVERAGE_FADE_MILLISECONDS + staleMilliseconds)
  return averageMilliseconds * weight + ASSUMED_ANSWER_MILLISECONDS * (1 - weight)
}

/** Expected time until a statement is answered, in milliseconds; infinite if it can't be sent now. */
export function estimateWait (server: ServerLoad, now: number, primaryPenaltyMilliseconds: number): number {
  if (server.failing || server.outstanding >= server.allowed) return Infinity
  const average = computeFadedAverage(server, now)
  const queued = average * server.outstanding / Math.max(1, server.slots)
  return average + queued + CONNECTION_COSTS[server.connection] + (server.isPrimary ? primaryPenaltyMilliseconds : 0)
}

function lacksPosition ({ missing, isPrimary, lag }: ServerLoad, { position, reachedAt }: PositionRequirement, now: number): boolean {
  if (isPrimary) return false
  if (missing !== undefined && now < missing.until && comparePositions(position, missing.position) >= 0) return true
  return !isPositionExpected(lag, position, reachedAt, now)
}

export type PositionRequirement = Extract<ReadRequirement, { kind: 'position' }>

/**
 * Chooses the server for a read that requires a position; undefined if none can take
 * it now. If the primary can't be used, a replica is chosen even if it is expected to
 * lack the position.
 */
export function chooseReadServer (servers: readonly ServerLoad[], requirement: PositionRequirement, now: number): ServerLoad | undefined {
  const available = servers.filter(({ leaving, isPrimary }) => !leaving || isPrimary)
  const upToDate = chooseLeastWait(available.filter(server => !lacksPosition(server, requirement, now)), now)
  if (upToDate !== undefined || available.some(({ isPrimary }) => isPrimary)) return upToDate
  return chooseLeastWait(available.filter(({ missing }) => missing === undefined || now >= missing.until), now)
}

function chooseLeastWait (servers: readonly ServerLoad[], now: number): ServerLoad | undefined {
  let best: ServerLoad | undefined
  let least = Infinity
  for (const server of servers) {
    const waitMilliseconds = estimateWait(server, now, PRIMARY_PENALTY_MILLISECONDS)
    if (waitMilliseconds >= least) continue
    least = waitMilliseconds
    best = server
  }
  return best
}
