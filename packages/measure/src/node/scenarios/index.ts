/** Every scenario by name. */

import { FAILOVER } from './failover.js'
import type { Scenario } from '../scenario.js'

export const SCENARIOS: readonly Scenario[] = [FAILOVER]
