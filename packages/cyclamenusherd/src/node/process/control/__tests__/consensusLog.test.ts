import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SYSTEM_DISK } from '../logStorage.js'
import { createInstances, rules, until } from './controlInstances.js'
import type { Instance } from './controlInstances.js'

async function startThree (): Promise<Awaited<ReturnType<typeof createInstances>>> {
  const instances = await createInstances(3)
  for (const place of [0, 1, 2]) await instances.start(place)
  return instances
}

test('a resent change gets its first answer', async () => {
  const instances = await startThree()
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

test('of three operators one wins', async () => {
  const instances = await startThree()
  await instances.submit(1, rules(1))
  const answers = await Promise.all(['ana', 'luis', 'rosa'].map(async (operator, place) => await instances.submit(2, rules(20 + place), operator)))
  const winners = answers.filter(({ outcome }) => outcome === 'accepted')
  assert.is(winners.length, 1)
  const losers = answers.filter(({ outcome }) => outcome === 'conflict')
  assert.is(losers.length, 2)
  assert.is(new Set(losers.map(({ winnerOperator }) => winnerOperator)).size, 1)
  await instances.close()
})

test('500 changes survive a restart of all', async () => {
  const instances = await startThree()
  for (let number = 1; number <= 500; number += 1) await instances.submit(number, rules(number))
  for (const instance of [...instances.running.values()]) await instances.stop(instance)
  const again = await Promise.all([0, 1, 2].map(async place => await instances.start(place)))
  assert.is((await instances.submit(500, rules(500))).outcome, 'accepted')
  assert.is((await instances.submit(3, rules(4))).outcome, 'conflict')
  assert.is((await instances.submit(501, rules(501))).outcome, 'accepted')
  await until('all hold 501', () => again.every(({ service }) => service.number() === 501))
  await instances.close()
})

test('a second disk lost after a repair loses nothing', async () => {
  const instances = await startThree()
  await instances.submit(1, rules(1))
  for (const [round, name] of ['control-2', 'control-1'].entries()) {
    const lost = instances.running.get(name) as Instance
    const before = lost.log.status().members.find(member => member.name === name)?.identity
    await instances.stop(lost)
    instances.loseDisk(lost)
    await instances.start(Number(name.at(-1)) - 1)
    await instances.untilRepaired(3, before)
    assert.is((await instances.submit(round + 2, rules(round + 2))).outcome, 'accepted')
  }
  assert.is((await instances.submit(1, rules(1))).outcome, 'accepted')
  assert.is((await instances.submit(2, rules(9))).outcome, 'conflict')
  await instances.close()
})

test('a failing disk ends the part of its instance', async () => {
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
  await until('the instance failed', () => faulty.log.status().role === 'failed')
  assert.is(await faulty.log.confirmCurrent(), false)
  assert.ok(instances.lines.includes('This instance takes no part in agreement any more.'))
  await instances.close()
})

test('a fourth instance votes once it is added', async () => {
  const instances = await createInstances(4)
  for (const place of [0, 1, 2]) await instances.start(place, { listed: 3 })
  await instances.submit(1, rules(1))
  const added = await instances.start(3)
  await until('a candidate', () => instances.leader()?.log.status().candidates.some(({ name }) => name === 'control-4') === true)
  assert.is(added.log.status().role, 'learner')
  assert.is(await instances.leader()?.log.changeMember('add', 'control-9'), 'no candidate')
  assert.is(await instances.leader()?.log.changeMember('add', 'control-4'), 'changed')
  await instances.untilRepaired(4)
  await until('the state arrived', () => added.service.number() === 1)
  const gone = instances.leader()?.name === 'control-2' ? 'control-3' : 'control-2'
  assert.is(await instances.leader()?.log.changeMember('remove', gone), 'changed')
  assert.is((await instances.submit(2, rules(2))).outcome, 'accepted')
  await instances.untilRepaired(3)
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
