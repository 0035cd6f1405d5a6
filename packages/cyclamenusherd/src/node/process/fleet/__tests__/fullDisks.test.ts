import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFillingDisk } from '../../control/__tests__/controlInstances.js'
import { createDocument, createFleetHarness, waitUntil } from './fleetHarness.js'
import type { ControlInstance, FleetHarness } from './fleetHarness.js'

const disks = [0, 1, 2].map(createFillingDisk)
let fleet: FleetHarness

test.before.each(async () => { fleet = await createFleetHarness(3, disks.map(({ disk }) => disk)) })
test.after.each(async () => {
  for (const disk of disks) disk.setFull(false)
  await fleet.stop()
})

/** Index of a control instance that does not lead. */
async function findFollower (): Promise<number> {
  const leader = await fleet.leader()
  return [...fleet.running].find(([, instance]) => instance !== leader)?.[0] ?? 0
}

// The process ended and started again about once a second while its disk was full.
test('a control instance whose disk is full refuses what the leader could accept', async () => {
  await fleet.declare(1)
  const index = await findFollower()
  const follower = fleet.running.get(index) as ControlInstance
  disks[index].setFull(true)
  await fleet.declare(2)
  await waitUntil('a refused write', () => follower.role() === 'awaiting disk')
  await waitUntil('a declaration by way of the instance', async () => await follower.control.declare(createDocument(3)) === 'held')
  assert.is((await follower.control.current())?.document?.version, 3)
  assert.is(follower.role(), 'awaiting disk')
  disks[index].setFull(false)
  await waitUntil('the instance takes part again', () => follower.role() === 'follower')
})

test('declarations stay unanswered after the disks of all control instances were full in turn', async () => {
  await fleet.declare(1)
  const entry = fleet.joinEntry('entry-1')
  for (const [index, disk] of disks.entries()) {
    disk.setFull(true)
    await fleet.declare(index + 2)
    await waitUntil('the declaration at the entry instance', () => entry.declaration()?.version === index + 2)
    disk.setFull(false)
  }
  await fleet.declare(5)
  await waitUntil('the declaration at the entry instance', () => entry.declaration()?.version === 5)
  await waitUntil('all instances take part', () => [...fleet.running.values()].every(instance => instance.role() !== 'awaiting disk'))
})

test.run()
