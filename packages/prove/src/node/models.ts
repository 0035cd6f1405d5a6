/** Histories of the decisions alone, in virtual time: the first level of their points. */

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
  points: PointName[]
  /** Histories, each with a seed of its own, when all points are proved. */
  runs: number
}

export const MODELS: Record<string, ModelPlan> = {
  'group history': { run: async seed => await runGroupHistory({ seed }), points: ['read-your-writes', 'replaced-primary'], runs: 100 },
  'rate history': { run: async seed => runRateHistory({ seed }), points: ['rate'], runs: 100 }
}
