/** Every scenario by name. */

import { FAILOVER } from './failover.js'
import { rateScenario } from './rate.js'
import { REPLICA_READS } from './replicaReads.js'
import type { Scenario } from '../scenario.js'

export const SCENARIOS: readonly Scenario[] = [FAILOVER, REPLICA_READS, rateScenario]
