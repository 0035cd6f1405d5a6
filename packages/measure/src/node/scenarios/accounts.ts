/** Measures how well the worst-served account is served while another sends five times its rate, in virtual time. */

import { runAccountsTrial } from '../model/accountsTrial.js'
import type { QueuePolicy } from '@cyclamenusher/decisions'
import type { Scenario } from '../scenario.js'

const POLICIES: readonly QueuePolicy[] = ['weighted fair', 'first come']

export const accountsScenario: Scenario = {
  name: 'accounts',
  description: 'worst-served account while another sends five times its rate (virtual time)',
  policies: POLICIES,
  run: async ({ deployment, seed, policy }) => {
    const trial = runAccountsTrial({ deployment, queue: (policy ?? 'weighted fair') as QueuePolicy, seed })
    return Object.fromEntries(Object.entries(trial).map(([name, value]) => [name, typeof value === 'number' ? Math.round(value * 1000) / 1000 : value as string]))
  }
}
