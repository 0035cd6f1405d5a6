import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { expectErrorCode, useHarness } from './harness.js'
import type { Harness, HarnessOptions } from './harness.js'

const MOVED_DATABASE = 'databases.main = { group = "other", members = 3 } # asked for by tests'

/** Registers a test that runs with its own harness. */
function testWithHarness (name: string, options: HarnessOptions, body: (harness: Harness) => Promise<void>): void {
  test(name, async () => { await useHarness(options, body) })
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

test.run()
