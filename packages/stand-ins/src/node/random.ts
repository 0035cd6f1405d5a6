/** Pseudo-random numbers that a seed reproduces. */

export interface RandomSource {
  /** Returns a number from 0 up to, but not including, 1. */
  next: () => number
  /** Returns an integer from `minimum` to `maximum`, both included. */
  between: (minimum: number, maximum: number) => number
  pick: <Item>(items: readonly Item[]) => Item
  chance: (probability: number) => boolean
  /** Creates a source whose numbers do not depend on later calls of this one. */
  fork: () => RandomSource
}

/** Creates a mulberry32 generator. */
export function createRandom (seed: number): RandomSource {
  let state = seed >>> 0
  function next (): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
  const between = (minimum: number, maximum: number): number => minimum + Math.floor(next() * (maximum - minimum + 1))
  return {
    next,
    between,
    pick: items => items[between(0, items.length - 1)],
    chance: probability => next() < probability,
    fork: () => createRandom(between(0, 0xffffffff))
  }
}
