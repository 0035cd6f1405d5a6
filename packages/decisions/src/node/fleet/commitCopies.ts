/**
 * The servers of a group that may hold a commit that was acknowledged once a number of
 * synchronous replicas had received it. A server that leaves, that can't be promoted or
 * that is no longer listed may hold the only copy, so these servers are recorded in the
 * log, and a server is taken off the record only after enough others have caught up.
 */

import { comparePositions } from '../session/position.js'
import { isServerName, isStartTime } from './serverFields.js'
import type { LogPosition } from '../session/position.js'
import type { KnownServer } from './directory.js'
import type { GroupStep, ServerStatus } from './groupTypes.js'

/** Interval between status requests while a server is to be taken off the record, in milliseconds. */
export const RELEASE_CHECK_INTERVAL_MILLISECONDS = 250
/** How long a server may go on acknowledging commits by an earlier number of synchronous replicas, in milliseconds. */
const DECLARATION_DELAY_MILLISECONDS = 5_000
/** Interval between attempts to write the record, in milliseconds. */
const RECORD_RETRY_MILLISECONDS = 400

/** One run of a server's process. */
export interface ServerRun {
  member: string
  /** Start time of the process, in milliseconds since 1970. */
  bornAt: number
  /** Host and port. A server that starts at the address of one that left takes over its log. */
  address: string
}

/** The record of one group. */
export interface CommitCopies {
  group: string
  /** Lowest number of synchronous replicas after which a commit may have been acknowledged that only these servers hold. */
  synchronousReplicas: number
  servers: ServerRun[]
  /** The server that was last verified as primary. */
  primary?: ServerRun
  /** What the primary of this term held when it was promoted; a commit before it may be at that server only. */
  inherited?: InheritedLog
}

export interface InheritedLog {
  term: number
  upTo: LogPosition
}

/** Whether an entry of the log or of a snapshot is a record that can be used. */
export function isCommitCopies (entry: unknown): entry is CommitCopies {
  if (typeof entry !== 'object' || entry === null) return false
  const { group, synchronousReplicas, servers, primary, inherited } = entry as Partial<CommitCopies>
  const isRun = (run: Partial<ServerRun> | null): boolean => isServerName(run?.member) && isStartTime(run?.bornAt) && typeof run?.address === 'string'
  const isInherited = inherited === undefined || [inherited?.term, inherited?.upTo?.term, inherited?.upTo?.position].every(Number.isSafeInteger)
  return isServerName(group) && Number.isSafeInteger(synchronousReplicas) && Array.isArray(servers) && servers.every(isRun) && (primary === undefined || isRun(primary)) && isInherited
}

/** Whether control is confirming that recorded servers are no longer needed. */
export interface CopyRelease {
  /** Identifies what is to be taken off the record. */
  subject: string
  since: number
  /** The primary's position after `since`; what was acknowledged before is not beyond it. */
  target?: LogPosition
}

/** Key of a run; names of servers contain no spaces. */
export function describeRun ({ member, bornAt }: Pick<ServerRun, 'member' | 'bornAt'>): string {
  return `${member} ${bornAt}`
}

export function toRun ({ member, bornAt, host, port }: KnownServer): ServerRun {
  return { member, bornAt, address: `${host}:${port}` }
}

/** Lowest number of synchronous replicas after which commits of the group may have been acknowledged; 0 if replication is asynchronous. */
export function countSynchronousReplicas ({ environment }: GroupStep): number {
  const numbers = [environment.synchronousReplicas, environment.copies?.synchronousReplicas ?? 0].filter(number => number > 0)
  return numbers.length === 0 ? 0 : Math.min(...numbers)
}

/** The listed server that took over the log of a run that left. */
function findReplacement ({ environment }: GroupStep, run: ServerRun): ServerRun | undefined {
  if (!environment.leavingRuns.has(describeRun(run))) return undefined
  return environment.servers.map(toRun).find(({ member, bornAt, address }) => address === run.address && member !== run.member && bornAt >= run.bornAt)
}

/** Recorded runs that are not listed, without those whose log a listed server took over. */
function listUnlistedRuns (step: GroupStep): ServerRun[] {
  const listed = new Set(step.environment.servers.map(server => describeRun(toRun(server))))
  return (step.environment.copies?.servers ?? []).filter(run => !listed.has(describeRun(run)) && findReplacement(step, run) === undefined)
}

/** All runs that may hold an acknowledged commit, the primary's included. */
function listPossibleCopies (step: GroupStep): ServerRun[] {
  return [...step.environment.servers.map(toRun), ...listUnlistedRuns(step)]
}

/** The server that acknowledged the newest commits, as far as it is known. */
export function findLastPrimary ({ state, environment }: GroupStep): ServerRun | undefined {
  const known = state.lastPrimary ?? environment.copies?.primary
  if (known !== undefined) return known
  const designated = environment.servers.find(({ member }) => member === state.designation?.member)
  return designated?.role === 'primary' ? toRun(designated) : undefined
}

/** Whether one of the servers that answered took over the log of the last primary, and so holds every acknowledged commit. */
export function hasPrimaryReplacement (step: GroupStep, answered: ReadonlySet<string>): boolean {
  const lastPrimary = findLastPrimary(step)
  const replacement = lastPrimary === undefined ? undefined : findReplacement(step, lastPrimary)
  return replacement !== undefined && answered.has(replacement.member)
}

/** Whether a server that runs anew at its address came back with the log of its earlier run. One that holds less than was seen there lost its log. */
function isBackWithLog ({ state, environment }: GroupStep, run: ServerRun): boolean {
  const server = environment.servers.find(({ member }) => member === run.member)
  const status = state.statuses.get(run.member)
  const seen = state.seenPositions.get(describeRun(run))
  if (server === undefined || status === undefined || seen === undefined) return false
  return toRun(server).address === run.address && comparePositions(status.status.received, seen) >= 0
}

/** Number of runs that may hold an acknowledged commit as a replica, and are not among the listed servers that answered. */
export function countUnansweredCopies (step: GroupStep, answered: ReadonlySet<string>): number {
  const lastPrimary = findLastPrimary(step)?.member
  const silent = step.environment.servers.filter(({ member }) => member !== lastPrimary && !answered.has(member))
  const missing = listUnlistedRuns(step).filter(run => run.member !== lastPrimary && !(answered.has(run.member) && isBackWithLog(step, run)))
  return silent.length + missing.length
}

/** Notes the newest position that a run of a server has reported since the primary's term began. */
export function noteSeenPosition ({ state, environment }: GroupStep, member: string, { received }: ServerStatus): void {
  const server = environment.servers.find(candidate => candidate.member === member)
  if (server === undefined) return
  const run = describeRun(server)
  const seen = state.seenPositions.get(run)
  if (seen === undefined || comparePositions(received, seen) > 0) state.seenPositions = new Map(state.seenPositions).set(run, received)
}

/** Servers whose position has not been seen since the primary's term began. */
export function listUnseenServers (step: GroupStep): string[] {
  if (countSynchronousReplicas(step) === 0) return []
  return step.environment.servers.filter(server => !step.state.seenPositions.has(describeRun(server))).map(({ member }) => member)
}

function isSameRecord (left: CommitCopies | undefined, right: CommitCopies): boolean {
  const describe = ({ synchronousReplicas, servers, primary, inherited }: CommitCopies): string => [synchronousReplicas, primary === undefined ? '' : describeRun(primary), inherited?.term, ...servers.map(describeRun).sort()].join()
  return left !== undefined && describe(left) === describe(right)
}

/** What the newest primary inherited with its promotion; undefined if none was promoted. */
export function findInheritedLog ({ state, environment }: GroupStep): InheritedLog | undefined {
  const recorded = environment.copies?.inherited
  return state.inherited !== undefined && state.inherited.term > (recorded?.term ?? 0) ? state.inherited : recorded
}

/** Notes what a server held when it became primary by a promotion. */
export function noteInheritedLog (step: GroupStep, { term, received }: ServerStatus): void {
  const { state } = step
  const isPromoted = (state.designation?.number ?? 0) > 1 && term > (findInheritedLog(step)?.term ?? 0)
  if (isPromoted && countSynchronousReplicas(step) > 0) state.inherited = { term, upTo: received }
}

/** Writes the record when it lacks a listed server, the declared number of synchronous replicas or the newest promotion. */
export function recordCopies (step: GroupStep): void {
  const { state } = step
  const synchronousReplicas = countSynchronousReplicas(step)
  if (synchronousReplicas === 0) return
  writeRecord(step, { group: state.group, synchronousReplicas, servers: listPossibleCopies(step), primary: findLastPrimary(step), inherited: findInheritedLog(step) })
}

function writeRecord (step: GroupStep, copies: CommitCopies): void {
  const { state, environment } = step
  if (isSameRecord(environment.copies, copies) || environment.now - (state.copiesRecordedAt ?? -Infinity) < RECORD_RETRY_MILLISECONDS) return
  state.copiesRecordedAt = environment.now
  step.effects.push({ kind: 'record copies', copies })
}

/** The member's status, if it was asked for after the release began. */
function findStatusSince ({ state }: GroupStep, member: string, since: number): ServerStatus | undefined {
  const latest = state.statuses.get(member)
  return latest !== undefined && latest.at > since ? latest.status : undefined
}

/**
 * Takes servers that have ended off the record, and a number of synchronous replicas
 * that is no longer declared, once enough listed replicas hold all that was acknowledged.
 * Returns the servers to ask for their status until then; empty if the record is up to date.
 */
export function releaseCopies (step: GroupStep, primary: string): string[] {
  const { state, environment } = step
  const { copies } = environment
  const ended = listUnlistedRuns(step).filter(run => environment.endedRuns.has(describeRun(run)))
  const isNumberChanged = copies?.synchronousReplicas !== environment.synchronousReplicas
  if (copies === undefined || (ended.length === 0 && !isNumberChanged)) {
    state.copyRelease = undefined
    return []
  }
  const subject = [environment.synchronousReplicas, ...ended.map(describeRun)].join()
  const release = state.copyRelease?.subject === subject ? state.copyRelease : { subject, since: environment.now + (isNumberChanged ? DECLARATION_DELAY_MILLISECONDS : 0) }
  const primaryStatus = findStatusSince(step, primary, release.since)
  const target = release.target ?? (primaryStatus?.role === 'primary' ? primaryStatus.received : undefined)
  state.copyRelease = { ...release, target }
  const caughtUp = environment.servers.filter(({ member }) => {
    const received = findStatusSince(step, member, release.since)?.received
    return member !== primary && target !== undefined && received !== undefined && comparePositions(received, target) >= 0
  })
  if (caughtUp.length >= Math.max(copies.synchronousReplicas, environment.synchronousReplicas)) {
    const kept = listPossibleCopies(step).filter(run => !ended.includes(run))
    writeRecord(step, { group: state.group, synchronousReplicas: environment.synchronousReplicas, servers: environment.synchronousReplicas === 0 ? [] : kept, primary: findLastPrimary(step), inherited: findInheritedLog(step) })
  }
  return environment.servers.map(({ member }) => member)
}
