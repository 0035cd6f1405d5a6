/** Creates simulated processes. */

import type { ModelProcess } from './world.js'

export function createModelProcess (name: string, failureDomain: string): ModelProcess {
  return { name, failureDomain, alive: true, frozenUntil: 0 }
}
