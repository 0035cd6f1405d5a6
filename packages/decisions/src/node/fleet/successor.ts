/** Selects the successor of a group's primary, and detects whether the primary can continue instead. */

import { comparePositions } from '../session/position.js'
import type { KnownServer } from './directory.js'
import type { GroupStep, ServerStatus } from './groupTypes.js'

/** How long to wait for further answers before choosing among those received, in milliseconds: two connection attempts. */
const ANSWER_WAIT_MILLISECONDS = 300

/** The designated primary, if the directory lists it. */
export function findPrimary ({ state, environment }: GroupStep): KnownServer | undefined {
  return environment.servers.find(({ member }) => member === state.designation?.member)
}

/** Servers that could be promoted. */
export function listCandidates ({ state, environment }: GroupStep): KnownServer[] {
  return environment.servers.filter(({ member, leaving }) => {
    const excluded = (state.excludedUntil.get(member) ?? -Infinity) > environment.now
    // A designated server that was never promoted is still a replica, and remains a candidate.
    const isPrimary = member === state.designation?.member && state.statuses.get(member)?.status.role !== 'replica'
    return !isPrimary && !leaving && !excluded
  })
}

/** The member's status, if it arrived in the current phase. */
export function findFreshStatus ({ state }: GroupStep, member: string): ServerStatus | undefined {
  const latest = state.statuses.get(member)
  return latest !== undefined && latest.at >= state.phaseSince ? latest.status : undefined
}

/** The candidates, and the primary if the directory lists it. */
export function listMembersToAsk (step: GroupStep): string[] {
  const primaryMember = step.state.designation?.member
  const present = step.environment.servers.some(({ member }) => member === primaryMember)
  const candidates = listCandidates(step).map(({ member }) => member)
  return primaryMember !== undefined && present ? [...new Set([...candidates, primaryMember])] : candidates
}

/** The status of a primary that has restarted with its log and is still primary, so that no other server was promoted. */
export function findRestartedPrimary (step: GroupStep): ServerStatus | undefined {
  const { state } = step
  const primary = findPrimary(step)
  if (primary === undefined || state.planned || primary.bornAt === state.bornAt || primary.leaving) return undefined
  const status = findFreshStatus(step, primary.member)
  return status?.role === 'primary' ? status : undefined
}

/** The status of a primary that is reachable again while no candidate answers, so that no other server was or can be promoted. */
export function findRecoveredPrimary (step: GroupStep, candidates: readonly KnownServer[]): ServerStatus | undefined {
  const { state, environment } = step
  const primary = findPrimary(step)
  if (primary === undefined || primary.leaving || environment.verdict !== 'reachable') return undefined
  const answered = candidates.some(({ member }) => findFreshStatus(step, member) !== undefined)
  if (answered || environment.now - state.phaseSince <= ANSWER_WAIT_MILLISECONDS) return undefined
  const status = findFreshStatus(step, primary.member)
  return status?.role === 'primary' ? status : undefined
}

interface AnsweredCandidate {
  member: string
  status: ServerStatus
}

/** The candidate with the newest received position among those that answered. */
export function chooseCandidate (step: GroupStep, candidates: readonly KnownServer[]): AnsweredCandidate | undefined {
  const answered = candidates.flatMap(({ member }): AnsweredCandidate[] => {
    const status = findFreshStatus(step, member)
    return status === undefined ? [] : [{ member, status }]
  })
  return answered.reduce<AnsweredCandidate | undefined>((best, candidate) => best === undefined || comparePositions(candidate.status.received, best.status.received) > 0 ? candidate : best, undefined)
}

/** Whether enough candidates have answered for one of them to hold every acknowledged commit. Without synchronous replicas no number guarantees that, and a time limit decides. */
export function hasEnoughAnswers (step: GroupStep, candidates: readonly KnownServer[]): boolean {
  const { synchronousReplicas } = step.environment
  const answered = candidates.filter(({ member }) => findFreshStatus(step, member) !== undefined).length
  if (answered === candidates.length) return true
  if (synchronousReplicas > 0) return answered > candidates.length - synchronousReplicas
  return step.environment.now - step.state.phaseSince > ANSWER_WAIT_MILLISECONDS
}
