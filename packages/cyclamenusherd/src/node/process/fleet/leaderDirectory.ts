/** What the leader tells entry instances: beliefs of groups and servers, each with the number of its last change. */

import { recordAnnouncement, mergeServer, deregisterServer } from '@cyclamenusher/decisions'
import type { AnnouncementOutcome, PrimaryAssignment, KnownServer, ServerAnnouncement } from '@cyclamenusher/decisions'

export interface LeaderDirectory {
  servers: Map<string, KnownServer>
  /** When each server last announced itself. */
  announcedAt: ReadonlyMap<string, number>
  announce: (announcement: ServerAnnouncement, now: number) => AnnouncementOutcome
  signOff: (member: string, bornAt: number | undefined) => boolean
  merge: (servers: readonly KnownServer[]) => void
  publish: (belief: PrimaryAssignment) => void
  /** Number of the newest change. */
  change: () => number
  /** Number of the change that last told of a group. */
  changeOf: (group: string) => number
  /** Counts a change that lies elsewhere. */
  touch: () => number
  since: (change: number) => { groups: PrimaryAssignment[], servers: KnownServer[] }
}

export function createLeaderDirectory (onChange: () => void): LeaderDirectory {
  const servers = new Map<string, KnownServer>()
  const announcedAt = new Map<string, number>()
  const serverChanges = new Map<string, number>()
  const beliefs = new Map<string, { belief: PrimaryAssignment, change: number }>()
  let change = 0

  function touch (): number {
    change += 1
    onChange()
    return change
  }

  function serverChanged (member: string): void {
    serverChanges.set(member, touch())
  }

  return {
    servers,
    announcedAt,
    announce: (announcement, now) => {
      const verdict = recordAnnouncement(servers, announcement)
      if (verdict !== 'late') announcedAt.set(announcement.member, now)
      if (verdict === 'changed') serverChanged(announcement.member)
      return verdict
    },
    signOff: (member, bornAt) => {
      const left = deregisterServer(servers, member, bornAt)
      if (left) serverChanged(member)
      return left
    },
    merge: told => { for (const server of told) if (mergeServer(servers, server)) serverChanged(server.member) },
    publish: belief => { beliefs.set(belief.group, { belief, change: touch() }) },
    change: () => change,
    changeOf: group => beliefs.get(group)?.change ?? 0,
    touch,
    since: known => ({
      groups: [...beliefs.values()].filter(entry => entry.change > known).map(({ belief }) => belief),
      servers: [...serverChanges].filter(([, number]) => number > known).flatMap(([member]) => servers.get(member) ?? [])
    })
  }
}
