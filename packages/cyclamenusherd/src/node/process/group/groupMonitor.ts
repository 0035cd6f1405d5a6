/**
 * Maintains this instance's view of one group over a link to each member. Requests
 * can wait until a majority holds a position, or until the primary's current
 * position is confirmed.
 */

import { EventEmitter } from 'node:events'
import { createGroupView, currentPrimary, findConfirmedSample, highestTerm, majorityHolds, recordStatus, recordUnreachable, removeMember, resizeGroup } from '@cyclamenusher/decisions'
import { createDelayedAction } from './delayedAction.js'
import { createMemberLink } from './memberLink.js'
import type { GroupView, LogPosition, PrimarySample } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { Config } from '../config.js'
import type { MemberAnnouncement } from '../directory.js'
import type { ScopedLogger } from '../logger.js'
import type { MemberAnswer, MemberLink } from './memberLink.js'

/** Interval of status requests to a member while no position is wanted, in milliseconds. */
const STATUS_INTERVAL_MILLISECONDS = 100
/** The same while the group has no reachable primary, in milliseconds. */
const NO_PRIMARY_STATUS_INTERVAL_MILLISECONDS = 20

/** Delay before replicas are asked whether a new commit is visible, in milliseconds. */
const REFRESH_DELAY_MILLISECONDS = 10

export type AcknowledgeOutcome = 'held' | 'replaced' | 'timeout'

export interface GroupMonitor {
  readonly group: string
  view: () => GroupView
  /** Sets the members to those that have announced themselves. */
  setMembers: (announcements: readonly MemberAnnouncement[]) => void
  /** Sets the configured number of members. */
  setSize: (size: number) => void
  member: (member: string) => MemberAnnouncement | undefined
  /** Resolves once a majority holds `required`, a later term is reported, or the time is up. */
  acknowledge: (required: LogPosition, milliseconds: number) => Promise<AcknowledgeOutcome>
  /** Position of the primary at some time after the call, confirmed by a majority; undefined if the time is up first. */
  confirmPosition: (milliseconds: number) => Promise<PrimarySample | undefined>
  /** Resolves at the next change of the view, or when the time is up. */
  waitForChange: (milliseconds: number) => Promise<void>
  /** Requests the status of every member now. */
  refresh: () => void
  /** Requests the status of every member after a short delay, when replicas have probably applied the latest commits. */
  refreshSoon: () => void
  sendCommand: (member: string, statement: string) => Promise<MemberAnswer>
  close: () => void
}

interface Waiter {
  /** Checks the view; returns true once the waiter is done. */
  check: (view: GroupView) => boolean
  wanted?: LogPosition
}

export interface GroupMonitorOptions {
  group: string
  size: number
  config: Config
  clock: Clock
  logger: ScopedLogger
  onChange: (monitor: GroupMonitor) => void
}

export function createGroupMonitor (options: GroupMonitorOptions): GroupMonitor {
  const { group, size, config, clock, logger } = options
  let view = createGroupView(group, size)
  const links = new Map<string, { link: MemberLink, announcement: MemberAnnouncement }>()
  let waiters: Waiter[] = []
  const emitter = new EventEmitter()
  emitter.setMaxListeners(0)

  function hasReachablePrimary (current: GroupView): boolean {
    return currentPrimary(current)?.reachable === true
  }

  function updateView (next: GroupView): void {
    const hadReachablePrimary = hasReachablePrimary(view)
    view = next
    if (hadReachablePrimary && !hasReachablePrimary(view)) refreshAll()
    waiters = waiters.filter(waiter => !waiter.check(view))
    emitter.emit('change')
    options.onChange(monitor)
  }

  function findLowestWantedPosition (member: string): LogPosition | undefined {
    const memberView = view.members.get(member)
    const missing = waiters.flatMap(({ wanted }) => wanted === undefined ? [] : [wanted])
      .filter(({ term, position }) => memberView === undefined || memberView.status.logTerm !== term || memberView.status.position < position)
    if (missing.length === 0) return undefined
    return missing.reduce((lowest, candidate) => candidate.position < lowest.position ? candidate : lowest)
  }

  function openLink (announcement: MemberAnnouncement): MemberLink {
    const { member, host, port } = announcement
    return createMemberLink({
      member,
      address: { host, port },
      user: config.backend.monitorUser,
      password: config.backend.password,
      database: group,
      intervalMilliseconds: () => hasReachablePrimary(view) ? STATUS_INTERVAL_MILLISECONDS : NO_PRIMARY_STATUS_INTERVAL_MILLISECONDS,
      clock,
      wanted: () => findLowestWantedPosition(member),
      onAnswer: ({ status, askedAt, answeredAt }) => { updateView(recordStatus(view, status, askedAt, answeredAt)) },
      onLost: reason => {
        if (view.members.get(member)?.reachable === true) logger.warn('A backend server does not answer.', { group, member, reason })
        updateView(recordUnreachable(view, member))
      }
    })
  }

  function refreshAll (): void {
    for (const { link } of links.values()) link.refresh()
  }

  const delayedRefresh = createDelayedAction(REFRESH_DELAY_MILLISECONDS, refreshAll)

  function setMembers (announcements: readonly MemberAnnouncement[]): void {
    for (const announcement of announcements) {
      const existing = links.get(announcement.member)
      if (existing === undefined) {
        // The number of members is fixed: a majority of more members might not overlap one of fewer.
        if (links.size >= view.size) {
          logger.warn('A backend server was ignored because its group already has all its members.', { group, member: announcement.member, places: view.size })
          continue
        }
        links.set(announcement.member, { link: openLink(announcement), announcement })
        continue
      }
      existing.announcement = announcement
      existing.link.setAddress({ host: announcement.host, port: announcement.port })
    }
    const announced = new Set(announcements.map(({ member }) => member))
    for (const [member, { link }] of links) {
      if (announced.has(member)) continue
      link.close()
      links.delete(member)
      updateView(removeMember(view, member))
    }
  }

  async function waitUntil<Outcome> (milliseconds: number, fallback: Outcome, decide: (view: GroupView) => Outcome | undefined, wanted?: LogPosition): Promise<Outcome> {
    const immediate = decide(view)
    if (immediate !== undefined) return immediate
    return await new Promise<Outcome>(resolve => {
      const timer = setTimeout(() => {
        waiters = waiters.filter(other => other !== waiter)
        resolve(fallback)
      }, milliseconds)
      const waiter: Waiter = {
        wanted,
        check: current => {
          const outcome = decide(current)
          if (outcome === undefined) return false
          clearTimeout(timer)
          resolve(outcome)
          return true
        }
      }
      waiters.push(waiter)
      refreshAll()
    })
  }

  const monitor: GroupMonitor = {
    group,
    view: () => view,
    setMembers,
    setSize: memberCount => {
      if (memberCount !== view.size) updateView(resizeGroup(view, memberCount))
    },
    member: member => links.get(member)?.announcement,
    acknowledge: async (required, milliseconds) => await waitUntil<AcknowledgeOutcome>(milliseconds, 'timeout', current => {
      if (majorityHolds(current, required)) return 'held'
      return highestTerm(current) > required.term ? 'replaced' : undefined
    }, required),
    confirmPosition: async milliseconds => {
      const since = clock.now()
      return await waitUntil<PrimarySample | undefined>(milliseconds, undefined, current => findConfirmedSample(current, since))
    },
    waitForChange: async milliseconds => {
      await new Promise<void>(resolve => {
        const timer = setTimeout(done, milliseconds)
        function done (): void {
          clearTimeout(timer)
          emitter.off('change', done)
          resolve()
        }
        emitter.on('change', done)
      })
    },
    refresh: refreshAll,
    refreshSoon: delayedRefresh.request,
    sendCommand: async (member, statement) => {
      const existing = links.get(member)
      if (existing === undefined) throw new Error(`no link to ${member}`)
      return await existing.link.sendCommand(statement)
    },
    close: () => {
      delayedRefresh.close()
      for (const { link } of links.values()) link.close()
    }
  }
  return monitor
}
