/** Requests that are held until there is news, or until their time is up. */

export interface HeldRequests {
  /** Resolves at the next `release`, or after `milliseconds`. */
  hold: (milliseconds: number) => Promise<void>
  /** Lets every held request go on. */
  release: () => void
  count: () => number
}

export function createHeldRequests (): HeldRequests {
  const waiting = new Set<() => void>()
  return {
    hold: async milliseconds => {
      await new Promise<void>(resolve => {
        const resume = (): void => {
          clearTimeout(timer)
          waiting.delete(resume)
          resolve()
        }
        const timer = setTimeout(resume, milliseconds)
        waiting.add(resume)
      })
    },
    release: () => { for (const goOn of [...waiting]) goOn() },
    count: () => waiting.size
  }
}
