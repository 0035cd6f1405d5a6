/**
 * The replicated state of the control instances: the newest declaration document,
 * the designated primary of each group, the last known servers, and the drained failure
 * domains.
 */

import { isCommitCopies } from './commitCopies.js'
import { isKnownServer, mergeServer } from './directory.js'
import { NO_DRAIN_STATE, applyDrain, decodeDrains, encodeDrains } from './drains.js'
import { applyBounds, applyShareUse, encodeBounds, isWrittenBounds, removeInstances } from './shareBounds.js'
import type { CommitCopies } from './commitCopies.js'
import type { KnownServer } from './directory.js'
import type { DrainState, WrittenDrains } from './drains.js'
import type { ShareBounds, ShareUse, WrittenBounds, WrittenShareUse } from './shareBounds.js'
import type { DeclarationDocument } from '../declaration/declaration.js'

/** The server that is designated as primary of a group. */
export interface Designation {
  group: string
  member: string
  /** Increases by one with each designation in the group. */
  number: number
  /** Lowest log term in which the server leads the group; in an earlier one it is a former primary. Undefined: the first designation, or one of an earlier build. */
  leadsFrom?: number
  /** Log term in which the server was last verified as primary; undefined if it has not been, or by an earlier build. */
  term?: number
}

/** The term in which the primary of a designation was verified. */
export interface VerifiedTerm {
  group: string
  designation: number
  term: number
}

/** Changes of the entry instances that may hold shares of rates or have borrowed lately. Leaders of earlier builds write none. */
export interface ShareHolderChanges {
  added: string[]
  /** Instances whose shares are no longer valid. */
  removed: string[]
  bounds: WrittenBounds
  /** Undefined: written by a leader of an earlier build. */
  use?: WrittenShareUse
}

export type FleetCommand =
  /** Stores what the next leader must know: servers that have changed, the number of entry instances, the servers that may hold a group's acknowledged commits, the entry instances that may hold shares of rates, and the terms in which primaries were verified. */
  | { kind: 'remember', servers: KnownServer[], entries: number, copies?: CommitCopies, shares?: ShareHolderChanges, verified?: VerifiedTerm[] }
  | { kind: 'declare', document: DeclarationDocument }
  /** `after` is the number of the designation to replace; 0 for the first designation. */
  | { kind: 'designate', group: string, member: string, after: number, leadsFrom?: number }
  /** Drains a failure domain, or restores it. Repeating it changes nothing. */
  | { kind: 'drain', failureDomain: string, drained: boolean }

export type FleetOutcome =
  | { kind: 'remembered' }
  | { kind: 'declared', version: number }
  /** The state already holds this version or a higher one; nothing changed. */
  | { kind: 'overtaken', version: number }
  | { kind: 'designated', designation: Designation }
  /** `after` does not match the current designation, which is returned; nothing changed. */
  | { kind: 'conflict', designation: Designation | undefined }
  /** The failure domain is drained or restored as ordered, by this command or an earlier one. */
  | { kind: 'drain held' }

export interface FleetState extends DrainState {
  document: DeclarationDocument | undefined
  designations: ReadonlyMap<string, Designation>
  servers: ReadonlyMap<string, KnownServer>
  /** Number of entry instances that held a lease when the leader last counted them. */
  entries: number
  /** By group, the servers that may hold acknowledged commits; only of groups with synchronous replicas. */
  copies: ReadonlyMap<string, CommitCopies>
  /** Entry instances that may hold shares of rates or have borrowed lately. Undefined: a leader of an earlier build did not record them, or there was none yet. */
  shareHolders: ReadonlySet<string> | undefined
  shareBounds: ShareBounds
  /** Undefined: not known, as a leader of an earlier build wrote last. */
  shareUse: ShareUse | undefined
}

export const INITIAL_FLEET_STATE: FleetState = { document: undefined, designations: new Map(), servers: new Map(), entries: 0, copies: new Map(), shareHolders: undefined, shareBounds: new Map(), shareUse: undefined, ...NO_DRAIN_STATE }

/** Replaces the record of a group; one without servers removes it. */
function recordCopies (recorded: FleetState['copies'], copies: CommitCopies | undefined): FleetState['copies'] {
  if (copies === undefined || !isCommitCopies(copies)) return recorded
  const next = new Map(recorded).set(copies.group, copies)
  if (copies.servers.length === 0) next.delete(copies.group)
  return next
}

function recordShareHolders (state: FleetState, changes: ShareHolderChanges | undefined): Pick<FleetState, 'shareHolders' | 'shareBounds' | 'shareUse'> {
  if (!isShareHolderChanges(changes)) return { shareHolders: undefined, shareBounds: new Map(), shareUse: undefined }
  const { added, removed, bounds, use } = changes
  const shareHolders = new Set([...state.shareHolders ?? [], ...added])
  for (const name of removed) shareHolders.delete(name)
  const kept = removed.length === 0 ? state.shareBounds : removeInstances(state.shareBounds, removed)
  return { shareHolders, shareBounds: bounds.length === 0 ? kept : applyBounds(kept, bounds), shareUse: applyShareUse(state.shareUse, use, removed) }
}

function isShareHolderChanges (changes: unknown): changes is ShareHolderChanges {
  if (typeof changes !== 'object' || changes === null) return false
  const { added, removed, bounds } = changes as Partial<ShareHolderChanges>
  const isNames = (names: unknown): boolean => Array.isArray(names) && names.every(name => typeof name === 'string')
  return isNames(added) && isNames(removed) && isWrittenBounds(bounds)
}

function recordVerifiedTerms (recorded: FleetState['designations'], verified: readonly VerifiedTerm[]): FleetState['designations'] {
  if (verified.length === 0) return recorded
  const next = new Map(recorded)
  for (const { group, designation, term } of verified) {
    const current = next.get(group)
    if (current?.number === designation) next.set(group, { ...current, term })
  }
  return next
}

type CommandHandlers = { [Kind in FleetCommand['kind']]: (state: FleetState, command: Extract<FleetCommand, { kind: Kind }>) => { state: FleetState, outcome: FleetOutcome } }

const COMMAND_HANDLERS: CommandHandlers = {
  remember: (state, { servers, entries, copies, shares, verified = [] }) => {
    const known = new Map(state.servers)
    for (const server of servers) mergeServer(known, server)
    return { state: { ...state, servers: known, entries, copies: recordCopies(state.copies, copies), designations: recordVerifiedTerms(state.designations, verified), ...recordShareHolders(state, shares) }, outcome: { kind: 'remembered' } }
  },
  declare: (state, { document }) => {
    const heldVersion = state.document?.version ?? -Infinity
    if (document.version <= heldVersion) return { state, outcome: { kind: 'overtaken', version: heldVersion } }
    return { state: { ...state, document }, outcome: { kind: 'declared', version: document.version } }
  },
  designate: (state, { group, member, after, leadsFrom }) => {
    const current = state.designations.get(group)
    if ((current?.number ?? 0) !== after) return { state, outcome: { kind: 'conflict', designation: current } }
    const designation = { group, member, number: after + 1, ...(leadsFrom === undefined ? {} : { leadsFrom }) }
    return { state: { ...state, designations: new Map(state.designations).set(group, designation) }, outcome: { kind: 'designated', designation } }
  },
  drain: (state, { failureDomain, drained }) => {
    const drains = applyDrain(state, failureDomain, drained)
    return { state: drains === state ? state : { ...state, ...drains }, outcome: { kind: 'drain held' } }
  }
}

export function applyFleetCommand (state: FleetState, command: FleetCommand): { state: FleetState, outcome: FleetOutcome } {
  const apply = COMMAND_HANDLERS[command.kind] as (state: FleetState, command: FleetCommand) => { state: FleetState, outcome: FleetOutcome }
  return apply(state, command)
}

/** Serializes the state for a snapshot. */
export function encodeFleetState ({ document, designations, servers, entries, copies, shareHolders, shareBounds, shareUse, ...drains }: FleetState): string {
  return JSON.stringify({ document, designations: [...designations.values()], servers: [...servers.values()], entries, copies: [...copies.values()], ...(shareHolders === undefined ? {} : { shares: { added: [...shareHolders], removed: [], bounds: encodeBounds(shareBounds), ...(shareUse === undefined ? {} : { use: { term: shareUse.term, milliseconds: [...shareUse.milliseconds] } }) } }), ...(drains.drainChanges === 0 ? {} : { drains: encodeDrains(drains) }) })
}

export function decodeFleetState (text: string): FleetState {
  // A snapshot of an earlier build has neither `copies` nor `shares` nor `drains`.
  const { document, designations, servers, entries, copies = [], shares, drains } = JSON.parse(text) as { document?: DeclarationDocument, designations: Designation[], servers: KnownServer[], entries: number, copies?: CommitCopies[], shares?: ShareHolderChanges, drains?: WrittenDrains }
  return {
    document,
    designations: new Map(designations.map(designation => [designation.group, designation])),
    servers: new Map(servers.filter(isKnownServer).map(server => [server.member, server])),
    entries,
    copies: new Map(copies.filter(isCommitCopies).map(record => [record.group, record])),
    ...recordShareHolders(INITIAL_FLEET_STATE, shares),
    ...decodeDrains(drains)
  }
}
