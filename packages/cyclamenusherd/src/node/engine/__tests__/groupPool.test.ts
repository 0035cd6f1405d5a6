import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_REGIONS } from '@cyclamenusher/decisions'
import { createGroupPool } from '../groupPool.js'
import { createPoolMetrics } from '../poolMetrics.js'
import type { KnownServer } from '@cyclamenusher/decisions'
import type { FleetLink } from '../../process/fleet/fleetLink.js'
import type { ConnectionRequest } from '../groupPool.js'

const QUIET_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const READ: ConnectionRequest = { account: 'clinic', values: new Map(), priority: 0, objective: 2_000, deadline: 3_000, need: { kind: 'position', position: { term: 1, position: 0 }, reachedAt: 0 }, excluded: new Set() }

function createServer (member: string, failureDomain: string): KnownServer {
  return { member, group: 'g', host: '127.0.0.1', port: 1, failureDomain, slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false }
}

// The warm server that is drained could not run the read, which waited until its deadline.
test('a drained warm server hides that all usable servers are cold', async () => {
  let now = 0
  const link = {
    name: 'entry-1',
    failureDomain: 'a',
    servers: () => [createServer('p', 'a'), createServer('r', 'b')],
    drains: () => new Map([['b', { transactionsUntil: 0, statementsUntil: 0 }]]),
    areDrainsKnown: () => true,
    primaryAssignment: () => ({ group: 'g', member: 'p', designation: 1, use: 'open', term: 1 }),
    declaration: () => ({ group: () => ({ connectionsPerServer: 12, warmup: { milliseconds: 10_000, requestsPerSecond: 1 } }), account: () => undefined }),
    holders: () => [],
    entryCount: () => 1,
    isLeased: () => true,
    leasedUntil: () => Infinity,
    resumedAt: () => -Infinity,
    reportNow: () => {},
    warmups: { isCold: (member: string) => member === 'p', tokens: () => 0, timeUntil: () => Infinity }
  } as unknown as FleetLink
  const pool = createGroupPool({ group: 'g', link, regions: NO_REGIONS, onWarmupRefusal: () => {}, codec: () => { throw new Error('no connection is expected') }, clock: { now: () => now }, logger: QUIET_LOGGER, metrics: createPoolMetrics() })
  pool.refresh()
  assert.is(pool.coldServers(), 1)
  // The share of the cold server has not arrived in its time.
  now = 1_000
  const outcome = pool.acquire(READ).then(() => 'acquired', (error: Error) => error.message)
  const waited = new Promise<string>(resolve => { setTimeout(resolve, 50, 'waits') })
  assert.match(await Promise.race([outcome, waited]), /have just started/)
  pool.close()
})

test.run()
