/**
 * Moves reads away from a member whose monitoring link was lost. Their connections may
 * have gone silent with it, and their callers would wait until the requests time out.
 */

import type { GroupView } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

/** Time after the loss of the link in which the answer to a read may still arrive, in milliseconds. */
const ANSWER_GRACE_MILLISECONDS = 1_000

/** A connection that is lent for reads. */
export interface LentRead {
  /** Whether any member can run the read now. */
  hasAlternative: () => boolean
  /** Sends the read elsewhere, unless it can't be repeated; returns whether it does. */
  move: () => boolean
}

export interface SilentReads {
  /** Watches a connection to `member`; the returned function ends the watch. */
  add: (member: string, read: LentRead) => () => void
  /** Compares the view with the one before it, and moves the reads that waited too long. Returns how many were moved. */
  check: (view: GroupView) => number
}

export function createSilentReads (clock: Clock): SilentReads {
  const reads = new Map<LentRead, { member: string, lostAt?: number }>()
  let reachableMembers: ReadonlySet<string> = new Set()

  function markLost (members: ReadonlySet<string>): void {
    const now = clock.now()
    for (const entry of reads.values()) if (members.has(entry.member)) entry.lostAt ??= now
  }

  function check (view: GroupView): number {
    const reachable = new Set([...view.members].filter(([, member]) => member.reachable).map(([name]) => name))
    const lost = new Set([...reachableMembers].filter(name => !reachable.has(name)))
    reachableMembers = reachable
    if (lost.size > 0) markLost(lost)
    const latestLoss = clock.now() - ANSWER_GRACE_MILLISECONDS
    const overdue = [...reads].filter(([, { lostAt }]) => lostAt !== undefined && lostAt <= latestLoss)
    return overdue.filter(([read]) => read.hasAlternative() && read.move()).length
  }

  return {
    add: (member, read) => {
      reads.set(read, { member })
      return () => { reads.delete(read) }
    },
    check
  }
}
