/** Every scenario by name. */

import type { Scenario } from '../scenario.js'

export const SCENARIOS: readonly Scenario[] = []
