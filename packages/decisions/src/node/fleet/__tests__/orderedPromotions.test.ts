import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { getPrimaryAssignment } from '../groupControl.js'
import { findVerifiedTerm } from '../orderedPromotions.js'
import { createChoosingGroup, createGroup, createServer, createServingGroup, createStatus } from './groupHarness.js'
import type { PromotionOutcome, ServerStatus } from '../groupTypes.js'

type Group = ReturnType<typeof createGroup>

const OLD_PRIMARY = createServer('p', { role: 'primary' })
const LED_BY_R1 = [OLD_PRIMARY, createServer('r1', { role: 'primary' }), createServer('r2')]

const isOpen = (group: Group): boolean => getPrimaryAssignment(group.state()).use === 'open'
const listOrdered = (group: Group): string[] => group.effects.flatMap(effect => effect.kind === 'promote' ? [effect.member] : [])

/** Steps through `milliseconds`; servers answer what they are asked, the log accepts every designation, and each promotion has the outcome. Ends when the group is opened, and returns after how long that was. */
function run (group: Group, milliseconds: number, statuses: Record<string, ServerStatus>, outcome?: PromotionOutcome): number | undefined {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 25) {
    const wasOpen = isOpen(group)
    const { effects } = group
    let handled = effects.length
    group.step({ kind: 'tick' }, 25)
    for (; handled < effects.length; handled += 1) {
      const effect = effects[handled]
      if (effect.kind === 'designate') group.step({ kind: 'designated', designation: { group: 'g', member: effect.member, number: effect.after + 1 }, accepted: true })
      if (effect.kind === 'promote' && outcome !== undefined) group.step({ kind: 'promoted', member: effect.member, outcome })
      const status = effect.kind === 'ask status' ? statuses[effect.member] : undefined
      if (effect.kind === 'ask status' && status !== undefined) group.step({ kind: 'status', member: effect.member, status })
    }
    if (isOpen(group) && !wasOpen) return elapsed + 25
  }
  return undefined
}

/** A group whose primary has failed, and in whose place `r1` is to be promoted. */
function createPromotingGroup (): Group {
  const group = createChoosingGroup({ servers: [OLD_PRIMARY, createServer('r1'), createServer('r2')] })
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 9) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 8) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r1', number: 2 }, accepted: true })
  group.environment.verdict = 'reachable'
  return group
}

/** The same, once `r1` leads in term 2; `p` does not know that yet. */
function createReplacedGroup (): Group {
  const group = createPromotingGroup()
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  group.step({ kind: 'status', member: 'r1', status: createStatus('primary', 9, 2) }, 600)
  group.environment.servers = LED_BY_R1
  return group
}

// Writes went to the old primary in its old term while its successor led a newer one (review/13).
test('the old primary is opened again while its own promotion is under way', () => {
  const group = createReplacedGroup()
  group.environment.servers = [OLD_PRIMARY, createServer('r1', { role: 'primary', leaving: true })]
  const statuses = { p: createStatus('primary', 9), r1: createStatus('primary', 9, 2) }
  run(group, 200, statuses)
  assert.is(listOrdered(group).at(-1), 'p')
  group.step({ kind: 'promoted', member: 'p', outcome: 'done' })
  run(group, 600, statuses)
  assert.is(isOpen(group), false)
  run(group, 100, { ...statuses, p: createStatus('primary', 9, 3) })
  assert.equal(getPrimaryAssignment(group.state()), { group: 'g', designation: 3, member: 'p', use: 'open', term: 3 })
})

test('a former primary that does not know its successor yet is promoted before a replica', () => {
  const group = createReplacedGroup()
  group.environment.servers = [OLD_PRIMARY, createServer('r1', { role: 'primary', leaving: true }), createServer('r2')]
  run(group, 200, { p: createStatus('primary', 9), r1: createStatus('primary', 9, 2), r2: createStatus('replica', 9) })
  assert.is(listOrdered(group).at(-1), 'r2')
})

test('a former primary whose promotion is under way is opened by a new leader in its old term', () => {
  const group = createGroup({ servers: LED_BY_R1, assignmentConfirmed: true, earlierLeasesExpireAt: 1_500 }, { group: 'g', member: 'p', number: 3, leadsFrom: 3 })
  assert.is(run(group, 1_000, { p: createStatus('primary', 9) }), undefined)
  assert.ok(run(group, 2_000, { p: createStatus('primary', 9, 3) }))
  assert.is(getPrimaryAssignment(group.state()).term, 3)
})

test('a former primary that runs anew is opened in its old term', () => {
  const group = createReplacedGroup()
  group.environment.servers = [OLD_PRIMARY, createServer('r1', { role: 'primary', leaving: true })]
  run(group, 200, { p: createStatus('primary', 9) })
  group.step({ kind: 'promoted', member: 'p', outcome: 'done' })
  group.environment.servers = [createServer('p', { role: 'primary', bornAt: 2 }), LED_BY_R1[1]]
  assert.is(run(group, 10_000, { p: createStatus('primary', 9) }), undefined)
})

test('another server is promoted while the first promotion may still take effect', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'tick' }, 400)
  group.step({ kind: 'promoted', member: 'r1', outcome: 'unknown' })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'refused' })
  group.environment.servers = [OLD_PRIMARY, createServer('r2')]
  run(group, 3_900, { r2: createStatus('replica', 8) })
  assert.equal(listOrdered(group), ['r1', 'r1'])
  run(group, 500, { r2: createStatus('replica', 8) })
  assert.is(listOrdered(group).at(-1), 'r2')
})

test('the old primary is opened while the promotion of another server may take effect', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'tick' }, 400)
  group.step({ kind: 'promoted', member: 'r1', outcome: 'unknown' })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'refused' })
  group.environment.servers = [OLD_PRIMARY]
  const opened = run(group, 6_000, { p: createStatus('primary', 9) })
  assert.ok(opened === undefined || opened > 4_000)
})

// Nothing else can lead: the promotion of its successor was refused.
test('the old primary stays closed after the promotion of its successor was refused', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'promoted', member: 'r1', outcome: 'refused' })
  group.environment.servers = [OLD_PRIMARY]
  run(group, 400, { p: createStatus('primary', 9) })
  group.step({ kind: 'promoted', member: 'p', outcome: 'done' })
  assert.ok(run(group, 200, { p: createStatus('primary', 9) }))
  assert.is(getPrimaryAssignment(group.state()).term, 1)
})

test('the old primary stays closed although its successor says that its promotion had no effect', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  run(group, 4_000, { r1: createStatus('replica', 9) })
  group.environment.servers = [OLD_PRIMARY, createServer('r1', { leaving: true })]
  const statuses = { p: createStatus('primary', 10), r1: createStatus('replica', 9) }
  run(group, 600, statuses)
  assert.is(listOrdered(group).at(-1), 'p')
  group.step({ kind: 'promoted', member: 'p', outcome: 'done' })
  assert.ok(run(group, 200, statuses))
})

test('a primary that was ordered again stays closed for good because its promotion changes nothing', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  group.environment.servers = [OLD_PRIMARY]
  const opened = run(group, 20_000, { p: createStatus('primary', 10) }, 'done') ?? Infinity
  assert.is(listOrdered(group).at(-1), 'p')
  assert.ok(opened > 8_000 && opened < 9_000, `${opened} ms`)
})

test('the primary stays open after another server has begun to lead', () => {
  const group = createServingGroup({ servers: LED_BY_R1, assignmentConfirmed: true })
  group.step({ kind: 'tick' }, 25)
  assert.equal(group.effectsOf('step down'), [{ kind: 'step down', member: 'r1', term: 1 }])
  group.step({ kind: 'status', member: 'r1', status: createStatus('primary', 9, 2) })
  assert.is(isOpen(group), false)
  run(group, 300, { p: createStatus('primary', 10), r1: createStatus('primary', 9, 2), r2: createStatus('replica', 9, 2) })
  assert.is(isOpen(group), false)
  assert.is(listOrdered(group).at(-1), 'r1')
})

test('a primary whose term has changed is closed for good', () => {
  const group = createServingGroup()
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 10, 2) }, 25)
  group.step({ kind: 'tick' }, 25)
  assert.is(isOpen(group), false)
  assert.ok(run(group, 200, { p: createStatus('primary', 10, 2) }))
  assert.is(getPrimaryAssignment(group.state()).term, 2)
})

test('a server that has stopped to lead stays the primary', () => {
  const group = createServingGroup({ servers: [createServer('p'), createServer('r1')] })
  run(group, 500, { p: createStatus('replica', 10) })
  assert.is(isOpen(group), false)
})

test('two former primaries are not both asked to step down', () => {
  const group = createReplacedGroup()
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = [OLD_PRIMARY, createServer('r1', { role: 'primary', leaving: true }), createServer('r2')]
  run(group, 200, { p: createStatus('primary', 9), r1: createStatus('primary', 9, 2), r2: createStatus('replica', 9) }, 'done')
  run(group, 600, { r2: createStatus('primary', 9, 3) })
  group.step({ kind: 'tick' }, 500)
  assert.equal(group.effectsOf('step down').slice(-2), ['p', 'r1'].map(member => ({ kind: 'step down', member, term: 3 })))
})

test('an answer that was asked for before the primary was closed counts for its last commits', () => {
  const group = createServingGroup({ assignmentConfirmed: true, synchronousReplicas: 1 })
  group.environment.verdict = 'failed'
  group.step({ kind: 'tick' })
  group.step({ kind: 'tick' }, 25)
  for (const member of ['r1', 'r2']) group.step({ kind: 'status', member, status: createStatus('replica', 9), askedAt: 0 }, 10)
  assert.is(group.effectsOf('designate').length, 0)
})

test('a new leader waits for a promotion that the log shows as over', () => {
  const designation = { group: 'g', member: 'p', number: 2, leadsFrom: 2 }
  const statuses = { r1: createStatus('replica', 9), r2: createStatus('replica', 9) }
  for (const [known, ordered] of [[designation, 0], [{ ...designation, term: 2 }, 1]] as const) {
    const group = createGroup({ assignmentConfirmed: true, verdict: 'failed' }, known)
    run(group, 300, statuses)
    assert.is(listOrdered(group).length, ordered)
    run(group, 4_000, statuses)
    assert.ok(listOrdered(group).length > 0)
  }
})

test('a new leader waits without end for a primary that entry instances reach, and it does not', () => {
  const group = createGroup({ assignmentConfirmed: true }, { group: 'g', member: 'p', number: 2, leadsFrom: 2, term: 2 })
  assert.is(run(group, 3_900, {}), undefined)
  assert.is(group.state().phase, 'unverified')
  run(group, 500, { r1: createStatus('replica', 9, 2), r2: createStatus('replica', 9, 2) })
  assert.is(listOrdered(group).length, 1)
})

// All commits were lost: the promotion service was down until the server had started again (review/11).
test('a server is promoted that has started again, empty, since it was chosen', () => {
  const group = createPromotingGroup()
  group.step({ kind: 'promoted', member: 'r1', outcome: 'unknown' })
  group.environment.servers = [createServer('r1', { bornAt: 2 }), createServer('r2')]
  run(group, 5_000, { r1: createStatus('replica', 0), r2: createStatus('replica', 8) })
  assert.equal(listOrdered(group).filter((member, index, all) => member !== all[index - 1]), ['r1', 'r2'])
})

test('the term of a primary is not recorded, or before its promotion is over', () => {
  const group = createServingGroup()
  assert.equal(findVerifiedTerm(group.state(), group.environment.now), { group: 'g', designation: 1, term: 1 })
  const promoted = createPromotingGroup()
  assert.is(findVerifiedTerm(promoted.state(), promoted.environment.now), undefined)
  promoted.step({ kind: 'tick' }, 400)
  promoted.step({ kind: 'promoted', member: 'r1', outcome: 'unknown' })
  promoted.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  promoted.step({ kind: 'status', member: 'r1', status: createStatus('primary', 9, 2) }, 600)
  assert.is(findVerifiedTerm(promoted.state(), promoted.environment.now), undefined)
  assert.equal(findVerifiedTerm(promoted.state(), promoted.environment.now + 4_000), { group: 'g', designation: 2, term: 2 })
})

test.run()
