/** Priorities of the statements and transactions that one instance has at the servers of a group. */

import { computePriorityLimit, findPriorityRange, isStarved, mayAcquireConnection } from '@cyclamenusher/decisions'
import type { PriorityRange, QueuedRequest, ServerLoad } from '@cyclamenusher/decisions'

export interface PriorityUse {
  /** Records that a request of the priority has arrived. */
  recordRequest: (priority: number, now: number) => void
  /** Records that a connection is used for the priority; the returned function records its release. */
  acquire: (member: string, priority: number) => () => void
  /** The priorities in use; undefined if there is one only. */
  range: (now: number) => PriorityRange | undefined
  /** Limits the load of a server to what a request of the priority may use of it. */
  limitLoad: (load: ServerLoad, priority: number, maximum: number, queue: readonly QueuedRequest[], now: number) => ServerLoad
}

export function createPriorityUse (): PriorityUse {
  const requestedAt = new Map<number, number>()
  const acquired = new Map<string, number[]>()

  function countAcquired (priority: number): number {
    return [...acquired.values()].flat().filter(other => other === priority).length
  }

  function findFirstWaiting (queue: readonly QueuedRequest[], priority: number): QueuedRequest | undefined {
    return queue.filter(queued => queued.priority === priority).reduce<QueuedRequest | undefined>((first, queued) => first === undefined || queued.queuedAt < first.queuedAt ? queued : first, undefined)
  }

  const range = (now: number): PriorityRange | undefined => findPriorityRange(requestedAt, now)

  return {
    recordRequest: (priority, now) => { requestedAt.set(priority, now) },
    acquire: (member, priority) => {
      const ofMember = acquired.get(member) ?? []
      acquired.set(member, ofMember)
      ofMember.push(priority)
      let released = false
      return () => {
        if (released) return
        released = true
        ofMember.splice(ofMember.indexOf(priority), 1)
        if (ofMember.length === 0 && acquired.get(member) === ofMember) acquired.delete(member)
      }
    },
    range,
    limitLoad: (load, priority, maximum, queue, now) => {
      const priorities = range(now)
      if (priorities === undefined) return load
      const { leastUrgent, mostUrgent } = priorities
      const ofMember = acquired.get(load.member) ?? []
      const leastUrgentStarved = isStarved(countAcquired(leastUrgent), findFirstWaiting(queue, leastUrgent), now)
      const use = { maximum, priority, priorities, leastUrgentStarved }
      return {
        ...load,
        allowed: computePriorityLimit({ ...use, allowed: load.allowed }),
        connection: mayAcquireConnection(ofMember.length, use) ? load.connection : 'none',
        runsUrgentWork: priority > mostUrgent && ofMember.includes(mostUrgent)
      }
    }
  }
}
