import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { beliefOf, openGroupControl, stepGroupControl } from '../groupControl.js'
import type { GroupControl, GroupEffect, GroupEvent, GroupSurroundings, ServerStatus } from '../groupTypes.js'
import type { KnownServer } from '../directory.js'

function server (member: string, change: Partial<KnownServer> = {}): KnownServer {
  return { member, group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false, ...change }
}

function status (role: 'primary' | 'replica', position: number, term = 1): ServerStatus {
  return { role, term, received: { term, position } }
}

const SERVERS = [server('p', { role: 'primary' }), server('r1'), server('r2')]

/** A group under control, with a virtual clock and what it asked for. */
function control (change: Partial<GroupSurroundings> = {}) {
  const around: GroupSurroundings = { now: 0, servers: SERVERS, verdict: 'reachable', confirmed: false, busy: false, earlierLeasesOverAt: 0, synchronousReplicas: 0, drainMilliseconds: 7_000, ...change }
  let state: GroupControl = openGroupControl('g', { group: 'g', member: 'p', number: 1 }, 0)
  const effects: GroupEffect[] = []
  return {
    around,
    effects,
    state: () => state,
    step: (event: GroupEvent, by = 0) => {
      around.now += by
      const next = stepGroupControl(state, event, around)
      state = next.state
      effects.push(...next.effects)
    },
    asked: (kind: GroupEffect['kind']) => effects.filter(effect => effect.kind === kind)
  }
}

function serving (change: Partial<GroupSurroundings> = {}) {
  const group = control(change)
  group.step({ kind: 'tick' })
  group.step({ kind: 'status', member: 'p', status: status('primary', 10) })
  return group
}

/** Its primary has failed, all have confirmed, and the replicas are being asked. */
function choosing () {
  const group = serving({ confirmed: true })
  group.around.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 25)
  return group
}

test('an unverified primary is not open', () => {
  const group = control()
  assert.is(beliefOf(group.state()).use, 'closed')
})

test('a primary that says so is open', () => {
  const group = serving()
  assert.equal(beliefOf(group.state()), { group: 'g', designation: 1, member: 'p', use: 'open', term: 1 })
})

test('nothing is promoted before all have confirmed', () => {
  const group = serving()
  group.around.verdict = 'failed'
  group.step({ kind: 'tick' })
  assert.is(beliefOf(group.state()).use, 'closed')
  for (let turn = 0; turn < 100; turn += 1) {
    group.step({ kind: 'tick' }, 50)
    group.step({ kind: 'status', member: 'r1', status: status('replica', 9) })
    group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  }
  assert.is(group.asked('designate').length, 0)
  group.around.confirmed = true
  group.step({ kind: 'tick' }, 50)
  group.step({ kind: 'status', member: 'r1', status: status('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  assert.equal(group.asked('designate'), [{ kind: 'designate', member: 'r2', after: 1 }])
})

test('leases of an earlier leader are waited out', () => {
  const group = serving({ confirmed: true, earlierLeasesOverAt: 2_000 })
  group.around.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 1_900)
  assert.is(group.state().phase, 'fenced')
  group.step({ kind: 'tick' }, 200)
  assert.is(group.state().phase, 'choosing')
})

test('a promotion follows its designation, and opens when the server leads', () => {
  const group = choosing()
  group.step({ kind: 'status', member: 'r1', status: status('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  assert.is(group.asked('promote').length, 0)
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r2', number: 2 }, accepted: true })
  assert.equal(group.asked('promote'), [{ kind: 'promote', member: 'r2' }])
  group.step({ kind: 'promoted', member: 'r2', outcome: 'done' })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  assert.is(beliefOf(group.state()).use, 'closed')
  group.step({ kind: 'status', member: 'r2', status: status('primary', 9, 2) }, 600)
  assert.equal(beliefOf(group.state()), { group: 'g', designation: 2, member: 'r2', use: 'open', term: 2 })
})

test('the one before is told to step down', () => {
  const group = choosing()
  group.step({ kind: 'status', member: 'r1', status: status('replica', 9) })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 8) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r1', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  group.step({ kind: 'status', member: 'r1', status: status('primary', 9, 2) })
  group.around.verdict = 'reachable'
  group.step({ kind: 'tick' }, 25)
  assert.equal(group.asked('step down'), [{ kind: 'step down', member: 'p', term: 2 }])
})

test('a server that can not be promoted is passed over', () => {
  const group = choosing()
  group.step({ kind: 'status', member: 'r1', status: status('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r2', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r2', outcome: 'refused' })
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'r1', status: status('replica', 8) }, 400)
  assert.equal(group.asked('designate').at(-1), { kind: 'designate', member: 'r1', after: 2 })
})

test('a planned replacement waits for running work and the last commits', () => {
  const group = serving({ confirmed: true })
  group.around.servers = [server('p', { role: 'primary', leaving: true }), server('r1'), server('r2')]
  group.around.busy = true
  group.step({ kind: 'tick' })
  assert.is(beliefOf(group.state()).use, 'closing')
  group.step({ kind: 'tick' }, 100)
  assert.is(group.state().phase, 'closing')
  group.around.busy = false
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'p', status: status('primary', 20) })
  group.step({ kind: 'status', member: 'r1', status: status('replica', 18) })
  group.step({ kind: 'status', member: 'r2', status: status('replica', 17) })
  assert.is(group.asked('designate').length, 0)
  group.step({ kind: 'status', member: 'r1', status: status('replica', 20) }, 25)
  assert.equal(group.asked('designate'), [{ kind: 'designate', member: 'r1', after: 1 }])
})

test('with a synchronous replica all replicas must answer', () => {
  const group = serving({ confirmed: true, synchronousReplicas: 1 })
  group.around.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'r1', status: status('replica', 8) })
  group.step({ kind: 'tick' }, 5_000)
  assert.is(group.asked('designate').length, 0)
  group.step({ kind: 'status', member: 'r2', status: status('replica', 9) })
  assert.equal(group.asked('designate'), [{ kind: 'designate', member: 'r2', after: 1 }])
})

test('a primary that came back with its log is used again', () => {
  const group = serving()
  group.around.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.around.servers = [server('p', { role: 'primary', bornAt: 2 }), server('r1'), server('r2')]
  group.around.confirmed = true
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'p', status: status('primary', 10) })
  assert.is(beliefOf(group.state()).use, 'open')
  assert.is(group.asked('designate').length, 0)
})

test('a server that was designated and never promoted makes way for the one that still leads', () => {
  const group = control({ confirmed: true })
  group.around.servers = [server('p'), server('r1', { role: 'primary' }), server('r2')]
  group.step({ kind: 'status', member: 'p', status: status('replica', 8) })
  group.step({ kind: 'tick' }, 25)
  for (const [member, answer] of [['p', status('replica', 8)], ['r1', status('primary', 12)], ['r2', status('replica', 9)]] as const) group.step({ kind: 'status', member, status: answer }, 5)
  assert.equal(group.asked('designate'), [{ kind: 'designate', member: 'r1', after: 1 }])
})

test('the first primary is the one that says so', () => {
  const group = control()
  const fresh = stepGroupControl(openGroupControl('g', undefined, 0), { kind: 'tick' }, group.around)
  assert.equal(fresh.effects, [{ kind: 'designate', member: 'p', after: 0 }])
})

test('a leaving primary without a successor is closed before its drain time ends', () => {
  const group = serving({ confirmed: true })
  group.around.servers = [server('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 25)
  assert.is(beliefOf(group.state()).use, 'open')
  group.step({ kind: 'tick' }, 4_000)
  assert.is(beliefOf(group.state()).use, 'open')
  group.step({ kind: 'tick' }, 1_000)
  group.step({ kind: 'tick' }, 700)
  assert.is(beliefOf(group.state()).use, 'closed')
  group.around.servers = [...group.around.servers, server('r1')]
  group.step({ kind: 'tick' }, 200)
  group.step({ kind: 'status', member: 'r1', status: status('replica', 9) })
  group.step({ kind: 'tick' }, 400)
  assert.equal(group.asked('designate'), [{ kind: 'designate', member: 'r1', after: 1 }])
})

test('a primary that works again is used while no replica answers', () => {
  const group = choosing()
  group.step({ kind: 'tick' }, 400)
  group.step({ kind: 'status', member: 'p', status: status('primary', 10) })
  assert.is(beliefOf(group.state()).use, 'closed', 'its callers do not reach it yet')
  group.around.verdict = 'reachable'
  group.step({ kind: 'tick' }, 200)
  group.step({ kind: 'status', member: 'p', status: status('primary', 11) })
  assert.is(beliefOf(group.state()).use, 'open')
  assert.is(group.asked('designate').length, 0)
})

test('a primary that stays after all is not closed', () => {
  const group = serving({ confirmed: true })
  group.around.servers = [server('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 25)
  group.around.servers = [server('p', { role: 'primary' })]
  group.step({ kind: 'tick' }, 25)
  group.around.servers = [server('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 5_000)
  assert.is(beliefOf(group.state()).use, 'open')
})

test.run()
