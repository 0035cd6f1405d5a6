/**
 * The replicated state of the control instances: the newest declaration document,
 * the designated primary of each group, and the last known servers.
 */

import { isKnownServer, mergeServer } from './directory.js'
import type { KnownServer } from './directory.js'
import type { DeclarationDocument } from '../declaration/declaration.js'

/** The server that is designated as primary of a group. */
export interface Designation {
  group: string
  member: string
  /** Increases by one with each designation in the group. */
  number: number
}

export type FleetCommand =
  /** Stores the servers that the leader knows, so that the next leader can contact them immediately, and the number of entry instances. */
  | { kind: 'remember', servers: KnownServer[], entries: number }
  | { kind: 'declare', document: DeclarationDocument }
  /** `after` is the number of the designation to replace; 0 for the first designation. */
  | { kind: 'designate', group: string, member: string, after: number }

export type FleetOutcome =
  | { kind: 'remembered' }
  | { kind: 'declared', version: number }
  /** The state already holds this version or a higher one; nothing changed. */
  | { kind: 'overtaken', version: number }
  | { kind: 'designated', designation: Designation }
  /** `after` does not match the current designation, which is returned; nothing changed. */
  | { kind: 'conflict', designation: Designation | undefined }

export interface FleetState {
  document: DeclarationDocument | undefined
  designations: ReadonlyMap<string, Designation>
  servers: ReadonlyMap<string, KnownServer>
  /** Number of entry instances that held a lease when the leader last counted them. */
  entries: number
}

export const INITIAL_FLEET_STATE: FleetState = { document: undefined, designations: new Map(), servers: new Map(), entries: 0 }

type CommandHandlers = { [Kind in FleetCommand['kind']]: (state: FleetState, command: Extract<FleetCommand, { kind: Kind }>) => { state: FleetState, outcome: FleetOutcome } }

const COMMAND_HANDLERS: CommandHandlers = {
  remember: (state, { servers, entries }) => {
    const known = new Map(state.servers)
    for (const server of servers) mergeServer(known, server)
    return { state: { ...state, servers: known, entries }, outcome: { kind: 'remembered' } }
  },
  declare: (state, { document }) => {
    const heldVersion = state.document?.version ?? -Infinity
    if (document.version <= heldVersion) return { state, outcome: { kind: 'overtaken', version: heldVersion } }
    return { state: { ...state, document }, outcome: { kind: 'declared', version: document.version } }
  },
  designate: (state, { group, member, after }) => {
    const current = state.designations.get(group)
    if ((current?.number ?? 0) !== after) return { state, outcome: { kind: 'conflict', designation: current } }
    const designation = { group, member, number: after + 1 }
    return { state: { ...state, designations: new Map(state.designations).set(group, designation) }, outcome: { kind: 'designated', designation } }
  }
}

export function applyFleetCommand (state: FleetState, command: FleetCommand): { state: FleetState, outcome: FleetOutcome } {
  const apply = COMMAND_HANDLERS[command.kind] as (state: FleetState, command: FleetCommand) => { state: FleetState, outcome: FleetOutcome }
  return apply(state, command)
}

/** Serializes the state for a snapshot. */
export function encodeFleetState ({ document, designations, servers, entries }: FleetState): string {
  return JSON.stringify({ document, designations: [...designations.values()], servers: [...servers.values()], entries })
}

export function decodeFleetState (text: string): FleetState {
  const { document, designations, servers, entries } = JSON.parse(text) as { document?: DeclarationDocument, designations: Designation[], servers: KnownServer[], entries: number }
  return {
    document,
    designations: new Map(designations.map(designation => [designation.group, designation])),
    servers: new Map(servers.filter(isKnownServer).map(server => [server.member, server])),
    entries
  }
}
