/** Decides which member of a group runs a request. */

import { includesPosition } from '../session/position.js'
import { isHandingOver } from './failover.js'
import { currentPrimary, dataAge, highestTerm, lastAppliedPosition } from './view.js'
import type { LogPosition } from '../session/position.js'
import type { GroupView, MemberView } from './view.js'

/** What a request requires of the member that runs it. `requiredPosition` is the log position that the member's reads must include. */
export type RouteNeed =
  | { kind: 'write' }
  | { kind: 'session-read', requiredPosition: LogPosition }
  | { kind: 'aged-read', maximumAgeMilliseconds: number, requiredPosition?: LogPosition }

/** Why a member was chosen; written to the log and the metrics. */
export type RouteReason = 'primary' | 'replica holds the session' | 'replica within the age' | 'primary holds the session'

/** Why no member was chosen; part of the error that the caller receives. */
export type NoRouteReason =
  | 'no primary is known'
  | 'the primary is leaving'
  | 'no member is at the session\'s place'
  | 'no member is within the age'

export type RouteDecision =
  | { kind: 'member', member: string, reason: RouteReason, term: number }
  | { kind: 'none', reason: NoRouteReason }

/** What the instance knows about a member besides its status. */
export interface MemberLoad {
  /** Number of requests that wait for a connection to the member or run on it. */
  busy: number
  /** Whether the member is in the instance's failure domain. */
  sameFailureDomain: boolean
}

/** A member that may run a request. */
interface Candidate {
  view: MemberView
  reason: RouteReason
}

type Candidates = readonly Candidate[] | NoRouteReason

function findPrimaryCandidate (view: GroupView, reason: RouteReason): Candidates {
  const primary = currentPrimary(view)
  if (primary === undefined) return 'no primary is known'
  if (isHandingOver(view)) return 'the primary is leaving'
  return [{ view: primary, reason }]
}

function findUsableReplicas (view: GroupView): MemberView[] {
  return [...view.members.values()].filter(({ status, reachable }) => status.role === 'replica' && reachable && !status.leaving)
}

type CandidateFinders = { [Kind in RouteNeed['kind']]: (view: GroupView, need: Extract<RouteNeed, { kind: Kind }>, now: number) => Candidates }

const CANDIDATE_FINDERS: CandidateFinders = {
  write: view => findPrimaryCandidate(view, 'primary'),
  'session-read': (view, { requiredPosition }) => {
    const upToDate = findUsableReplicas(view).filter(({ status }) => includesPosition(lastAppliedPosition(status), requiredPosition))
    if (upToDate.length > 0) return upToDate.map(member => ({ view: member, reason: 'replica holds the session' }))
    const primary = currentPrimary(view)
    // A primary of an earlier term than the required position's may have been replaced.
    if (primary === undefined || !includesPosition(lastAppliedPosition(primary.status), { term: requiredPosition.term, position: 0 }) || highestTerm(view) < requiredPosition.term) {
      return 'no member is at the session\'s place'
    }
    return findPrimaryCandidate(view, 'primary holds the session')
  },
  'aged-read': (view, need, now) => {
    const withinAge = [...view.members.values()]
      .filter(({ status, reachable }) => reachable && !status.leaving && (need.requiredPosition === undefined || includesPosition(lastAppliedPosition(status), need.requiredPosition)))
      .filter(member => dataAge(view, member, now) <= need.maximumAgeMilliseconds)
    const replicas = withinAge.filter(({ status }) => status.role === 'replica')
    if (replicas.length > 0) return replicas.map(member => ({ view: member, reason: 'replica within the age' }))
    return withinAge.length > 0 ? withinAge.map(member => ({ view: member, reason: 'primary' })) : 'no member is within the age'
  }
}

function findCandidates (view: GroupView, need: RouteNeed, now: number): Candidates {
  const find = CANDIDATE_FINDERS[need.kind] as (view: GroupView, need: RouteNeed, now: number) => Candidates
  return find(view, need, now)
}

function createLoadComparator (loads: ReadonlyMap<string, MemberLoad>): (left: Candidate, right: Candidate) => number {
  return (left, right) => {
    const leftLoad = loads.get(left.view.status.member) ?? { busy: 0, sameFailureDomain: false }
    const rightLoad = loads.get(right.view.status.member) ?? { busy: 0, sameFailureDomain: false }
    if (leftLoad.busy !== rightLoad.busy) return leftLoad.busy - rightLoad.busy
    return Number(rightLoad.sameFailureDomain) - Number(leftLoad.sameFailureDomain)
  }
}

/** Chooses the least busy member that may run a request; among equally busy ones, one in the instance's failure domain. */
export function decideRoute (view: GroupView, need: RouteNeed, loads: ReadonlyMap<string, MemberLoad>, now: number): RouteDecision {
  const candidates = findCandidates(view, need, now)
  if (typeof candidates === 'string') return { kind: 'none', reason: candidates }
  const [{ view: { status }, reason }] = [...candidates].sort(createLoadComparator(loads))
  return { kind: 'member', member: status.member, reason, term: status.role === 'primary' ? status.adoptedTerm : status.logTerm }
}

/** Whether `member` may run a request, for example after a wait for a connection to it. */
export function mayRun (view: GroupView, need: RouteNeed, member: string, now: number): boolean {
  const candidates = findCandidates(view, need, now)
  return typeof candidates !== 'string' && candidates.some(candidate => candidate.view.status.member === member)
}
