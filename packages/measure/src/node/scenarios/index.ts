/** Every scenario by name. */

import { accountsScenario } from './accounts.js'
import { rateScenario } from './rate.js'
import type { Scenario } from '../scenario.js'

export const SCENARIOS: readonly Scenario[] = [rateScenario, accountsScenario]
