import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleetHarness, waitUntil } from './fleetHarness.js'
import type { DrainOrder } from '../fleetControl.js'
import type { FleetHarness } from './fleetHarness.js'

let fleet: FleetHarness

test.before.each(async () => { fleet = await createFleetHarness() })
test.after.each(async () => { await fleet.stop() })

async function order (failureDomain: string, drained: boolean): Promise<void> {
  const request: DrainOrder = { failureDomain, drained }
  await waitUntil('an acknowledgement', async () => await (await fleet.leader()).control.drain(request) === 'held')
}

// An acknowledgement that was lost has the operator resend the order, to another instance.
test('an order that is resent elsewhere changes what is in force', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const link = fleet.joinEntry('entry-1')
  await waitUntil('a lease', () => link.isLeased())
  await order('a', true)
  for (const { control } of fleet.running.values()) {
    await waitUntil('an acknowledgement', async () => await control.drain({ failureDomain: 'a', drained: true }) === 'held')
  }
  await waitUntil('the drain', () => link.drains().has('a'))
  const first = link.drains()
  await order('a', true)
  assert.is(link.drains(), first)
  await order('a', false)
  await waitUntil('the withdrawal', () => link.drains().size === 0)
  assert.ok(fleet.lines.includes('The drain of a failure domain takes effect here.'))
  assert.is(fleet.lines.filter(line => line === 'An order to drain a failure domain was accepted.').length, 3, 'one for each control instance')
})

// Its transactions went on at servers that were drained meanwhile.
test('an instance that is cut off from control sends statements after the bound', async () => {
  await fleet.declare(1)
  let ahead = 0
  const link = fleet.joinEntry('entry-1', undefined, { now: () => performance.now() + ahead })
  await waitUntil('a lease', () => link.isLeased())
  assert.ok(link.areDrainsKnown())
  await Promise.all([...fleet.running.values()].map(async instance => { await instance.stop() }))
  ahead = 4_800
  assert.not.ok(link.areDrainsKnown())
})

test('a leader that is lost after the acknowledgement takes the order with it', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  await order('a', true)
  await (await fleet.leader()).stop()
  const link = fleet.joinEntry('entry-1')
  await waitUntil('a lease', () => link.isLeased())
  assert.ok(link.drains().has('a'))
  assert.ok((link.drains().get('a')?.statementsUntil ?? 0) < performance.now(), 'an instance that has just started does not know how old the order is')
})

test('an unknown failure domain is drained, and an order is confirmed without a majority', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const survivor = await fleet.leader()
  assert.is(await survivor.control.drain({ failureDomain: 'nowhere', drained: true }), 'no such failure domain')
  assert.is(fleet.lines.filter(line => line.startsWith('An order to drain')).length, 0)
  await Promise.all([...fleet.running.values()].filter(instance => instance !== survivor).map(async instance => { await instance.stop() }))
  assert.is(await survivor.control.drain({ failureDomain: 'a', drained: true }), 'unknown')
})

test('a group that has no server outside is not reported, or its primary is open after the bound', async () => {
  await fleet.declare(1)
  await fleet.announceGroup()
  const link = fleet.joinEntry('entry-1')
  await waitUntil('an open primary', () => link.primaryAssignment('g')?.use === 'open')
  await order('a', true)
  await waitUntil('a closed primary', () => link.primaryAssignment('g')?.use === 'closed')
  assert.ok(fleet.lines.includes('A group has no server outside the drained failure domains.'))
  await order('a', false)
  await waitUntil('an open primary', () => link.primaryAssignment('g')?.use === 'open')
  assert.equal(fleet.promotions, [])
})

test.run()
