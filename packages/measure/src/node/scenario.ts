/** What each measurement gives the tool. */

import type { MeasuredDeployment } from './deployments.js'

export interface ScenarioOptions {
  deployment: MeasuredDeployment
  seed: number
  /** Way to compare, by name; undefined: the one that the product uses. */
  policy?: string
}

/** Figures by name; they are printed as they come. */
export type Figures = Record<string, number | string | boolean | Record<string, number | string>>

export interface Scenario {
  name: string
  /** What is measured, one line. */
  description: string
  /** Ways that can be compared with `--policy`. */
  policies: readonly string[]
  run: (options: ScenarioOptions) => Promise<Figures>
}
