import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_SETTINGS } from '@cyclamenusher/decisions'
import { BACKEND, buildReadyForQuery } from '@cyclamenusher/protocol'
import { PoolConnectError, PoolWaitError, createPool } from '../pool.js'
import type { BackendConnection, FrameReceiver } from '../../connection/backendConnection.js'
import type { Pool, PoolOptions } from '../pool.js'

/** A server that opens fake connections, as many as it has room for. */
interface FakeServer {
  now: number
  room: number
  refusal: Error | undefined
  /** Connections answer nothing any more. */
  silent: boolean
  open: Set<BackendConnection>
  opened: number
  most: number
  pool: Pool
}

function tooMany (): Error {
  return Object.assign(new Error('sorry, too many clients already'), { code: '53300' })
}

function createConnection (fake: FakeServer, onClosed: () => void): BackendConnection {
  let receiver: FrameReceiver | undefined
  let open = true
  let cancelled = false
  const end = (): void => {
    if (!open) return
    open = false
    fake.open.delete(connection)
    queueMicrotask(() => {
      receiver?.onClosed()
      onClosed()
    })
  }
  const silentFrom = fake
  const connection: BackendConnection = {
    member: 'one',
    serverIdentity: '',
    prepared: new Set(),
    settings: NO_SETTINGS,
    mayHaveChangedSession: false,
    usedAt: 0,
    send: () => {
      if (!silentFrom.silent) queueMicrotask(() => { receiver?.onFrame({ type: BACKEND.readyForQuery, bytes: buildReadyForQuery('idle') }) })
      return true
    },
    onDrain: () => {},
    setReceiver: next => { receiver = next },
    pauseReading: () => {},
    resumeReading: () => {},
    cancel: () => { cancelled = true },
    isReusable: () => open && !cancelled,
    isOpen: () => open,
    close: end,
    destroy: end
  }
  fake.open.add(connection)
  fake.most = Math.max(fake.most, fake.open.size)
  return connection
}

function createFake (room: number, options: Partial<PoolOptions> = {}): FakeServer {
  const fake: FakeServer = { now: 0, room, refusal: undefined, silent: false, open: new Set(), opened: 0, most: 0, pool: undefined as unknown as Pool }
  fake.pool = createPool({
    target: { member: 'one', host: '', port: 0, user: '', password: '', database: '' },
    limit: () => 5,
    clock: { now: () => fake.now },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} },
    onSize: () => {},
    open: async (_target, onClosed) => {
      await Promise.resolve()
      if (fake.refusal !== undefined) throw fake.refusal
      if (fake.open.size >= fake.room) throw tooMany()
      fake.opened += 1
      return createConnection(fake, onClosed)
    },
    ...options
  })
  return fake
}

async function rejection (work: Promise<unknown>): Promise<Error> {
  return await work.then(() => { throw new Error('it was not refused') }, (error: Error) => error)
}

test('a wait is bounded, and leaks nothing', async () => {
  const { pool, open } = createFake(5, { limit: () => 1 })
  const held = await pool.acquire('a', 1_000)
  assert.instance(await rejection(pool.acquire('a', 10)), PoolWaitError)
  assert.is(pool.busy(), 1)
  pool.release(held, true)
  pool.release(held, true)
  assert.is(pool.busy(), 0)
  assert.is(open.size, 1)
  await pool.acquire('a', 10)
  assert.instance(await rejection(pool.acquire('b', 10)), PoolWaitError, 'one connection is never lent twice')
  pool.close()
})

test('accounts take turns under one\'s surge', async () => {
  const { pool } = createFake(5, { limit: () => 1 })
  let held = await pool.acquire('surge', 1_000)
  const order: string[] = []
  const wait = async (account: string): Promise<void> => {
    const connection = await pool.acquire(account, 1_000)
    order.push(account)
    held = connection
  }
  const all = [...Array.from({ length: 10 }, async () => await wait('surge')), wait('small')]
  for (let count = 0; count < 11; count += 1) {
    pool.release(held, true)
    await new Promise(resolve => setImmediate(resolve))
  }
  await Promise.all(all)
  assert.ok(order.indexOf('small') <= 2, order.join())
  pool.close()
})

test('a full server shrinks the pool, and fails no waiter', async () => {
  const fake = createFake(2)
  const first = await Promise.all([fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)])
  const waiting = [fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)]
  await new Promise(resolve => setImmediate(resolve))
  for (const connection of first) fake.pool.release(connection, true)
  for (const connection of await Promise.all(waiting)) fake.pool.release(connection, true)
  assert.is(fake.most, 2)
  assert.is(fake.pool.busy(), 0)
  fake.pool.close()
})

test('a server full from the start is waited for', async () => {
  const fake = createFake(0)
  const waiting = fake.pool.acquire('a', 2_000)
  await new Promise(resolve => setImmediate(resolve))
  fake.room = 1
  fake.now += 10_000
  fake.pool.release(await waiting, true)
  fake.pool.close()
})

test('a server that is gone refuses at once', async () => {
  const fake = createFake(5)
  fake.refusal = new Error('connect ECONNREFUSED')
  assert.instance(await rejection(fake.pool.acquire('a', 10_000)), PoolConnectError)
  fake.refusal = undefined
  fake.pool.release(await fake.pool.acquire('a', 1_000), true)
  fake.pool.close()
})

test('a server that can\'t be reached in time is no full one', async () => {
  const { pool } = createFake(5, { open: async () => await new Promise(() => {}) })
  assert.instance(await rejection(pool.acquire('a', 10)), PoolConnectError)
  pool.close()
})

test('waiters get new connections when all are gone', async () => {
  const fake = createFake(1, { limit: () => 1 })
  const held = await fake.pool.acquire('a', 1_000)
  const waiting = fake.pool.acquire('a', 200)
  held.destroy()
  fake.pool.release(held, true)
  fake.pool.release(await waiting, true)
  assert.is(fake.opened, 2)
  fake.pool.close()
})

test('a quiet connection that went silent is replaced', async () => {
  const fake = createFake(5)
  const [one, two] = await Promise.all([fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)])
  fake.pool.release(one, true)
  fake.pool.release(two, true)
  fake.now += 60_000
  fake.silent = true
  const got = await fake.pool.acquire('a', 1_000)
  assert.not([one, two].includes(got))
  assert.not(one.isOpen() || two.isOpen())
  fake.pool.close()
})

test('an unclean or cancelled connection is not lent again', async () => {
  const fake = createFake(5)
  const unclean = await fake.pool.acquire('a', 1_000)
  fake.pool.release(unclean, false)
  const cancelled = await fake.pool.acquire('a', 1_000)
  cancelled.cancel()
  fake.pool.release(cancelled, true)
  assert.not(unclean.isOpen() || cancelled.isOpen())
  fake.pool.close()
})

test('loans are counted right whatever happens', async () => {
  let seed = 11
  const random = (below: number): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648
    return Math.floor(seed / 65_536) % below
  }
  const fake = createFake(3)
  const held: BackendConnection[] = []
  const pending: Array<Promise<unknown>> = []
  const acts = [
    () => { pending.push(fake.pool.acquire(`account-${random(3)}`, 50).then(connection => { held.push(connection) }, () => {})) },
    () => { const connection = held.shift(); if (connection !== undefined) fake.pool.release(connection, random(4) > 0) },
    () => { held.at(random(3))?.destroy() },
    () => { fake.room = random(5) },
    () => { fake.now += random(3_000) }
  ]
  for (let step = 0; step < 500; step += 1) {
    acts[random(acts.length)]()
    await new Promise(resolve => setImmediate(resolve))
    assert.ok(fake.most <= 5)
  }
  await Promise.all(pending)
  for (const connection of held) fake.pool.release(connection, true)
  assert.is(fake.pool.busy(), 0)
  fake.pool.close()
})

test.run()
