/** Measures the slopes that docs/CAPACITY.md is based on: `npm run slopes [-- --only NAME]`. */

import { cac } from 'cac'
import { measureGroups } from './groups.js'
import { measureIdleConnections } from './idleConnections.js'
import { measureRules } from './rules.js'
import { measureWatchers } from './watchers.js'
import type { Figures } from '../scenario.js'

const SLOPES: Record<string, () => Promise<Figures>> = {
  rules: measureRules,
  idle: measureIdleConnections,
  watchers: measureWatchers,
  groups: measureGroups
}

async function measure ({ only }: { only?: string }): Promise<void> {
  const names = Object.keys(SLOPES).filter(name => only === undefined || name === only)
  if (names.length === 0) {
    console.error(`There is no slope ${only}. Choose one of ${Object.keys(SLOPES).join(', ')}.`)
    process.exit(2)
  }
  const results: Record<string, Figures> = {}
  for (const name of names) {
    results[name] = await SLOPES[name]()
    console.log(`${name}:`)
    for (const [figure, value] of Object.entries(results[name])) console.log(`  ${figure}: ${JSON.stringify(value)}`)
  }
  console.log(JSON.stringify(results))
  process.exit(0)
}

const program = cac('slopes')
program.command('', 'measure how the cost of state and messages grows with the fleet')
  .option('--only <name>', `one of ${Object.keys(SLOPES).join(', ')}`)
  .action(measure)
program.help()
program.parse()
