/** All scenarios, in the order in which they run. */

import { accountsScenario } from './accounts.js'
import { evenLoadScenario } from './evenLoad.js'
import { failoverScenario } from './failover.js'
import { overloadScenario } from './overload.js'
import { rateScenario } from './rate.js'
import { replicaReadsScenario } from './replicaReads.js'
import type { Scenario } from '../scenario.js'

export const SCENARIOS: readonly Scenario[] = [failoverScenario, replicaReadsScenario, accountsScenario, rateScenario, overloadScenario, evenLoadScenario]
