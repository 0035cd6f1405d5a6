/**
 * `npm run bench`: compares statements through one entry instance with the same
 * statements sent directly to the stand-in server, and measures the memory of idle
 * connections.
 */

import { cac } from 'cac'
import { startDeployment } from '@cyclamenusher/stand-ins'
import { readUsage } from '../slopes/processUsage.js'
import { connectAll, insertRows, runLoad } from './load.js'
import type { Deployment } from '@cyclamenusher/stand-ins'
import type { LoadFigures, StatementName, Target } from './load.js'

const KEY = 'key of the benchmark'
const CALLER_COUNTS = [1, 16, 64]
const STATEMENT_NAMES: readonly StatementName[] = ['read', 'write']
const IDLE_COUNTS = [1_000, 5_000]
/** Idle connections that are opened concurrently. */
const MAXIMUM_CONCURRENT_OPENS = 50
/** Time for memory to settle before it is read, in milliseconds. */
const SETTLE_DELAY_MILLISECONDS = 1_500
/** Time before statements are counted, in milliseconds. */
const WARM_UP_MILLISECONDS = 300

interface Comparison {
  statement: StatementName
  callers: number
  direct: LoadFigures
  entry: LoadFigures
  /** Processor time of the entry instance per statement, in microseconds. */
  entryProcessorMicroseconds: number
}

interface Flags {
  seconds: number
  idle: boolean
  only?: string
}

async function startBench (): Promise<Deployment> {
  return await startDeployment({
    failureDomains: ['domain-a'],
    entries: 1,
    controls: 1,
    databases: ['bench'],
    members: 3,
    accounts: [{ name: 'account', key: KEY, rate: 1_000_000, burst: 1_000_000 }],
    connectionLimit: 200,
    openMilliseconds: 10,
    lagMilliseconds: 0,
    settings: { callers: ['maximum_connections = 6000'], backend: ['connections_per_server = 25'] }
  })
}

async function findPrimary (deployment: Deployment): Promise<Target> {
  for (const server of deployment.servers) {
    const { role } = await deployment.administer(server, 'GET', '/state') as { role: string }
    if (role === 'primary') return { port: server.port, user: 'cyclamenusher', password: 'system-password', database: 'bench' }
  }
  throw new Error('the group has no primary')
}

async function measureLoad (target: Target, statement: StatementName, callers: number, milliseconds: number): Promise<LoadFigures> {
  const clients = await connectAll(target, callers)
  const figures = await runLoad(clients, statement, WARM_UP_MILLISECONDS, milliseconds)
  await Promise.all(clients.map(async client => { await client.end() }))
  return figures
}

function median (values: number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]
}

function medianFigures (runs: LoadFigures[]): LoadFigures {
  return {
    statementsPerSecond: median(runs.map(run => run.statementsPerSecond)),
    p50Milliseconds: median(runs.map(run => run.p50Milliseconds)),
    p99Milliseconds: median(runs.map(run => run.p99Milliseconds)),
    errors: runs.reduce((sum, { errors }) => sum + errors, 0)
  }
}

/** Alternates between direct and entry runs, so that other load on the machine affects both alike. */
async function compareWithDirect (direct: Target, entry: Target, processNumber: number, statement: StatementName, callers: number, seconds: number): Promise<Comparison> {
  const runs: Array<{ direct: LoadFigures, entry: LoadFigures }> = []
  const processorMicroseconds: number[] = []
  for (let round = 0; round < 3; round += 1) {
    const directFigures = await measureLoad(direct, statement, callers, seconds * 1000)
    const before = readUsage(processNumber).processorSeconds
    const entryFigures = await measureLoad(entry, statement, callers, seconds * 1000)
    const statements = entryFigures.statementsPerSecond * (seconds + WARM_UP_MILLISECONDS / 1000)
    processorMicroseconds.push((readUsage(processNumber).processorSeconds - before) / statements * 1e6)
    runs.push({ direct: directFigures, entry: entryFigures })
  }
  return {
    entryProcessorMicroseconds: Math.round(median(processorMicroseconds)),
    statement,
    callers,
    direct: medianFigures(runs.map(run => run.direct)),
    entry: medianFigures(runs.map(run => run.entry))
  }
}

async function measureIdle (deployment: Deployment, entry: Target): Promise<Array<{ connections: number, residentBytes: number, bytesEach: number }>> {
  const processNumber = deployment.entries[0].process.child.pid ?? 0
  const measureSettledMemory = async (): Promise<number> => {
    await new Promise(resolve => setTimeout(resolve, SETTLE_DELAY_MILLISECONDS))
    return readUsage(processNumber).residentBytes
  }
  const baselineBytes = await measureSettledMemory()
  const clients: Awaited<ReturnType<typeof connectAll>> = []
  const figures = []
  for (const connections of IDLE_COUNTS) {
    while (clients.length < connections) clients.push(...await connectAll(entry, Math.min(MAXIMUM_CONCURRENT_OPENS, connections - clients.length)))
    const residentBytes = await measureSettledMemory()
    figures.push({ connections, residentBytes, bytesEach: Math.round((residentBytes - baselineBytes) / connections) })
  }
  return figures
}

function printComparison ({ statement, callers, direct, entry, entryProcessorMicroseconds }: Comparison): void {
  const formatFigures = ({ statementsPerSecond, p50Milliseconds, p99Milliseconds }: LoadFigures): string =>
    `${String(statementsPerSecond).padStart(6)}/s  p50 ${p50Milliseconds.toFixed(2).padStart(6)} ms  p99 ${p99Milliseconds.toFixed(2).padStart(6)} ms`
  console.log(`${statement.padEnd(5)} ${String(callers).padStart(2)} callers   direct ${formatFigures(direct)}   entry ${formatFigures(entry)}   ratio ${(entry.statementsPerSecond / direct.statementsPerSecond).toFixed(2)}   processor ${entryProcessorMicroseconds} µs each`)
}

async function run ({ seconds, idle, only }: Flags): Promise<void> {
  const deployment = await startBench()
  const stop = (): void => { void deployment.close().then(() => process.exit(130)) }
  process.once('SIGINT', stop)
  process.once('SIGTERM', stop)
  try {
    const direct = await findPrimary(deployment)
    const entry: Target = { port: deployment.entries[0].callers, user: 'account', password: KEY, database: 'bench' }
    await insertRows(entry)
    const idleFigures = idle ? await measureIdle(deployment, entry) : []
    for (const { connections, residentBytes, bytesEach } of idleFigures) console.log(`idle ${connections} connections: ${(residentBytes / 1e6).toFixed(1)} MB, ${bytesEach} bytes each`)
    const comparisons: Comparison[] = []
    for (const statement of STATEMENT_NAMES.filter(name => only === undefined || name === only)) {
      for (const callers of CALLER_COUNTS) {
        const comparison = await compareWithDirect(direct, entry, deployment.entries[0].process.child.pid ?? 0, statement, callers, seconds)
        comparisons.push(comparison)
        printComparison(comparison)
      }
    }
    const ratios = Object.fromEntries(comparisons.map(({ statement, callers, direct: directFigures, entry: entryFigures }) =>
      [`${statement}_${callers}`, Number((entryFigures.statementsPerSecond / directFigures.statementsPerSecond).toFixed(3))]))
    const addedMilliseconds = Object.fromEntries(comparisons.map(({ statement, callers, direct: directFigures, entry: entryFigures }) =>
      [`${statement}_${callers}`, Number((entryFigures.p50Milliseconds - directFigures.p50Milliseconds).toFixed(3))]))
    console.log(JSON.stringify({ ratios, addedMilliseconds, idle: idleFigures, comparisons }))
  } finally {
    await deployment.close()
  }
}

const program = cac('bench')
program.command('', 'compare statements through one entry instance with statements sent directly to the stand-in server')
  .option('--seconds <number>', 'duration of each run; a figure is the median of three', { default: 1 })
  .option('--no-idle', 'skip the memory of idle connections')
  .option('--only <statement>', 'read or write; both if omitted')
  .action(async (flags: Flags) => {
    await run(flags)
    process.exit(0)
  })
program.help()
program.parse()
