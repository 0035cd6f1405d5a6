/** Command line of the measuring tool: `npm run measure -- --deployment agency --scenario NAME --seed N`. */

import { cac } from 'cac'
import { DEPLOYMENTS } from './deployments.js'
import { SCENARIOS } from './scenarios/index.js'
import type { MeasuredDeployment } from './deployments.js'

interface Flags {
  deployment: string
  scenario?: string
  policy?: string
  seed: number
  list?: boolean
}

function fail (problem: string): never {
  console.error(problem)
  process.exit(2)
}

async function measure (flags: Flags): Promise<void> {
  if (flags.list === true) {
    for (const { name, description, policies } of SCENARIOS) console.log(`${name}: ${description} (policies: ${policies.join(', ')})`)
    return
  }
  const deployment = DEPLOYMENTS[flags.deployment as MeasuredDeployment['name']]
  if (deployment === undefined) fail(`There is no deployment ${flags.deployment}. Choose one of ${Object.keys(DEPLOYMENTS).join(', ')}.`)
  const chosen = SCENARIOS.filter(({ name }) => flags.scenario === undefined || name === flags.scenario)
  if (chosen.length === 0) fail(`There is no scenario ${flags.scenario}. Run npm run measure -- --list to see the scenarios.`)
  const results: Record<string, unknown> = {}
  for (const scenario of chosen) {
    if (flags.policy !== undefined && !scenario.policies.includes(flags.policy)) fail(`${scenario.name} has no policy ${flags.policy}. Choose one of ${scenario.policies.join(', ')}.`)
    const figures = await scenario.run({ deployment, seed: flags.seed, policy: flags.policy })
    results[scenario.name] = figures
    console.log(`${scenario.name}:`)
    for (const [name, value] of Object.entries(figures)) console.log(`  ${name}: ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  }
  console.log(JSON.stringify({ deployment: deployment.name, seed: flags.seed, policy: flags.policy ?? 'product', results }))
}

const program = cac('measure')
program.command('', 'measure the product, or a policy to compare with it, under load and faults')
  .option('--deployment <name>', 'agency or head-office', { default: 'agency' })
  .option('--scenario <name>', 'scenario to run; all if omitted')
  .option('--policy <name>', 'policy to measure instead of the product\'s own')
  .option('--seed <number>', 'seed for the load and the faults', { default: 1 })
  .option('--list', 'list the scenarios')
  .action(measure)
program.help()
program.parse()
