import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_SETTINGS } from '@cyclamenusher/decisions'
import { BACKEND, buildReadyForQuery } from '@cyclamenusher/protocol'
import { PoolConnectError, PoolWaitError, createPool } from '../pool.js'
import type { BackendConnection, FrameReceiver } from '../../connection/backendConnection.js'
import type { Pool, PoolOptions } from '../pool.js'

/** A fake server, which accepts at most `capacity` connections, and the pool that connects to it. */
interface FakeServer {
  now: number
  capacity: number
  refusal: Error | undefined
  /** Whether connections no longer answer. */
  unresponsive: boolean
  open: Set<BackendConnection>
  opened: number
  maximumOpen: number
  pool: Pool
}

function createTooManyConnectionsError (): Error {
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
  const responder = fake
  const connection: BackendConnection = {
    member: 'one',
    serverIdentity: '',
    prepared: new Set(),
    settings: NO_SETTINGS,
    mayHaveChangedSession: false,
    usedAt: 0,
    send: () => {
      if (!responder.unresponsive) queueMicrotask(() => { receiver?.onFrame({ type: BACKEND.readyForQuery, bytes: buildReadyForQuery('idle') }) })
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
  fake.maximumOpen = Math.max(fake.maximumOpen, fake.open.size)
  return connection
}

function createFakeServer (capacity: number, options: Partial<PoolOptions> = {}): FakeServer {
  const fake: FakeServer = { now: 0, capacity, refusal: undefined, unresponsive: false, open: new Set(), opened: 0, maximumOpen: 0, pool: undefined as unknown as Pool }
  fake.pool = createPool({
    target: { member: 'one', host: '', port: 0, user: '', password: '', database: '' },
    limit: () => 5,
    clock: { now: () => fake.now },
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} },
    onSizeChange: () => {},
    open: async (_target, onClosed) => {
      await Promise.resolve()
      if (fake.refusal !== undefined) throw fake.refusal
      if (fake.open.size >= fake.capacity) throw createTooManyConnectionsError()
      fake.opened += 1
      return createConnection(fake, onClosed)
    },
    ...options
  })
  return fake
}

async function expectRejection (work: Promise<unknown>): Promise<Error> {
  return await work.then(() => { throw new Error('it was not refused') }, (error: Error) => error)
}

test('a wait for a connection times out, and leaks no connection', async () => {
  const { pool, open } = createFakeServer(5, { limit: () => 1 })
  const held = await pool.acquire('a', 1_000)
  assert.instance(await expectRejection(pool.acquire('a', 10)), PoolWaitError)
  assert.is(pool.busy(), 1)
  pool.release(held, true)
  pool.release(held, true)
  assert.is(pool.busy(), 0)
  assert.is(open.size, 1)
  await pool.acquire('a', 10)
  assert.instance(await expectRejection(pool.acquire('b', 10)), PoolWaitError, 'one connection never serves two requests')
  pool.close()
})

test('a surge of one account does not starve another', async () => {
  const { pool } = createFakeServer(5, { limit: () => 1 })
  let held = await pool.acquire('surge', 1_000)
  const servedAccounts: string[] = []
  const wait = async (account: string): Promise<void> => {
    const connection = await pool.acquire(account, 1_000)
    servedAccounts.push(account)
    held = connection
  }
  const all = [...Array.from({ length: 10 }, async () => await wait('surge')), wait('small')]
  for (let count = 0; count < 11; count += 1) {
    pool.release(held, true)
    await new Promise(resolve => setImmediate(resolve))
  }
  await Promise.all(all)
  assert.ok(servedAccounts.indexOf('small') <= 2, servedAccounts.join())
  pool.close()
})

test('waiters of a full server get existing connections', async () => {
  const fake = createFakeServer(2)
  const first = await Promise.all([fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)])
  const waiting = [fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)]
  await new Promise(resolve => setImmediate(resolve))
  for (const connection of first) fake.pool.release(connection, true)
  for (const connection of await Promise.all(waiting)) fake.pool.release(connection, true)
  assert.is(fake.maximumOpen, 2)
  assert.is(fake.pool.busy(), 0)
  fake.pool.close()
})

test('a request waits for a server that is full from the start', async () => {
  const fake = createFakeServer(0)
  const waiting = fake.pool.acquire('a', 2_000)
  await new Promise(resolve => setImmediate(resolve))
  fake.capacity = 1
  fake.now += 10_000
  fake.pool.release(await waiting, true)
  fake.pool.close()
})

test('requests fail at once if the server refuses connections', async () => {
  const fake = createFakeServer(5)
  fake.refusal = new Error('connect ECONNREFUSED')
  assert.instance(await expectRejection(fake.pool.acquire('a', 10_000)), PoolConnectError)
  fake.refusal = undefined
  fake.pool.release(await fake.pool.acquire('a', 1_000), true)
  fake.pool.close()
})

test('a timeout without any connection is a PoolConnectError', async () => {
  const { pool } = createFakeServer(5, { open: async () => await new Promise(() => {}) })
  assert.instance(await expectRejection(pool.acquire('a', 10)), PoolConnectError)
  pool.close()
})

test('waiters get a new connection when the only one is lost', async () => {
  const fake = createFakeServer(1, { limit: () => 1 })
  const held = await fake.pool.acquire('a', 1_000)
  const waiting = fake.pool.acquire('a', 200)
  held.destroy()
  fake.pool.release(held, true)
  fake.pool.release(await waiting, true)
  assert.is(fake.opened, 2)
  fake.pool.close()
})

test('idle connections that no longer answer are replaced', async () => {
  const fake = createFakeServer(5)
  const [one, two] = await Promise.all([fake.pool.acquire('a', 1_000), fake.pool.acquire('a', 1_000)])
  fake.pool.release(one, true)
  fake.pool.release(two, true)
  fake.now += 60_000
  fake.unresponsive = true
  const got = await fake.pool.acquire('a', 1_000)
  assert.not([one, two].includes(got))
  assert.not(one.isOpen() || two.isOpen())
  fake.pool.close()
})

test('an unclean or cancelled connection is closed', async () => {
  const fake = createFakeServer(5)
  const unclean = await fake.pool.acquire('a', 1_000)
  fake.pool.release(unclean, false)
  const cancelled = await fake.pool.acquire('a', 1_000)
  cancelled.cancel()
  fake.pool.release(cancelled, true)
  assert.not(unclean.isOpen() || cancelled.isOpen())
  fake.pool.close()
})

test('no connection stays counted as in use after random operations', async () => {
  let seed = 11
  const random = (below: number): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648
    return Math.floor(seed / 65_536) % below
  }
  const fake = createFakeServer(3)
  const held: BackendConnection[] = []
  const pending: Array<Promise<unknown>> = []
  const actions = [
    () => { pending.push(fake.pool.acquire(`account-${random(3)}`, 50).then(connection => { held.push(connection) }, () => {})) },
    () => { const connection = held.shift(); if (connection !== undefined) fake.pool.release(connection, random(4) > 0) },
    () => { held.at(random(3))?.destroy() },
    () => { fake.capacity = random(5) },
    () => { fake.now += random(3_000) }
  ]
  for (let step = 0; step < 500; step += 1) {
    actions[random(actions.length)]()
    await new Promise(resolve => setImmediate(resolve))
    assert.ok(fake.maximumOpen <= 5)
  }
  await Promise.all(pending)
  for (const connection of held) fake.pool.release(connection, true)
  assert.is(fake.pool.busy(), 0)
  fake.pool.close()
})

test.run()
