import { connect, createServer } from 'node:net'
import { deflateSync } from 'node:zlib'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { createFleetLink } from '../fleetLink.js'
import { createPeers } from '../../peers.js'
import { createFleetStreams } from '../fleetStreams.js'
import { waitUntil } from './fleetHarness.js'
import type { Declaration, KnownServer, RenewGrant, RenewReply, RenewRequest } from '@cyclamenusher/decisions'

const HOST = '127.0.0.1'
const QUIET_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const CREDENTIALS = { secret: 'a secret of the tests' }

const GRANT: RenewGrant = { kind: 'granted', leaseMilliseconds: 1_500, parts: { clinic: 0.4 }, shared: { term: 1, change: 1, whole: true, groups: [], servers: [], entries: 1, control: [] } }

/** Connects a link to one control instance whose replies come from `reply`. */
async function connectLink (reply: (request: RenewRequest) => RenewReply | Promise<RenewReply>, granted = 0, decodeDeclaration = (): Declaration => { throw new Error('unexpected declaration') }) {
  const requests: RenewRequest[] = []
  const streams = createFleetStreams({
    renew: async request => {
      requests.push(request)
      await new Promise(resolve => setTimeout(resolve, 5))
      return await reply(request)
    },
    borrow: () => ({ granted })
  }, QUIET_LOGGER)
  const calls = await listenForCalls(HOST, 0, CREDENTIALS, () => {}, streams)
  const connections: number[] = []
  const forwarder = createServer(socket => {
    connections.push(requests.length)
    const target = connect(calls.port, HOST)
    for (const end of [socket, target]) end.on('error', () => { end.destroy() })
    socket.pipe(target).pipe(socket)
  })
  await new Promise<void>(resolve => { forwarder.listen(0, HOST, resolve) })
  const address = forwarder.address()
  const port = typeof address === 'object' && address !== null ? address.port : 0
  const peers = createPeers(CREDENTIALS)
  const link = createFleetLink({ name: 'entry-1', failureDomain: 'a', seeds: () => [{ host: HOST, port }], decodeDeclaration, report: () => ({ demand: {}, sightings: {}, busy: [] }), peers, clock: systemClock, logger: QUIET_LOGGER })
  link.start()
  return {
    link,
    requests,
    /** For each connection, the number of renewals that arrived before it was opened. */
    connections,
    stop: async () => {
      link.close()
      peers.close()
      forwarder.close()
      await calls.close()
    }
  }
}

test('shares are reported only in the first renewal with a leader', async () => {
  const { requests, stop } = await connectLink(() => GRANT)
  await waitUntil('three renewals', () => requests.length >= 3)
  await stop()
  assert.equal(requests[0].parts, {})
  assert.is(requests[2].parts, undefined)
})

for (const [description, replyOnLoss] of Object.entries({
  'answers that it does not lead': (): RenewReply => ({ kind: 'not leader' }),
  'does not answer': (): RenewReply => { throw new Error('the control instance is stopped') }
})) {
  test(`shares are reported again after the leader ${description}`, async () => {
    let lost = false
    const { requests, stop } = await connectLink(() => {
      if (lost || requests.length !== 3) return GRANT
      lost = true
      return replyOnLoss()
    })
    await waitUntil('renewals after the loss', () => requests.length >= 5)
    await stop()
    assert.equal(requests[3].parts, { clinic: 0.4 })
  })
}

// A new leader did not know what its predecessor had lent, and its pools started empty.
test('loans are missing in the first renewal with a new leader', async () => {
  let lost = false
  const { link, requests, stop } = await connectLink(() => lost && requests.at(-1)?.loans === undefined ? { kind: 'not leader' } : GRANT, 2)
  await waitUntil('a lease', () => link.isLeased())
  assert.is((await link.borrow('clinic', 3)).granted, 2)
  const before = requests.length
  lost = true
  await waitUntil('a report', () => requests.slice(before).some(({ loans }) => loans !== undefined))
  const report = requests.slice(before).find(({ loans }) => loans !== undefined)?.loans
  await stop()
  assert.equal(report?.loans.map(({ account, operations }) => [account, operations]), [['clinic', 2]])
})

// Instances whose renewals were late opened new connections to the overloaded leader, and did not get through for seconds.
test('a renewal that is late replaces the connection', async () => {
  const { requests, connections, stop } = await connectLink(async () => {
    if (requests.length !== 3) return GRANT
    return await new Promise<RenewReply>(() => {})
  })
  await waitUntil('renewals after the late one', () => requests.length >= 6)
  await stop()
  assert.is(connections.length, 1)
})

// A connection that has gone silent carries no answer ever again.
test('a silent connection is replaced after several late renewals', async () => {
  let silent = false
  const { requests, connections, stop } = await connectLink(async () => {
    silent = silent || requests.length === 3
    return silent && connections.length === 1 ? await new Promise<RenewReply>(() => {}) : GRANT
  })
  await waitUntil('a second connection', () => connections.length === 2)
  const before = requests.length
  await waitUntil('a renewal on it', () => requests.length > before)
  await stop()
})

// Each half second an operation waited until its lender had not answered once more.
test('an operation waits for a lender that has not answered before', async () => {
  const silent = createServer(socket => { socket.on('error', () => {}) })
  await new Promise<void>(resolve => { silent.listen(0, HOST, resolve) })
  const address = silent.address()
  const lender = { name: 'entry-2', host: HOST, port: typeof address === 'object' && address !== null ? address.port : 0 }
  const { link, stop } = await connectLink(() => ({ ...GRANT, shared: { ...GRANT.shared, lenders: { clinic: [lender] } } }), 2)
  try {
    await waitUntil('a lender', () => link.hasLender('clinic'))
    assert.is((await link.borrow('clinic', 2)).granted, 2)
    await new Promise(resolve => setTimeout(resolve, 600))
    const waited = new Promise<'waited'>(resolve => setTimeout(resolve, 190, 'waited'))
    assert.equal(await Promise.race([waited, link.borrow('clinic', 2)]), { granted: 2 })
  } finally {
    await stop()
    silent.close()
  }
})

// An instance that can't read one entry of the list would lose its lease at each renewal.
test('an odd entry among the servers of a grant ends the lease', async () => {
  const server: KnownServer = { member: 'i-1', group: 'g', host: HOST, port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false }
  const servers = [null, { ...server, member: 'i-2', port: 70_000 }, server] as KnownServer[]
  const { link, requests, stop } = await connectLink(() => ({ ...GRANT, shared: { ...GRANT.shared, servers } }))
  try {
    await waitUntil('three renewals', () => requests.length >= 3)
    assert.ok(link.isLeased())
    assert.equal(link.servers('g').map(({ member }) => member), ['i-1'])
  } finally {
    await stop()
  }
})

// The leader that had applied the withdrawal was lost, and its successor knew of no cold servers.
test('a server counts as warm after its drain was withdrawn by a leader that is lost', async () => {
  const server: KnownServer = { member: 'cold', group: 'g', host: HOST, port: 1, failureDomain: 'b', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false }
  const servers = [server, { ...server, member: 'elsewhere', failureDomain: 'a' }, { ...server, member: 'unlimited', group: 'h' }]
  const group = { name: 'g', connectionsPerServer: 10, synchronousReplicas: 0 }
  const declared: Declaration = { version: 1, routes: [], groups: [{ ...group, warmup: { milliseconds: 30_000, requestsPerSecond: 5 } }, { ...group, name: 'h' }], accounts: [], idleTransactionMilliseconds: 1_000 }
  const declaration = { version: 1, deflated: deflateSync('{}').toString('base64') }
  let isWithdrawn = false
  const { link, requests, stop } = await connectLink(() => ({ ...GRANT, shared: { ...GRANT.shared, term: isWithdrawn ? 2 : 1, servers, declaration, ...(isWithdrawn ? {} : { drains: ['b'] }) } }), 0, () => declared)
  try {
    await waitUntil('the drain', () => link.drains().has('b'))
    assert.not.ok(link.warmups.isCold('cold'))
    isWithdrawn = true
    await waitUntil('the withdrawal', () => link.drains().size === 0)
    assert.equal(['cold', 'elsewhere', 'unlimited'].map(member => link.warmups.isCold(member)), [true, false, false])
    const before = requests.length
    await waitUntil('a renewal after it', () => requests.length > before)
    assert.equal(Object.keys(requests.at(-1)?.doubted ?? {}), ['cold'])
  } finally {
    await stop()
  }
})

test.run()
