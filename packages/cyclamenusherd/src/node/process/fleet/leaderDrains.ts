/** The drains of failure domains at the leader: their deadlines, what is published of them, and the groups that they leave without a server. */

import { hasOnlyDrainedServers, listGroupServers, updateDrainDeadlines } from '@cyclamenusher/decisions'
import type { Declaration, DrainDeadlines, FleetState } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { LeaderDirectory } from './leaderDirectory.js'

export interface LeaderDrainsOptions {
  state: () => FleetState
  declaration: () => Declaration | undefined
  directory: LeaderDirectory
  /** Time from the acknowledgement of an order after which no statement reaches the failure domain, in milliseconds. */
  domainDrainMilliseconds: number
  /** Called for a failure domain whose servers may be used again; they may have become cold meanwhile. */
  onRestored: (failureDomain: string) => void
  clock: Clock
  logger: ScopedLogger
}

export interface LeaderDrains {
  deadlines: () => DrainDeadlines
  /** The drained failure domains as they are sent with each grant; undefined if none has ever been drained. */
  published: () => string[] | undefined
  /** Takes over the state of the log, and publishes what has changed. */
  refresh: () => void
}

/** `state` holds the orders that were given before this leader was elected. */
export function createLeaderDrains ({ state, declaration, directory, domainDrainMilliseconds, onRestored, clock, logger }: LeaderDrainsOptions): LeaderDrains {
  let changes = state().drainChanges
  let deadlines = updateDrainDeadlines(new Map(), state().drains, { now: clock.now(), boundMilliseconds: domainDrainMilliseconds, isInherited: true })

  function warnOfGroupsWithoutServers (): void {
    for (const { name } of declaration()?.groups ?? []) {
      const servers = listGroupServers(directory.servers, name)
      if (!hasOnlyDrainedServers(servers, failureDomain => deadlines.has(failureDomain))) continue
      logger.warn('A group has no server outside the drained failure domains.', { group: name, servers: servers.map(({ member }) => member).join(', ') })
    }
  }

  return {
    deadlines: () => deadlines,
    published: () => changes === 0 ? undefined : [...deadlines.keys()],
    refresh: () => {
      const { drains, drainChanges } = state()
      if (drainChanges === changes) return
      changes = drainChanges
      for (const failureDomain of deadlines.keys()) if (!drains.has(failureDomain)) onRestored(failureDomain)
      deadlines = updateDrainDeadlines(deadlines, drains, { now: clock.now(), boundMilliseconds: domainDrainMilliseconds, isInherited: false })
      directory.recordUrgentChange()
      warnOfGroupsWithoutServers()
    }
  }
}
