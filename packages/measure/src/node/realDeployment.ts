/** A measured deployment as real processes, with the latencies between its failure domains. */

import { startDeployment } from '@cyclamenusher/stand-ins'
import type { AccountPlan, Deployment } from '@cyclamenusher/stand-ins'
import type { MeasuredDeployment } from './deployments.js'

/** Control instances: one in each failure domain. */
const CONTROL_COUNT = 3

export interface RealDeploymentOptions {
  measured: MeasuredDeployment
  database: string
  account: AccountPlan
  /** Lag of the replicas, in milliseconds. */
  lagMilliseconds: number
  /** Further lines of an instance's settings, by table. */
  settings?: Record<string, string[]>
}

/** Starts the processes, gives them to `body`, and ends them whatever becomes of it. */
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
    // A line for each decision would measure the log.
    settings: { log: ['decisions = false'], ...settings }
  })
  try {
    deployment.network?.setDelay(measured.domainDelayMilliseconds)
    return await body(deployment)
  } finally {
    await deployment.close()
  }
}
