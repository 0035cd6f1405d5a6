/** A seeded random number generator; the same seed gives the same numbers. */

export interface Random {
  /** A number from 0 up to, but not including, 1. */
  unit: () => number
  between: (minimum: number, maximum: number) => number
  /** An integer from 0 up to, but not including, `bound`. */
  integerBelow: (bound: number) => number
  /** True with the given probability. */
  chance: (probability: number) => boolean
  pick: <Item>(items: readonly Item[]) => Item
  /** An exponentially distributed time between two events that occur at the given mean rate, in milliseconds. */
  exponentialGap: (ratePerSecond: number) => number
}

export function createRandom (seed: number): Random {
  let state = (seed * 2_654_435_761 + 1_013_904_223) >>> 0
  function unit (): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
  const integerBelow = (bound: number): number => Math.floor(unit() * bound)
  return {
    unit,
    between: (minimum, maximum) => minimum + unit() * (maximum - minimum),
    integerBelow,
    chance: probability => unit() < probability,
    pick: items => items[integerBelow(items.length)],
    exponentialGap: ratePerSecond => -Math.log(1 - unit()) * 1000 / ratePerSecond
  }
}
