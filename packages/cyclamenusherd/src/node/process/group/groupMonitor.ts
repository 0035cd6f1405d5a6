/**
 * What this instance knows of one group, kept current by a link to each member,
 * and the questions that requests wait on: has a majority this position, where
 * does the primary stand now.
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

/** Time between two questions to a member when nothing is waited for, in milliseconds. */
const SAMPLE_MILLISECONDS = 100
/** The same while the group has no primary, in milliseconds. */
const UNSETTLED_MILLISECONDS = 20

/** Time after which replicas are asked whether they show a new commit, in milliseconds. */
const LEARN_MILLISECONDS = 10

export type AcknowledgeOutcome = 'held' | 'replaced' | 'timeout'

export interface GroupMonitor {
  readonly group: string
  view: () => GroupView
  /** Takes the members that announced themselves. */
  setMembers: (announcements: readonly MemberAnnouncement[]) => void
  /** Takes the number of places that the rules name. */
  setSize: (size: number) => void
  member: (member: string) => MemberAnnouncement | undefined
  /** Resolves once a majority holds `at`, a later term shows, or time is up. */
  acknowledge: (at: LogPosition, milliseconds: number) => Promise<AcknowledgeOutcome>
  /** Where the primary stood at some time after the call, confirmed by a majority. */
  confirmPlace: (milliseconds: number) => Promise<PrimarySample | undefined>
  /** Resolves at the next change of the view, or when time is up. */
  nextChange: (milliseconds: number) => Promise<void>
  /** Asks every member for its state now. */
  poke: () => void
  /** Asks every member soon: replicas are about to show what they do not show yet. */
  learnSoon: () => void
  order: (member: string, statement: string) => Promise<MemberAnswer>
  close: () => void
}

interface Waiter {
  /** Checks the view; true when the waiter is done. */
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

  function isSettled (of: GroupView): boolean {
    return currentPrimary(of)?.reachable === true
  }

  function changed (next: GroupView): void {
    const wasSettled = isSettled(view)
    view = next
    if (wasSettled && !isSettled(view)) pokeAll()
    waiters = waiters.filter(waiter => !waiter.check(view))
    emitter.emit('change')
    options.onChange(monitor)
  }

  function wantedAt (member: string): LogPosition | undefined {
    const known = view.members.get(member)
    const open = waiters.flatMap(({ wanted }) => wanted === undefined ? [] : [wanted])
      .filter(({ term, position }) => known === undefined || known.status.logTerm !== term || known.status.position < position)
    if (open.length === 0) return undefined
    return open.reduce((least, place) => place.position < least.position ? place : least)
  }

  function openLink (announcement: MemberAnnouncement): MemberLink {
    const { member, host, port } = announcement
    return createMemberLink({
      member,
      address: { host, port },
      user: config.backend.monitorUser,
      password: config.backend.password,
      database: group,
      intervalMilliseconds: () => isSettled(view) ? SAMPLE_MILLISECONDS : UNSETTLED_MILLISECONDS,
      clock,
      wanted: () => wantedAt(member),
      onAnswer: ({ status, askedAt, answeredAt }) => { changed(recordStatus(view, status, askedAt, answeredAt)) },
      onLost: reason => {
        if (view.members.get(member)?.reachable === true) logger.warn('A backend server does not answer.', { group, member, reason })
        changed(recordUnreachable(view, member))
      }
    })
  }

  function pokeAll (): void {
    for (const { link } of links.values()) link.poke()
  }

  const learning = createDelayedAction(LEARN_MILLISECONDS, pokeAll)

  function setMembers (announcements: readonly MemberAnnouncement[]): void {
    for (const announcement of announcements) {
      const known = links.get(announcement.member)
      if (known === undefined) {
        // A group has a fixed number of places: a majority of more would not meet one of fewer.
        if (links.size >= view.size) {
          logger.warn('A backend server finds no place in its group.', { group, member: announcement.member, places: view.size })
          continue
        }
        links.set(announcement.member, { link: openLink(announcement), announcement })
        continue
      }
      known.announcement = announcement
      known.link.move({ host: announcement.host, port: announcement.port })
    }
    const named = new Set(announcements.map(({ member }) => member))
    for (const [member, { link }] of links) {
      if (named.has(member)) continue
      link.close()
      links.delete(member)
      changed(removeMember(view, member))
    }
  }

  async function until<Outcome> (milliseconds: number, late: Outcome, decide: (view: GroupView) => Outcome | undefined, wanted?: LogPosition): Promise<Outcome> {
    const already = decide(view)
    if (already !== undefined) return already
    return await new Promise<Outcome>(resolve => {
      const timer = setTimeout(() => {
        waiters = waiters.filter(other => other !== waiter)
        resolve(late)
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
      pokeAll()
    })
  }

  const monitor: GroupMonitor = {
    group,
    view: () => view,
    setMembers,
    setSize: places => {
      if (places !== view.size) changed(resizeGroup(view, places))
    },
    member: member => links.get(member)?.announcement,
    acknowledge: async (at, milliseconds) => await until<AcknowledgeOutcome>(milliseconds, 'timeout', current => {
      if (majorityHolds(current, at)) return 'held'
      return highestTerm(current) > at.term ? 'replaced' : undefined
    }, at),
    confirmPlace: async milliseconds => {
      const since = clock.now()
      return await until<PrimarySample | undefined>(milliseconds, undefined, current => findConfirmedSample(current, since))
    },
    nextChange: async milliseconds => {
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
    poke: pokeAll,
    learnSoon: learning.request,
    order: async (member, statement) => {
      const known = links.get(member)
      if (known === undefined) throw new Error(`no link to ${member}`)
      return await known.link.order(statement)
    },
    close: () => {
      learning.close()
      for (const { link } of links.values()) link.close()
    }
  }
  return monitor
}
