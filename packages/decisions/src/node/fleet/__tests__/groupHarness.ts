/** The control of one group with a virtual clock; what it writes to the log is there at once. */

import { createGroupControl, stepGroupControl } from '../groupControl.js'
import type { GroupControlState, GroupEffect, GroupEvent, GroupEnvironment, ServerStatus } from '../groupTypes.js'
import type { KnownServer } from '../directory.js'
import type { Designation } from '../state.js'

/** Each server has its own host. */
export function createServer (member: string, change: Partial<KnownServer> = {}): KnownServer {
  return { member, group: 'g', host: `10.0.${[...member].map(letter => letter.charCodeAt(0)).join('.')}`, port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false, ...change }
}

export function createStatus (role: 'primary' | 'replica', position: number, term = 1): ServerStatus {
  return { role, term, received: { term, position } }
}

export const SERVERS = [createServer('p', { role: 'primary' }), createServer('r1'), createServer('r2')]

/** The control of a group, with a virtual clock and the recorded effects. */
export function createGroup (change: Partial<GroupEnvironment> = {}, designation: Designation = { group: 'g', member: 'p', number: 1 }) {
  const environment: GroupEnvironment = { now: 0, servers: SERVERS, verdict: 'reachable', assignmentConfirmed: false, busy: false, earlierLeasesExpireAt: 0, synchronousReplicas: 0, endedRuns: new Set(), leavingRuns: new Set(), announcedBy: 0, drainMilliseconds: 7_000, ...change }
  let state: GroupControlState = createGroupControl('g', designation, environment.now)
  const effects: GroupEffect[] = []
  return {
    environment,
    effects,
    state: () => state,
    step: (event: GroupEvent, elapsedMilliseconds = 0) => {
      environment.now += elapsedMilliseconds
      const next = stepGroupControl(state, event, environment)
      state = next.state
      effects.push(...next.effects)
      for (const effect of next.effects) if (effect.kind === 'record copies') environment.copies = effect.copies
    },
    effectsOf: (kind: GroupEffect['kind']) => effects.filter(effect => effect.kind === kind)
  }
}

/** A group whose primary is in use. */
export function createServingGroup (change: Partial<GroupEnvironment> = {}) {
  const group = createGroup(change)
  group.step({ kind: 'tick' })
  group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) })
  return group
}

/** A group whose primary has failed and is closed everywhere, and whose replicas are asked for their status. */
export function createChoosingGroup (change: Partial<GroupEnvironment> = {}) {
  const group = createServingGroup({ assignmentConfirmed: true, ...change })
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 25)
  return group
}
