import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { getPrimaryAssignment, createGroupControl, stepGroupControl } from '../groupControl.js'
import { createChoosingGroup, createGroup, createServer, createServingGroup, createStatus } from './groupHarness.js'

test('an unverified primary is closed', () => {
  const group = createGroup()
  assert.is(getPrimaryAssignment(group.state()).use, 'closed')
})

test('a server that reports that it is primary is open', () => {
  const group = createServingGroup()
  assert.equal(getPrimaryAssignment(group.state()), { group: 'g', designation: 1, member: 'p', use: 'open', term: 1 })
})

test('no server is promoted before all entry instances have confirmed', () => {
  const group = createServingGroup()
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  assert.is(getPrimaryAssignment(group.state()).use, 'closed')
  for (let turn = 0; turn < 100; turn += 1) {
    group.step({ kind: 'tick' }, 50)
    group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 9) })
    group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  }
  assert.is(group.effectsOf('designate').length, 0)
  group.environment.assignmentConfirmed = true
  group.step({ kind: 'tick' }, 50)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  assert.equal(group.effectsOf('designate'), [{ kind: 'designate', member: 'r2', after: 1, leadsFrom: 2 }])
})

test('no server is chosen before leases of an earlier leader have expired', () => {
  const group = createServingGroup({ assignmentConfirmed: true, earlierLeasesExpireAt: 2_000 })
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 1_900)
  assert.is(group.state().phase, 'fenced')
  group.step({ kind: 'tick' }, 200)
  assert.is(group.state().phase, 'choosing')
})

test('a promotion follows its designation, and the new primary opens once it reports its role', () => {
  const group = createChoosingGroup()
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  assert.is(group.effectsOf('promote').length, 0)
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r2', number: 2 }, accepted: true })
  assert.equal(group.effectsOf('promote'), [{ kind: 'promote', member: 'r2' }])
  group.step({ kind: 'promoted', member: 'r2', outcome: 'done' })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  assert.is(getPrimaryAssignment(group.state()).use, 'closed')
  group.step({ kind: 'status', member: 'r2', status: createStatus('primary', 9, 2) }, 600)
  assert.equal(getPrimaryAssignment(group.state()), { group: 'g', designation: 2, member: 'r2', use: 'open', term: 2 })
})

test('the former primary is asked to step down', () => {
  const group = createChoosingGroup()
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 9) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 8) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r1', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  group.step({ kind: 'status', member: 'r1', status: createStatus('primary', 9, 2) })
  group.environment.verdict = 'reachable'
  group.step({ kind: 'tick' }, 25)
  assert.equal(group.effectsOf('step down'), [{ kind: 'step down', member: 'p', term: 2 }])
})

test('a server that can not be promoted is excluded', () => {
  const group = createChoosingGroup()
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 8) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r2', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r2', outcome: 'refused' })
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 8) }, 400)
  assert.equal(group.effectsOf('designate').at(-1), { kind: 'designate', member: 'r1', after: 2, leadsFrom: 2 })
})

test('a planned replacement waits for running work and the last commits', () => {
  const group = createServingGroup({ assignmentConfirmed: true })
  group.environment.servers = [createServer('p', { role: 'primary', leaving: true }), createServer('r1'), createServer('r2')]
  group.environment.busy = true
  group.step({ kind: 'tick' })
  assert.is(getPrimaryAssignment(group.state()).use, 'closing')
  group.step({ kind: 'tick' }, 100)
  assert.is(group.state().phase, 'closing')
  group.environment.busy = false
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'p', status: createStatus('primary', 20) })
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 18) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 17) })
  assert.is(group.effectsOf('designate').length, 0)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 20) }, 25)
  assert.equal(group.effectsOf('designate'), [{ kind: 'designate', member: 'r1', after: 1, leadsFrom: 2 }])
})

test('with one synchronous replica all candidates must answer', () => {
  const group = createServingGroup({ assignmentConfirmed: true, synchronousReplicas: 1 })
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 8) })
  group.step({ kind: 'tick' }, 5_000)
  assert.is(group.effectsOf('designate').length, 0)
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 9) })
  assert.equal(group.effectsOf('designate'), [{ kind: 'designate', member: 'r2', after: 1, leadsFrom: 2 }])
})

test('a primary that restarted with its log is used again', () => {
  const group = createServingGroup()
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.environment.servers = [createServer('p', { role: 'primary', bornAt: 2 }), createServer('r1'), createServer('r2')]
  group.environment.assignmentConfirmed = true
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  assert.is(group.effectsOf('designate').length, 0)
})

test('a designated server that was never promoted is replaced by the one that is still primary', () => {
  const group = createGroup({ assignmentConfirmed: true })
  group.environment.servers = [createServer('p'), createServer('r1', { role: 'primary' }), createServer('r2')]
  group.step({ kind: 'status', member: 'p', status: createStatus('replica', 8) })
  group.step({ kind: 'tick' }, 25)
  for (const [member, answer] of [['p', createStatus('replica', 8)], ['r1', createStatus('primary', 12)], ['r2', createStatus('replica', 9)]] as const) group.step({ kind: 'status', member, status: answer }, 5)
  assert.equal(group.effectsOf('designate'), [{ kind: 'designate', member: 'r1', after: 1, leadsFrom: 1 }])
})

test('the first designation is the server that announces itself as primary', () => {
  const group = createGroup()
  const fresh = stepGroupControl(createGroupControl('g', undefined, 0), { kind: 'tick' }, group.environment)
  assert.equal(fresh.effects, [{ kind: 'designate', member: 'p', after: 0 }])
})

test('a leaving primary without a successor is closed before its drain time ends', () => {
  const group = createServingGroup({ assignmentConfirmed: true })
  group.environment.servers = [createServer('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 25)
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  group.step({ kind: 'tick' }, 4_000)
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  group.step({ kind: 'tick' }, 1_000)
  group.step({ kind: 'tick' }, 700)
  assert.is(getPrimaryAssignment(group.state()).use, 'closed')
  group.environment.servers = [...group.environment.servers, createServer('r1')]
  group.step({ kind: 'tick' }, 200)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 9) })
  group.step({ kind: 'tick' }, 400)
  assert.equal(group.effectsOf('designate'), [{ kind: 'designate', member: 'r1', after: 1, leadsFrom: 2 }])
})

test('a recovered primary is used again while no replica answers', () => {
  const group = createChoosingGroup()
  group.step({ kind: 'tick' }, 400)
  group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) })
  assert.is(getPrimaryAssignment(group.state()).use, 'closed', 'entry instances do not reach it yet')
  group.environment.verdict = 'reachable'
  group.step({ kind: 'tick' }, 200)
  group.step({ kind: 'status', member: 'p', status: createStatus('primary', 11) })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  assert.is(group.effectsOf('designate').length, 0)
})

test('a primary that no longer leaves is not closed', () => {
  const group = createServingGroup({ assignmentConfirmed: true })
  group.environment.servers = [createServer('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = [createServer('p', { role: 'primary' })]
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = [createServer('p', { role: 'primary', leaving: true })]
  group.step({ kind: 'tick' }, 5_000)
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
})

test('of two replicas that hold as much, the cold one is promoted', () => {
  for (const synchronousReplicas of [0, 1]) {
    for (const cold of ['r1', 'r2']) {
      const group = createChoosingGroup({ synchronousReplicas, cold: new Set([cold]) })
      for (const member of ['r1', 'r2']) group.step({ kind: 'status', member, status: createStatus('replica', 40) })
      assert.equal(group.effects.flatMap(effect => effect.kind === 'designate' ? [effect.member] : []), [cold === 'r1' ? 'r2' : 'r1'])
    }
  }
})

test('a warm replica that holds less is promoted', () => {
  const group = createChoosingGroup({ cold: new Set(['r1']) })
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 50) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 40) })
  assert.equal(group.effects.flatMap(effect => effect.kind === 'designate' ? [effect.member] : []), ['r1'])
})

test.run()
