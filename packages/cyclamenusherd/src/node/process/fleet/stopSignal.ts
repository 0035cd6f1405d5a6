/** Stops an instance when the process is told to terminate. */

import type { RunningInstance } from '../instance.js'

/** Exit codes after an ordered stop, and after one that failed or a start that did. */
const EXIT_CODES = { success: 0, failure: 1 } as const

/**
 * Stops the instance at the first SIGTERM, once it has started. Further ones change
 * nothing: the statements that run then are answered first, and whoever can't wait for
 * them sends SIGKILL.
 */
export function stopOnTermination (started: Promise<Pick<RunningInstance, 'stop'>>, exit: (code: number) => void): void {
  let isStopping = false
  process.on('SIGTERM', () => {
    if (isStopping) return
    isStopping = true
    started.then(async instance => { await instance.stop() }).then(() => { exit(EXIT_CODES.success) }, () => { exit(EXIT_CODES.failure) })
  })
}
