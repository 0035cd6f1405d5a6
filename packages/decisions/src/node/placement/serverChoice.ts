/**
 * Chooses the server for a statement: the one with the shortest expected wait.
 *
 * Load patterns: a slow server receives less work as its answers take longer, and is
 * tried again as its average fades. A replica that lacks a position is not chosen for
 * reads that require it until it may have caught up. Servers of other failure domains
 * are used when those of the same domain are busier by more than the network latency
 * costs. Many instances choose at the same moment with knowledge of different age; each
 * counts the statements that the others are likely to have at a server as many as its own.
 * Among servers that are about equal the one in the own failure domain is chosen.
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
  /** Whether the server is in the failure domain of this instance. @default false */
  isNear?: boolean
  /** Number of instances that choose among the group's servers. @default 1 */
  choosers?: number
  /** Whether statements of the most urgent priority of this instance run there, and this statement has a lower one. @default false */
  runsUrgentWork?: boolean
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

/** Whether the server is not expected to hold the position. */
export function lacksPosition ({ missing, isPrimary, lag }: ServerLoad, { position, reachedAt }: PositionRequirement, now: number): boolean {
  if (isPrimary) return false
  if (missing !== undefined && now < missing.until && comparePositions(position, missing.position) >= 0) return true
  return !isPositionExpected(lag, position, reachedAt, now)
}

export type PositionRequirement = Extract<ReadRequirement, { kind: 'position' }>

/** Additional cost of a server without an idle connection of the account when servers are compared evenly, in milliseconds: without it a statement in progress at one server would open a connection at the next. */
const EVEN_CONNECT_COST_MILLISECONDS = 15
/** Difference of expected waits below which two servers count as equal, in milliseconds: about two network round trips between failure domains, which cost traffic besides time. */
const EQUAL_WAIT_MILLISECONDS = 5

/** Expected wait if every other instance that chooses among the servers has as many statements outstanding there as this one. */
function estimateSharedWait (server: ServerLoad, now: number): number {
  const wait = estimateWait(server, now, PRIMARY_PENALTY_MILLISECONDS)
  const ofOthers = server.outstanding * ((server.choosers ?? 1) - 1)
  const connectCost = server.connection === 'match' ? 0 : EVEN_CONNECT_COST_MILLISECONDS
  return wait + computeFadedAverage(server, now) * ofOthers / Math.max(1, server.slots) + connectCost
}

/** Chooses the server with the shortest shared wait, or one of the own failure domain that is about equal. */
function chooseEvenly (servers: readonly ServerLoad[], now: number): ServerLoad | undefined {
  const usable = servers.map(server => ({ server, wait: estimateSharedWait(server, now) })).filter(({ wait }) => wait < Infinity)
  const least = Math.min(...usable.map(({ wait }) => wait))
  const equal = usable.filter(({ wait }) => wait <= least + EQUAL_WAIT_MILLISECONDS)
  const near = equal.filter(({ server }) => server.isNear === true)
  const candidates = near.length > 0 ? near : equal
  return candidates.reduce<typeof candidates[number] | undefined>((best, candidate) => best === undefined || candidate.wait < best.wait ? candidate : best, undefined)?.server
}

/** Removes a primary that runs urgent work, if another server can take the statement now. */
function avoidUrgentPrimary (servers: readonly ServerLoad[], now: number): readonly ServerLoad[] {
  const others = servers.filter(({ isPrimary, runsUrgentWork }) => !(isPrimary && runsUrgentWork === true))
  return others.some(server => estimateWait(server, now, 0) < Infinity) ? others : servers
}

/** "same role": the choice between primary and replicas follows the expected wait alone, and the servers of the role are compared evenly; "any role": all servers are compared evenly. */
export type EvenChoice = 'same role' | 'any role'

const EVEN_CHOICES: Record<EvenChoice, (servers: readonly ServerLoad[], now: number) => ServerLoad | undefined> = {
  'same role': (servers, now) => {
    const least = chooseLeastWait(servers, now)
    return chooseEvenly(servers.filter(({ isPrimary }) => isPrimary === least?.isPrimary), now)
  },
  'any role': (servers, now) => chooseEvenly(avoidUrgentPrimary(servers, now), now)
}

/**
 * Chooses the server for a read that requires a position; undefined if none can take
 * it now. If the primary can't be used, a replica is chosen even if it is expected to
 * lack the position.
 */
export function chooseReadServer (servers: readonly ServerLoad[], requirement: PositionRequirement, now: number, choice: EvenChoice = 'same role'): ServerLoad | undefined {
  const chooseOne = EVEN_CHOICES[choice]
  const available = servers.filter(({ leaving, isPrimary }) => !leaving || isPrimary)
  const upToDate = chooseOne(available.filter(server => !lacksPosition(server, requirement, now)), now)
  if (upToDate !== undefined || available.some(({ isPrimary }) => isPrimary)) return upToDate
  return chooseOne(available.filter(({ missing }) => missing === undefined || now >= missing.until), now)
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
