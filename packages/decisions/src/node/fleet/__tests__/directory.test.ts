import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { recordAnnouncement, mergeServer, listGroupServers, deregisterServer } from '../directory.js'
import type { KnownServer, ServerAnnouncement } from '../directory.js'

function createAnnouncement (change: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
  return { member: 'i-1', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 100, sequence: 1, ...change }
}

test('a late announcement changes nothing', () => {
  const directory = new Map<string, KnownServer>()
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 5 })), 'changed')
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 4, leaving: true })), 'late')
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 6 })), 'unchanged')
  assert.is(directory.get('i-1')?.leaving, false)
})

test('a restarted server numbers its announcements from the start', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement({ sequence: 50 }))
  assert.is(recordAnnouncement(directory, createAnnouncement({ bornAt: 200, sequence: 1 })), 'changed')
  assert.is(recordAnnouncement(directory, createAnnouncement({ bornAt: 100, sequence: 51 })), 'late')
})

test('a deregistered server stays gone', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement())
  assert.ok(deregisterServer(directory, 'i-1', undefined))
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 2 })), 'late')
  assert.is(listGroupServers(directory, 'g').length, 0)
})

test('an older process does not deregister a newer one', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement({ bornAt: 200 }))
  assert.not.ok(deregisterServer(directory, 'i-1', 100))
})

test('of two servers at one address the one that started last is listed', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement({ member: 'old', bornAt: 100 }))
  recordAnnouncement(directory, createAnnouncement({ member: 'new', bornAt: 200, group: 'other' }))
  assert.is(listGroupServers(directory, 'g').length, 0)
  assert.equal(listGroupServers(directory, 'other').map(({ member }) => member), ['new'])
})

test('entries of another instance are merged in the same order', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement({ sequence: 5 }))
  assert.not.ok(mergeServer(directory, { ...createAnnouncement({ sequence: 4 }), gone: false }))
  assert.ok(mergeServer(directory, { ...createAnnouncement({ sequence: 5 }), gone: true }))
  assert.not.ok(mergeServer(directory, { ...createAnnouncement({ sequence: 5 }), gone: false }))
})

// An announcement of another writer became the newest of its server for good.
test('an announcement with a number that is too large is recorded', () => {
  const directory = new Map<string, KnownServer>()
  recordAnnouncement(directory, createAnnouncement())
  assert.is(recordAnnouncement(directory, createAnnouncement({ bornAt: 9e15 })), 'invalid')
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 2 ** 53 })), 'invalid')
  assert.is(recordAnnouncement(directory, undefined as unknown as ServerAnnouncement), 'invalid')
  assert.is(recordAnnouncement(directory, createAnnouncement({ sequence: 2, leaving: true })), 'changed')
})

test('an entry with a port out of range is taken over from another instance', () => {
  const directory = new Map<string, KnownServer>()
  const known: KnownServer = { ...createAnnouncement(), gone: false }
  for (const entry of [{ ...known, port: 70_000 }, { ...known, gone: 'no' }, null]) assert.not.ok(mergeServer(directory, entry as KnownServer))
  assert.ok(mergeServer(directory, known))
  assert.is(directory.size, 1)
})

test.run()
