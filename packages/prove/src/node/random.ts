/** A random source that a seed replays. */

export interface RandomSource {
  /** At least 0 and below 1. */
  next: () => number
  /** A whole number from `least` up to and with `most`. */
  between: (minimum: number, maximum: number) => number
  pick: <Item>(items: readonly Item[]) => Item
  chance: (probability: number) => boolean
  /** A further source whose numbers do not depend on how often this one is asked. */
  fork: () => RandomSource
}

/** The mulberry32 generator. */
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
