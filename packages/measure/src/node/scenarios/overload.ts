/** Compares waiting policies for one server that many instances share, under loads that exceed its capacity. */

import { runOverload } from '../model/overload.js'
import type { OverloadOutcome, WaitingPolicy } from '../model/overload.js'
import type { Figures, Scenario } from '../scenario.js'

const POLICIES: readonly WaitingPolicy[] = ['unlimited', 'first come', 'deadline order', 'adaptive']

/** Load at a time in milliseconds, as a multiple of the server's capacity, by name. */
const LOADS: Record<string, (time: number) => number> = {
  'calm at 0.8': () => 0.8,
  'lasting 1.3': () => 1.3,
  'lasting 2.0': () => 2,
  'burst of 1 s at 2.5': time => time >= 5_000 && time < 6_000 ? 2.5 : 0.8,
  'spell of 5 s at 1.6': time => time >= 5_000 && time < 10_000 ? 1.6 : 0.8
}
/** Operations that start in this span are counted; in milliseconds. */
const COUNTED_SPAN = { from: 5_000, to: 15_000 } as const

function roundShare (part: number, total: number): number {
  return Math.round(part / total * 1000) / 1000
}

function toFigures ({ offered, onTime, late, refused, expired, capacity }: OverloadOutcome): Record<string, number> {
  return {
    'on time, of what can be run': roundShare(onTime, Math.min(offered, capacity)),
    late: roundShare(late, offered),
    refused: roundShare(refused, offered),
    expired: roundShare(expired, offered)
  }
}

export const overloadScenario: Scenario = {
  name: 'overload',
  description: 'operations answered within their objective at an overloaded server (virtual time)',
  policies: POLICIES,
  run: async ({ seed, policy }) => {
    const figures: Figures = {}
    for (const waitingPolicy of POLICIES) {
      if (policy !== undefined && waitingPolicy !== policy) continue
      for (const [name, loadAt] of Object.entries(LOADS)) figures[`${waitingPolicy}, ${name}`] = toFigures(runOverload({ seed, policy: waitingPolicy, loadAt }).between(COUNTED_SPAN.from, COUNTED_SPAN.to))
    }
    return figures
  }
}
