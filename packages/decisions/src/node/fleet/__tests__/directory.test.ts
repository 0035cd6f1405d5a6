import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { announceServer, mergeServer, serversOf, signOffServer } from '../directory.js'
import type { KnownServer, ServerAnnouncement } from '../directory.js'

function announcement (change: Partial<ServerAnnouncement> = {}): ServerAnnouncement {
  return { member: 'i-1', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 100, sequence: 1, ...change }
}

test('a late announcement changes nothing', () => {
  const directory = new Map<string, KnownServer>()
  assert.is(announceServer(directory, announcement({ sequence: 5 })), 'changed')
  assert.is(announceServer(directory, announcement({ sequence: 4, leaving: true })), 'late')
  assert.is(announceServer(directory, announcement({ sequence: 6 })), 'unchanged')
  assert.is(directory.get('i-1')?.leaving, false)
})

test('a new life counts its announcements anew', () => {
  const directory = new Map<string, KnownServer>()
  announceServer(directory, announcement({ sequence: 50 }))
  assert.is(announceServer(directory, announcement({ bornAt: 200, sequence: 1 })), 'changed')
  assert.is(announceServer(directory, announcement({ bornAt: 100, sequence: 51 })), 'late')
})

test('a server that signed off stays gone', () => {
  const directory = new Map<string, KnownServer>()
  announceServer(directory, announcement())
  assert.ok(signOffServer(directory, 'i-1', undefined))
  assert.is(announceServer(directory, announcement({ sequence: 2 })), 'late')
  assert.is(serversOf(directory, 'g').length, 0)
})

test('an older life does not sign off a newer one', () => {
  const directory = new Map<string, KnownServer>()
  announceServer(directory, announcement({ bornAt: 200 }))
  assert.not.ok(signOffServer(directory, 'i-1', 100))
})

test('of two servers at one address the younger holds it', () => {
  const directory = new Map<string, KnownServer>()
  announceServer(directory, announcement({ member: 'old', bornAt: 100 }))
  announceServer(directory, announcement({ member: 'new', bornAt: 200, group: 'other' }))
  assert.is(serversOf(directory, 'g').length, 0)
  assert.equal(serversOf(directory, 'other').map(({ member }) => member), ['new'])
})

test('what another instance knows is merged by the same order', () => {
  const directory = new Map<string, KnownServer>()
  announceServer(directory, announcement({ sequence: 5 }))
  assert.not.ok(mergeServer(directory, { ...announcement({ sequence: 4 }), gone: false }))
  assert.ok(mergeServer(directory, { ...announcement({ sequence: 5 }), gone: true }))
  assert.not.ok(mergeServer(directory, { ...announcement({ sequence: 5 }), gone: false }))
})

test.run()
