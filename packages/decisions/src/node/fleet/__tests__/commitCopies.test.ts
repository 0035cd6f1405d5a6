import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { getPrimaryAssignment } from '../groupControl.js'
import { describeRun, isCommitCopies } from '../commitCopies.js'
import { createChoosingGroup, createGroup, createServer, createServingGroup, createStatus, SERVERS } from './groupHarness.js'
import type { KnownServer } from '../directory.js'
import type { GroupEnvironment } from '../groupTypes.js'

const SYNCHRONOUS = { synchronousReplicas: 1 }
const LEAVING = [createServer('p', { role: 'primary' }), createServer('r1', { leaving: true }), createServer('r2')]

type Group = ReturnType<typeof createGroup>

/** Answers with the received positions of some servers, and lets the time limits of the choice pass. */
function answer (group: Group, positions: Record<string, number>): void {
  for (let turn = 0; turn < 20; turn += 1) {
    for (const [member, position] of Object.entries(positions)) group.step({ kind: 'status', member, status: createStatus('replica', position) })
    group.step({ kind: 'tick' }, 100)
  }
}

/** Closes the primary because it has failed. */
function failPrimary (group: Group): void {
  group.environment.verdict = 'failed'
  group.environment.assignmentConfirmed = true
  group.step({ kind: 'tick' }, 25)
  group.step({ kind: 'tick' }, 25)
}

function listChosen (group: Group): string[] {
  return group.effects.flatMap(effect => effect.kind === 'designate' ? [effect.member] : [])
}

// Acknowledged commits were lost: the replica that left held them, and the other one was promoted.
test('a replica that leaves and holds the newest commits is passed over', () => {
  const group = createChoosingGroup({ ...SYNCHRONOUS, servers: LEAVING })
  answer(group, { r1: 40, r2: 20 })
  assert.equal(listChosen(group), ['r1'])
})

test('a replica that leaves is promoted although another one holds as much', () => {
  const group = createChoosingGroup({ ...SYNCHRONOUS, servers: LEAVING })
  answer(group, { r1: 40, r2: 40 })
  assert.equal(listChosen(group), ['r2'])
})

test('a silent replica that leaves is not waited for', () => {
  const group = createChoosingGroup({ ...SYNCHRONOUS, servers: LEAVING })
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
})

test('with two synchronous replicas the newest of all but one is refused', () => {
  const group = createChoosingGroup({ synchronousReplicas: 2, servers: LEAVING })
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), ['r2'])
})

test('a replica that is no longer listed is forgotten', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = SERVERS.filter(({ member }) => member !== 'r1')
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
  group.environment.servers = SERVERS
  answer(group, { r1: 40, r2: 20 })
  assert.equal(listChosen(group), ['r1'])
})

test('a new leader forgets a replica that its predecessor knew', () => {
  const group = createGroup({ ...SYNCHRONOUS, servers: SERVERS.filter(({ member }) => member !== 'r1') })
  group.environment.copies = { group: 'g', synchronousReplicas: 1, servers: SERVERS.map(({ member, bornAt }) => ({ member, bornAt, address: `host of ${member}` })) }
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
})

test('a new leader chooses before servers could announce themselves', () => {
  const group = createGroup({ ...SYNCHRONOUS, announcedBy: 5_000, servers: SERVERS.filter(({ member }) => member !== 'r1') })
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
  group.environment.servers = SERVERS
  group.environment.now = 5_000
  answer(group, { r1: 40, r2: 20 })
  assert.equal(listChosen(group), ['r1'])
})

test('a replica whose promotion was refused no longer counts', () => {
  const group = createChoosingGroup(SYNCHRONOUS)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 40) })
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 20) })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r1', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'refused' }, 25)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), ['r1'])
})

test('a replica that started after the commit answers in place of the one that left', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = [...SERVERS.filter(({ member }) => member !== 'r1'), createServer('r3')]
  failPrimary(group)
  answer(group, { r2: 20, r3: 20 })
  assert.equal(listChosen(group), [])
})

/** A group whose replica `r1` is known to hold position 10, and runs anew when the primary has failed. */
function createGroupWithRestartedReplica (change: Partial<KnownServer> = {}): Group {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 10) }, 25)
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = SERVERS.map(server => server.member === 'r1' ? { ...server, bornAt: 2, ...change } : server)
  failPrimary(group)
  return group
}

test('a replica that came back without its log answers for its earlier run', () => {
  const group = createGroupWithRestartedReplica()
  answer(group, { r1: 0, r2: 20 })
  assert.equal(listChosen(group), [])
})

test('a replica that came back elsewhere answers for its earlier run', () => {
  const group = createGroupWithRestartedReplica({ host: '10.0.0.99' })
  answer(group, { r1: 30, r2: 20 })
  assert.equal(listChosen(group), [])
})

test('a replica that came back with its log does not answer', () => {
  const group = createGroupWithRestartedReplica()
  answer(group, { r1: 30, r2: 20 })
  assert.equal(listChosen(group), ['r1'])
})

test('the server that took over a log with its address is not counted', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.leavingRuns = new Set([describeRun({ member: 'r1', bornAt: 1 })])
  const replacement = createServer('r3', { host: createServer('r1').host, bornAt: 2 })
  group.environment.servers = [...group.environment.servers.filter(({ member }) => member !== 'r1'), replacement]
  failPrimary(group)
  answer(group, { r2: 20, r3: 40 })
  assert.equal(listChosen(group), ['r3'])
})

test('a server at the address of one that crashed is taken for its replacement', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = [...SERVERS.filter(({ member }) => member !== 'r1'), createServer('r3', { host: createServer('r1').host, bornAt: 2 })]
  failPrimary(group)
  answer(group, { r2: 20, r3: 0 })
  assert.equal(listChosen(group), [])
})

test('the server that took over the log of a primary is not promoted', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.leavingRuns = new Set([describeRun({ member: 'p', bornAt: 1 })])
  group.environment.servers = [createServer('r2'), createServer('r3', { host: createServer('p').host, bornAt: 2 })]
  failPrimary(group)
  answer(group, { r2: 20, r3: 40 })
  assert.equal(listChosen(group), ['r3'])
})

test('synchronous replicas that are no longer declared are forgotten before others caught up', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.synchronousReplicas = 0
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
})

test('a successor that did not catch up replaces a leaving primary', () => {
  const group = createServingGroup({ ...SYNCHRONOUS, servers: [createServer('p', { role: 'primary', leaving: true }), createServer('r1'), createServer('r2')] })
  group.environment.assignmentConfirmed = true
  const uses: string[] = []
  for (let turn = 0; turn < 60; turn += 1) {
    group.step({ kind: 'tick' }, 100)
    group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) })
    // It follows until the primary is closed, and receives nothing any more.
    group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 9 + Number(getPrimaryAssignment(group.state()).use === 'open')) })
    uses.push(getPrimaryAssignment(group.state()).use)
  }
  assert.equal(listChosen(group), [])
  assert.ok(uses.lastIndexOf('open') > uses.indexOf('closed'), 'the leaving primary serves again')
})

test('a leaving primary is closed while no replica follows it', () => {
  const group = createServingGroup({ ...SYNCHRONOUS, servers: [createServer('p', { role: 'primary', leaving: true }), createServer('r1'), createServer('r2')] })
  for (let turn = 0; turn < 30; turn += 1) {
    group.step({ kind: 'tick' }, 100)
    group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) })
    group.step({ kind: 'status', member: 'r1', status: createStatus('replica', 4) })
    assert.is(getPrimaryAssignment(group.state()).use, 'open')
  }
})

test('what a promoted server inherited is lost with its failure', () => {
  const group = createChoosingGroup({ ...SYNCHRONOUS, servers: LEAVING })
  answer(group, { r1: 40, r2: 20 })
  group.step({ kind: 'designated', designation: { group: 'g', member: 'r1', number: 2 }, accepted: true })
  group.step({ kind: 'promoted', member: 'r1', outcome: 'done' })
  group.environment.verdict = 'reachable'
  group.step({ kind: 'status', member: 'r1', status: { role: 'primary', term: 2, received: { term: 1, position: 40 } } })
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
  group.step({ kind: 'tick' }, 25)
  // The former primary has ended, and others have caught up with it.
  group.environment.servers = [createServer('r1', { role: 'primary' }), createServer('r2')]
  group.environment.copies = { ...group.environment.copies, group: 'g', synchronousReplicas: 1, servers: [] }
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), ['r1'])
  answer(group, { r2: 40 })
  assert.equal(listChosen(group), ['r1', 'r2'])
})

test('a primary whose replicas are behind is not used again', () => {
  const group = createChoosingGroup({ ...SYNCHRONOUS, servers: LEAVING })
  group.environment.verdict = 'reachable'
  for (let turn = 0; turn < 6; turn += 1) {
    group.step({ kind: 'tick' }, 100)
    group.step({ kind: 'status', member: 'p', status: createStatus('primary', 40) })
    group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 20) })
  }
  assert.equal(listChosen(group), [])
  assert.is(getPrimaryAssignment(group.state()).use, 'open')
})

/** A group in use whose replica has ended, and which the log still records. */
function createGroupWithEndedReplica (change: Partial<GroupEnvironment> = {}): Group {
  const group = createServingGroup({ ...SYNCHRONOUS, ...change })
  group.step({ kind: 'tick' }, 25)
  group.environment.servers = SERVERS.filter(({ member }) => member !== 'r1')
  return group
}

function listRecorded (group: Group): string[] {
  return (group.environment.copies?.servers ?? []).map(({ member }) => member).sort()
}

test('a server that has ended is recorded for ever', () => {
  const group = createGroupWithEndedReplica()
  group.environment.endedRuns = new Set([describeRun({ member: 'r1', bornAt: 1 })])
  for (const position of [10, 10, 10]) {
    group.step({ kind: 'tick' }, 300)
    group.step({ kind: 'status', member: 'p', status: createStatus('primary', position + 2) }, 5)
    group.step({ kind: 'status', member: 'r2', status: createStatus('replica', position) }, 5)
  }
  assert.equal(listRecorded(group), ['p', 'r1', 'r2'], 'the other replica has not caught up')
  group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 12) }, 300)
  group.step({ kind: 'tick' }, 300)
  assert.equal(listRecorded(group), ['p', 'r2'])
  failPrimary(group)
  answer(group, { r2: 14 })
  assert.equal(listChosen(group), ['r2'])
})

test('a commit that one replica acknowledged is counted as held by two', () => {
  const group = createServingGroup(SYNCHRONOUS)
  group.step({ kind: 'tick' }, 25)
  group.environment.synchronousReplicas = 2
  failPrimary(group)
  answer(group, { r2: 20 })
  assert.equal(listChosen(group), [])
})

test('a server that is missing from the list is taken for ended', () => {
  const group = createGroupWithEndedReplica()
  for (let turn = 0; turn < 5; turn += 1) {
    group.step({ kind: 'status', member: 'p', status: createStatus('primary', 10) }, 300)
    group.step({ kind: 'status', member: 'r2', status: createStatus('replica', 10) }, 5)
    group.step({ kind: 'tick' }, 5)
  }
  assert.equal(listRecorded(group), ['p', 'r1', 'r2'])
})

test('a group without synchronous replicas is recorded', () => {
  const group = createServingGroup()
  group.step({ kind: 'tick' }, 25)
  assert.equal(group.effectsOf('record copies'), [])
})

test('a record with a broken entry is used', () => {
  const record = { group: 'g', synchronousReplicas: 1, servers: [{ member: 'r1', bornAt: 1, address: '10.0.0.1:1' }] }
  assert.ok(isCommitCopies(record))
  for (const broken of [null, 'g', { ...record, group: 7 }, { ...record, synchronousReplicas: '1' }, { ...record, servers: [null] }, { ...record, servers: [{ member: 'r1' }] }, { ...record, inherited: { term: 1 } }]) assert.not(isCommitCopies(broken))
})

test.run()
