/** Runs a measured deployment as real processes, with the delays between its failure domains. */

import { startDeployment } from '@cyclamenusher/stand-ins'
import type { AccountPlan, Deployment } from '@cyclamenusher/stand-ins'
import type { MeasuredDeployment } from './deployments.js'

/** Number of control instances: one in each failure domain. */
const CONTROL_COUNT = 3

export interface RealDeploymentOptions {
  measured: MeasuredDeployment
  database: string
  account: AccountPlan
  /** Replication lag of the replicas, in milliseconds. */
  lagMilliseconds: number
  /** Additional lines of an instance's settings, by table. */
  settings?: Record<string, string[]>
}

/** Starts the processes, passes the deployment to `body`, and stops the processes even if `body` fails. */
export async function withRealDeployment<Result> (options: RealDeploymentOptions, body: (deployment: Deployment) => Promise<Result>): Promise<Result> {
  const { measured, database, account, lagMilliseconds, settings } = options
  const deployment = await startDeployment({
    failureDomains: measured.failureDomains,
    entries: measured.entries,
    controls: CONTROL_COUNT,
    databases: [database],
    members: measured.members,
    accounts: [account],
    connectionLimit: measured.connectionLimit,
    openMilliseconds: measured.openMilliseconds,
    lagMilliseconds,
    links: true,
    // One log line per decision would distort the figures with the cost of logging.
    settings: { log: ['decisions = false'], ...settings }
  })
  try {
    deployment.network?.setDelay(measured.domainDelayMilliseconds)
    return await body(deployment)
  } finally {
    await deployment.close()
  }
}
