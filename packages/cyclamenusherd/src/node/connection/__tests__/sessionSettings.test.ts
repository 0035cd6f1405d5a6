import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { expectErrorCode, startHarness } from './harness.js'
import type pg from 'pg'
import type { Harness } from './harness.js'

let harness: Harness

// With a limit of one connection, all sessions share it.
test.before(async () => { harness = await startHarness({ limit: 1 }) })
test.after(async () => { await harness.close() })

async function showSetting (caller: pg.Client, name: string): Promise<string> {
  const { rows } = await caller.query(`show ${name}`)
  return Object.values(rows[0] as Record<string, string>)[0]
}

test('a setting applies only to its session', async () => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  await left.query('set timezone to \'Asia/Kathmandu\'')
  assert.is(await showSetting(right, 'timezone'), '')
  await right.query('set timezone to \'UTC\'')
  assert.is(await showSetting(left, 'timezone'), 'Asia/Kathmandu')
  await left.query('reset timezone')
  assert.is(await showSetting(left, 'timezone'), '')
  assert.is(await showSetting(right, 'timezone'), 'UTC')
})

test('start-up parameters set the session\'s settings', async () => {
  const left = await harness.connect({ application_name: 'counter', options: '-c statement_timeout=1234' })
  const right = await harness.connect()
  assert.is(await showSetting(left, 'application_name'), 'counter')
  assert.is(await showSetting(right, 'application_name'), '')
  assert.is(await showSetting(left, 'statement_timeout'), '1234')
  await left.query('set application_name to \'other\'')
  await left.query('reset all')
  assert.is(await showSetting(left, 'application_name'), 'counter')
})

test('SET with the extended protocol applies to the session', async () => {
  const caller = await harness.connect()
  await caller.query({ text: 'set lock_timeout to 77', values: [], queryMode: 'extended' } as pg.QueryConfig)
  await (await harness.connect()).query('select 1')
  assert.is(await showSetting(caller, 'lock_timeout'), '77')
})

test('unsupported start-up parameters are refused', async () => {
  assert.is(await expectErrorCode(harness.connect({ options: '-c role=admin' })), '0A000')
  assert.is(await expectErrorCode(harness.connect({ replication: 'true' } as pg.ClientConfig)), '0A000')
})

test('a session token can be read and set', async () => {
  const caller = await harness.connect()
  await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
  const token = await showSetting(caller, 'cyclamenusher.session')
  assert.match(token, /^\w+\.[\w-]+$/)
  for (const other of [await harness.connect({ options: `-c cyclamenusher.session=${token}` }), await harness.connect()]) {
    await other.query(`set cyclamenusher.session = '${token}'`)
    assert.is(await showSetting(other, 'cyclamenusher.session'), token)
  }
  const extended = await caller.query({ text: 'show cyclamenusher.session', queryMode: 'extended' } as pg.QueryConfig)
  assert.equal(extended.rows, [{ 'cyclamenusher.session': token }])
})

test('an invalid session token is refused', async () => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query('set cyclamenusher.session = \'W10.abc\'')), '22023')
  assert.is(await expectErrorCode(harness.connect({ options: '-c cyclamenusher.session=W10.abc' })), '22023')
})

const UNSUPPORTED_STATEMENTS = [
  'set role other', 'listen news', 'create temp table t (a int)', 'select pg_advisory_lock(1)', 'declare c cursor with hold for select 1',
  'select set_config(\'timezone\', \'UTC\', false)', 'prepare p as select 1', 'copy visits from stdin', 'copy visits to stdout'
]
for (const text of UNSUPPORTED_STATEMENTS) {
  test(`refused without running: ${text}`, async () => {
    const caller = await harness.connect()
    const before = harness.primary.registry.statements
    for (const queryMode of ['simple', 'extended']) assert.is(await expectErrorCode(caller.query({ text, queryMode } as pg.QueryConfig)), '0A000')
    assert.is(harness.primary.registry.statements, before)
    assert.equal((await caller.query('select 1')).rows.length, 1)
  })
}

test('SET in a transaction fails the transaction', async () => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('insert into visits (id, value) values (\'tx\', \'a\')')
  assert.is(await expectErrorCode(caller.query('set timezone to \'UTC\'')), '0A000')
  assert.is(harness.busyRequests(), 0, 'the connection is released')
  assert.is(await expectErrorCode(caller.query('select 1')), '25P02')
  assert.is((await caller.query('commit')).command, 'ROLLBACK')
  assert.equal((await caller.query('select value from visits where id = \'tx\'')).rows, [])
})

test('SET LOCAL runs in a transaction', async () => {
  const caller = await harness.connect()
  await caller.query('begin')
  await caller.query('set local timezone to \'UTC\'')
  await caller.query('commit')
})

test('the connection is reset after an unknown function ran', async () => {
  const caller = await harness.connect()
  const before = harness.primary.registry.received.length
  await expectErrorCode(caller.query('select my_function()'))
  await caller.query('select 1')
  const received = Buffer.concat(harness.primary.registry.received.slice(before)).toString()
  assert.ok(received.indexOf('DISCARD ALL') > received.indexOf('my_function'))
})

test('a caller\'s key is never sent to a backend server', async () => {
  const { received } = harness.primary.registry
  assert.not(Buffer.concat(received).includes('the key of a test'))
})

test.run()
