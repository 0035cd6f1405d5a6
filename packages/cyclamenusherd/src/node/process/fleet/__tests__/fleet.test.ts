import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { LEASE_MILLISECONDS, SHARE_VALIDITY_MILLISECONDS } from '@cyclamenusher/decisions'
import { listenForCalls } from '@cyclamenusher/protocol'
import { createFleetStreams } from '../fleetStreams.js'
import { CREDENTIALS, HOST, createAnnouncement, createFleetHarness, createDocument, waitUntil } from './fleetHarness.js'
import type { RenewRequest } from '@cyclamenusher/decisions'
import type { FleetLink } from '../fleetLink.js'
import type { FleetHarness } from './fleetHarness.js'

let fleet: FleetHarness

test.before.each(async () => { fleet = await createFleetHarness() })
test.after.each(async () => { await fleet.stop() })

async function currentVersion (): Promise<number | undefined> {
  return (await (await fleet.leader()).control.current())?.document?.version
}

test('the declaration with the highest version is in force', async () => {
  await fleet.declare(5)
  const { control } = await fleet.leader()
  assert.is(await control.declare(createDocument(3)), 'held')
  assert.is(await control.declare(createDocument(5, { accounts: [] })), 'held')
  assert.equal((await control.current())?.document, createDocument(5))
  await fleet.declare(9)
  assert.is(await currentVersion(), 9)
})

test('every control instance accepts and reads declarations', async () => {
  await fleet.declare(1)
  for (const { control } of fleet.running.values()) {
    await waitUntil('a confirmed read', async () => (await control.current())?.document?.version === 1)
    assert.is(await control.declare(createDocument(1)), 'held')
  }
})

test('a minority confirms neither a read nor a declaration', async () => {
  await fleet.declare(1)
  const survivor = await fleet.leader()
  await Promise.all([...fleet.running.values()].filter(instance => instance !== survivor).map(async instance => { await instance.stop() }))
  assert.is(await survivor.control.current(), undefined)
  assert.is(await survivor.control.declare(createDocument(2)), 'unknown')
})

test('declarations survive a restart of all control instances', async () => {
  for (let version = 1; version <= 80; version += 1) await fleet.declare(version)
  await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
  await Promise.all([0, 1, 2].map(fleet.start))
  await waitUntil('the newest version', async () => await currentVersion() === 80)
})

test('a control instance that lost its disk rejoins', async () => {
  await fleet.declare(1)
  const stopped = [...fleet.running].find(([, instance]) => !instance.hasLeaderLease())
  assert.ok(stopped)
  await stopped[1].stop()
  fleet.loseDisk(stopped[0])
  await fleet.declare(2)
  const restarted = await fleet.start(stopped[0])
  await waitUntil('the document at the rejoined instance', async () => (await restarted.control.current())?.document?.version === 2)
})

test('an entry instance receives the declaration, the servers and the primary', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const link = fleet.joinEntry('entry-1')
  await waitUntil('the assignment', () => link.primaryAssignment('g')?.use === 'open')
  assert.is(link.declaration()?.version, 1)
  assert.is(link.primaryAssignment('g')?.member, 'p')
  assert.equal(link.servers('g').map(({ member }) => member).sort(), ['p', 'r1', 'r2'])
  await fleet.declare(2)
  await waitUntil('the next declaration', () => link.declaration()?.version === 2)
})

test('the shares of a rate never add up to more than the rate', async () => {
  await fleet.declare(1)
  const demand = { 'entry-1': 8, 'entry-2': 1 }
  const links = Object.keys(demand).map(name => fleet.joinEntry(name, () => ({ demand: { clinic: demand[name as keyof typeof demand] }, sightings: {}, busy: [] })))
  await waitUntil('parts', () => links.every(link => link.rateShare('clinic') > 0))
  await waitUntil('shares by demand', () => links[0].rateShare('clinic') > links[1].rateShare('clinic'))
  for (let round = 0; round < 20; round += 1) {
    Object.assign(demand, { 'entry-1': demand['entry-2'], 'entry-2': demand['entry-1'] })
    await new Promise(resolve => setTimeout(resolve, 30))
    assert.ok(links.reduce((sum, link) => sum + link.rateShare('clinic'), 0) <= 1 + 1e-9)
  }
})

test('a share of a rate expires when control may grant it to others', async () => {
  await fleet.declare(1)
  let ahead = 0
  const link = fleet.joinEntry('entry-1', undefined, { now: () => performance.now() + ahead })
  await waitUntil('the share', () => link.rateShare('clinic') > 0)
  await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
  assert.ok(link.rateShare('clinic') > 0)
  ahead = SHARE_VALIDITY_MILLISECONDS
  assert.is(link.rateShare('clinic'), 0)
})

test('a failed primary is replaced once every lease holder has closed it', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  let failing = false
  const sightings = (): Record<string, { failingFor?: number, answeredAgo?: number }> => failing ? { p: { failingFor: 1_000 } } : { p: { answeredAgo: 1 } }
  const links = ['entry-1', 'entry-2'].map(name => fleet.joinEntry(name, () => ({ demand: {}, sightings: sightings(), busy: [] })))
  await waitUntil('the assignments', () => links.every(link => link.primaryAssignment('g')?.use === 'open'))
  const observedUses: Array<string | undefined> = []
  fleet.onPromotion(({ member }) => {
    observedUses.push(...links.map(link => link.isLeased() ? link.primaryAssignment('g')?.use : 'no lease'))
    fleet.statuses.set(member, { role: 'primary', term: 2, received: { term: 1, position: 9 } })
  })
  failing = true
  fleet.statuses.delete('p')
  for (const link of links) link.reportNow()
  await waitUntil('the new primary', () => links.every(link => link.primaryAssignment('g')?.use === 'open' && link.primaryAssignment('g')?.member === 'r2'))
  assert.not.ok(observedUses.includes('open'))
  const { term } = await fleet.leader()
  assert.equal(fleet.promotions.map(({ member, fence }) => [member, fence]), [['r2', term()]])
})

test('one observer does not cause a failover', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const isolated = fleet.joinEntry('entry-1', () => ({ demand: {}, sightings: { p: { failingFor: 5_000 } }, busy: [] }))
  const healthy = fleet.joinEntry('entry-2', () => ({ demand: {}, sightings: { p: { answeredAgo: 1 } }, busy: [] }))
  await waitUntil('the assignments', () => [isolated, healthy].every(link => link.primaryAssignment('g')?.use === 'open'))
  for (let round = 0; round < 20; round += 1) {
    isolated.reportNow()
    await new Promise(resolve => setTimeout(resolve, 20))
  }
  assert.equal(fleet.promotions, [])
})

test('a new leader knows the servers and designations', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const link = fleet.joinEntry('entry-1')
  await waitUntil('the assignment', () => link.primaryAssignment('g')?.use === 'open')
  const before = await fleet.leader()
  await before.stop()
  const after = await fleet.leader()
  assert.ok(after.term() > 0)
  await waitUntil('the assignment by the new leader', () => link.isLeased() && link.primaryAssignment('g')?.use === 'open' && link.primaryAssignment('g')?.designation === 1)
})

test('after a full restart the first entry instance does not take the connections of the others', async () => {
  await fleet.declare(1)
  const links = ['entry-1', 'entry-2', 'entry-3'].map(name => fleet.joinEntry(name))
  await waitUntil('three entry instances', () => links.every(link => link.entryCount() === 3))
  const { control } = await fleet.leader()
  await waitUntil('the persisted number of entry instances', () => (JSON.parse(control.stateMachine.snapshot()) as { entries: number }).entries === 3)
  for (const link of links) link.close()
  await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
  await Promise.all([0, 1, 2].map(fleet.start))
  const first = fleet.joinEntry('entry-1')
  await waitUntil('the lease', () => first.isLeased())
  assert.is(first.entryCount(), 3)
})

// A departure was acknowledged, and forgotten with the memory of the control instances.
test('a server that left is known again after a loss of all control instances', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const isRemembered = async (): Promise<boolean> => (JSON.parse((await fleet.leader()).control.stateMachine.snapshot()) as { servers: Array<{ member: string }> }).servers.length === 3
  await waitUntil('the servers in the log', isRemembered)
  await waitUntil('the acknowledgement', async () => await (await fleet.leader()).control.notify({ kind: 'gone', member: 'r1' }))
  await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
  await Promise.all([0, 1, 2].map(fleet.start))
  const link = fleet.joinEntry('entry-1')
  await waitUntil('the servers', () => link.isLeased() && link.servers('g').length > 0)
  assert.equal(link.servers('g').map(({ member }) => member).sort(), ['p', 'r2'])
})

// Instances without a share lost every operation while their lender was away.
// A new leader ended the renewals of every instance, because of an account named "constructor".
for (const name of ['constructor', '__proto__', 'toString', 'hasOwnProperty']) {
  test(`no instance gets a lease from the next leader where things are named ${name}`, async () => {
    const names = { routes: [{ name, database: name, prefix: '/', group: name, readPolicy: 'primary' as const, statementMilliseconds: 1_000, priority: 1, open: false }], groups: [{ name, connectionsPerServer: 10, synchronousReplicas: 1 }], accounts: [{ name, keys: [name], ratePerSecond: 10, burst: 10 }] }
    await fleet.declare(1, names)
    fleet.statuses.set(name, { role: 'primary', term: 1, received: { term: 1, position: 10 } })
    await waitUntil('the announcement', async () => await (await fleet.leader()).control.notify({ kind: 'announced', announcement: createAnnouncement(name, { role: 'primary', group: name, failureDomain: name }) }))
    const reports: Array<() => Pick<RenewRequest, 'demand' | 'sightings' | 'busy'>> = [
      () => ({ demand: {}, sightings: {}, busy: [] }),
      () => ({ demand: Object.fromEntries([[name, 1]]), sightings: Object.fromEntries([[name, { answeredAgo: 1 }]]), busy: [name] })
    ]
    const links = reports.map((report, index) => fleet.joinEntry(index === 0 ? name : 'entry-2', report, undefined, { host: HOST, port: 1 }))
    const isServing = (link: FleetLink): boolean => link.isLeased() && link.primaryAssignment(name)?.use === 'open' && link.declaration()?.account(name) !== undefined
    await waitUntil('service and shares', () => links.every(isServing) && links.every(link => link.rateShare(name) > 0 || link.hasLender(name)))
    const former = await fleet.leader()
    const term = former.term()
    await former.stop()
    await waitUntil('the next leader', async () => (await fleet.leader()).term() > term)
    const since = Date.now()
    await waitUntil('leases of the next leader', () => Date.now() - since > LEASE_MILLISECONDS && links.every(isServing))
    assert.ok(links.reduce((sum, link) => sum + link.rateShare(name), 0) <= 1 + 1e-9)
    await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
    await Promise.all([0, 1, 2].map(fleet.start))
    await waitUntil('service after a restart of all control instances', () => links.every(isServing))
    assert.equal(links[1].servers(name).map(({ member }) => member), [name])
  })
}

test('operations are lost while a lender does not answer', async () => {
  await fleet.declare(1, { accounts: [{ name: 'clinic', keys: ['k'], ratePerSecond: 100, burst: 10 }] })
  let lent = 0
  const streams = createFleetStreams({
    borrow: () => {
      lent += 1
      return { granted: 1 }
    }
  }, { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} })
  const lender = await listenForCalls(HOST, 0, CREDENTIALS, () => {}, streams)
  const links = Array.from({ length: 6 }, (_, index) => fleet.joinEntry(`entry-${index}`, undefined, undefined, { host: HOST, port: lender.port }))
  await waitUntil('lenders', () => links.every(link => link.rateShare('clinic') > 0 || link.hasLender('clinic')))
  await waitUntil('few lenders', () => links.filter(link => link.hasLender('clinic')).length === 3)
  const borrower = links.find(link => link.hasLender('clinic'))
  assert.is((await borrower?.borrow('clinic', 1))?.granted, 1)
  assert.is(lent, 1)
  await lender.close()
  await waitUntil('a loan of control', async () => (await borrower?.borrow('clinic', 1))?.granted === 1)
  assert.is(lent, 1)
})

test.run()
