import { test } from 'uvu'
import * as assert from 'uvu/assert'
import Cursor from 'pg-cursor'
import { expectErrorCode, startHarness } from './harness.js'
import type { Harness } from './harness.js'

let harness: Harness

test.before(async () => { harness = await startHarness({ limit: 2 }) })
test.after(async () => { await harness.close() })

test('a named statement works on every connection', async () => {
  const callers = await Promise.all([harness.connect(), harness.connect(), harness.connect()])
  await callers[0].query('insert into named (id, value) values ($1, $2)', ['1', 'one'])
  const read = { name: 'read', text: 'select value from named where id = $1', values: ['1'] }
  for (let round = 0; round < 5; round += 1) {
    const answers = await Promise.all(callers.map(async caller => await caller.query(read)))
    for (const { rows } of answers) assert.equal(rows, [{ value: 'one' }])
  }
})

test('two callers can use one name for different statements', async () => {
  const [left, right] = [await harness.connect(), await harness.connect()]
  for (let round = 0; round < 3; round += 1) {
    assert.equal((await left.query({ name: 'same', text: 'select 1 as a' })).rows, [{ value: '1' }])
    assert.equal((await right.query({ name: 'same', text: 'select \'two\' as b' })).rows, [{ value: 'two' }])
  }
})

test('a duplicate statement name is refused and can be reused after Close', async () => {
  const caller = await harness.connect()
  const { connection } = caller as unknown as { connection: Record<string, (...parameters: unknown[]) => void> }
  await caller.query({ name: 'twice', text: 'select 1' })
  const parse = async (text: string): Promise<unknown> => await new Promise<void>((resolve, reject) => {
    caller.query(new Parse(connection, text, error => error === undefined ? resolve() : reject(error)) as never)
  })
  assert.is(await expectErrorCode(parse('select 2')), '42P05')
  connection.close({ type: 'S', name: 'twice' })
  await parse('select 2')
})

test('DEALLOCATE ALL and DISCARD ALL remove prepared statements', async () => {
  for (const [text, tag] of [['deallocate all', 'DEALLOCATE'], ['discard all', 'DISCARD']]) {
    const caller = await harness.connect()
    await caller.query({ name: 'gone', text: 'select 1' })
    assert.is((await caller.query(text)).command, tag)
    assert.is(await expectErrorCode(caller.query({ name: 'gone', text: 'select 1' })), '26000')
  }
})

test('a statement that can\'t be parsed is not prepared', async () => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query({ name: 'bad', text: 'selec nothing' })), '42601')
  assert.equal((await caller.query('select 1')).rows.length, 1)
})

test('batches after a failed one still run', async () => {
  const caller = await harness.connect()
  const results = await Promise.allSettled([
    caller.query('select $1::text', ['a']), caller.query('nonsense', []), caller.query({ name: 'n', text: 'select 7' }), caller.query('select 8')
  ])
  assert.equal(results.map(({ status }) => status), ['fulfilled', 'rejected', 'fulfilled', 'fulfilled'])
})

test('a cursor reads its rows in batches', async () => {
  const caller = await harness.connect()
  const cursor = caller.query(new Cursor('select generate_series(1, 25)'))
  let count = 0
  for (let rows = await cursor.read(10); rows.length > 0; rows = await cursor.read(10)) count += rows.length
  assert.is(count, 25)
  await cursor.close()
  assert.equal((await caller.query('select 1')).rows.length, 1)
  assert.is(harness.busyRequests(), 0)
})

test('a cursor that is closed early releases its connection', async () => {
  const caller = await harness.connect()
  await caller.query('begin')
  const cursor = caller.query(new Cursor('select generate_series(1, 25)'))
  assert.is((await cursor.read(10)).length, 10)
  await cursor.close()
  await caller.query('commit')
  assert.is(harness.busyRequests(), 0)
})

test('the session is usable after a cursor fails', async () => {
  const caller = await harness.connect()
  assert.is(await expectErrorCode(caller.query(new Cursor('selec nothing')).read(1)), '42601')
  assert.equal((await caller.query('select 1')).rows.length, 1)
})

/** Sends a Parse message with the statement name "twice". */
class Parse {
  constructor (readonly connection: Record<string, (...parameters: unknown[]) => void>, readonly text: string, readonly done: (error?: Error) => void) {}
  submit (): void {
    this.connection.parse({ name: 'twice', text: this.text, types: [] })
    this.connection.sync()
  }

  handleError (error: Error): void { this.done(error) }
  handleReadyForQuery (): void { this.done() }
  handleCloseComplete (): void {}
}

test.run()
