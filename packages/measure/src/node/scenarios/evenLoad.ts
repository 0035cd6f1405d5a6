/** Compares ways to choose among the servers of a group with stale knowledge, and to share their capacity between priorities. */

import { CLASSES, LOAD_NAMES, computeImbalance, runEvenLoad } from '../model/evenLoad.js'
import { SERVER_CHOICES } from '../model/serverChoices.js'
import type { ClassName, EvenLoadOutcome, SharingPolicy } from '../model/evenLoad.js'
import type { ServerChoiceName } from '../model/serverChoices.js'
import type { Figures, Scenario } from '../scenario.js'

const CHOICES = Object.keys(SERVER_CHOICES) as ServerChoiceName[]
const SHARINGS: readonly SharingPolicy[] = ['before', 'reserved']
/** "dense": the whole mix at one group, 0.6 of its slots; "spread": a sixth of it, as with six groups. */
const DENSITIES: Record<string, number> = { dense: 1, spread: 1 / 6 }

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}

function sum (counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0)
}

function toFigures ({ classes, others, weighted, bound, free, opened, remote }: EvenLoadOutcome): Record<string, number> {
  const statements = sum(bound) + sum(free)
  const onTime = (name: ClassName): number => round(classes[name].onTime / classes[name].offered)
  const otherNames = Object.keys(CLASSES) as ClassName[]
  const weigh = (field: 'onTime' | 'offered'): number => sum(otherNames.map(name => others[name][field] * CLASSES[name].weight))
  return {
    weighted: round(weighted),
    'other accounts': round(weigh('onTime') / weigh('offered')),
    urgent: onTime('urgent'),
    ordinary: onTime('ordinary'),
    'least urgent': onTime('least urgent'),
    'busiest over mean, all': round(computeImbalance(bound.map((count, server) => count + free[server]))),
    'busiest over mean, replicas': round(computeImbalance(free.slice(1))),
    'new connections': round(opened / statements),
    'other failure domain': round(remote / statements)
  }
}

export const evenLoadScenario: Scenario = {
  name: 'even-load',
  description: 'choice among servers with stale knowledge, and capacity reserved by priority (virtual time)',
  policies: CHOICES,
  run: async ({ seed, policy }) => {
    const figures: Figures = {}
    for (const [place, density] of Object.entries(DENSITIES)) {
      for (const sharing of SHARINGS) {
        for (const choice of CHOICES.filter(name => policy === undefined || name === policy)) {
          for (const load of LOAD_NAMES) figures[`${place}, ${sharing}, ${choice}, ${load}`] = toFigures(runEvenLoad({ seed, choice, sharing, load, density }))
        }
      }
    }
    return figures
  }
}
