/** Histories of the decision functions alone, simulated in virtual time. */

import { runGroupHistory } from '@cyclamenusher/decisions/model'
import { runRateHistory } from '@cyclamenusher/measure'
import type { PointName } from './points.js'

export interface ModelResult {
  violations: unknown[]
  operations: number
  faults: Record<string, number>
}

export interface ModelPlan {
  run: (seed: number) => Promise<ModelResult>
  /** Points that the histories check. */
  points: PointName[]
  /** Default number of histories; each has its own seed. */
  runs: number
}

export const MODELS: Record<string, ModelPlan> = {
  'group history': { run: async seed => await runGroupHistory({ seed }), points: ['read-your-writes', 'replaced-primary'], runs: 100 },
  'rate history': { run: async seed => runRateHistory({ seed }), points: ['rate'], runs: 100 }
}
