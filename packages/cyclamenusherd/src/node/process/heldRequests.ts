/** Holds long-polling requests until there is something new to answer, or until they time out. */

export interface HeldRequests {
  /** Resolves at the next `release`, or after `milliseconds`. */
  hold: (milliseconds: number) => Promise<void>
  /** Resolves every held request. */
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
    release: () => { for (const resume of [...waiting]) resume() },
    count: () => waiting.size
  }
}
