/** Counts what the leader of control is asked for, and logs it once a second, so that an overloaded leader shows in the logs. */

import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'

/** Interval between two log lines, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1_000

export type LeaderEvent =
  | 'renewals'
  /** Renewals whose sender had given up before they were answered. */
  | 'abandonedRenewals'
  /** Held renewals that ended early because there was something new. */
  | 'earlyRenewals'
  /** Grants to instances that lack the newest declaration, and that do not carry it. */
  | 'grantsBehind'
  | 'loans'
  /** Loan requests for which the pool had too few tokens. */
  | 'shortLoans'
  | 'announcements'

export interface LeaderLoad {
  count: (event: LeaderEvent) => void
  /** Records how late a timer fired, in milliseconds, and logs the counts when they are due. */
  tick: (lateMilliseconds: number) => void
}

export function createLeaderLoad (logger: ScopedLogger, clock: Clock): LeaderLoad {
  let counts = new Map<LeaderEvent, number>()
  let longestDelay = 0
  let reportedAt = clock.now()
  return {
    count: event => { counts.set(event, (counts.get(event) ?? 0) + 1) },
    tick: lateMilliseconds => {
      longestDelay = Math.max(longestDelay, lateMilliseconds)
      const now = clock.now()
      if (now - reportedAt < REPORT_INTERVAL_MILLISECONDS) return
      logger.info('The leader was asked.', { ...Object.fromEntries(counts), timerDelay: Math.round(longestDelay), milliseconds: Math.round(now - reportedAt) })
      counts = new Map()
      longestDelay = 0
      reportedAt = now
    }
  }
}
