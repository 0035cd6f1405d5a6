import { deflateSync } from 'node:zlib'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listenForCalls } from '@cyclamenusher/protocol'
import { createFleetLink } from '../fleetLink.js'
import { createPeers } from '../../peers.js'
import { createFleetStreams } from '../fleetStreams.js'
import { createDocument, waitUntil } from './fleetHarness.js'
import type { Declaration, RenewGrant, RenewRequest, SharedGrant } from '@cyclamenusher/decisions'

const HOST = '127.0.0.1'
const QUIET_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const CREDENTIALS = { secret: 'a secret of the tests' }

const SHARED: SharedGrant = { term: 1, change: 1, whole: true, groups: [], servers: [], entries: 1, control: [] }
const FIRST = { version: 1, deflated: deflateSync(createDocument(1).text).toString('base64') }

/** A link to one control instance that grants what `shared` returns; its clock is ahead by what `advance` was called with. */
async function startLink (shared: () => Partial<SharedGrant> | Promise<Partial<SharedGrant>>) {
  let ahead = 0
  let granted = 0
  const requests: RenewRequest[] = []
  const streams = createFleetStreams({
    renew: async (request): Promise<RenewGrant> => {
      requests.push(request)
      await new Promise(resolve => setTimeout(resolve, 5))
      granted += 1
      return { kind: 'granted', leaseMilliseconds: 1_500, parts: { clinic: 0.4 }, shared: { ...SHARED, ...await shared() } }
    },
    borrow: () => ({ granted: 0 })
  }, QUIET_LOGGER)
  const calls = await listenForCalls(HOST, 0, CREDENTIALS, () => {}, streams)
  const peers = createPeers(CREDENTIALS)
  const link = createFleetLink({ name: 'entry-1', failureDomain: 'a', seeds: () => [{ host: HOST, port: calls.port }], decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration, report: () => ({ demand: {}, sightings: {}, busy: [] }), peers, clock: { now: () => performance.now() + ahead }, logger: QUIET_LOGGER })
  link.start()
  return {
    link,
    requests,
    /** Waits for a grant that was asked for from now on. */
    nextGrant: async () => {
      const before = granted
      await waitUntil('a later grant', () => granted >= before + 3)
    },
    advance: (milliseconds: number) => { ahead += milliseconds },
    stop: async () => {
      link.close()
      peers.close()
      await calls.close()
    }
  }
}

test('a declaration counts as current after control has named a newer one', async () => {
  let newest = 1
  const { link, nextGrant, stop } = await startLink(() => ({ newest, ...(newest === 1 ? { declaration: FIRST } : {}) }))
  try {
    await waitUntil('the declaration', () => link.isDeclarationCurrent())
    newest = 2
    await nextGrant()
    assert.is(link.newestVersion(), 2)
    assert.ok(link.isLeased())
    assert.not.ok(link.isDeclarationCurrent())
  } finally {
    await stop()
  }
})

test('listeners are not told that control has named a newer declaration', async () => {
  let newest = 1
  const { link, nextGrant, stop } = await startLink(() => ({ newest, ...(newest === 1 ? { declaration: FIRST } : {}) }))
  try {
    await waitUntil('the declaration', () => link.isDeclarationCurrent())
    let named = link.newestVersion()
    link.onChange(() => { named = link.newestVersion() })
    newest = 2
    await nextGrant()
    assert.is(named, 2)
  } finally {
    await stop()
  }
})

test('leases without the newest declaration keep an older one in use', async () => {
  let newest = 1
  const { link, nextGrant, advance, stop } = await startLink(() => ({ newest, ...(newest === 1 ? { declaration: FIRST } : {}) }))
  try {
    await waitUntil('the declaration', () => link.isDeclarationTrusted())
    newest = 2
    await nextGrant()
    advance(3_000)
    await nextGrant()
    assert.ok(link.isLeased())
    assert.not.ok(link.isDeclarationTrusted())
  } finally {
    await stop()
  }
})

test('an answer that was long on its way prolongs the trust in the declaration', async () => {
  let asked = 0
  let release = (): void => {}
  const held = new Promise<void>(resolve => { release = resolve })
  const { link, advance, stop } = await startLink(async () => {
    asked += 1
    await (asked === 1 ? held : new Promise(() => {}))
    return { newest: 1, declaration: FIRST }
  })
  try {
    await waitUntil('a request', () => asked === 1)
    advance(2_500)
    release()
    await waitUntil('the declaration', () => link.isDeclarationTrusted())
    advance(500)
    assert.not.ok(link.isDeclarationTrusted())
  } finally {
    await stop()
  }
})

// An instance that was cut off kept its shares for 12 s and refused everything after 3 s.
test('a share outlives the trust in the declaration, or is reported after that', async () => {
  let asked = 0
  let fail = false
  const { link, requests, advance, stop } = await startLink(async () => {
    asked += 1
    if (fail) throw new Error('no grant now')
    return { newest: 1, declaration: FIRST }
  })
  try {
    await waitUntil('a share', () => link.rateShare('clinic') === 0.4)
    assert.is(requests[0].shareMilliseconds, 3_000)
    fail = true
    await waitUntil('a renewal that failed', () => requests.at(-1)?.parts !== undefined && asked > 2)
    assert.equal(requests.at(-1)?.parts, { clinic: 0.4 })
    assert.is(link.rateShare('clinic'), 0.4)
    advance(3_000)
    assert.is(link.rateShare('clinic'), 0)
    const before = requests.length
    await waitUntil('a later report', () => requests.slice(before + 1).some(({ parts }) => parts !== undefined))
    assert.equal(requests.at(-1)?.parts, {})
  } finally {
    await stop()
  }
})

test.run()
