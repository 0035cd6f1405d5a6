/** Time as parts of the process see it, so that tests can pass their own. */

export interface Clock {
  /** Milliseconds on a clock that never steps. */
  now: () => number
}

export const systemClock: Clock = { now: () => performance.now() }

export async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>(resolve => { setTimeout(resolve, milliseconds) })
}
