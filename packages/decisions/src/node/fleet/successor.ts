/** Who could take over a group, and whether its primary can go on instead. */

import { comparePositions } from '../session/position.js'
import type { KnownServer } from './directory.js'
import type { GroupStep, ServerStatus } from './groupTypes.js'

/** Time that servers have to answer before one is chosen among those that did, in milliseconds: two connection attempts. */
const CHOOSE_MILLISECONDS = 300

/** The designated primary, if it is known to run. */
export function primaryOf ({ state, around }: GroupStep): KnownServer | undefined {
  return around.servers.find(({ member }) => member === state.designation?.member)
}

/** Servers that could take over. */
export function candidatesOf ({ state, around }: GroupStep): KnownServer[] {
  return around.servers.filter(({ member, leaving }) => {
    const passed = (state.passedOver.get(member) ?? -Infinity) > around.now
    // One that was designated and never promoted is a replica like the others.
    const leads = member === state.designation?.member && state.statuses.get(member)?.status.role !== 'replica'
    return !leads && !leaving && !passed
  })
}

/** A status that came after this phase began. */
export function freshStatus ({ state }: GroupStep, member: string): ServerStatus | undefined {
  const known = state.statuses.get(member)
  return known !== undefined && known.at >= state.since ? known.status : undefined
}

/** Candidates, and the primary while it is there. */
export function membersToAsk (step: GroupStep): string[] {
  const old = step.state.designation?.member
  const present = step.around.servers.some(({ member }) => member === old)
  const candidates = candidatesOf(step).map(({ member }) => member)
  return old !== undefined && present ? [...new Set([...candidates, old])] : candidates
}

/** Whether the primary has started again with its log, and nobody was promoted meanwhile. */
export function hasReturned (step: GroupStep): ServerStatus | undefined {
  const { state } = step
  const primary = primaryOf(step)
  if (primary === undefined || state.planned || primary.bornAt === state.bornAt || primary.leaving) return undefined
  const status = freshStatus(step, primary.member)
  return status?.role === 'primary' ? status : undefined
}

/** Whether the primary can be reached again as before while no candidate answers, so that nobody was or can be promoted. */
export function hasRecovered (step: GroupStep, candidates: readonly KnownServer[]): ServerStatus | undefined {
  const { state, around } = step
  const primary = primaryOf(step)
  if (primary === undefined || primary.leaving || around.verdict !== 'reachable') return undefined
  const answered = candidates.some(({ member }) => freshStatus(step, member) !== undefined)
  if (answered || around.now - state.since <= CHOOSE_MILLISECONDS) return undefined
  const status = freshStatus(step, primary.member)
  return status?.role === 'primary' ? status : undefined
}

interface Choice {
  member: string
  status: ServerStatus
}

/** The candidate that has received most, of those that answered. */
export function bestChoice (step: GroupStep, candidates: readonly KnownServer[]): Choice | undefined {
  const answered = candidates.flatMap(({ member }): Choice[] => {
    const status = freshStatus(step, member)
    return status === undefined ? [] : [{ member, status }]
  })
  return answered.reduce<Choice | undefined>((best, choice) => best === undefined || comparePositions(choice.status.received, best.status.received) > 0 ? choice : best, undefined)
}

/** Whether enough replicas have answered that one of them holds every acknowledged commit. */
export function isCovered (step: GroupStep, candidates: readonly KnownServer[]): boolean {
  const { synchronousReplicas } = step.around
  const answered = candidates.filter(({ member }) => freshStatus(step, member) !== undefined).length
  if (answered === candidates.length) return true
  if (synchronousReplicas > 0) return answered > candidates.length - synchronousReplicas
  return step.around.now - step.state.since > CHOOSE_MILLISECONDS
}
