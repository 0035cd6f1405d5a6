/**
 * Logs decisions about requests, in bounded volume: of each kind of line, a maximum
 * number per second, and of successes only a sample. The log reports how many
 * lines of each kind it left out.
 */

import type { LogFacts, ScopedLogger } from '../process/logger.js'
import type { Metrics } from '../process/metrics.js'
import type { Clock } from '../process/clock.js'
import type { PrefetchOutcome } from './rateGate.js'

/** Maximum lines of one kind per second: enough to see a pattern, for at most 1 % of a core. */
const LINES_PER_SECOND = 20
/** One success in this many is logged. */
const SUCCESS_SAMPLE_INTERVAL = 50
/** Period over which lines are counted, in milliseconds; the numbers of omitted lines are logged after it. */
const WINDOW_MILLISECONDS = 1_000

/** What is counted of an answer. */
export interface Answer {
  /** Kind of the statement; undefined: the start of a session. */
  statement?: string
  failure?: string
  milliseconds?: number
}

export interface RequestLog {
  /** Logs and counts the answer to a statement or a start of a session; `kind` is "complete" or the sentence to log. The facts are asked for only if a line is written. */
  logAnswer: (kind: string, answer: Answer, describe: () => LogFacts) => void
  /** Logs a decision made while a request runs, such as a retry. */
  logDecision: (kind: string, facts: LogFacts) => void
  /** Counts what became of a token that was borrowed before an operation needed it. */
  countPrefetch: (outcome: PrefetchOutcome) => void
  /** Sets the metrics in which answers are counted from now on. */
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

  function write (kind: string, describe: () => LogFacts): void {
    if (clock.now() - windowStart > WINDOW_MILLISECONDS) flush()
    const count = (lineCounts.get(kind) ?? 0) + 1
    lineCounts.set(kind, count)
    if (count > LINES_PER_SECOND) {
      omittedCounts.set(kind, (omittedCounts.get(kind) ?? 0) + 1)
      return
    }
    logger.info(kind, describe())
  }

  return {
    logAnswer: (kind, { statement = 'start', failure = kind, milliseconds }, describe) => {
      metrics?.requests.inc({ kind: statement, outcome: failure })
      if (milliseconds !== undefined) metrics?.recordLatency('request', milliseconds)
      if (kind !== 'complete') return write(kind, describe)
      successes += 1
      if (successes % SUCCESS_SAMPLE_INTERVAL === 0) write(kind, () => ({ ...describe(), sampled: SUCCESS_SAMPLE_INTERVAL }))
    },
    logDecision: (kind, facts) => { write(kind, () => facts) },
    countPrefetch: outcome => { metrics?.prefetchedTokens.inc({ outcome }) },
    setMetrics: target => { metrics = target },
    close: flush
  }
}
