/**
 * Which server a statement goes to: the one with the least expected wait.
 *
 * Load patterns: a slow server gets less work as its answers take longer, and
 * is tried again as its average fades; a replica that lacks a position is left
 * alone for the time it needs; servers of other failure domains are used when
 * the near one is busier by more than the way costs.
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
  /** Statements of this instance that wait for its answer. */
  outstanding: number
  /** Statements of this instance that may wait for its answer, see concurrencyLimit.ts. */
  allowed: number
  /** Moving average of the time of a statement, in milliseconds. */
  averageMilliseconds: number
  /** Time of the last answer. */
  answeredAt: number
  /** It can't be reached, or refuses connections. */
  failing: boolean
  leaving: boolean
  /** How a statement would get a connection. */
  connection: ConnectionState
  /** Position that it said it lacks, and when it may have it. */
  missing?: { position: LogPosition, until: number }
  lag: ReplicaLag
}

/** "match": an idle one of the account; "spare": room for another, or an idle one to replace; "none": all are in use. */
export type ConnectionState = 'match' | 'spare' | 'none'

/** Time that a new connection takes of a server's slot, in milliseconds: the deployments' own figure, rounded. */
const CONNECT_COST_MILLISECONDS = 15
/** Extra wait that the primary is charged for a read that a replica can answer, in milliseconds: writes have nowhere else to go, and wait behind long reads. */
const PRIMARY_PENALTY_MILLISECONDS = 60
/** Time after which an average says less and less, in milliseconds. */
const AVERAGE_FADE_MILLISECONDS = 2_000
/** Average that is assumed of a server that was not heard, in milliseconds. */
export const ASSUMED_ANSWER_MILLISECONDS = 20

const CONNECTION_COSTS: Record<ConnectionState, number> = { match: 0, spare: CONNECT_COST_MILLISECONDS, none: Infinity }

function computeFadedAverage ({ averageMilliseconds, answeredAt }: ServerLoad, now: number): number {
  const staleMilliseconds = Math.max(0, now - answeredAt - AVERAGE_FADE_MILLISECONDS)
  const weight = AVERAGE_FADE_MILLISECONDS / (AVERAGE_FADE_MILLISECONDS + staleMilliseconds)
  return averageMilliseconds * weight + ASSUMED_ANSWER_MILLISECONDS * (1 - weight)
}

/** Expected time until a statement is answered, in milliseconds; infinite: it can't be sent now. */
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
 * The server for a read that needs a position; undefined: none can take it now.
 * Where the primary can't be used, a replica that may lack the position is
 * asked all the same.
 */
export function chooseReadServer (servers: readonly ServerLoad[], need: PositionRequirement, now: number): ServerLoad | undefined {
  const available = servers.filter(({ leaving, isPrimary }) => !leaving || isPrimary)
  const upToDate = chooseLeastWait(available.filter(server => !lacksPosition(server, need, now)), now)
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
