/**
 * A deterministic simulation in virtual time: processes that can die and freeze,
 * and calls between them that can be late or lost. The same seed gives the same
 * run.
 */

/** A simulated process; a restart creates a new one. */
export interface ModelProcess {
  name: string
  failureDomain: string
  alive: boolean
  /** The process does nothing before this virtual time, in milliseconds. */
  frozenUntil: number
}

export interface Simulation {
  /** The virtual time in milliseconds. */
  now: () => number
  /** Returns a number from 0 up to, but not including, 1. */
  random: () => number
  /** Returns an integer from `minimum` to `maximum`, both included. */
  integerBetween: (minimum: number, maximum: number) => number
  pick: <Item>(items: readonly Item[]) => Item
  sleep: (owner: ModelProcess, milliseconds: number) => Promise<void>
  /** Runs `work` in another process; resolves with undefined if no answer arrives in time. */
  call: <Answer>(from: ModelProcess, to: ModelProcess, work: () => Answer, milliseconds: number) => Promise<Answer | undefined>
  /** Blocks or unblocks messages from one failure domain to another. */
  setCut: (from: string, to: string, cut: boolean) => void
  removeAllCuts: () => void
  isCut: (from: ModelProcess, to: ModelProcess) => boolean
  /** Runs `work` after `milliseconds` of virtual time. */
  at: (milliseconds: number, work: () => void) => void
  /** Advances virtual time to `until`, in milliseconds, and runs the work that is due. */
  run: (until: number) => Promise<void>
}

/** Share of messages that are late. */
const LATE_MESSAGE_SHARE = 0.02
/** Maximum latency of a late message, in milliseconds. */
const MAXIMUM_LATENCY_MILLISECONDS = 2_500

/** Creates a seeded random number generator (mulberry32). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

interface TimedWork {
  time: number
  order: number
  work: () => void
}

function createTimerQueue (): { push: (item: TimedWork) => void, pop: () => TimedWork | undefined, first: () => TimedWork | undefined } {
  const heap: TimedWork[] = []
  const isBefore = (left: TimedWork, right: TimedWork): boolean => left.time < right.time || (left.time === right.time && left.order < right.order)
  function swap (left: number, right: number): void {
    [heap[left], heap[right]] = [heap[right], heap[left]]
  }
  return {
    first: () => heap[0],
    push: item => {
      heap.push(item)
      let at = heap.length - 1
      while (at > 0 && isBefore(heap[at], heap[(at - 1) >> 1])) {
        swap(at, (at - 1) >> 1)
        at = (at - 1) >> 1
      }
    },
    pop: () => {
      if (heap.length === 0) return undefined
      swap(0, heap.length - 1)
      const item = heap.pop()
      for (let at = 0; ;) {
        const children = [2 * at + 1, 2 * at + 2].filter(child => child < heap.length)
        if (children.length === 0) break
        const least = children.reduce((best, child) => isBefore(heap[child], heap[best]) ? child : best)
        if (!isBefore(heap[least], heap[at])) break
        swap(at, least)
        at = least
      }
      return item
    }
  }
}

export function createSimulation (seed: number): Simulation {
  const random = createRandom(seed)
  const queue = createTimerQueue()
  const cuts = new Set<string>()
  let time = 0
  let order = 0

  const integerBetween = (minimum: number, maximum: number): number => minimum + Math.floor(random() * (maximum - minimum + 1))
  const latency = (): number => random() < LATE_MESSAGE_SHARE ? integerBetween(3, MAXIMUM_LATENCY_MILLISECONDS) : integerBetween(1, 3)
  const isCut = (from: ModelProcess, to: ModelProcess): boolean => cuts.has(`${from.failureDomain} ${to.failureDomain}`)

  function at (milliseconds: number, work: () => void): void {
    order += 1
    queue.push({ time: time + milliseconds, order, work })
  }

  /** Runs `work` as soon as the process is not frozen, or never if it is dead by then. */
  function resume (process: ModelProcess, work: () => void): void {
    if (!process.alive) return
    if (time >= process.frozenUntil) return work()
    at(process.frozenUntil - time, () => { resume(process, work) })
  }

  return {
    now: () => time,
    random,
    integerBetween,
    pick: items => items[integerBetween(0, items.length - 1)],
    at,
    isCut,
    setCut: (from, to, cut) => {
      if (cut) cuts.add(`${from} ${to}`)
      else cuts.delete(`${from} ${to}`)
    },
    removeAllCuts: () => { cuts.clear() },
    sleep: async (owner, milliseconds) => {
      await new Promise<void>(resolve => { at(milliseconds, () => { resume(owner, resolve) }) })
    },
    call: async (from, to, work, milliseconds) => await new Promise(resolve => {
      at(milliseconds, () => { resume(from, () => { resolve(undefined) }) })
      at(latency(), () => {
        if (isCut(from, to)) return
        resume(to, () => {
          const answer = work()
          at(latency(), () => {
            if (!isCut(to, from)) resume(from, () => { resolve(answer) })
          })
        })
      })
    }),
    run: async until => {
      for (let next = queue.first(); next !== undefined && next.time <= until; next = queue.first()) {
        queue.pop()
        time = next.time
        next.work()
        // Code that awaited this work continues before virtual time advances.
        await new Promise(resolve => { setImmediate(resolve) })
      }
      time = until
    }
  }
}
