/**
 * A group of three backend servers, three entry instances and some sessions in
 * virtual time, with faults by seed. The members and the network are small
 * fakes; every decision is the product's own. What sessions saw is judged
 * without it.
 */

import { checkHistory } from './groupHistory.js'
import { createModelEntry } from './modelEntry.js'
import { createModelMember, emptyDisk } from './modelMember.js'
import { createWorld } from './world.js'
import type { LogPosition } from '../session/position.js'
import type { HistoryItem, Promotion } from './groupHistory.js'
import type { ModelEntry } from './modelEntry.js'
import type { ModelDisk, ModelMember } from './modelMember.js'
import type { World } from './world.js'

/** A guard that is taken out, to see that the check finds what it is for. */
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
  /** Virtual time in which sessions work and faults strike, in milliseconds. @default 20000 */
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

const DOMAINS = ['domain-a', 'domain-b', 'domain-c']
const NAMES = ['one', 'two', 'three']
const SESSIONS = 4
/** Time after the faults in which the group must settle, in milliseconds. */
const SETTLE_MILLISECONDS = 12_000
/** Age that reads of a stated age ask for, in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 400

interface Group {
  world: World
  members: Map<string, ModelMember>
  disks: Map<string, ModelDisk>
  entries: ModelEntry[]
  history: HistoryItem[]
  promotions: Promotion[]
  /** When a value reached a primary's log. */
  committedAt: Map<string, number>
  faults: Record<string, number>
  mutation?: GroupMutation
}

function startMember (group: Group, name: string): void {
  const { world, members, disks, promotions, committedAt, mutation } = group
  members.set(name, createModelMember({
    world,
    name,
    failureDomain: DOMAINS[NAMES.indexOf(name)],
    disk: disks.get(name)!,
    incarnation: `${name} ${world.random()}`,
    find: other => members.get(other)!,
    onPromoted: (member, term) => { promotions.push({ term, member: name, values: member.disk.records.map(({ value }) => value) }) },
    onCommitted: value => { committedAt.set(value, world.now()) },
    showsLogTerm: mutation === 'takes the log for what reads show',
    grantsTwice: mutation === 'grants a term twice'
  }))
}

function startEntry (group: Group, index: number): void {
  const { world, members, entries, mutation } = group
  entries[index] = createModelEntry({ world, name: `entry-${index}`, failureDomain: DOMAINS[index], members: NAMES, find: name => members.get(name)!, mutation })
}

function killMember (group: Group, name: string, downMilliseconds: number): void {
  group.members.get(name)!.process.alive = false
  group.world.at(downMilliseconds, () => { startMember(group, name) })
}

/** A second disk is lost only after the first member holds all again: two of three at once may lose what they held. */
function mayLoseDisk (group: Group, name: string): boolean {
  return NAMES.every(other => other === name || group.disks.get(other)!.voting) && group.disks.get(name)!.voting
}

const FAULTS: Record<string, (group: Group) => void> = {
  'kill a member': group => {
    const name = group.world.pick(NAMES)
    if (group.members.get(name)!.process.alive) killMember(group, name, group.world.between(10, 3_000))
  },
  'freeze a member': ({ world, members }) => { members.get(world.pick(NAMES))!.process.frozenUntil = world.now() + world.between(100, 3_000) },
  'freeze an entry': ({ world, entries }) => { world.pick(entries).process.frozenUntil = world.now() + world.between(100, 3_000) },
  'kill an entry': group => {
    const index = group.world.between(0, 2)
    group.entries[index].process.alive = false
    startEntry(group, index)
  },
  'lose a disk': group => {
    const name = group.world.pick(NAMES)
    if (!mayLoseDisk(group, name) || !group.members.get(name)!.process.alive) return
    group.disks.set(name, emptyDisk(group.mutation === 'empty disk votes'))
    killMember(group, name, group.world.between(10, 500))
  },
  'cut a failure domain': ({ world }) => {
    const domain = world.pick(DOMAINS)
    const others = DOMAINS.filter(other => other !== domain)
    const oneWay = world.random() < 0.3
    for (const other of others) {
      world.setCut(domain, other, true)
      if (!oneWay) world.setCut(other, domain, true)
    }
    world.at(world.between(200, 4_000), () => {
      for (const other of others) {
        world.setCut(domain, other, false)
        world.setCut(other, domain, false)
      }
    })
  },
  'cut two failure domains apart': ({ world }) => {
    const [left, right] = [world.pick(DOMAINS), world.pick(DOMAINS)]
    if (left === right) return
    world.setCut(left, right, true)
    world.setCut(right, left, true)
    world.at(world.between(200, 4_000), () => {
      world.setCut(left, right, false)
      world.setCut(right, left, false)
    })
  }
}

/** One session: its requests one after another, each through the entry instance that it is at. */
function runSession (group: Group, name: string, until: number): void {
  const { world, entries, history, mutation } = group
  let place: LogPosition | undefined
  let serial = 0
  /** Rises when the session stops waiting for a request, so that its late answer changes nothing. */
  let turn = 0

  async function writeOnce (entry: ModelEntry): Promise<void> {
    serial += 1
    const value = `${name} ${serial}`
    const invokedAt = world.now()
    const own = turn
    const item: HistoryItem = { kind: 'write', session: name, value, invokedAt, outcome: 'unknown' }
    history.push(item)
    const outcome = await entry.write(value)
    if (own !== turn) return
    item.answeredAt = world.now()
    item.outcome = outcome.kind
    if (outcome.kind === 'acknowledged') place = outcome.at
    // The write may stand at a place that the session never heard.
    else if (outcome.kind === 'unknown' && mutation !== 'keeps the token after an unknown outcome') place = undefined
  }

  async function readOnce (entry: ModelEntry): Promise<void> {
    const invokedAt = world.now()
    const own = turn
    const result = await entry.read(place)
    if (result === undefined || own !== turn) return
    place = result.place
    history.push({ kind: 'read', session: name, values: result.values, invokedAt, answeredAt: world.now() })
  }

  async function readAgedOnce (entry: ModelEntry): Promise<void> {
    const result = await entry.readAged(MAXIMUM_AGE_MILLISECONDS)
    if (result === undefined) return
    history.push({ kind: 'aged read', values: result.values, decidedAt: result.decidedAt, maximumAgeMilliseconds: MAXIMUM_AGE_MILLISECONDS })
  }

  const requests = [writeOnce, readOnce, readOnce, readAgedOnce]
  /** Requests end with their entry instance; the session goes on elsewhere when it hears nothing. */
  function next (): void {
    if (world.now() > until) return
    const entry = world.pick(entries)
    const request = world.pick(requests)
    let over = false
    const go = (): void => {
      if (over) return
      over = true
      turn += 1
      world.at(world.between(1, 60), next)
    }
    void request(entry).then(go)
    world.at(6_000, () => {
      if (!over && request === writeOnce && mutation !== 'keeps the token after an unknown outcome') place = undefined
      go()
    })
  }
  next()
}

function runFaults (group: Group, until: number): void {
  const { world, faults } = group
  const names = Object.keys(FAULTS)
  function next (): void {
    if (world.now() > until) return
    const name = world.pick(names)
    faults[name] = (faults[name] ?? 0) + 1
    FAULTS[name](group)
    world.at(world.between(50, 2_500), next)
  }
  world.at(2_500, next)
}

/** Runs one history. The same seed and mutation give the same result. */
export async function runGroupHistory ({ seed, mutation, milliseconds = 20_000 }: GroupHistoryOptions): Promise<GroupHistoryResult> {
  const world = createWorld(seed)
  const group: Group = { world, members: new Map(), disks: new Map(), entries: [], history: [], promotions: [], committedAt: new Map(), faults: {}, mutation }
  for (const name of NAMES) group.disks.set(name, emptyDisk())
  for (const name of NAMES) startMember(group, name)
  for (const index of DOMAINS.keys()) startEntry(group, index)
  for (let index = 0; index < SESSIONS; index += 1) runSession(group, `session-${index}`, milliseconds)
  runFaults(group, milliseconds)
  await world.run(milliseconds + 4_000)
  world.mendAll()
  await world.run(milliseconds + 4_000 + SETTLE_MILLISECONDS)
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
