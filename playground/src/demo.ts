/**
 * Demonstration of a deployment with three control and eight entry instances in
 * three failure domains, two groups of three stand-in servers, callers that move
 * between instances, and failures. It starts and stops all processes itself and
 * succeeds if every step holds.
 */

import { createBalancer, digestOf, startDeployment } from '@cyclamenusher/stand-ins'
import { startLoad } from './load.js'
import { createSession, getErrorCode } from './session.js'
import type { Balancer, Deployment, ServerProcess } from '@cyclamenusher/stand-ins'
import type { LoadCounts } from './load.js'

const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const CONTROL_INSTANCES = 3
const ENTRY_INSTANCES = 8
const DATABASES = ['deliveries', 'stock']
const ACCOUNTS = [
  { name: 'clinic', key: 'key-of-the-clinic', rate: 5_000, burst: 5_000 },
  { name: 'warehouse', key: 'key-of-the-warehouse', rate: 5_000, burst: 5_000 },
  { name: 'small', key: 'key-of-the-small-one', rate: 20, burst: 20 }
]
/** Time within which a change of the rules must be in force at all instances, in milliseconds. */
const IN_FORCE_LIMIT_MILLISECONDS = 5_000
/** Longest time that a failover may take, in milliseconds; this bound is the users' requirement. */
const FAILOVER_LIMIT_MILLISECONDS = 7_000
/** Number of callers that produce the load. */
const CALLERS = 4

interface Step {
  what: string
  held: boolean
  figures: string
}

type ServerLog = Array<{ operations: Array<{ kind: string, id?: string }> }>

async function findPrimary (deployment: Deployment, group: string): Promise<ServerProcess> {
  for (const server of deployment.servers.filter(candidate => candidate.group === group && candidate.process.child.exitCode === null)) {
    const state = await deployment.administer(server, 'GET', '/state').catch(() => undefined) as { role: string } | undefined
    if (state?.role === 'primary') return server
  }
  throw new Error(`${group} has no primary`)
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Repeats `condition` until it is true; returns the milliseconds this took, or Infinity after the limit. */
async function measureUntil (limitMilliseconds: number, condition: () => Promise<boolean>): Promise<number> {
  const startedAt = performance.now()
  for (;;) {
    if (await condition().catch(() => false)) return performance.now() - startedAt
    if (performance.now() - startedAt > limitMilliseconds) return Infinity
    await pause(50)
  }
}

function listPorts (deployment: Deployment, failureDomains = FAILURE_DOMAINS): number[] {
  return deployment.entries.filter(entry => failureDomains.includes(entry.failureDomain)).map(({ callers }) => callers)
}

/** Counts acknowledged writes that are missing from the log, and writes that are in it more than once. */
async function compareWithLog (deployment: Deployment, counts: LoadCounts): Promise<{ lost: number, doubled: number }> {
  const log = await deployment.administer(await findPrimary(deployment, 'deliveries'), 'GET', '/log') as ServerLog
  const occurrences = new Map<string, number>()
  for (const { operations } of log) {
    for (const { id } of operations) if (id !== undefined) occurrences.set(id, (occurrences.get(id) ?? 0) + 1)
  }
  return {
    lost: counts.acknowledged.filter(id => !occurrences.has(id)).length,
    doubled: [...occurrences.values()].filter(count => count > 1).length
  }
}

async function killPrimary (deployment: Deployment, load: ReturnType<typeof startLoad>): Promise<Step> {
  const primary = await findPrimary(deployment, 'deliveries')
  load.resetGap()
  await deployment.fleet.stop(primary.process, 'SIGKILL')
  await pause(3_000)
  const gap = load.counts.longestGapMilliseconds
  deployment.restartServer(primary)
  return { what: 'the primary is killed', held: gap < FAILOVER_LIMIT_MILLISECONDS, figures: `longest gap between acknowledged writes ${Math.round(gap)} ms` }
}

async function withdrawKey (deployment: Deployment): Promise<Step> {
  const session = createSession({ ports: listPorts(deployment), account: 'warehouse', key: 'key-of-the-warehouse', database: 'stock' })
  await session.query('select 1')
  deployment.rules.delete('keys.warehouse-key')
  const applied = await deployment.applyRules()
  const refusedAfterMilliseconds = await measureUntil(IN_FORCE_LIMIT_MILLISECONDS, async () => {
    try {
      await session.query('select 1')
      return false
    } catch (error) {
      return getErrorCode(error) !== '57P03'
    }
  })
  const refusalTimes = await Promise.all(listPorts(deployment).map(async port => {
    const newSession = createSession({ ports: [port], account: 'warehouse', key: 'key-of-the-warehouse', database: 'stock' })
    return await measureUntil(IN_FORCE_LIMIT_MILLISECONDS, async () => {
      try {
        await newSession.query('select 1')
        return false
      } catch (error) {
        return getErrorCode(error) === '28P01'
      } finally {
        await newSession.close()
      }
    })
  }))
  const slowestMilliseconds = Math.max(refusedAfterMilliseconds, ...refusalTimes)
  return { what: 'a key is withdrawn', held: applied.code === 0 && slowestMilliseconds < IN_FORCE_LIMIT_MILLISECONDS, figures: `the connected caller was refused after ${Math.round(refusedAfterMilliseconds)} ms, all ${refusalTimes.length} instances refuse it` }
}

interface Served {
  count: number
  /** From the first request's start to the last answer, in seconds. */
  seconds: number
}

async function countServed (deployment: Deployment, milliseconds: number): Promise<Served> {
  const sessions = listPorts(deployment).map(port => createSession({ ports: [port], account: 'small', key: 'key-of-the-small-one', database: 'stock' }))
  const startedAt = performance.now()
  const deadline = startedAt + milliseconds
  let count = 0
  await Promise.all(sessions.map(async session => {
    while (performance.now() < deadline) {
      try {
        await session.query('select 1')
        count += 1
      } catch (error) {
        if (getErrorCode(error) !== '53400') throw error
      }
      await pause(10)
    }
    await session.close()
  }))
  return { count, seconds: (performance.now() - startedAt) / 1_000 }
}

async function changeRate (deployment: Deployment): Promise<Step> {
  const burst = 20
  const isWithinLimit = ({ count, seconds }: Served, rate: number): boolean => count <= rate * seconds + burst
  const before = await countServed(deployment, 3_000)
  deployment.rules.set('accounts.small', `accounts.small = { rate = 100, burst = ${burst}, weight = 1 } # asked for by the demonstration`)
  const applied = await deployment.applyRules()
  await pause(1_000)
  const after = await countServed(deployment, 3_000)
  return {
    what: 'a rate is changed from 20 to 100 a second',
    held: applied.code === 0 && isWithinLimit(before, 20) && isWithinLimit(after, 100) && after.count > before.count,
    figures: `${before.count} served in ${before.seconds.toFixed(2)} s before, ${after.count} in ${after.seconds.toFixed(2)} s after, burst ${burst}, over all instances`
  }
}

async function cutDomain (deployment: Deployment, load: ReturnType<typeof startLoad>): Promise<Step> {
  const { network } = deployment
  if (network === undefined) throw new Error('the deployment has no links')
  // Cuts off a failure domain without the primary, so that the other domains need no failover.
  const primary = await findPrimary(deployment, 'deliveries')
  const domain = FAILURE_DOMAINS.find(name => name !== primary.failureDomain) ?? ''
  load.resetGap()
  const openSession = createSession({ ports: listPorts(deployment, [domain]), account: 'open', key: '', database: 'stock' })
  const keyedSession = createSession({ ports: listPorts(deployment, [domain]), account: 'clinic', key: 'key-of-the-clinic', database: 'deliveries' })
  await openSession.query('select count(*) from stock')
  network.cut(domain)
  await pause(4_500)
  let openReadResult = 'refused'
  try {
    await openSession.query('select count(*) from stock')
    openReadResult = 'served'
  } catch (error) {
    openReadResult = `refused with ${getErrorCode(error)}`
  }
  const keyedWriteResult = await keyedSession.query("insert into deliveries (id, value) values ('cut', 'cut')").then(() => 'accepted', error => getErrorCode(error))
  const gap = load.counts.longestGapMilliseconds
  network.heal(domain)
  const healedAfterMilliseconds = await measureUntil(IN_FORCE_LIMIT_MILLISECONDS, async () => {
    await keyedSession.query("insert into deliveries (id, value) values ('healed', 'healed') on conflict (id) do update set value = excluded.value")
    return true
  })
  await Promise.all([openSession.close(), keyedSession.close()])
  return {
    what: `${domain} is cut off for 4.5 s`,
    held: openReadResult === 'served' && keyedWriteResult !== 'accepted' && Number.isFinite(healedAfterMilliseconds),
    figures: `inside: open read ${openReadResult}, keyed write refused with ${keyedWriteResult}; longest gap over all callers, which move in and out of the domain: ${Math.round(gap)} ms; healed after ${Math.round(healedAfterMilliseconds)} ms`
  }
}

function printTable (steps: readonly Step[]): void {
  const width = Math.max(...steps.map(({ what }) => what.length))
  for (const { what, held, figures } of steps) console.log(`${held ? 'held  ' : 'FAILED'}  ${what.padEnd(width)}  ${figures}`)
}

async function demonstrate (deployment: Deployment, balancer: Balancer): Promise<boolean> {
  const startedAt = performance.now()
  // The balancer passes each new connection to another instance, so callers move whenever they reconnect.
  const callers = Array.from({ length: CALLERS }, () => ({ ports: [balancer.port], account: 'clinic', key: 'key-of-the-clinic', database: 'deliveries' }))
  const load = startLoad(callers, 'delivery')
  await pause(2_000)
  const steps = [
    await killPrimary(deployment, load),
    await withdrawKey(deployment),
    await changeRate(deployment),
    await cutDomain(deployment, load)
  ]
  await load.stop()
  const { counts } = load
  const { lost, doubled } = await compareWithLog(deployment, counts)
  const refusals = [...counts.refused].map(([code, times]) => `${times} with ${code}`).join(', ') || 'none'
  steps.push(
    { what: 'every session reads what it wrote, at another instance', held: counts.stale === 0 && counts.reads > 0, figures: `${counts.reads} reads after ${counts.moves} moves, ${counts.stale} stale` },
    { what: 'no acknowledged write is lost, none is doubled', held: lost === 0 && doubled === 0 && counts.acknowledged.length > 0, figures: `${counts.acknowledged.length} acknowledged, ${counts.unknown.length} of unknown outcome, ${lost} lost, ${doubled} doubled; refused as not run: ${refusals}` }
  )
  printTable(steps)
  const ok = steps.every(({ held }) => held)
  console.log(JSON.stringify({ ok, seconds: Math.round((performance.now() - startedAt) / 100) / 10, acknowledged: counts.acknowledged.length, lost, doubled, stale: counts.stale, steps: steps.map(({ what, held }) => ({ what, held })) }))
  return ok
}

async function main (): Promise<void> {
  console.log(`Starting ${CONTROL_INSTANCES} control and ${ENTRY_INSTANCES} entry instances and ${DATABASES.length * 3} stand-in servers in ${FAILURE_DOMAINS.length} failure domains.`)
  const deployment = await startDeployment({
    failureDomains: FAILURE_DOMAINS,
    entries: ENTRY_INSTANCES,
    controls: CONTROL_INSTANCES,
    databases: DATABASES,
    members: 3,
    accounts: ACCOUNTS,
    connectionLimit: 25,
    openMilliseconds: 10,
    lagMilliseconds: 5,
    open: { stock: 30_000 },
    links: true,
    settings: { backend: ['connections_per_server = 25'] }
  }, fleet => {
    // Ctrl-C stops the started processes before this one exits.
    const stop = (): void => { fleet.close().finally(() => process.exit(130)) }
    process.once('SIGINT', stop)
    process.once('SIGTERM', stop)
  })
  const balancer = await createBalancer({
    listen: { host: '127.0.0.1', port: 0 },
    instances: deployment.entries.map(({ callers, metrics }) => ({ host: '127.0.0.1', port: callers, healthPort: metrics }))
  })
  try {
    console.log(`Ready. The rules hold only the digest of a key, such as ${digestOf(ACCOUNTS[0].key).slice(0, 20)}...`)
    if (!await demonstrate(deployment, balancer)) process.exitCode = 1
  } finally {
    await balancer.close()
    if (process.env.SHOW_LOGS !== undefined) for (const text of deployment.fleet.outputs()) console.log(text)
    await deployment.close()
  }
}

main().catch((error: Error) => {
  console.error(`The demonstration failed: ${error.message}`)
  console.log(JSON.stringify({ ok: false, error: error.message }))
  process.exitCode = 1
})
