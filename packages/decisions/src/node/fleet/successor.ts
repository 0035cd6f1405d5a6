/** Selects the successor of a group's primary, and detects whether the primary can continue instead. */

import { comparePositions } from '../session/position.js'
import { isDrained } from './drainedServers.js'
import { isLeading } from './orderedPromotions.js'
import { countSynchronousReplicas, countUnansweredCopies, describeRun, findInheritedLog, findLastPrimary, hasPrimaryReplacement } from './commitCopies.js'
import type { ServerRun } from './commitCopies.js'
import type { KnownServer } from './directory.js'
import type { GroupStep, ServerStatus } from './groupTypes.js'

/** How long to wait for further answers before choosing among those received, in milliseconds: two connection attempts. */
const ANSWER_WAIT_MILLISECONDS = 300

/** The designated primary, if the directory lists it. */
export function findPrimary ({ state, environment }: GroupStep): KnownServer | undefined {
  return environment.servers.find(({ member }) => member === state.designation?.member)
}

function isExcluded ({ state, environment }: GroupStep, member: string): boolean {
  return (state.excludedUntil.get(member) ?? -Infinity) > environment.now
}

/** Servers that could be promoted. */
export function listCandidates (step: GroupStep): KnownServer[] {
  const { state, environment } = step
  return environment.servers.filter(({ member, leaving }) => {
    // A designated server that was never promoted is still a replica or a former primary, and remains a candidate.
    const status = state.statuses.get(member)?.status
    const isPrimary = member === state.designation?.member && (status === undefined || isLeading(step, status))
    return !isPrimary && !leaving && !isExcluded(step, member)
  }).filter(server => !isDrained(step, server))
}

/** The member's status, if it was asked for in the current phase. */
export function findFreshStatus ({ state }: GroupStep, member: string): ServerStatus | undefined {
  const latest = state.statuses.get(member)
  return latest !== undefined && latest.at >= state.phaseSince ? latest.status : undefined
}

/** The status of the designated server, if it was asked for in the current phase and shows that the server leads the group. */
export function findLeadingStatus (step: GroupStep): ServerStatus | undefined {
  const member = step.state.designation?.member
  const status = member === undefined ? undefined : findFreshStatus(step, member)
  return status !== undefined && isLeading(step, status) ? status : undefined
}

/** The candidates, and the primary if the directory lists it; with synchronous replicas all servers, as each may hold an acknowledged commit. */
export function listMembersToAsk (step: GroupStep): string[] {
  if (countSynchronousReplicas(step) > 0) return step.environment.servers.map(({ member }) => member)
  const primaryMember = step.state.designation?.member
  const present = step.environment.servers.some(({ member }) => member === primaryMember)
  const candidates = listCandidates(step).map(({ member }) => member)
  return primaryMember !== undefined && present ? [...new Set([...candidates, primaryMember])] : candidates
}

function isSameRun (server: KnownServer, run: ServerRun | undefined): boolean {
  return run !== undefined && describeRun(server) === describeRun(run)
}

/** The status of a primary that has restarted with its log, or was promoted late, and leads the group. */
export function findRestartedPrimary (step: GroupStep): ServerStatus | undefined {
  const { state } = step
  const primary = findPrimary(step)
  if (primary === undefined || state.planned || isSameRun(primary, state.lastPrimary) || primary.leaving || isDrained(step, primary)) return undefined
  return findLeadingStatus(step)
}

/** The status of a primary that is reachable again while no candidate can be promoted, so that no other server was or can be promoted. */
export function findRecoveredPrimary (step: GroupStep, candidates: readonly KnownServer[]): ServerStatus | undefined {
  const { state, environment } = step
  const primary = findPrimary(step)
  if (primary === undefined || primary.leaving || isDrained(step, primary) || environment.verdict !== 'reachable') return undefined
  const isPromotable = countSynchronousReplicas(step) === 0
    ? candidates.some(({ member }) => findFreshStatus(step, member) !== undefined)
    : chooseCandidate(step, candidates) !== undefined
  if (isPromotable || environment.now - state.phaseSince <= ANSWER_WAIT_MILLISECONDS) return undefined
  return findLeadingStatus(step)
}

export interface AnsweredServer {
  server: KnownServer
  status: ServerStatus
}

function listAnswered (step: GroupStep, servers: readonly KnownServer[]): AnsweredServer[] {
  return servers.flatMap((server): AnsweredServer[] => {
    const status = findFreshStatus(step, server.member)
    return status === undefined ? [] : [{ server, status }]
  })
}

/** Whether the server reports that it is primary, and is not known to lead the group. That its promotion has taken effect shows later than that of a replica: only in the term. */
function isUnconfirmedPrimary (step: GroupStep, { status }: AnsweredServer): boolean {
  return status.role === 'primary' && !isLeading(step, status)
}

/** Compares two candidates by position; of equal ones, a replica is better than a former primary, and a warm server than a cold one. */
function compareCandidates (left: AnsweredServer, right: AnsweredServer, step: GroupStep): number {
  const { cold } = step.environment
  const compareFlags = (isWorse: (candidate: AnsweredServer) => boolean): number => Number(isWorse(right)) - Number(isWorse(left))
  const difference = comparePositions(left.status.received, right.status.received)
  if (difference !== 0) return difference
  return compareFlags(candidate => isUnconfirmedPrimary(step, candidate)) || compareFlags(({ server }) => cold?.has(server.member) === true)
}

function findNewest (step: GroupStep, answered: readonly AnsweredServer[]): AnsweredServer | undefined {
  return answered.reduce<AnsweredServer | undefined>((best, candidate) => best === undefined || compareCandidates(candidate, best, step) > 0 ? candidate : best, undefined)
}

/** The candidate with the newest received position, once enough have answered. */
export function chooseCandidate (step: GroupStep, candidates: readonly KnownServer[]): AnsweredServer | undefined {
  return countSynchronousReplicas(step) > 0 ? chooseSynchronousCandidate(step) : chooseAsynchronousCandidate(step, candidates)
}

/** Without synchronous replicas, no number of answers guarantees that one of them holds every acknowledged commit, and a time limit decides. */
function chooseAsynchronousCandidate (step: GroupStep, candidates: readonly KnownServer[]): AnsweredServer | undefined {
  const answered = listAnswered(step, candidates)
  const isOver = step.environment.now - step.state.phaseSince > ANSWER_WAIT_MILLISECONDS
  if (answered.length < candidates.length && !isOver) return undefined
  return findNewest(step, answered.filter(candidate => !isUnconfirmedPrimary(step, candidate))) ?? findNewest(step, answered)
}

/**
 * The candidate that holds every acknowledged commit; undefined while none is known to.
 * All servers that may hold one count, not only those that may be promoted. A server that
 * leaves is promoted where no other holds them: a leaving primary serves until another
 * one has caught up.
 */
function chooseSynchronousCandidate (step: GroupStep): AnsweredServer | undefined {
  const { environment } = step
  const primary = findAnsweringPrimary(step)
  const replicas = listAnswered(step, environment.servers.filter(({ member }) => member !== primary?.server.member))
  const answered = new Set(replicas.map(({ server }) => server.member))
  // As many replicas as acknowledged a commit can't all be among fewer servers.
  const hasEveryCommit = countUnansweredCopies(step, answered) < countSynchronousReplicas(step) && environment.now >= environment.announcedBy
  const lastPrimary = findLastPrimary(step)?.member
  const hasLastPrimary = replicas.some(({ server, status }) => status.role === 'primary' && server.member === lastPrimary)
  const isComplete = hasEveryCommit || hasLastPrimary || hasPrimaryReplacement(step, answered)
  const inherited = findInheritedLog(step)?.upTo
  const newest = isComplete ? findNewest(step, replicas)?.status.received : primary?.status.received
  if (newest === undefined) return undefined
  const isUpToDate = ({ received }: ServerStatus): boolean => comparePositions(received, newest) >= 0 && (inherited === undefined || comparePositions(received, inherited) >= 0)
  const upToDate = replicas.filter(({ server, status }) => !isExcluded(step, server.member) && !isDrained(step, server) && isUpToDate(status))
  return findNewest(step, upToDate.filter(({ server }) => !server.leaving)) ?? findNewest(step, upToDate)
}

/** Whether the primary works and is replaced only because its failure domain is drained. */
export function isDrainedOnly (step: GroupStep): boolean {
  const primary = findPrimary(step)
  return primary !== undefined && !primary.leaving && isDrained(step, primary)
}

/**
 * Whether a candidate has received what a primary that is to be replaced held a moment ago,
 * so that the primary can be closed for a short time only. Without synchronous replicas any
 * candidate will do for a leaving primary.
 */
export function hasFollowingCandidate (step: GroupStep): boolean {
  const { state, environment } = step
  const candidates = listCandidates(step)
  if (countSynchronousReplicas(step) > 0) return hasReachedTarget(step, candidates, -Infinity)
  if (!isDrainedOnly(step)) return candidates.length > 0
  state.drainedSince ??= environment.now
  return hasReachedTarget(step, candidates, state.drainedSince)
}

/** Whether a candidate holds what the primary held when it first answered; statuses from before `since` do not count. */
function hasReachedTarget (step: GroupStep, candidates: readonly KnownServer[], since: number): boolean {
  const { state } = step
  const isRecent = ({ server }: AnsweredServer): boolean => (state.statuses.get(server.member)?.at ?? -Infinity) >= since
  const primary = findAnsweringPrimary(step)
  if (primary !== undefined && isRecent(primary)) state.successorTarget ??= primary.status.received
  const target = state.successorTarget
  return target !== undefined && listAnswered(step, candidates).some(answered => isRecent(answered) && comparePositions(answered.status.received, target) >= 0)
}

/** The designated primary, if it has answered and leads the group: it holds every acknowledged commit. */
function findAnsweringPrimary (step: GroupStep): AnsweredServer | undefined {
  const server = findPrimary(step)
  const status = findLeadingStatus(step)
  return server !== undefined && status !== undefined ? { server, status } : undefined
}
