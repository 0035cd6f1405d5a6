import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { getPrimaryAssignment } from '../groupControl.js'
import { hasOnlyDrainedServers, planDomainDrain, updateDomainDrains, updateDrainDeadlines } from '../drains.js'
import { INITIAL_FLEET_STATE, applyFleetCommand, decodeFleetState, encodeFleetState } from '../state.js'
import { createServer, createServingGroup, createStatus } from './groupHarness.js'
import type { FleetState } from '../state.js'
import type { GroupEnvironment } from '../groupTypes.js'

const BOUND = 5_000
const OUTSIDE = [createServer('p', { role: 'primary' }), createServer('r1', { failureDomain: 'b' }), createServer('r2', { failureDomain: 'c' })]

function order (state: FleetState, failureDomain: string, drained: boolean): FleetState {
  return applyFleetCommand(state, { kind: 'drain', failureDomain, drained }).state
}

function drain (...names: string[]): Pick<GroupEnvironment, 'drains'> {
  return { drains: new Map(names.map((name, index) => [name, { number: index + 1, until: BOUND }])) }
}

/** Steps through `milliseconds` in ticks; servers answer with their positions. Returns who was asked for its status in the last second. */
function run (group: ReturnType<typeof createServingGroup>, milliseconds: number, positions: Record<string, number> = {}): string[] {
  const asked = new Set<string>()
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 25) {
    const before = group.effects.length
    group.step({ kind: 'tick' }, 25)
    for (const effect of group.effects.slice(before)) {
      if (effect.kind !== 'ask status') continue
      if (elapsed >= milliseconds - 1_000) asked.add(effect.member)
      const position = positions[effect.member]
      if (position !== undefined) group.step({ kind: 'status', member: effect.member, status: createStatus(effect.member === 'p' ? 'primary' : 'replica', position) })
    }
  }
  return [...asked]
}

// An operator resends an order until it is acknowledged.
test('an order that is sent again changes the state', () => {
  const drained = order(INITIAL_FLEET_STATE, 'a', true)
  assert.is(order(drained, 'a', true), drained)
  assert.is(order(INITIAL_FLEET_STATE, 'a', false), INITIAL_FLEET_STATE)
})

// A leader would take a second drain for the first one, whose bound is over.
test('a second drain has the number of the first one', () => {
  const again = order(order(order(INITIAL_FLEET_STATE, 'a', true), 'a', false), 'a', true)
  assert.is(again.drains.get('a'), 3)
  const known = updateDrainDeadlines(new Map(), new Map([['a', 1]]), { now: 0, boundMilliseconds: BOUND, isInherited: true })
  assert.is(known.get('a')?.until, 2_500)
  assert.is(updateDrainDeadlines(known, again.drains, { now: 100, boundMilliseconds: BOUND, isInherited: false }).get('a')?.until, 5_100)
})

test('a drain is lost with a snapshot, or comes from a snapshot of the previous build', () => {
  const state = order(INITIAL_FLEET_STATE, 'a', true)
  assert.equal(decodeFleetState(encodeFleetState(state)), state)
  const previous = decodeFleetState('{"designations":[],"servers":[],"entries":3}')
  assert.is(previous.drains.size, 0)
  assert.equal(order(previous, 'a', true).drains, state.drains)
})

// A statement reached the servers after the bound.
test('an instance that learns late has as much time as the others', () => {
  assert.equal(planDomainDrain(1_000, 1_400, BOUND), { transactionsUntil: 2_900, statementsUntil: 5_750 })
  assert.equal(planDomainDrain(1_000, 5_000, BOUND), { transactionsUntil: 5_750, statementsUntil: 5_750 })
  assert.ok(planDomainDrain(-Infinity, 1_000, BOUND).transactionsUntil < 1_000)
  const known = updateDomainDrains(new Map(), ['a'], 0, 100, BOUND)
  assert.is(updateDomainDrains(known, ['a', 'b'], 900, 1_000, BOUND).get('a'), known.get('a'))
})

test('a group whose other servers leave has a server', () => {
  const isDrained = (name: string): boolean => name === 'a'
  assert.ok(hasOnlyDrainedServers([createServer('p'), createServer('r', { failureDomain: 'b', leaving: true })], isDrained))
  assert.not.ok(hasOnlyDrainedServers(OUTSIDE, isDrained))
  assert.not.ok(hasOnlyDrainedServers([createServer('r', { failureDomain: 'b', leaving: true })], isDrained))
})

for (const synchronousReplicas of [0, 1]) {
  test(`a drained primary with an open transaction is not replaced, ${synchronousReplicas} synchronous`, () => {
    const group = createServingGroup({ servers: OUTSIDE, assignmentConfirmed: true, busy: true, synchronousReplicas, ...drain('a', 'b') })
    run(group, 400, { p: 20, r1: 20, r2: 20 })
    assert.is(group.state().phase, 'closing')
    run(group, 700, { p: 20, r1: 20, r2: 20 })
    assert.equal(group.effectsOf('designate').at(-1), { kind: 'designate', member: 'r2', after: 1, leadsFrom: 2 })
  })
}

// The replica outside lacked a commit that a drained replica had acknowledged.
test('a successor that lacks acknowledged commits takes over', () => {
  const group = createServingGroup({ servers: OUTSIDE, assignmentConfirmed: true, synchronousReplicas: 1, ...drain('a', 'b') })
  run(group, 8_000, { p: 20, r1: 20, r2: 18 })
  assert.is(group.effectsOf('designate').length, 0)
  assert.is(getPrimaryAssignment(group.state()).use, 'closed')
  run(group, 400, { p: 20, r1: 20, r2: 20 })
  assert.equal(group.effectsOf('designate').at(-1), { kind: 'designate', member: 'r2', after: 1, leadsFrom: 2 })
})

test('with all failure domains drained a primary is used after the bound, or stays closed after the withdrawal', () => {
  const group = createServingGroup({ servers: OUTSIDE, assignmentConfirmed: true, ...drain('a', 'b', 'c') })
  run(group, 2_500, { p: 20, r1: 20, r2: 20 })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  assert.equal(run(group, 3_500, { p: 20, r1: 20, r2: 20 }), [])
  assert.is(group.state().phase, 'drained')
  group.environment.drains = new Map()
  run(group, 500, { p: 20, r1: 20, r2: 20 })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  assert.is(group.effectsOf('designate').length, 0)
})

test('a primary that was closed for a drain ignores a server that comes outside', () => {
  const group = createServingGroup({ servers: OUTSIDE.slice(0, 1), assignmentConfirmed: true, ...drain('a') })
  run(group, 6_000)
  group.environment.servers = OUTSIDE
  run(group, 400, { p: 20, r1: 19, r2: 17 })
  assert.is(group.effectsOf('designate').length, 0, 'the last commits are missing')
  run(group, 400, { p: 20, r1: 20, r2: 17 })
  assert.equal(group.effectsOf('designate').at(-1), { kind: 'designate', member: 'r1', after: 1, leadsFrom: 2 })
})

test('a replacement that has begun is given up when the drain is withdrawn', () => {
  const group = createServingGroup({ servers: OUTSIDE, assignmentConfirmed: true, busy: true, ...drain('a') })
  run(group, 50, { p: 20, r1: 20, r2: 17 })
  assert.is(group.state().phase, 'closing')
  group.environment.drains = new Map()
  group.environment.busy = false
  run(group, 400, { p: 20, r1: 20, r2: 17 })
  assert.equal(group.effectsOf('designate').at(-1), { kind: 'designate', member: 'r1', after: 1, leadsFrom: 2 })
})

for (const [candidate, position] of [['is dead', undefined], ['lags', 10]] as const) {
  const positions = { p: 20, ...(position === undefined ? {} : { r1: position }) }

  // Without synchronous replicas any announced server counted as a successor.
  test(`a drained primary is closed for a candidate that ${candidate}`, () => {
    const group = createServingGroup({ servers: OUTSIDE.slice(0, 2), assignmentConfirmed: true, ...drain('a') })
    run(group, 2_500, positions)
    assert.is(getPrimaryAssignment(group.state()).use, 'open')
    run(group, 500, positions)
    assert.is(getPrimaryAssignment(group.state()).use, 'closed', 'the bound is due')
  })

  test(`a drained primary stays closed after its candidate ${candidate}`, () => {
    const group = createServingGroup({ servers: OUTSIDE.slice(0, 2), assignmentConfirmed: true, busy: true, ...drain('a') })
    run(group, 50, { p: 10, r1: 10 })
    assert.is(group.state().phase, 'closing')
    group.environment.busy = false
    run(group, 1_300, positions)
    assert.is(getPrimaryAssignment(group.state()).use, 'open')
    assert.is(group.effectsOf('designate').length, 0)
  })
}

// The position from the first drain would make a candidate that lags count as following.
test('a second drain compares with the primary of the first one', () => {
  const group = createServingGroup({ servers: OUTSIDE.slice(0, 2), assignmentConfirmed: true, ...drain('a') })
  run(group, 200, { p: 20 })
  group.environment.drains = new Map()
  run(group, 200, { p: 30 })
  group.environment.drains = drain('a').drains
  run(group, 500, { p: 30, r1: 25 })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
})

test('a primary that leaves waits for a position because it is drained too', () => {
  const group = createServingGroup({ servers: [createServer('p', { role: 'primary', leaving: true }), OUTSIDE[1]], assignmentConfirmed: true, ...drain('a') })
  group.step({ kind: 'tick' })
  assert.is(group.state().phase, 'closing')
})

// Control sent status requests to servers that were about to be switched off.
test('drained replicas are asked for their status after the bound', () => {
  const group = createServingGroup({ servers: OUTSIDE, assignmentConfirmed: true, synchronousReplicas: 1, ...drain('b') })
  run(group, 6_000, { p: 20, r2: 20 })
  group.environment.verdict = 'failed'
  assert.equal(run(group, 1_000).sort(), ['p', 'r2'])
})

test.run()
