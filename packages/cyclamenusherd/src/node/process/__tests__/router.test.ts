import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLink } from '@cyclamenusher/stand-ins'
import { MONITOR_USER, PASSWORD, SILENT_LOGGER, eventually, expectErrorCode, useHarness } from '../../connection/__tests__/harness.js'
import { createDirectory } from '../directory.js'
import { createMetrics } from '../metrics.js'
import { createRouter } from '../router.js'
import type { Link } from '@cyclamenusher/stand-ins'
import type { Harness, HarnessServer } from '../../connection/__tests__/harness.js'
import type { Config } from '../config.js'

const HOST = '127.0.0.1'
const CLOCK = { now: () => performance.now() }
const CONFIG = {
  instance: { name: 'entry-1', failureDomain: 'a' },
  backend: { user: 'cyclamenusher', monitorUser: MONITOR_USER, password: PASSWORD, connectionsPerServer: 4, connectionsOfInstance: 4, waitMilliseconds: 2_000, acknowledgeMilliseconds: 5_000 },
  failover: { silenceMilliseconds: 500 },
  log: { decisions: false }
} as unknown as Config

interface RoutedHarness extends Harness {
  /** The links between the instance and the two servers. */
  links: { primary: Link, replica: Link }
}

/** Runs `body` with a harness whose instance reaches both servers through links, and chooses between them as the product does. */
async function useRouter (requestMilliseconds: number, body: (harness: RoutedHarness) => Promise<void>): Promise<void> {
  await useHarness({ requestMilliseconds }, async harness => {
    const directory = createDirectory(CLOCK, SILENT_LOGGER)
    const announce = async ({ server, port }: HarnessServer, member: string, role: string): Promise<Link> => {
      const link = await createLink({ listen: { host: HOST, port: 0 }, target: { host: HOST, port } })
      const { adoptedTerm, logTerm, position } = server.status()
      directory.recordAnnouncement({ group: 'main', member, role, term: adoptedTerm, logTerm, position, host: HOST, port: link.port, failureDomain: 'a', leaving: false, sequence: 1 })
      return link
    }
    const links = { primary: await announce(harness.primary, 'main-1', 'primary'), replica: await announce(harness.replica, 'main-2', 'replica') }
    const router = createRouter({ config: CONFIG, store: harness.store, directory, instances: () => [CONFIG.instance], clock: CLOCK, logger: { scope: () => SILENT_LOGGER } as never, metrics: createMetrics() })
    Object.assign(harness.services, { lease: router.lease, confirmPosition: router.confirmPosition, acknowledge: router.acknowledge })
    try {
      router.refresh('main')
      await eventually('a server is not reachable', () => [...router.view('main').members.values()].filter(({ reachable }) => reachable).length === 2)
      await body({ ...harness, links })
    } finally {
      router.close()
      await Promise.all([links.primary.close(), links.replica.close()])
    }
  })
}

function hasReceived ({ registry }: HarnessServer, text: string): boolean {
  return Buffer.concat(registry.received).includes(text)
}

/** Starts a read at the replica whose answer is lost, as all that comes through its open connections from then on. */
async function loseAnswer (harness: RoutedHarness, text: string): Promise<{ answer: Promise<{ rows: unknown[] }> }> {
  const caller = await harness.connect()
  await caller.query('select \'first\'')
  assert.ok(hasReceived(harness.replica, 'first'), 'the replica serves reads')
  harness.links.replica.loseOpenConnections(['back'])
  const answer = caller.query(`select '${text}'`)
  await eventually('the read did not reach the replica', () => hasReceived(harness.replica, text))
  return { answer }
}

// A caller waited for the whole time of its request, although another connection or server could answer.
test('a read on a connection that went silent is sent again over another', async () => {
  await useRouter(10_000, async harness => {
    const { answer } = await loseAnswer(harness, 'over a new connection')
    assert.is((await answer).rows.length, 1)
  })
})

test('a read at a server that went silent is sent to another', async () => {
  await useRouter(10_000, async harness => {
    const { answer } = await loseAnswer(harness, 'at the primary')
    harness.links.replica.setState('lost')
    assert.is((await answer).rows.length, 1)
    assert.ok(hasReceived(harness.primary, 'at the primary'))
  })
})

test('a write on a connection that went silent is not sent again', async () => {
  await useRouter(2_500, async harness => {
    const caller = await harness.connect()
    await caller.query('insert into visits (id, value) values (\'1\', \'a\')')
    const positionBefore = harness.primary.server.status().position
    harness.links.primary.loseOpenConnections(['back'])
    const answer = expectErrorCode(caller.query('insert into visits (id, value) values (\'2\', \'a\')'))
    assert.is(await answer, '08007')
    assert.is(harness.primary.server.status().position, positionBefore + 1)
  })
})

test.run()
