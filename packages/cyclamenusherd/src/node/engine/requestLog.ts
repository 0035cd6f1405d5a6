/**
 * One line for each decision that touches a request, bounded in volume: every
 * failure up to a cap per second and kind, and one success in so many. What is
 * left out is counted, and the count is logged.
 */

import type { LogFacts, ScopedLogger } from '../process/logger.js'
import type { Metrics } from '../process/metrics.js'
import type { Clock } from '../process/clock.js'

/** Lines of one kind in one second: enough to see a pattern, a hundredth of a core at most. */
const LINES_PER_SECOND = 20
/** Of successes, one in so many is logged. */
const SUCCESS_SAMPLE_INTERVAL = 50
/** Time after which the counts of what was left out are logged, in milliseconds. */
const WINDOW_MILLISECONDS = 1_000

export interface RequestLog {
  /** A statement was answered; `kind` names the outcome. */
  logAnswer: (kind: string, facts: LogFacts) => void
  /** A decision on the way, such as a retry. */
  logDecision: (kind: string, facts: LogFacts) => void
  /** Counts answers from now on. */
  setMetrics: (metrics: Metrics) => void
  close: () => void
}

export function createRequestLog (logger: ScopedLogger, clock: Clock): RequestLog {
  let metrics: Metrics | undefined
  let windowStart = clock.now()
  let lineCounts = new Map<string, number>()
  let omittedCounts = new Map<string, number>()
  let successes = 0

  function flush (): void {
    if (omittedCounts.size > 0) logger.info('Lines were left out.', Object.fromEntries(omittedCounts))
    lineCounts = new Map()
    omittedCounts = new Map()
    windowStart = clock.now()
  }

  function write (kind: string, facts: LogFacts): void {
    if (clock.now() - windowStart > WINDOW_MILLISECONDS) flush()
    const count = (lineCounts.get(kind) ?? 0) + 1
    lineCounts.set(kind, count)
    if (count > LINES_PER_SECOND) {
      omittedCounts.set(kind, (omittedCounts.get(kind) ?? 0) + 1)
      return
    }
    logger.info(kind, facts)
  }

  return {
    logAnswer: (kind, facts) => {
      const outcome = typeof facts.failure === 'string' ? facts.failure : kind
      metrics?.requests.inc({ kind: String(facts.statement ?? 'start'), outcome })
      if (typeof facts.milliseconds === 'number') metrics?.recordLatency('request', facts.milliseconds)
      if (kind !== 'complete') return write(kind, facts)
      successes += 1
      if (successes % SUCCESS_SAMPLE_INTERVAL === 0) write(kind, { ...facts, sampled: SUCCESS_SAMPLE_INTERVAL })
    },
    logDecision: write,
    setMetrics: target => { metrics = target },
    close: flush
  }
}
