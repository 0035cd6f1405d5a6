/** Ways to choose one of several servers that can all run a read, for comparison in the model. */

import { chooseReadServer, estimateWait } from '@cyclamenusher/decisions'
import type { ServerLoad } from '@cyclamenusher/decisions'
import type { Random } from './random.js'

export interface ChosenFrom extends ServerLoad {
  isNear: boolean
  /** Number of holders that choose among the same servers. */
  choosers: number
  /** Whether this holder has statements of the most urgent priority at the server. */
  runsUrgentWork: boolean
  /** Outstanding statements of the other holders, as this holder last learned of them. */
  knownOfOthers: number
}

type ServerChoice = (servers: readonly ChosenFrom[], now: number, random: Random) => ChosenFrom

const PRIMARY_PENALTY_MILLISECONDS = 60
/** Every server of the model holds it. */
const ANY_POSITION = { kind: 'position', position: { term: 1, position: 0 }, reachedAt: 0 } as const

function chooseLeast (servers: readonly ChosenFrom[], valueOf: (server: ChosenFrom) => number): ChosenFrom {
  return servers.reduce((best, server) => valueOf(server) < valueOf(best) ? server : best)
}

const withoutUrgent = (servers: readonly ChosenFrom[]): readonly ChosenFrom[] => {
  const free = servers.filter(({ isPrimary, runsUrgentWork }) => !(isPrimary && runsUrgentWork))
  return free.length > 0 ? free : servers
}

/** Expected wait with the given number of outstanding statements in place of the holder's own. */
function waitWith (server: ChosenFrom, outstanding: number, now: number, penalty: number): number {
  const without = estimateWait({ ...server, outstanding: 0, allowed: 1 }, now, penalty)
  return without + server.averageMilliseconds * outstanding / server.slots
}

function weightByFreeSlots (servers: readonly ChosenFrom[], random: Random): ChosenFrom {
  const weights = servers.map(({ slots, outstanding, connection }) => Math.max(0.25, slots - outstanding) * (connection === 'match' ? 4 : 1))
  let left = random.unit() * weights.reduce((sum, weight) => sum + weight, 0)
  return servers.find((_, index) => (left -= weights[index]) <= 0) ?? servers[0]
}

const isHot = ({ outstanding, choosers, slots }: ChosenFrom): boolean => outstanding * choosers >= slots * 2
const isSlow = (server: ChosenFrom, servers: readonly ChosenFrom[]): boolean => server.averageMilliseconds > 2 * Math.min(...servers.map(other => other.averageMilliseconds))

export const SERVER_CHOICES = {
  'least wait': (servers, now) => chooseLeast(servers, server => estimateWait(server, now, PRIMARY_PENALTY_MILLISECONDS)),
  'two random': (servers, now, random) => {
    const first = random.pick(servers)
    const second = random.pick(servers)
    return chooseLeast([first, second], server => estimateWait(server, now, PRIMARY_PENALTY_MILLISECONDS))
  },
  'weighted by free slots': (servers, _now, random) => weightByFreeSlots(withoutUrgent(servers), random),
  'scaled by choosers': (servers, now) => chooseLeast(servers, server => waitWith(server, server.outstanding * server.choosers, now, PRIMARY_PENALTY_MILLISECONDS)),
  'piggybacked state': (servers, now) => chooseLeast(servers, server => waitWith(server, server.outstanding + server.knownOfOthers, now, PRIMARY_PENALTY_MILLISECONDS)),
  'hot and cold': servers => chooseLeast(withoutUrgent(servers), server => (isHot(server) ? 1_000_000 : 0) + (isSlow(server, servers) ? 100_000 : 0) + (server.connection === 'match' ? 0 : 1_000) + (server.isNear ? 0 : 100) + server.outstanding * 10),
  /** The product's: scaled by choosers, a higher cost of new connections, and the nearest of about equal servers. */
  even: (servers, now) => chooseReadServer(servers, ANY_POSITION, now, 'any role') as ChosenFrom
} satisfies Record<string, ServerChoice>

export type ServerChoiceName = keyof typeof SERVER_CHOICES
