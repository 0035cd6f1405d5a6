/** What protects a process against callers that are not controlled: the limits of one connection, and the account of all of them. */

import { computeMemoryLimit } from '@cyclamenusher/decisions'
import { createMemoryAccount } from '../process/memoryAccount.js'
import type { Clock } from '../process/clock.js'
import type { CallerLimits, LimitReport } from '../process/limits.js'
import type { MemoryAccount } from '../process/memoryAccount.js'

/** Memory of the machine that the default limits assume, in mebibytes. */
const DEFAULT_MACHINE_MEBIBYTES = 202

export interface CallerProtection {
  limits: CallerLimits
  account: MemoryAccount
  report: LimitReport['report']
}

/** Limits for a process on a machine with this much memory, that may have this many callers' connections. */
export function computeCallerLimits (machineMebibytes: number, maximumConnections: number): CallerLimits {
  return {
    bufferedBytes: computeMemoryLimit(machineMebibytes),
    // Callers wait no longer for an answer.
    firstMessageMilliseconds: 5_000,
    // A message of 1 MiB takes 6 s on a link of 1.4 Mbit/s, if it is alone on it.
    partialMessageMilliseconds: 30_000,
    // All sessions of a fleet may reconnect at once: 2,800 of them at 6 instances are 467 at each.
    silentConnections: Math.max(1, Math.floor(maximumConnections * 0.75)),
    pipelinedStatements: 1_000,
    pipelinedBytes: 256 * 1024,
    // One message of the largest size, and a few short values and statements. Two sessions of 4 MiB filled the part of all sessions at 202 MB.
    sessionBytes: 1_280 * 1024,
    unreadAnswerBytes: 256 * 1024,
    unreadAnswerMilliseconds: 10_000
  }
}

/** The protection of one session with the default limits. */
export function createCallerProtection (clock: Clock): CallerProtection {
  const limits = computeCallerLimits(DEFAULT_MACHINE_MEBIBYTES, Infinity)
  const report = (): void => {}
  return { limits, account: createMemoryAccount(limits.bufferedBytes, clock, { report }), report }
}
