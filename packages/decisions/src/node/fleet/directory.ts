/**
 * Which backend servers there are. Announcements are ordered by the server's
 * own birth and sequence, never by arrival: one that a partition held back says
 * nothing new about a server that started again meanwhile.
 */

export type ServerRole = 'primary' | 'replica'

/** What a backend server says of itself. */
export interface ServerAnnouncement {
  member: string
  group: string
  host: string
  port: number
  failureDomain: string
  /** Statements that it runs at once. */
  slots: number
  /** True: it will stop, and wants no new work. */
  leaving: boolean
  role: ServerRole
  /** When its process started, in milliseconds since 1970; 0 where it does not say. */
  bornAt: number
  /** Rises with each announcement of one life. */
  sequence: number
}

export interface KnownServer extends ServerAnnouncement {
  /** It has signed off; kept so that late announcements of that life are refused. */
  gone: boolean
}

export type ServerDirectory = ReadonlyMap<string, KnownServer>

/** Servers remembered; the oldest that are gone make room. */
export const MAXIMUM_SERVERS = 60_000

/** Whether `fresh` was said after `known`, by the server's own order. */
export function isNewer (announcement: Pick<ServerAnnouncement, 'bornAt' | 'sequence'>, known: Pick<KnownServer, 'bornAt' | 'sequence' | 'gone'>): boolean {
  if (announcement.bornAt !== known.bornAt) return announcement.bornAt > known.bornAt
  return announcement.sequence > known.sequence && !known.gone
}

/** Fields whose change others must hear of. */
const PUBLISHED_FIELDS: ReadonlyArray<keyof ServerAnnouncement> = ['group', 'host', 'port', 'failureDomain', 'slots', 'leaving', 'role', 'bornAt']

export type AnnouncementOutcome = 'late' | 'unchanged' | 'changed'

/** Takes an announcement; the directory is a new one only where something changed. */
export function recordAnnouncement (directory: Map<string, KnownServer>, announcement: ServerAnnouncement): AnnouncementOutcome {
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

/** Takes the word of a server that it is gone; false: it is not known, or was gone. */
export function deregisterServer (directory: Map<string, KnownServer>, member: string, bornAt: number | undefined): boolean {
  const known = directory.get(member)
  if (known === undefined || known.gone) return false
  if (bornAt !== undefined && bornAt < known.bornAt) return false
  directory.set(member, { ...known, gone: true, leaving: true })
  return true
}

/** Merges what another instance knows of a server; true when it changed anything. */
export function mergeServer (directory: Map<string, KnownServer>, incoming: KnownServer): boolean {
  const known = directory.get(incoming.member)
  const isNew = known === undefined || isNewer(incoming, known) || (incoming.gone && !known.gone && incoming.bornAt >= known.bornAt)
  if (!isNew) return false
  directory.set(incoming.member, incoming)
  return true
}

/**
 * The servers of a group that may be used. Of two at one address the one that
 * was born last holds it.
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
