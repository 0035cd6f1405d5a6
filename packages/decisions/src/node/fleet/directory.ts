/**
 * Directory of the known backend servers. Announcements are ordered by the start
 * time and sequence number that the server sends, never by arrival: a partition
 * can delay an announcement until after the server has restarted, and the delayed
 * announcement must not replace the newer state.
 */

import { findServerFault } from './serverFields.js'

export type ServerRole = 'primary' | 'replica'

/** What a backend server announces about itself. */
export interface ServerAnnouncement {
  member: string
  group: string
  host: string
  port: number
  failureDomain: string
  /** Number of statements that the server runs concurrently. */
  slots: number
  /** Whether the server is about to stop and takes no new work. */
  leaving: boolean
  role: ServerRole
  /** Start time of the server's process, in milliseconds since 1970; 0 if the server does not report it. */
  bornAt: number
  /** Increases with each announcement of the same process. */
  sequence: number
  /** How much longer the server is cold, in milliseconds from when this was sent; undefined or 0: it is warm. */
  warmupMilliseconds?: number
}

export interface KnownServer extends ServerAnnouncement {
  /** Whether the server has deregistered. The entry is kept so that late announcements of the same process are rejected. */
  gone: boolean
}

export type ServerDirectory = ReadonlyMap<string, KnownServer>

/** Number of entries from which a new server evicts the oldest deregistered one. */
export const MAXIMUM_SERVERS = 60_000

/** Whether the announcement is newer than the known state, by the server's start time and sequence number. */
export function isNewer (announcement: Pick<ServerAnnouncement, 'bornAt' | 'sequence'>, known: Pick<KnownServer, 'bornAt' | 'sequence' | 'gone'>): boolean {
  if (announcement.bornAt !== known.bornAt) return announcement.bornAt > known.bornAt
  return announcement.sequence > known.sequence && !known.gone
}

/** Fields whose change is published to entry instances. */
const PUBLISHED_FIELDS: ReadonlyArray<keyof ServerAnnouncement> = ['group', 'host', 'port', 'failureDomain', 'slots', 'leaving', 'role', 'bornAt']

/** `invalid`: a field is missing or out of its range. */
export type AnnouncementOutcome = 'invalid' | 'late' | 'unchanged' | 'changed'

/** Records an announcement in the directory, and returns whether it was late or changed a published field. */
export function recordAnnouncement (directory: Map<string, KnownServer>, announcement: ServerAnnouncement): AnnouncementOutcome {
  if (findServerFault(announcement) !== undefined) return 'invalid'
  const known = directory.get(announcement.member)
  if (known !== undefined && !isNewer(announcement, known)) return 'late'
  if (known === undefined && directory.size >= MAXIMUM_SERVERS) evictGoneServer(directory)
  directory.set(announcement.member, { ...announcement, gone: false })
  if (known === undefined || known.gone) return 'changed'
  return PUBLISHED_FIELDS.some(field => known[field] !== announcement[field]) ? 'changed' : 'unchanged'
}

function evictGoneServer (directory: Map<string, KnownServer>): void {
  for (const [member, { gone }] of directory) {
    if (!gone) continue
    directory.delete(member)
    return
  }
}

/** Marks a server as gone. Returns false if the server is unknown or already gone, or if a newer process of it has announced itself. */
export function deregisterServer (directory: Map<string, KnownServer>, member: string, bornAt: number | undefined): boolean {
  const known = directory.get(member)
  if (known === undefined || known.gone) return false
  if (bornAt !== undefined && bornAt < known.bornAt) return false
  directory.set(member, { ...known, gone: true, leaving: true })
  return true
}

/** Whether an entry that comes from the log, a snapshot or another instance names a server that can be used. */
export function isKnownServer (entry: unknown): entry is KnownServer {
  return findServerFault(entry) === undefined && typeof (entry as KnownServer).gone === 'boolean'
}

/** Merges another instance's entry for a server, and returns whether the directory changed. An entry that can't be used is left out. */
export function mergeServer (directory: Map<string, KnownServer>, incoming: KnownServer): boolean {
  if (!isKnownServer(incoming)) return false
  const known = directory.get(incoming.member)
  const isNew = known === undefined || isNewer(incoming, known) || (incoming.gone && !known.gone && incoming.bornAt >= known.bornAt)
  if (!isNew) return false
  directory.set(incoming.member, incoming)
  return true
}

/**
 * Lists the servers of a group that are not gone. If two servers have announced
 * the same address, only the one that started last is considered.
 */
export function listGroupServers (directory: ServerDirectory, group: string): KnownServer[] {
  const byAddress = new Map<string, KnownServer>()
  for (const server of directory.values()) {
    if (server.gone) continue
    const address = `${server.host}:${server.port}`
    const current = byAddress.get(address)
    if (current === undefined || server.bornAt > current.bornAt) byAddress.set(address, server)
  }
  return [...byAddress.values()].filter(server => server.group === group)
}
