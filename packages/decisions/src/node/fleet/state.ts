/**
 * The state that control instances agree on for a fleet that is declared by
 * versioned documents: the newest document, which server each group was last
 * given as its primary, and where the servers were.
 */

import { mergeServer } from './directory.js'
import type { KnownServer } from './directory.js'
import type { DeclarationDocument } from '../declaration/declaration.js'

/** Which server is the primary of a group, and the how manieth one. */
export interface Designation {
  group: string
  member: string
  /** Rises by one with each primary of the group. */
  number: number
}

export type FleetCommand =
  /** Servers as the leader knows them, so that the next one can ask them at once, and how many entry instances there are. */
  | { kind: 'remember', servers: KnownServer[], entries: number }
  | { kind: 'declare', document: DeclarationDocument }
  /** `after` is the number of the designation that it replaces; 0: the first. */
  | { kind: 'designate', group: string, member: string, after: number }

export type FleetOutcome =
  | { kind: 'remembered' }
  | { kind: 'declared', version: number }
  /** A higher or equal version is held; nothing changed. */
  | { kind: 'overtaken', version: number }
  | { kind: 'designated', designation: Designation }
  /** Another designation came first. */
  | { kind: 'conflict', designation: Designation | undefined }

export interface FleetState {
  document: DeclarationDocument | undefined
  designations: ReadonlyMap<string, Designation>
  servers: ReadonlyMap<string, KnownServer>
  /** Entry instances that lately held a lease. */
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

/** The state as the text of a snapshot. */
export function encodeFleetState ({ document, designations, servers, entries }: FleetState): string {
  return JSON.stringify({ document, designations: [...designations.values()], servers: [...servers.values()], entries })
}

export function decodeFleetState (text: string): FleetState {
  const { document, designations, servers, entries } = JSON.parse(text) as { document?: DeclarationDocument, designations: Designation[], servers: KnownServer[], entries: number }
  return {
    document,
    designations: new Map(designations.map(designation => [designation.group, designation])),
    servers: new Map(servers.map(server => [server.member, server])),
    entries
  }
}
