/** Clock that the parts of the process read; tests pass their own. */

export interface Clock {
  /** Milliseconds on a monotonic clock. */
  now: () => number
}

export const systemClock: Clock = { now: () => performance.now() }

export async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, milliseconds) })
}
