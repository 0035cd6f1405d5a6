/** Priorities of the statements and transactions that one instance has at the servers of a group. */

import { computePriorityLimit, findPriorityRange, isStarved, mayAcquireConnection } from '@cyclamenusher/decisions'
import type { PriorityRange, QueuedRequest, ServerLoad } from '@cyclamenusher/decisions'
import type { ServerConnection } from './serverConnection.js'

export interface PriorityUse {
  /** Records that a request of the priority has arrived. */
  recordRequest: (priority: number, now: number) => void
  /** Records which requests wait. */
  recordWaiting: (queue: readonly QueuedRequest[], now: number) => void
  /** Records for which priority a connection has been acquired. */
  assign: (connection: ServerConnection, priority: number) => void
  /** Records that a connection is being opened for the priority; the returned function records the end of it. */
  startOpening: (member: string, priority: number) => () => void
  /** The priorities in use; undefined if there is one only. */
  range: (now: number) => PriorityRange | undefined
  /** The priorities in use if a request of the priority arrived now. */
  rangeWith: (priority: number, now: number) => PriorityRange | undefined
  /** Limits the load of a server to what a request of the priority may use of it, by the priorities in use. */
  limitLoad: (load: ServerLoad, priority: number, maximum: number, now: number, inUse?: PriorityRange) => ServerLoad
}

/**
 * `listInUse` returns the connections in use, by member: those that are lost are no longer
 * among them. Unless capacity is reserved, all priorities count as one.
 */
export function createPriorityUse (listInUse: () => ReadonlyMap<string, readonly ServerConnection[]>, reservesCapacity = true): PriorityUse {
  const requestedAt = new Map<number, number>()
  const priorities = new WeakMap<ServerConnection, number>()
  const openings = new Set<{ member: string, priority: number }>()
  let firstOfLeastUrgent: QueuedRequest | undefined

  const range = (now: number): PriorityRange | undefined => reservesCapacity ? findPriorityRange(requestedAt, now) : undefined

  /** Priorities for which connections of each member are in use or being opened. */
  function listAcquired (): Map<string, number[]> {
    const acquired = new Map([...listInUse()].map(([member, connections]) => [member, connections.flatMap(connection => priorities.get(connection) ?? [])]))
    for (const { member, priority } of openings) acquired.set(member, [...acquired.get(member) ?? [], priority])
    return acquired
  }

  return {
    recordRequest: (priority, now) => { requestedAt.set(priority, now) },
    recordWaiting: (queue, now) => {
      const leastUrgent = range(now)?.leastUrgent
      firstOfLeastUrgent = undefined
      for (const queued of queue) {
        if (queued.priority !== leastUrgent) continue
        if (firstOfLeastUrgent === undefined || queued.queuedAt < firstOfLeastUrgent.queuedAt) firstOfLeastUrgent = queued
      }
    },
    assign: (connection, priority) => { priorities.set(connection, priority) },
    startOpening: (member, priority) => {
      const opening = { member, priority }
      openings.add(opening)
      return () => { openings.delete(opening) }
    },
    range,
    rangeWith: (priority, now) => reservesCapacity ? findPriorityRange(new Map([...requestedAt, [priority, now]]), now) : undefined,
    limitLoad: (load, priority, maximum, now, inUse = range(now)) => {
      if (inUse === undefined) return load
      const { leastUrgent, mostUrgent } = inUse
      const acquired = listAcquired()
      const ofMember = acquired.get(load.member) ?? []
      const ofLeastUrgent = [...acquired.values()].flat().filter(other => other === leastUrgent).length
      const use = { maximum, priority, priorities: inUse, leastUrgentStarved: isStarved(ofLeastUrgent, firstOfLeastUrgent, now) }
      return {
        ...load,
        allowed: computePriorityLimit({ ...use, allowed: load.allowed }),
        connection: mayAcquireConnection(ofMember.length, use) ? load.connection : 'none',
        runsUrgentWork: priority > mostUrgent && ofMember.includes(mostUrgent)
      }
    }
  }
}
