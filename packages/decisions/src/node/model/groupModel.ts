/**
 * Simulates a group of three backend servers, three entry instances and some
 * sessions in virtual time, with faults chosen by seed. Members and network are
 * small fakes; all decisions are made by the production code. The check of what
 * sessions saw does not use that code.
 */

import { checkHistory } from './groupHistory.js'
import { createModelEntry } from './modelEntry.js'
import { createEmptyDisk, createModelMember } from './modelMember.js'
import { createSimulation } from './world.js'
import type { LogPosition } from '../session/position.js'
import type { HistoryItem, Promotion } from './groupHistory.js'
import type { ModelEntry } from './modelEntry.js'
import type { ModelDisk, ModelMember } from './modelMember.js'
import type { Simulation } from './world.js'
export { createRandom } from './world.js'

/** A safety mechanism that is disabled, to show that the check detects its absence. */
export type GroupMutation =
  | 'trusts the primary'
  | 'promotes any log'
  | 'minority promotes'
  | 'confirms without a majority'
  | 'ignores the token'
  | 'keeps the token after an unknown outcome'
  | 'empty disk votes'
  | 'grants a term twice'
  | 'counts holders of any term'
  | 'reads at any incarnation'
  | 'takes the log for what reads show'

export interface GroupHistoryOptions {
  seed: number
  mutation?: GroupMutation
  /** Virtual time during which sessions send requests and faults occur, in milliseconds. @default 20000 */
  milliseconds?: number
}

export interface GroupHistoryResult {
  violations: string[]
  operations: number
  acknowledged: number
  unknown: number
  reads: number
  promotions: number
  faults: Record<string, number>
}

const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const MEMBER_NAMES = ['one', 'two', 'three']
const SESSION_COUNT = 4
/** Time after the end of all faults within which the group must recover, in milliseconds. */
const SETTLE_MILLISECONDS = 12_000
/** Maximum data age that aged reads request, in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 400

interface Group {
  simulation: Simulation
  members: Map<string, ModelMember>
  disks: Map<string, ModelDisk>
  entries: ModelEntry[]
  history: HistoryItem[]
  promotions: Promotion[]
  /** When each value was written to a primary's log, in milliseconds of virtual time. */
  committedAt: Map<string, number>
  faults: Record<string, number>
  mutation?: GroupMutation
}

function startMember (group: Group, name: string): void {
  const { simulation, members, disks, promotions, committedAt, mutation } = group
  members.set(name, createModelMember({
    simulation,
    name,
    failureDomain: FAILURE_DOMAINS[MEMBER_NAMES.indexOf(name)],
    disk: disks.get(name)!,
    incarnation: `${name} ${simulation.random()}`,
    findMember: other => members.get(other)!,
    onPromoted: (member, term) => { promotions.push({ term, member: name, values: member.disk.records.map(({ value }) => value) }) },
    onCommitted: value => { committedAt.set(value, simulation.now()) },
    reportsLogTermAsApplied: mutation === 'takes the log for what reads show',
    grantsTermTwice: mutation === 'grants a term twice'
  }))
}

function startEntry (group: Group, index: number): void {
  const { simulation, members, entries, mutation } = group
  entries[index] = createModelEntry({ simulation, name: `entry-${index}`, failureDomain: FAILURE_DOMAINS[index], members: MEMBER_NAMES, findMember: name => members.get(name)!, mutation })
}

function killMember (group: Group, name: string, downMilliseconds: number): void {
  group.members.get(name)!.process.alive = false
  group.simulation.at(downMilliseconds, () => { startMember(group, name) })
}

/**
 * Whether a member's disk may be lost now. All members must have their votes: if
 * two of three disks were lost at once, acknowledged records could be lost too.
 */
function mayLoseDisk (group: Group, name: string): boolean {
  return MEMBER_NAMES.every(other => other === name || group.disks.get(other)!.voting) && group.disks.get(name)!.voting
}

const FAULTS: Record<string, (group: Group) => void> = {
  'kill a member': group => {
    const name = group.simulation.pick(MEMBER_NAMES)
    if (group.members.get(name)!.process.alive) killMember(group, name, group.simulation.integerBetween(10, 3_000))
  },
  'freeze a member': ({ simulation, members }) => { members.get(simulation.pick(MEMBER_NAMES))!.process.frozenUntil = simulation.now() + simulation.integerBetween(100, 3_000) },
  'freeze an entry': ({ simulation, entries }) => { simulation.pick(entries).process.frozenUntil = simulation.now() + simulation.integerBetween(100, 3_000) },
  'kill an entry': group => {
    const index = group.simulation.integerBetween(0, 2)
    group.entries[index].process.alive = false
    startEntry(group, index)
  },
  'lose a disk': group => {
    const name = group.simulation.pick(MEMBER_NAMES)
    if (!mayLoseDisk(group, name) || !group.members.get(name)!.process.alive) return
    group.disks.set(name, createEmptyDisk(group.mutation === 'empty disk votes'))
    killMember(group, name, group.simulation.integerBetween(10, 500))
  },
  'cut a failure domain': ({ simulation }) => {
    const domain = simulation.pick(FAILURE_DOMAINS)
    const others = FAILURE_DOMAINS.filter(other => other !== domain)
    const oneWay = simulation.random() < 0.3
    for (const other of others) {
      simulation.setCut(domain, other, true)
      if (!oneWay) simulation.setCut(other, domain, true)
    }
    simulation.at(simulation.integerBetween(200, 4_000), () => {
      for (const other of others) {
        simulation.setCut(domain, other, false)
        simulation.setCut(other, domain, false)
      }
    })
  },
  'cut two failure domains apart': ({ simulation }) => {
    const [left, right] = [simulation.pick(FAILURE_DOMAINS), simulation.pick(FAILURE_DOMAINS)]
    if (left === right) return
    simulation.setCut(left, right, true)
    simulation.setCut(right, left, true)
    simulation.at(simulation.integerBetween(200, 4_000), () => {
      simulation.setCut(left, right, false)
      simulation.setCut(right, left, false)
    })
  }
}

/** Runs one session, which sends its requests one after another, each through a randomly picked entry instance. */
function runSession (group: Group, name: string, until: number): void {
  const { simulation, entries, history, mutation } = group
  let position: LogPosition | undefined
  let writeCount = 0
  /** Increases when the session stops waiting for a request, so that a late answer is ignored. */
  let attempt = 0

  async function writeOnce (entry: ModelEntry): Promise<void> {
    writeCount += 1
    const value = `${name} ${writeCount}`
    const invokedAt = simulation.now()
    const ownAttempt = attempt
    const item: HistoryItem = { kind: 'write', session: name, value, invokedAt, outcome: 'unknown' }
    history.push(item)
    const outcome = await entry.write(value)
    if (ownAttempt !== attempt) return
    item.answeredAt = simulation.now()
    item.outcome = outcome.kind
    if (outcome.kind === 'acknowledged') position = outcome.at
    // The write may be at a position that the session does not know.
    else if (outcome.kind === 'unknown' && mutation !== 'keeps the token after an unknown outcome') position = undefined
  }

  async function readOnce (entry: ModelEntry): Promise<void> {
    const invokedAt = simulation.now()
    const ownAttempt = attempt
    const result = await entry.read(position)
    if (result === undefined || ownAttempt !== attempt) return
    position = result.position
    history.push({ kind: 'read', session: name, values: result.values, invokedAt, answeredAt: simulation.now() })
  }

  async function readWithinAgeOnce (entry: ModelEntry): Promise<void> {
    const result = await entry.readWithinAge(MAXIMUM_AGE_MILLISECONDS)
    if (result === undefined) return
    history.push({ kind: 'aged read', values: result.values, decidedAt: result.decidedAt, maximumAgeMilliseconds: MAXIMUM_AGE_MILLISECONDS })
  }

  const requests = [writeOnce, readOnce, readOnce, readWithinAgeOnce]
  /** Starts a request. If its entry instance dies, no answer arrives, and the session continues after a timeout. */
  function startNextRequest (): void {
    if (simulation.now() > until) return
    const entry = simulation.pick(entries)
    const request = simulation.pick(requests)
    let ended = false
    const finish = (): void => {
      if (ended) return
      ended = true
      attempt += 1
      simulation.at(simulation.integerBetween(1, 60), startNextRequest)
    }
    void request(entry).then(finish)
    simulation.at(6_000, () => {
      if (!ended && request === writeOnce && mutation !== 'keeps the token after an unknown outcome') position = undefined
      finish()
    })
  }
  startNextRequest()
}

function runFaults (group: Group, until: number): void {
  const { simulation, faults } = group
  const names = Object.keys(FAULTS)
  function injectNextFault (): void {
    if (simulation.now() > until) return
    const name = simulation.pick(names)
    faults[name] = (faults[name] ?? 0) + 1
    FAULTS[name](group)
    simulation.at(simulation.integerBetween(50, 2_500), injectNextFault)
  }
  simulation.at(2_500, injectNextFault)
}

/** Runs and checks one history. The same options give the same result. */
export async function runGroupHistory ({ seed, mutation, milliseconds = 20_000 }: GroupHistoryOptions): Promise<GroupHistoryResult> {
  const simulation = createSimulation(seed)
  const group: Group = { simulation, members: new Map(), disks: new Map(), entries: [], history: [], promotions: [], committedAt: new Map(), faults: {}, mutation }
  for (const name of MEMBER_NAMES) group.disks.set(name, createEmptyDisk())
  for (const name of MEMBER_NAMES) startMember(group, name)
  for (const index of FAILURE_DOMAINS.keys()) startEntry(group, index)
  for (let index = 0; index < SESSION_COUNT; index += 1) runSession(group, `session-${index}`, milliseconds)
  runFaults(group, milliseconds)
  await simulation.run(milliseconds + 4_000)
  simulation.removeAllCuts()
  await simulation.run(milliseconds + 4_000 + SETTLE_MILLISECONDS)
  const { history, promotions, faults, members } = group
  const logs = [...members.values()].map(({ status, disk }) => ({ status: status(), values: disk.records.map(({ value }) => value) }))
  for (const { process } of [...members.values(), ...group.entries]) process.alive = false
  const count = (kind: string): number => history.filter(item => item.kind === 'write' && item.outcome === kind).length
  return {
    violations: checkHistory({ history, promotions, logs, committedAt: group.committedAt }),
    operations: history.length,
    acknowledged: count('acknowledged'),
    unknown: count('unknown'),
    reads: history.filter(({ kind }) => kind !== 'write').length,
    promotions: promotions.length,
    faults
  }
}
