/** Clock that the parts of the process read; tests pass their own. */

export interface Clock {
  /** Milliseconds on a monotonic clock. */
  now: () => number
  /** When this process started, on this clock; no earlier process of the instance outlives that. @default when it is first asked for */
  startedAt?: number
}

/** Counts from the start of the process. */
export const systemClock: Clock = { now: () => performance.now(), startedAt: 0 }

export async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, milliseconds) })
}
