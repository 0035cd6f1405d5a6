/** The interface between the measuring tool and its scenarios. */

import type { MeasuredDeployment } from './deployments.js'

export interface ScenarioOptions {
  deployment: MeasuredDeployment
  seed: number
  /** Name of a policy to compare with; undefined: the product's own. */
  policy?: string
}

/** Figures by name, printed unchanged. */
export type Figures = Record<string, number | string | boolean | Record<string, number | string>>

export interface Scenario {
  name: string
  /** What is measured, in one line. */
  description: string
  /** Names that `--policy` accepts. */
  policies: readonly string[]
  run: (options: ScenarioOptions) => Promise<Figures>
}
