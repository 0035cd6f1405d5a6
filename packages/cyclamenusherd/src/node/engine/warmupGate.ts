/** Admits statements to the cold servers of one group, within this instance's shares. */

import { pause } from '../process/clock.js'
import type { ServerWarmth } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'
import type { ScopedLogger } from '../process/logger.js'

/** How long a share may take to arrive after a server was found to be cold, in milliseconds: a renewal, its hold time and the change of the other shares. */
const SHARE_ARRIVAL_MILLISECONDS = 600
/** Interval between two looks for a share that is to come, in milliseconds. */
const SHARE_POLL_MILLISECONDS = 20

/** A statement that has been given a cold server and has not been sent yet. */
export interface WarmupPermit {
  release: () => void
}

export interface WarmupGate {
  /** Whether the group has a warm-up, so that its servers can be cold. */
  isActive: () => boolean
  warmthOf: (member: string) => ServerWarmth
  /** Has the server count as cold until it announces itself. */
  noteLoss: (member: string) => void
  /** Reserves a token of a cold server for a statement that is about to be sent there. */
  reserve: (member: string) => WarmupPermit
  /** Waits until one statement may be sent to the server, and charges it. Resolves with false if that is not before the deadline. */
  admit: (member: string, deadline: number) => Promise<boolean>
  /** Charges one statement if it may be sent now. */
  admitNow: (member: string) => boolean
  /** Earliest time at which the server may get one more statement behind as many others; infinite if that is not to be expected. */
  earliest: (member: string, ahead: number, now: number) => number
  /** The same as `earliest`, without a record that the server is cold. */
  estimate: (member: string, ahead: number, now: number) => number
  /** Logs the begin and end of cold phases of the servers, and returns how many are cold. */
  observe: (members: readonly string[]) => number
}

export interface WarmupGateOptions {
  group: string
  link: FleetLink
  clock: Clock
  logger: ScopedLogger
}

export function createWarmupGate ({ group, link, clock, logger }: WarmupGateOptions): WarmupGate {
  /** Statements by server that are to be sent and not charged yet. */
  const pending = new Map<string, number>()
  /** Since when servers are cold here. */
  const coldSince = new Map<string, number>()

  function isActive (): boolean {
    return link.declaration()?.group(group)?.warmup !== undefined
  }

  function isCold (member: string): boolean {
    return isActive() && link.warmups.isCold(member)
  }

  function addPending (member: string, count: number): void {
    pending.set(member, Math.max(0, (pending.get(member) ?? 0) + count))
  }

  function observeServer (member: string): void {
    const cold = isCold(member)
    if (cold === coldSince.has(member)) return
    if (cold) coldSince.set(member, clock.now())
    else coldSince.delete(member)
    logger.info(cold ? 'A backend server counts as cold here.' : 'A backend server counts as warm here.', { group, member })
  }

  function estimate (member: string, ahead: number, now: number): number {
    if (!isCold(member)) return now
    const wait = link.warmups.timeUntil(member, 1 + ahead + (pending.get(member) ?? 0))
    if (wait !== Infinity) return now + wait
    const shareExpectedAt = (coldSince.get(member) ?? now) + SHARE_ARRIVAL_MILLISECONDS
    return now < shareExpectedAt ? shareExpectedAt : Infinity
  }

  function earliest (member: string, ahead: number, now: number): number {
    if (!isCold(member)) return now
    observeServer(member)
    return estimate(member, ahead, now)
  }

  async function admit (member: string, deadline: number): Promise<boolean> {
    addPending(member, 1)
    try {
      for (;;) {
        if (!isCold(member) || link.warmups.take(member)) return true
        const now = clock.now()
        const wait = Math.max(1, Math.min(SHARE_POLL_MILLISECONDS, link.warmups.timeUntil(member, 1)))
        if (now + wait > deadline) return false
        await pause(wait)
      }
    } finally {
      addPending(member, -1)
    }
  }

  return {
    isActive,
    warmthOf: member => {
      if (!isCold(member)) return 'warm'
      return link.warmups.tokens(member) - (pending.get(member) ?? 0) >= 1 ? 'cold' : 'exhausted'
    },
    noteLoss: member => {
      // A server that restarts closes all its connections; the first one is reported at once.
      if (isActive() && link.warmups.doubt(member)) link.reportNow()
    },
    reserve: member => {
      if (!isCold(member)) return { release: () => {} }
      let held = true
      addPending(member, 1)
      return {
        release: () => {
          if (held) addPending(member, -1)
          held = false
        }
      }
    },
    admit,
    admitNow: member => !isCold(member) || link.warmups.take(member),
    earliest,
    estimate,
    observe: members => {
      for (const member of coldSince.keys()) if (!members.includes(member)) coldSince.delete(member)
      if (!isActive() && coldSince.size === 0) return 0
      for (const member of members) observeServer(member)
      return coldSince.size
    }
  }
}
