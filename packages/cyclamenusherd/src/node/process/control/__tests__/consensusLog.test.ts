import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SYSTEM_DISK } from '../logStorage.js'
import { createFillingDisk, createInstances, rules, waitUntil } from './controlInstances.js'
import type { ConfigurationCommand } from '@cyclamenusher/decisions'
import type { Instance } from './controlInstances.js'

async function startThreeInstances (): Promise<Awaited<ReturnType<typeof createInstances>>> {
  const instances = await createInstances(3)
  for (const index of [0, 1, 2]) await instances.start(index)
  return instances
}

test('a configuration that is submitted again gets its first answer', async () => {
  const instances = await startThreeInstances()
  assert.is((await instances.submit(1, rules(1))).outcome, 'accepted')
  assert.is((await instances.submit(1, rules(1))).outcome, 'accepted')
  for (let number = 2; number <= 51; number += 1) await instances.submit(number, rules(number))
  assert.is((await instances.submit(1, rules(1))).outcome, 'accepted')
  const conflict = await instances.submit(1, rules(7), 'rosa')
  assert.is(conflict.outcome, 'conflict')
  assert.is(conflict.winnerOperator, 'test')
  assert.is((await instances.submit(60, rules(1))).outcome, 'invalid')
  await instances.close()
})

test('one of three concurrent submissions of a number is accepted', async () => {
  const instances = await startThreeInstances()
  await instances.submit(1, rules(1))
  const answers = await Promise.all(['ana', 'luis', 'rosa'].map(async (operator, index) => await instances.submit(2, rules(20 + index), operator)))
  const winners = answers.filter(({ outcome }) => outcome === 'accepted')
  assert.is(winners.length, 1)
  const losers = answers.filter(({ outcome }) => outcome === 'conflict')
  assert.is(losers.length, 2)
  assert.is(new Set(losers.map(({ winnerOperator }) => winnerOperator)).size, 1)
  await instances.close()
})

test('500 configurations survive a restart of all instances', async () => {
  const instances = await startThreeInstances()
  for (let number = 1; number <= 500; number += 1) await instances.submit(number, rules(number))
  for (const instance of [...instances.running.values()]) await instances.stop(instance)
  const restarted = await Promise.all([0, 1, 2].map(async index => await instances.start(index)))
  assert.is((await instances.submit(500, rules(500))).outcome, 'accepted')
  assert.is((await instances.submit(3, rules(4))).outcome, 'conflict')
  assert.is((await instances.submit(501, rules(501))).outcome, 'accepted')
  await waitUntil('all hold 501', () => restarted.every(({ service }) => service.number() === 501))
  await instances.close()
})

test('losing a second disk after the first is repaired loses nothing', async () => {
  const instances = await startThreeInstances()
  await instances.submit(1, rules(1))
  for (const [round, name] of ['control-2', 'control-1'].entries()) {
    const lost = instances.running.get(name) as Instance
    const before = lost.log.status().members.find(member => member.name === name)?.identity
    await instances.stop(lost)
    instances.loseDisk(lost)
    await instances.start(Number(name.at(-1)) - 1)
    await instances.waitUntilRepaired(3, before)
    assert.is((await instances.submit(round + 2, rules(round + 2))).outcome, 'accepted')
  }
  assert.is((await instances.submit(1, rules(1))).outcome, 'accepted')
  assert.is((await instances.submit(2, rules(9))).outcome, 'conflict')
  await instances.close()
})

test('an instance whose disk fails takes no part in consensus until the disk takes writes again', async () => {
  const instances = await createInstances(3)
  let failing = false
  const disk = {
    ...SYSTEM_DISK,
    sync: (descriptor: number) => {
      if (failing) throw new Error('EIO: i/o error, fsync')
      SYSTEM_DISK.sync(descriptor)
    }
  }
  const faulty = await instances.start(0, { disk })
  await instances.start(1)
  await instances.start(2)
  await instances.submit(1, rules(1))
  failing = true
  assert.is((await instances.submit(2, rules(2))).outcome, 'accepted')
  await waitUntil('the instance awaits its disk', () => faulty.log.status().role === 'awaiting disk')
  assert.is(await faulty.log.confirmLeadership(), false)
  assert.equal(await faulty.log.propose({} as ConfigurationCommand), { kind: 'not leader', leader: instances.leader()?.name })
  assert.ok(instances.lines.some(line => line.startsWith('The disk refuses writes')))
  assert.is((await instances.submit(3, rules(3))).outcome, 'accepted')
  assert.is(faulty.log.status().role, 'awaiting disk')
  assert.is(faulty.service.number(), 1)
  failing = false
  await waitUntil('the instance holds 3', () => faulty.service.number() === 3)
  assert.is(faulty.log.status().role, 'follower')
  await instances.close()
})

// Each instance took part no more after its first refused write, while its process ran on.
test('changes stay unanswered after the disks of all instances were full in turn', async () => {
  const instances = await createInstances(3)
  const disks = [0, 1, 2].map(createFillingDisk)
  for (const [index, { disk }] of disks.entries()) await instances.start(index, { disk })
  await instances.submit(1, rules(1))
  try {
    for (const [index, disk] of disks.entries()) {
      disk.setFull(true)
      const answer = instances.submit(index + 2, rules(index + 2))
      await waitUntil('a refused write', () => disk.refusals() > 0)
      disk.setFull(false)
      assert.is((await answer).outcome, 'accepted')
    }
    assert.is((await instances.submit(5, rules(5))).outcome, 'accepted')
    await waitUntil('all hold 5', () => [...instances.running.values()].every(({ service }) => service.number() === 5))
  } finally {
    await instances.close()
  }
})

test('a fourth instance votes once it is added', async () => {
  const instances = await createInstances(4)
  for (const index of [0, 1, 2]) await instances.start(index, { listed: 3 })
  await instances.submit(1, rules(1))
  const added = await instances.start(3)
  await waitUntil('a candidate', () => instances.leader()?.log.status().candidates.some(({ name }) => name === 'control-4') === true)
  assert.is(added.log.status().role, 'learner')
  assert.is(await instances.leader()?.log.changeMember('add', 'control-9'), 'no candidate')
  assert.is(await instances.leader()?.log.changeMember('add', 'control-4'), 'changed')
  await instances.waitUntilRepaired(4)
  await waitUntil('the state arrived', () => added.service.number() === 1)
  const removed = instances.leader()?.name === 'control-2' ? 'control-3' : 'control-2'
  assert.is(await instances.leader()?.log.changeMember('remove', removed), 'changed')
  assert.is((await instances.submit(2, rules(2))).outcome, 'accepted')
  await instances.waitUntilRepaired(3)
  await instances.close()
})

test('the last voter is not removed', async () => {
  const instances = await createInstances(1)
  const first = await instances.start(0)
  await instances.submit(1, rules(1))
  assert.is(await first.log.changeMember('remove', 'control-1'), 'refused')
  await instances.close()
})

test.run()
