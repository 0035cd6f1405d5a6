/** Load of callers that write, move to another instance, and read their writes back. */

import { createSession, getErrorCode } from './session.js'
import type { SessionOptions } from './session.js'

export interface LoadCounts {
  /** Ids of the acknowledged writes. */
  acknowledged: string[]
  /** Ids of the writes whose outcome is unknown. */
  unknown: string[]
  /** Number of requests refused as "not run", by SQLSTATE. */
  refused: Map<string, number>
  /** Number of reads that did not return the session's own write. */
  stale: number
  reads: number
  moves: number
  /** Longest time between two acknowledged writes, in milliseconds. */
  longestGapMilliseconds: number
}

export interface Load {
  counts: LoadCounts
  /** Restarts the measurement of the longest gap. */
  resetGap: () => void
  stop: () => Promise<void>
}

/** Pause between two rounds of a caller, in milliseconds. */
const ROUND_PAUSE_MILLISECONDS = 10

export function startLoad (callers: SessionOptions[], prefix: string): Load {
  const counts: LoadCounts = { acknowledged: [], unknown: [], refused: new Map(), stale: 0, reads: 0, moves: 0, longestGapMilliseconds: 0 }
  let stopped = false
  let lastWriteAt = performance.now()

  function recordWrite (): void {
    const now = performance.now()
    counts.longestGapMilliseconds = Math.max(counts.longestGapMilliseconds, now - lastWriteAt)
    lastWriteAt = now
  }

  function recordFailure (error: unknown, id: string): void {
    const code = getErrorCode(error)
    // After any error but a clear refusal, the request may have run.
    const outcomeUnknown = code === '' || code === '08007' || code.startsWith('57P01') || code.startsWith('E')
    if (outcomeUnknown) counts.unknown.push(id)
    else counts.refused.set(code, (counts.refused.get(code) ?? 0) + 1)
  }

  async function runCaller (options: SessionOptions, caller: number): Promise<void> {
    const session = createSession(options)
    for (let round = 0; !stopped; round += 1) {
      const id = `${prefix}-${caller}-${round}`
      try {
        await session.query('insert into deliveries (id, value) values ($1, $2)', [id, id])
        counts.acknowledged.push(id)
        recordWrite()
        await session.roam()
        const { rows } = await session.query('select value from deliveries where id = $1', [id])
        counts.reads += 1
        if (rows.length !== 1) counts.stale += 1
      } catch (error) {
        recordFailure(error, id)
        await session.roam()
      }
      await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MILLISECONDS))
    }
    counts.moves += session.moves()
    await session.close()
  }

  const running = callers.map(runCaller)
  return {
    counts,
    resetGap: () => {
      counts.longestGapMilliseconds = 0
      lastWriteAt = performance.now()
    },
    stop: async () => {
      stopped = true
      await Promise.all(running)
    }
  }
}
