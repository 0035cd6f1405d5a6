/** Limits against clients that are not controlled, and how often each was met. */

import type { LogFacts, ScopedLogger } from './logger.js'
import type { Clock } from './clock.js'
import type { Metrics } from './metrics.js'

/** Names of the limits, as they stand in the log and in the counter's label. */
export type LimitName =
  | 'first message time'
  | 'partial message time'
  | 'silent connections'
  | 'connections'
  | 'pipelined statements'
  | 'pipelined bytes'
  | 'message bytes'
  | 'session bytes'
  | 'session bytes closed'
  | 'unread answer time'
  | 'buffered bytes held back'
  | 'buffered bytes refused'
  | 'buffered bytes closed'
  | 'http connections'
  | 'http body bytes'
  | 'http buffered bytes'
  | 'http time'
  | 'silent calls'
  | 'handshakes'

/** Limits of callers' connections on one process. */
export interface CallerLimits {
  /** Bytes that all clients together may make the process hold. */
  bufferedBytes: number
  /** Time within which a connection must have sent its first message, in milliseconds. */
  firstMessageMilliseconds: number
  /** Time within which a message must be complete once its first byte has come, in milliseconds. */
  partialMessageMilliseconds: number
  /** Connections that have not sent their first message; the oldest is closed for a further one. */
  silentConnections: number
  /** Statements that a caller may send ahead of their answers; a caller that sends more is disconnected. */
  pipelinedStatements: number
  /** Bytes of waiting statements from which no more is read from a caller. */
  pipelinedBytes: number
  /** Bytes that a session's values, prepared statements and names may take. */
  sessionBytes: number
  /** Bytes of unread answers from which a caller's next statement waits. */
  unreadAnswerBytes: number
  /** Time after which a caller is disconnected that reads nothing of such answers, in milliseconds. */
  unreadAnswerMilliseconds: number
}

/** Limits of an HTTP server. */
export interface HttpLimits {
  connections: number
  /** Longest body of a request, in bytes. */
  bodyBytes: number
  /** Bytes of all unfinished bodies together. */
  bufferedBytes: number
  /** Time within which a request must be complete, in milliseconds. */
  requestMilliseconds: number
}

/** Log lines of one limit that are written in one period; the others are counted only. */
const LINES_PER_PERIOD = 5
const PERIOD_MILLISECONDS = 1_000

export interface LimitReport {
  report: (limit: LimitName, facts?: LogFacts) => void
  setMetrics: (metrics: Metrics) => void
}

/** Creates a report that counts each limit that was met, and logs a bounded number of lines of each. */
export function createLimitReport (logger: ScopedLogger, clock: Clock): LimitReport {
  const counts = new Map<LimitName, number>()
  const early = new Map<LimitName, number>()
  let metrics: Metrics | undefined
  let periodStart = clock.now()
  return {
    report: (limit, facts) => {
      if (metrics === undefined) early.set(limit, (early.get(limit) ?? 0) + 1)
      else metrics.limits.inc({ limit })
      if (clock.now() - periodStart > PERIOD_MILLISECONDS) {
        periodStart = clock.now()
        counts.clear()
      }
      const count = (counts.get(limit) ?? 0) + 1
      counts.set(limit, count)
      if (count <= LINES_PER_PERIOD) logger.warn('A client met a limit.', { limit, ...facts })
    },
    setMetrics: target => {
      metrics = target
      for (const [limit, count] of early) target.limits.inc({ limit }, count)
      early.clear()
    }
  }
}
