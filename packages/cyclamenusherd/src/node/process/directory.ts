/**
 * Directory of backend servers by group. No list of servers is configured: a
 * server announces itself to any entry instance, which forwards the announcement
 * to its peers.
 */

import { EventEmitter } from 'node:events'
import { fromEvent } from 'most'
import type { Stream } from 'most'
import type { Clock } from './clock.js'
import type { ScopedLogger } from './logger.js'

export interface MemberAnnouncement {
  group: string
  member: string
  role: string
  term: number
  logTerm: number
  position: number
  host: string
  port: number
  failureDomain: string
  leaving: boolean
  sequence: number
}

export interface Directory {
  /** Records an announcement; returns whether it is to be forwarded to peers, since it changed or was last forwarded long ago. */
  recordAnnouncement: (announcement: MemberAnnouncement) => boolean
  members: (group: string) => readonly MemberAnnouncement[]
  groups: () => readonly string[]
  /** Emits the group of each announcement that is the first of its member or changed a published field. */
  changes: Stream<string>
}

/** Members recorded for one group; further ones are ignored. */
const MAXIMUM_MEMBERS = 16
/** Groups recorded by one instance; further ones are ignored. */
const MAXIMUM_GROUPS = 20_000
/** Interval at which an unchanged announcement is forwarded to peers again, in milliseconds. */
const REPEAT_INTERVAL_MILLISECONDS = 3_000

/** Fields whose change is forwarded to peers at once. */
const PUBLISHED_FIELDS: Array<keyof MemberAnnouncement> = ['role', 'term', 'host', 'port', 'failureDomain', 'leaving']

export function createDirectory (clock: Clock, logger: ScopedLogger): Directory {
  const groups = new Map<string, Map<string, { announcement: MemberAnnouncement, forwardedAt: number }>>()
  const emitter = new EventEmitter()

  function recordAnnouncement (announcement: MemberAnnouncement): boolean {
    const members = groups.get(announcement.group) ?? new Map<string, { announcement: MemberAnnouncement, forwardedAt: number }>()
    if (members.size === 0 && groups.size >= MAXIMUM_GROUPS) return false
    const previous = members.get(announcement.member)
    if (previous === undefined && members.size >= MAXIMUM_MEMBERS) return false
    if (previous !== undefined && previous.announcement.sequence >= announcement.sequence) return false
    groups.set(announcement.group, members)
    const changed = previous === undefined || PUBLISHED_FIELDS.some(field => previous.announcement[field] !== announcement[field])
    const shouldForward = changed || clock.now() - previous.forwardedAt > REPEAT_INTERVAL_MILLISECONDS
    members.set(announcement.member, { announcement, forwardedAt: shouldForward ? clock.now() : previous.forwardedAt })
    if (changed) {
      const { group, member, role, term, host, port, leaving } = announcement
      logger.info('A backend server announced itself.', { group, member, role, term, address: `${host}:${port}`, leaving })
      emitter.emit('change', group)
    }
    return shouldForward
  }

  return {
    recordAnnouncement,
    members: group => [...groups.get(group)?.values() ?? []].map(({ announcement }) => announcement),
    groups: () => [...groups.keys()],
    changes: fromEvent<string>('change', emitter)
  }
}
