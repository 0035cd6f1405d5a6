/** What the leader publishes to entry instances: primary assignments and servers, each with the number of its last change. */

import { recordAnnouncement, mergeServer, deregisterServer, describeRun, isWarmupChanged } from '@cyclamenusher/decisions'
import type { AnnouncementOutcome, PrimaryAssignment, KnownServer, ServerAnnouncement, ServerRun } from '@cyclamenusher/decisions'

export interface LeaderDirectory {
  servers: Map<string, KnownServer>
  /** When each server last announced itself. */
  announcedAt: ReadonlyMap<string, number>
  /** When each server that was announced as cold is expected to be warm. */
  warmUntil: ReadonlyMap<string, number>
  announce: (announcement: ServerAnnouncement, now: number) => AnnouncementOutcome
  /** Marks a server as gone, and returns whether the directory changed. `bornAt` is the start time of the server's process. */
  deregister: (member: string, bornAt: number | undefined) => boolean
  /** Merges servers that the log or an entry instance knows. */
  merge: (servers: readonly KnownServer[], now: number) => void
  /** Those of the runs of servers that have ended (the server deregistered, or runs anew), and those that have announced that they leave, by `describeRun`. */
  classifyRuns: (runs: readonly ServerRun[]) => { endedRuns: ReadonlySet<string>, leavingRuns: ReadonlySet<string> }
  publish: (assignment: PrimaryAssignment) => void
  /** Number of the newest change. */
  change: () => number
  /** Number of the newest change of an assignment or a server, which entry instances must learn at once. */
  urgentChange: () => number
  /** Number of the change that last published the group's assignment; 0 if there is none. */
  changeOf: (group: string) => number
  /** Numbers a change that is kept elsewhere, and returns the number. */
  recordChange: () => number
  /** The same for a change that entry instances must learn at once. */
  recordUrgentChange: () => number
  /** Assignments and servers that changed after the given change; the remaining time of cold phases counts from now. */
  changesSince: (change: number, now: number) => { groups: PrimaryAssignment[], servers: KnownServer[] }
}

export function createLeaderDirectory (onUrgentChange: () => void): LeaderDirectory {
  const servers = new Map<string, KnownServer>()
  const announcedAt = new Map<string, number>()
  const warmUntil = new Map<string, number>()
  /** The ends of cold phases that entry instances know. */
  const publishedWarmUntil = new Map<string, number>()
  const serverChanges = new Map<string, number>()
  const assignments = new Map<string, { assignment: PrimaryAssignment, change: number }>()
  let change = 0
  let urgentChange = 0

  function recordUrgentChange (): number {
    urgentChange = recordChange()
    onUrgentChange()
    return urgentChange
  }

  function recordChange (): number {
    change += 1
    return change
  }

  function recordServerChange (member: string): void {
    serverChanges.set(member, recordUrgentChange())
    publishedWarmUntil.set(member, warmUntil.get(member) ?? -Infinity)
  }

  /** Notes until when a server is cold, and returns whether that has to be published. */
  function noteWarmup ({ member, warmupMilliseconds = 0 }: ServerAnnouncement, now: number): boolean {
    const isNews = isWarmupChanged(publishedWarmUntil.get(member) ?? -Infinity, warmupMilliseconds, now)
    if (warmupMilliseconds === 0) warmUntil.delete(member)
    else warmUntil.set(member, now + warmupMilliseconds)
    return isNews
  }

  function withRemainingWarmup (server: KnownServer, now: number): KnownServer {
    if (server.warmupMilliseconds === undefined) return server
    return { ...server, warmupMilliseconds: Math.max(0, Math.round((publishedWarmUntil.get(server.member) ?? now) - now)) }
  }

  return {
    servers,
    announcedAt,
    warmUntil,
    announce: (announcement, now) => {
      const recorded = recordAnnouncement(servers, announcement)
      if (recorded === 'invalid' || recorded === 'late') return recorded
      announcedAt.set(announcement.member, now)
      const outcome = noteWarmup(announcement, now) ? 'changed' : recorded
      if (outcome === 'changed') recordServerChange(announcement.member)
      return outcome
    },
    deregister: (member, bornAt) => {
      const deregistered = deregisterServer(servers, member, bornAt)
      if (deregistered) recordServerChange(member)
      return deregistered
    },
    merge: (incoming, now) => {
      for (const server of incoming) {
        if (!mergeServer(servers, server)) continue
        noteWarmup(server, now)
        recordServerChange(server.member)
      }
    },
    classifyRuns: runs => {
      const list = (matches: (known: KnownServer, run: ServerRun) => boolean): ReadonlySet<string> => new Set(runs.filter(run => {
        const known = servers.get(run.member)
        return known !== undefined && matches(known, run)
      }).map(describeRun))
      return {
        endedRuns: list((known, { bornAt }) => known.bornAt > bornAt || (known.gone && known.bornAt === bornAt)),
        leavingRuns: list((known, { bornAt }) => known.leaving && known.bornAt >= bornAt)
      }
    },
    publish: assignment => { assignments.set(assignment.group, { assignment, change: recordUrgentChange() }) },
    change: () => change,
    urgentChange: () => urgentChange,
    changeOf: group => assignments.get(group)?.change ?? 0,
    recordChange,
    recordUrgentChange,
    changesSince: (knownChange, now) => ({
      groups: [...assignments.values()].filter(entry => entry.change > knownChange).map(({ assignment }) => assignment),
      servers: [...serverChanges].filter(([, number]) => number > knownChange).flatMap(([member]) => servers.get(member) ?? []).map(server => withRemainingWarmup(server, now))
    })
  }
}
