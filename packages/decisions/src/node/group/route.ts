/** Which member of a group runs a request. */

import { includesPosition } from '../session/position.js'
import { appliedPlace, currentPrimary, highestTerm, memberAge } from './view.js'
import type { LogPosition } from '../session/position.js'
import type { GroupView, MemberView } from './view.js'

/** What a request needs of the member that runs it. */
export type RouteNeed =
  | { kind: 'write' }
  | { kind: 'session-read', token: LogPosition }
  | { kind: 'aged-read', maximumAgeMilliseconds: number, token?: LogPosition }

/** Why a member was chosen; it goes into the log line of the decision. */
export type RouteReason = 'primary' | 'replica holds the session' | 'replica within the age' | 'primary holds the session'

export type RouteDecision =
  | { kind: 'member', member: string, reason: RouteReason, term: number }
  | { kind: 'none', reason: 'no primary is known' | 'no member is at the session\'s place' | 'no member is within the age' }

/** What the instance knows of a member beside the group's own state. */
export interface MemberLoad {
  /** Requests that wait for a connection or run. */
  busy: number
  /** Same failure domain as the instance. */
  near: boolean
}

function byLoad (loads: ReadonlyMap<string, MemberLoad>): (left: MemberView, right: MemberView) => number {
  return (left, right) => {
    const leftLoad = loads.get(left.status.member) ?? { busy: 0, near: false }
    const rightLoad = loads.get(right.status.member) ?? { busy: 0, near: false }
    if (leftLoad.busy !== rightLoad.busy) return leftLoad.busy - rightLoad.busy
    return Number(rightLoad.near) - Number(leftLoad.near)
  }
}

function routeToPrimary (view: GroupView, reason: RouteReason): RouteDecision {
  const primary = currentPrimary(view)
  if (primary === undefined) return { kind: 'none', reason: 'no primary is known' }
  return { kind: 'member', member: primary.status.member, reason, term: primary.status.adoptedTerm }
}

function usableReplicas (view: GroupView): MemberView[] {
  return [...view.members.values()].filter(({ status, reachable }) => status.role === 'replica' && reachable && !status.leaving)
}

type Deciders = { [Kind in RouteNeed['kind']]: (view: GroupView, need: Extract<RouteNeed, { kind: Kind }>, loads: ReadonlyMap<string, MemberLoad>, now: number) => RouteDecision }

const DECIDERS: Deciders = {
  write: view => routeToPrimary(view, 'primary'),
  'session-read': (view, { token }, loads) => {
    const fresh = usableReplicas(view)
      .filter(({ status }) => includesPosition(appliedPlace(status), token))
      .sort(byLoad(loads))
    if (fresh.length > 0) return { kind: 'member', member: fresh[0].status.member, reason: 'replica holds the session', term: fresh[0].status.logTerm }
    const primary = currentPrimary(view)
    // A primary of an earlier term than the token's may have been replaced.
    if (primary === undefined || !includesPosition(appliedPlace(primary.status), { term: token.term, position: 0 }) || highestTerm(view) < token.term) {
      return { kind: 'none', reason: 'no member is at the session\'s place' }
    }
    return routeToPrimary(view, 'primary holds the session')
  },
  'aged-read': (view, need, loads, now) => {
    const within = [...view.members.values()]
      .filter(({ status, reachable }) => reachable && !status.leaving && (need.token === undefined || includesPosition(appliedPlace(status), need.token)))
      .filter(member => memberAge(view, member, now) <= need.maximumAgeMilliseconds)
      .sort((left, right) => Number(left.status.role === 'primary') - Number(right.status.role === 'primary') || byLoad(loads)(left, right))
    if (within.length === 0) return { kind: 'none', reason: 'no member is within the age' }
    const [{ status }] = within
    return { kind: 'member', member: status.member, reason: status.role === 'primary' ? 'primary' : 'replica within the age', term: status.logTerm }
  }
}

/** Decides which member runs a request. */
export function decideRoute (view: GroupView, need: RouteNeed, loads: ReadonlyMap<string, MemberLoad>, now: number): RouteDecision {
  const decide = DECIDERS[need.kind] as (view: GroupView, need: RouteNeed, loads: ReadonlyMap<string, MemberLoad>, now: number) => RouteDecision
  return decide(view, need, loads, now)
}
