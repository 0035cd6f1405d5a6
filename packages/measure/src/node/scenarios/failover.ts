/** Measures the gap in service when a primary fails, and the parts of the gap, with real processes. */

import { waitUntil } from '@cyclamenusher/stand-ins'
import { withRealDeployment } from '../realDeployment.js'
import { findLongestGap, startWriter } from './writers.js'
import type { Deployment, ServerProcess } from '@cyclamenusher/stand-ins'
import type { Figures, Scenario, ScenarioOptions } from '../scenario.js'
import type { Writer } from './writers.js'

/** Number of failures of each kind, for the product and for each policy that it is compared with. */
const TRIAL_COUNTS = { product: 20, compared: 6 }
/** Time within which a group must settle after a failure, in milliseconds. */
const SETTLE_TIMEOUT_MILLISECONDS = 20_000
/** Time before a failure in which writers run, and time after a short pause before its effect is checked, in milliseconds. */
const UNDISTURBED_MILLISECONDS = 400
/** How long a failure lasts, in milliseconds. */
const FAILURE_MILLISECONDS = 2_500
/** Pauses of a primary that should not cause a promotion, in milliseconds. */
const SHORT_PAUSES_MILLISECONDS = [50, 100, 150, 200, 300, 400]
const DATABASE = 'measured'
const ACCOUNT = { name: 'writer', key: 'writer-key', rate: 100_000, burst: 100_000 }

type FailureKind = 'killed' | 'cut off' | 'frozen'

/**
 * How the failure of a primary is detected: after how long without contact (undefined:
 * the default setting), and whether replicas report that the primary refused a connection.
 */
const POLICIES: Record<string, { silenceMilliseconds?: number, reportsRefusals: boolean }> = {
  product: { reportsRefusals: true },
  'fixed 200': { silenceMilliseconds: 200, reportsRefusals: false },
  'fixed 500': { silenceMilliseconds: 500, reportsRefusals: false },
  'fixed 1000': { silenceMilliseconds: 1_000, reportsRefusals: false },
  'observers 200': { silenceMilliseconds: 200, reportsRefusals: true },
  'observers 300': { silenceMilliseconds: 300, reportsRefusals: true },
  'observers 500': { silenceMilliseconds: 500, reportsRefusals: true }
}

interface ServerState {
  role: string
  adoptedTerm: number
  logTerm: number
  primaryMember: string
  voting: boolean
}

/** A gap between acknowledged writes and its parts, in milliseconds. */
interface FailoverGap {
  whole: number
  /** From the failure to the start of the promotion. */
  detect: number
  /** From the start of the promotion to its end. */
  fence: number
  /** From the end of the promotion to the end of the gap. */
  redirect: number
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function fetchStates (deployment: Deployment): Promise<Array<{ server: ServerProcess, state: ServerState }>> {
  return await Promise.all(deployment.servers.map(async server => ({ server, state: await deployment.administer(server, 'GET', '/state') as ServerState })))
}

async function waitUntilSettled (deployment: Deployment): Promise<ServerProcess> {
  let primary: ServerProcess | undefined
  await waitUntil(Date.now() + SETTLE_TIMEOUT_MILLISECONDS, 'the group did not settle', async () => {
    const states = await fetchStates(deployment)
    const primaries = states.filter(({ state }) => state.role === 'primary')
    primary = primaries[0]?.server
    const term = primaries[0]?.state.adoptedTerm
    return primaries.length === 1 && states.every(({ state }) => state.voting && state.primaryMember === primary?.member && state.logTerm === term)
  })
  return primary!
}

/** Makes a primary fail; the returned function ends the failure. */
type FailureInjector = (deployment: Deployment, primary: ServerProcess) => Promise<() => void>

const FAILURE_INJECTORS: Record<FailureKind, FailureInjector> = {
  killed: async (deployment, primary) => {
    await deployment.fleet.stop(primary.process, 'SIGKILL')
    return () => { deployment.restartServer(primary) }
  },
  'cut off': async (deployment, { failureDomain }) => {
    deployment.network?.cut(failureDomain)
    return () => { deployment.network?.heal(failureDomain) }
  },
  frozen: async (_deployment, { process: { child } }) => {
    child.kill('SIGSTOP')
    return () => { child.kill('SIGCONT') }
  }
}

/** Finds the earliest log line of any entry instance that contains `message` and is not older than `from`. */
function findFirstLine (deployment: Deployment, message: string, from: number): { at: number, line: string } | undefined {
  const lines = deployment.entries.flatMap(({ process }) => process.output().split('\n'))
    .filter(line => line.includes(message))
    .map(line => ({ at: Date.parse(line.slice(0, line.indexOf(' '))), line }))
    .filter(({ at }) => at >= from)
    .sort((left, right) => left.at - right.at)
  return lines[0]
}

/** Measures the longest gap of the writers and its parts; all processes share the wall clock. */
function measureGap (deployment: Deployment, writers: readonly Writer[], faultAt: number): FailoverGap | undefined {
  const begun = findFirstLine(deployment, 'A promotion begins.', faultAt)
  const promoted = findFirstLine(deployment, 'A member was promoted.', faultAt)
  const gaps = writers.flatMap(writer => findLongestGap(writer, faultAt) ?? [])
  if (begun === undefined || promoted === undefined || gaps.length === 0) return undefined
  const worst = gaps.reduce((left, right) => left.milliseconds >= right.milliseconds ? left : right)
  return { whole: worst.milliseconds, detect: begun.at - faultAt, fence: promoted.at - begun.at, redirect: worst.endedAt - promoted.at }
}

async function measureFailure (deployment: Deployment, kind: FailureKind): Promise<FailoverGap | undefined> {
  const primary = await waitUntilSettled(deployment)
  // Callers in a failure domain that is cut off can't write until the cut ends, whatever primary is chosen.
  const entries = deployment.entries.filter(entry => kind !== 'cut off' || entry.failureDomain !== primary.failureDomain).slice(0, 3)
  const writers = entries.map(({ failureDomain, callers, name }) => startWriter({ failureDomain, port: callers, account: ACCOUNT.name, key: ACCOUNT.key, database: DATABASE, name: `${name}-${Date.now()}` }))
  await pause(UNDISTURBED_MILLISECONDS)
  const faultAt = Date.now()
  const heal = await FAILURE_INJECTORS[kind](deployment, primary)
  await pause(FAILURE_MILLISECONDS)
  const gap = measureGap(deployment, writers, faultAt)
  heal()
  await Promise.all(writers.map(async writer => { await writer.stop() }))
  return gap
}

function summarize (values: readonly number[]): { p50: number, worst: number } {
  const sorted = [...values].sort((left, right) => left - right)
  return { p50: Math.round(sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN), worst: Math.round(sorted.at(-1) ?? NaN) }
}

async function measureFailureKind (deployment: Deployment, kind: FailureKind, trials: number): Promise<Record<string, number | string>> {
  const gaps: FailoverGap[] = []
  for (let trial = 0; trial < trials; trial += 1) {
    const gap = await measureFailure(deployment, kind)
    if (gap !== undefined) gaps.push(gap)
    console.error(`${kind} ${trial + 1} of ${trials}: ${JSON.stringify(gap)}`)
  }
  const parts = (['whole', 'detect', 'fence', 'redirect'] as const).map(part => [part, summarize(gaps.map(gap => gap[part]))] as const)
  const entries = parts.flatMap(([part, { p50, worst }]) => [[`${part} p50 ms`, p50], [`${part} worst ms`, worst]])
  return { trials, measured: gaps.length, ...Object.fromEntries(entries) }
}

/** Counts the promotions caused by short pauses of a healthy primary. */
async function countFalseAlarms (deployment: Deployment): Promise<Record<string, number>> {
  const alarms: Record<string, number> = {}
  for (const milliseconds of SHORT_PAUSES_MILLISECONDS) {
    for (let repeat = 0; repeat < 3; repeat += 1) {
      const primary = await waitUntilSettled(deployment)
      primary.process.child.kill('SIGSTOP')
      await pause(milliseconds)
      primary.process.child.kill('SIGCONT')
      await pause(UNDISTURBED_MILLISECONDS)
      const current = await waitUntilSettled(deployment)
      alarms[`${milliseconds} ms`] = (alarms[`${milliseconds} ms`] ?? 0) + (current === primary ? 0 : 1)
    }
  }
  return alarms
}

async function run ({ deployment: measured, policy = 'product' }: ScenarioOptions): Promise<Figures> {
  const { silenceMilliseconds, reportsRefusals } = POLICIES[policy]
  const settings = silenceMilliseconds === undefined ? undefined : { failover: [`silence_milliseconds = ${silenceMilliseconds}`] }
  return await withRealDeployment({ measured, database: DATABASE, account: ACCOUNT, lagMilliseconds: 5, settings }, async deployment => {
    for (const server of deployment.servers) await deployment.administer(server, 'POST', '/faults', { hidesRefusal: !reportsRefusals })
    const figures: Figures = {}
    for (const kind of Object.keys(FAILURE_INJECTORS) as FailureKind[]) figures[kind] = await measureFailureKind(deployment, kind, policy === 'product' ? TRIAL_COUNTS.product : TRIAL_COUNTS.compared)
    figures['promotions after 3 pauses each'] = await countFalseAlarms(deployment)
    return figures
  })
}

export const failoverScenario: Scenario = {
  name: 'failover',
  description: 'gap between acknowledged writes when a primary is killed, cut off or frozen, and promotions after short pauses',
  policies: Object.keys(POLICIES),
  run
}
