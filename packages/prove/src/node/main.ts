/** Checks the points that must always hold: `npm run prove`. */

import { cac } from 'cac'
import { MODELS } from './models.js'
import { MUTATIONS, buildMutant } from './mutations.js'
import { POINTS, POINT_NAMES, SCENARIOS } from './points.js'
import type { FaultName } from './faults/faults.js'
import type { Violation } from './history.js'
import type { PointName } from './points.js'
import type { ScenarioResult } from './scenarios/scenario.js'

/** Violations of a point that are printed for each run. */
const MAXIMUM_PRINTED_VIOLATIONS = 3

interface Flags {
  list?: boolean
  seed: number
  runs?: number
  faults?: string
  scenario?: string
  mutated?: boolean
}

interface Tally {
  broken: Map<PointName, number>
  checked: Set<PointName>
  runs: number
  operations: number
  faults: Record<string, number>
}

function printViolations (point: string, violations: readonly Violation[]): void {
  for (const { problem, operations } of violations.slice(0, MAXIMUM_PRINTED_VIOLATIONS)) {
    console.log(`    ${point}: ${problem}`)
    for (const operation of operations) console.log(`      ${JSON.stringify(operation)}`)
  }
  if (violations.length > MAXIMUM_PRINTED_VIOLATIONS) console.log(`    ${point}: and ${violations.length - MAXIMUM_PRINTED_VIOLATIONS} more`)
}

function addResult (tally: Tally, result: ScenarioResult, selectedPoints: ReadonlySet<PointName>): PointName[] {
  tally.runs += 1
  tally.operations += result.operations
  for (const fault of result.faults) tally.faults[fault] = (tally.faults[fault] ?? 0) + 1
  const broken: PointName[] = []
  for (const [point, violations] of Object.entries(result.violations) as Array<[PointName, Violation[]]>) {
    if (!selectedPoints.has(point)) continue
    tally.checked.add(point)
    if (violations.length > 0) broken.push(point)
  }
  for (const point of broken) tally.broken.set(point, (tally.broken.get(point) ?? 0) + 1)
  return broken
}

function describeOutcomes ({ outcomes }: ScenarioResult): string {
  return Object.entries(outcomes).map(([outcome, count]) => `${count} ${outcome}`).join(', ')
}

/** Runs a mutant of the daemon for each point; the check of the point must fail. */
async function proveMutants (points: readonly PointName[], flags: Flags): Promise<void> {
  const caught: PointName[] = []
  for (const point of points) {
    const mutation = MUTATIONS[point]
    if (mutation === undefined) {
      console.log(`MISSED ${point}: there is no mutation of it`)
      continue
    }
    const daemon = await buildMutant(point, mutation)
    for (let index = 0; index < (flags.runs ?? 3) && !caught.includes(point); index += 1) {
      const seed = flags.seed + index
      const result = await SCENARIOS[mutation.scenario].run({ seed, faults: mutation.faults, programs: { daemon } })
      // A run with too little work also violates the point, but does not show that the mutation was detected.
      const violations = (result.violations[point] ?? []).filter(({ problem }) => !problem.startsWith('only '))
      console.log(`${violations.length > 0 ? 'caught' : 'missed'} ${point} seed ${seed}: ${mutation.name} (${describeOutcomes(result)}, faults: ${result.faults.join(', ') || 'none'})`)
      printViolations(point, violations)
      if (violations.length > 0) caught.push(point)
    }
  }
  console.log(JSON.stringify({ mutations: points.length, caught: caught.length, missed: points.filter(point => !caught.includes(point)) }))
  if (caught.length < points.length) process.exitCode = 1
}

/** Runs the decision functions in virtual time; the same seed reproduces a history exactly. */
async function proveModels (selectedPoints: ReadonlySet<PointName>, flags: Flags, tally: Tally): Promise<void> {
  for (const [name, { run, points: modelPoints, runs }] of Object.entries(MODELS)) {
    const points = modelPoints.filter(point => selectedPoints.has(point))
    if (points.length === 0) continue
    const count = flags.runs ?? runs
    let operations = 0
    const broken: number[] = []
    for (let seed = flags.seed; seed < flags.seed + count; seed += 1) {
      const result = await run(seed)
      operations += result.operations
      for (const [fault, times] of Object.entries(result.faults)) tally.faults[fault] = (tally.faults[fault] ?? 0) + times
      if (result.violations.length === 0) continue
      broken.push(seed)
      console.log(`    ${name} seed ${seed}: ${JSON.stringify(result.violations[0])}`)
    }
    tally.runs += count
    tally.operations += operations
    for (const point of points) if (broken.length > 0) tally.broken.set(point, broken.length)
    console.log(`${broken.length === 0 ? 'held  ' : 'BROKEN'} ${name} seeds ${flags.seed} to ${flags.seed + count - 1}: ${operations} operations in virtual time${broken.length === 0 ? '' : `, broken at seeds ${broken.join(', ')}`}`)
  }
}

async function prove (names: string[], flags: Flags): Promise<void> {
  if (flags.list === true) {
    for (const name of POINT_NAMES) console.log(name)
    return
  }
  const unknown = names.find(name => !POINT_NAMES.includes(name as PointName))
  if (unknown !== undefined) {
    console.error(`There is no point ${unknown}. The points are ${POINT_NAMES.join(', ')}.`)
    process.exitCode = 2
    return
  }
  const selectedPoints = new Set(names.length === 0 ? POINT_NAMES : names as PointName[])
  if (flags.mutated === true) return await proveMutants([...selectedPoints], flags)
  const tally: Tally = { broken: new Map(), checked: new Set(), runs: 0, operations: 0, faults: {} }
  if (flags.scenario === undefined) await proveModels(selectedPoints, flags, tally)
  for (const [name, { run, points: scenarioPoints, runs }] of Object.entries(SCENARIOS)) {
    if (!scenarioPoints.some(point => selectedPoints.has(point)) || (flags.scenario !== undefined && flags.scenario !== name)) continue
    for (let index = 0; index < (flags.runs ?? runs); index += 1) {
      const seed = flags.seed + index
      const startedAt = performance.now()
      try {
        const result = await run({ seed, faults: flags.faults?.split(',') as FaultName[] | undefined })
        const broken = addResult(tally, result, selectedPoints)
        const seconds = ((performance.now() - startedAt) / 1000).toFixed(1)
        console.log(`${broken.length === 0 ? 'held  ' : 'BROKEN'} ${name} seed ${seed}: ${result.operations} operations, ${describeOutcomes(result)}, ${seconds} s, faults: ${result.faults.join(', ') || 'none'}`)
        for (const point of broken) printViolations(point, result.violations[point] ?? [])
      } catch (error) {
        // A run that failed could not be checked, so its points don't count as held.
        console.log(`BROKEN ${name} seed ${seed}: the run failed: ${(error as Error).message}`)
        tally.runs += 1
        for (const point of scenarioPoints) if (selectedPoints.has(point)) tally.broken.set(point, (tally.broken.get(point) ?? 0) + 1)
      }
    }
  }
  const held = [...selectedPoints].filter(point => tally.checked.has(point) && !tally.broken.has(point))
  for (const point of selectedPoints) {
    const verdict = held.includes(point) ? 'held' : tally.broken.has(point) ? `BROKEN in ${tally.broken.get(point)} runs` : 'NOT PROVED'
    console.log(`${point.padEnd(18)} ${verdict.padEnd(18)} ${POINTS[point]}`)
  }
  console.log(JSON.stringify({ points: selectedPoints.size, held: held.length, runs: tally.runs, faults: tally.faults, operations: tally.operations }))
  if (held.length < selectedPoints.size) process.exitCode = 1
}

const program = cac('prove')
program.command('[...names]', 'prove all points, or the named ones')
  .option('--list', 'list the points by name')
  .option('--seed <number>', 'seed of the first run; each further run takes the next', { default: 1 })
  .option('--runs <number>', 'runs of each scenario and history')
  .option('--mutated', 'remove the mechanism behind each point; its check must fail')
  .option('--scenario <name>', 'run this scenario only')
  .option('--faults <names>', 'inject these faults, separated by commas, instead of those that the seed picks')
  .example('npm run prove -- read-your-writes --seed 7 --runs 1')
  .action(prove)
program.help()
program.parse()
