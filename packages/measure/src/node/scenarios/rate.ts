/** Measures wrongful refusals and requests admitted beyond the limits, in virtual time, with the product's own decisions. */

import { runRateTrial } from '../model/rateTrial.js'
import type { Demand, RateSplit } from '../model/rateTrial.js'
import type { Figures, Scenario } from '../scenario.js'

const DEMANDS: readonly Demand[] = ['even', 'skewed', 'moving', 'restarts', 'crashes', 'cut']
const SPLITS: readonly RateSplit[] = ['escrow', 'one home', 'central bucket', 'static shares']

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

export const rateScenario: Scenario = {
  name: 'rate',
  description: 'requests refused although within rate and burst, by demand (virtual time)',
  policies: SPLITS,
  run: async ({ deployment, seed, policy }) => {
    const figures: Figures = {}
    for (const demand of DEMANDS) {
      const trial = runRateTrial({ deployment, split: (policy ?? 'escrow') as RateSplit, demand, seed })
      figures[demand] = Object.fromEntries(Object.entries(trial).map(([name, value]) => [name, round(value)]))
    }
    return figures
  }
}
