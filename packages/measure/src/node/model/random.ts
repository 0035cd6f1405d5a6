/** Random numbers that a seed repeats. */

export interface Random {
  /** From 0 up to 1. */
  unit: () => number
  between: (least: number, most: number) => number
  whole: (below: number) => number
  chance: (share: number) => boolean
  pick: <Item>(items: readonly Item[]) => Item
  /** Time to the next event of a process with this rate a second, in milliseconds. */
  gap: (rate: number) => number
}

export function createRandom (seed: number): Random {
  let state = (seed * 2_654_435_761 + 1_013_904_223) >>> 0
  function unit (): number {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
  const whole = (below: number): number => Math.floor(unit() * below)
  return {
    unit,
    between: (least, most) => least + unit() * (most - least),
    whole,
    chance: share => unit() < share,
    pick: items => items[whole(items.length)],
    gap: rate => -Math.log(1 - unit()) * 1000 / rate
  }
}
