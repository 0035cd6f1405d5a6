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
export function isLater (fresh: Pick<ServerAnnouncement, 'bornAt' | 'sequence'>, known: Pick<KnownServer, 'bornAt' | 'sequence' | 'gone'>): boolean {
  if (fresh.bornAt !== known.bornAt) return fresh.bornAt > known.bornAt
  return fresh.sequence > known.sequence && !known.gone
}

/** Fields whose change others must hear of. */
const TOLD: ReadonlyArray<keyof ServerAnnouncement> = ['group', 'host', 'port', 'failureDomain', 'slots', 'leaving', 'role', 'bornAt']

export type AnnouncementVerdict = 'late' | 'unchanged' | 'changed'

/** Takes an announcement; the directory is a new one only where something changed. */
export function announceServer (directory: Map<string, KnownServer>, fresh: ServerAnnouncement): AnnouncementVerdict {
  const known = directory.get(fresh.member)
  if (known !== undefined && !isLater(fresh, known)) return 'late'
  if (known === undefined && directory.size >= MAXIMUM_SERVERS) forgetGone(directory)
  directory.set(fresh.member, { ...fresh, gone: false })
  if (known === undefined || known.gone) return 'changed'
  return TOLD.some(field => known[field] !== fresh[field]) ? 'changed' : 'unchanged'
}

function forgetGone (directory: Map<string, KnownServer>): void {
  for (const [member, { gone }] of directory) {
    if (!gone) continue
    directory.delete(member)
    return
  }
}

/** Takes the word of a server that it is gone; false: it is not known, or was gone. */
export function signOffServer (directory: Map<string, KnownServer>, member: string, bornAt: number | undefined): boolean {
  const known = directory.get(member)
  if (known === undefined || known.gone) return false
  if (bornAt !== undefined && bornAt < known.bornAt) return false
  directory.set(member, { ...known, gone: true, leaving: true })
  return true
}

/** Merges what another instance knows of a server; true when it changed anything. */
export function mergeServer (directory: Map<string, KnownServer>, told: KnownServer): boolean {
  const known = directory.get(told.member)
  const later = known === undefined || isLater(told, known) || (told.gone && !known.gone && told.bornAt >= known.bornAt)
  if (!later) return false
  directory.set(told.member, told)
  return true
}

/**
 * The servers of a group that may be used. Of two at one address the one that
 * was born last holds it.
 */
export function serversOf (directory: ServerDirectory, group: string): KnownServer[] {
  const byAddress = new Map<string, KnownServer>()
  for (const server of directory.values()) {
    if (server.gone) continue
    const address = `${server.host}:${server.port}`
    const other = byAddress.get(address)
    if (other === undefined || server.bornAt > other.bornAt) byAddress.set(address, server)
  }
  return [...byAddress.values()].filter(server => server.group === group)
}
