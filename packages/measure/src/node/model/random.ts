/** Random numbers that a seed repeats. */

export interface Random {
  /** From 0 up to 1. */
  unit: () => number
  between: (minimum: number, maximum: number) => number
  integerBelow: (bound: number) => number
  chance: (probability: number) => boolean
  pick: <Item>(items: readonly Item[]) => Item
  /** Time to the next event of a process with this rate a second, in milliseconds. */
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
