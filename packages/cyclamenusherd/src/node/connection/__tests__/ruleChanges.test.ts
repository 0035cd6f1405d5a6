import { test } from 'uvu'
import * as assert from 'uvu/assert'
import Cursor from 'pg-cursor'
import { eventually, expectErrorCode, useHarness } from './harness.js'
import type { ClientConfig } from 'pg'
import type { Harness, HarnessOptions } from './harness.js'

const MOVED_DATABASE = 'databases.main = { group = "other", members = 3 } # asked for by tests'

/** Registers a test that runs with its own harness. */
function testWithHarness (name: string, options: HarnessOptions, body: (harness: Harness) => Promise<void>): void {
  test(name, async () => { await useHarness(options, body) })
}

function hasReceived ({ primary }: Harness, text: string): boolean {
  return Buffer.concat(primary.registry.received).includes(text)
}

/** Sends a request that waits for the only connection, changes the rules meanwhile, and frees it. Resolves with the error's SQLSTATE. */
async function changeRulesWhileWaiting (harness: Harness, config: ClientConfig, change: () => void): Promise<string> {
  const [holder, caller] = [await harness.connect(), await harness.connect(config)]
  await holder.query('begin')
  const answer = expectErrorCode(caller.query('select \'waited\''))
  await eventually('the request does not wait', () => harness.busyRequests() === 2)
  change()
  await holder.query('rollback').catch(() => {})
  return await answer
}

/** Records the groups at which requests ask for a connection. */
function recordGroups ({ choose, primary }: Harness): string[] {
  const groups: string[] = []
  choose.member = ({ group }) => {
    groups.push(group)
    return primary
  }
  return groups
}

// Callers that were connected stayed at the group before until they disconnected.
testWithHarness('a connected caller follows its database to another group', {}, async harness => {
  const groups = recordGroups(harness)
  const caller = await harness.connect()
  await caller.query('select 1')
  harness.changeRules([], [MOVED_DATABASE])
  await caller.query('select 1')
  assert.equal(groups, ['main', 'other'])
})

testWithHarness('a request that waits for a connection follows its database to another group', { limit: 1 }, async harness => {
  const groups = recordGroups(harness)
  const [holder, waiting] = [await harness.connect(), await harness.connect()]
  await holder.query('begin')
  const answer = waiting.query('select 1')
  while (groups.length < 2) await new Promise(resolve => setTimeout(resolve, 1))
  harness.changeRules([], [MOVED_DATABASE])
  await Promise.allSettled([holder.query('commit'), answer])
  assert.equal(groups, ['main', 'main', 'other'])
})

testWithHarness('a transaction does not commit at a group that its database has left', {}, async harness => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  harness.changeRules([], [MOVED_DATABASE])
  assert.is(await expectErrorCode(caller.query('commit')), '08006')
  await caller.query('rollback')
  assert.equal((await caller.query('select value from visits where id = \'1\'')).rows, [])
})

testWithHarness('a request whose access was withdrawn while it waited for a connection is not sent', { limit: 1 }, async harness => {
  const code = await changeRulesWhileWaiting(harness, {}, () => { harness.changeRules(['access.alfa-main'], []) })
  assert.equal([code, hasReceived(harness, 'waited')], ['42501', false])
})

testWithHarness('a request of an open route that was closed while it waited for a connection is not sent', { limit: 1 }, async harness => {
  const code = await changeRulesWhileWaiting(harness, { user: 'open', password: undefined }, () => { harness.changeRules(['open.main'], []) })
  assert.equal([code, hasReceived(harness, 'waited')], ['42501', false])
})

testWithHarness('a request for which the rules went stale while it waited for a connection is not sent', { limit: 1 }, async harness => {
  const code = await changeRulesWhileWaiting(harness, {}, harness.makeRulesStale)
  assert.equal([code, hasReceived(harness, 'waited')], ['57P03', false])
})

testWithHarness('a cursor outside a transaction reads no further once its access is withdrawn', {}, async harness => {
  const caller = await harness.connect()
  const cursor = caller.query(new Cursor('select generate_series(1, 25)'))
  assert.is((await cursor.read(1)).length, 1)
  harness.changeRules(['access.alfa-main'], [])
  assert.is(await expectErrorCode(cursor.read(1)), '42501')
})

test.run()
