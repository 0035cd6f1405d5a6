/** Who could take over a group, and whether its primary can go on instead. */

import { comparePositions } from '../session/position.js'
import type { KnownServer } from './directory.js'
import type { GroupStep, ServerStatus } from './groupTypes.js'

/** Time that servers have to answer before one is chosen among those that did, in milliseconds: two connection attempts. */
const ANSWER_WAIT_MILLISECONDS = 300

/** The designated primary, if it is known to run. */
export function findPrimary ({ state, environment }: GroupStep): KnownServer | undefined {
  return environment.servers.find(({ member }) => member === state.designation?.member)
}

/** Servers that could take over. */
export function listCandidates ({ state, environment }: GroupStep): KnownServer[] {
  return environment.servers.filter(({ member, leaving }) => {
    const excluded = (state.excludedUntil.get(member) ?? -Infinity) > environment.now
    // One that was designated and never promoted is a replica like the others.
    const isPrimary = member === state.designation?.member && state.statuses.get(member)?.status.role !== 'replica'
    return !isPrimary && !leaving && !excluded
  })
}

/** A status that came after this phase began. */
export function findFreshStatus ({ state }: GroupStep, member: string): ServerStatus | undefined {
  const latest = state.statuses.get(member)
  return latest !== undefined && latest.at >= state.phaseSince ? latest.status : undefined
}

/** Candidates, and the primary while it is there. */
export function listMembersToAsk (step: GroupStep): string[] {
  const primaryMember = step.state.designation?.member
  const present = step.environment.servers.some(({ member }) => member === primaryMember)
  const candidates = listCandidates(step).map(({ member }) => member)
  return primaryMember !== undefined && present ? [...new Set([...candidates, primaryMember])] : candidates
}

/** Whether the primary has started again with its log, and nobody was promoted meanwhile. */
export function findRestartedPrimary (step: GroupStep): ServerStatus | undefined {
  const { state } = step
  const primary = findPrimary(step)
  if (primary === undefined || state.planned || primary.bornAt === state.bornAt || primary.leaving) return undefined
  const status = findFreshStatus(step, primary.member)
  return status?.role === 'primary' ? status : undefined
}

/** Whether the primary can be reached again as before while no candidate answers, so that nobody was or can be promoted. */
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

/** The candidate that has received most, of those that answered. */
export function chooseCandidate (step: GroupStep, candidates: readonly KnownServer[]): AnsweredCandidate | undefined {
  const answered = candidates.flatMap(({ member }): AnsweredCandidate[] => {
    const status = findFreshStatus(step, member)
    return status === undefined ? [] : [{ member, status }]
  })
  return answered.reduce<AnsweredCandidate | undefined>((best, candidate) => best === undefined || comparePositions(candidate.status.received, best.status.received) > 0 ? candidate : best, undefined)
}

/** Whether enough replicas have answered that one of them holds every acknowledged commit. */
export function hasEnoughAnswers (step: GroupStep, candidates: readonly KnownServer[]): boolean {
  const { synchronousReplicas } = step.environment
  const answered = candidates.filter(({ member }) => findFreshStatus(step, member) !== undefined).length
  if (answered === candidates.length) return true
  if (synchronousReplicas > 0) return answered > candidates.length - synchronousReplicas
  return step.environment.now - step.state.phaseSince > ANSWER_WAIT_MILLISECONDS
}
