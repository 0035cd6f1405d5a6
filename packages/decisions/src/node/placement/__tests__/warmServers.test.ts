import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseReadServer } from '../serverChoice.js'
import { UNKNOWN_LAG } from '../replicaLag.js'
import { chooseWarmFirst } from '../warmServers.js'
import type { ServerLoad } from '../serverChoice.js'
import type { ServerWarmth } from '../warmServers.js'

function createLoad (member: string, changes: Partial<ServerLoad> = {}): ServerLoad {
  return { member, isPrimary: false, slots: 3, outstanding: 0, allowed: 3, averageMilliseconds: 20, answeredAt: 0, failing: false, leaving: false, connection: 'match', lag: UNKNOWN_LAG, ...changes }
}

function choose (servers: ServerLoad[], warmth: Record<string, ServerWarmth>): string | undefined {
  return chooseWarmFirst(servers, member => warmth[member], loads => chooseReadServer(loads, { kind: 'position', position: { term: 1, position: 0 }, reachedAt: 0 }, 0))?.member
}

test('an idle cold server is preferred to a busy warm one', () => {
  assert.is(choose([createLoad('cold'), createLoad('warm', { outstanding: 2 })], { cold: 'cold', warm: 'warm' }), 'warm')
})

test('a cold server with a token is left idle while no warm one can serve', () => {
  assert.is(choose([createLoad('cold'), createLoad('warm', { outstanding: 3 })], { cold: 'cold', warm: 'warm' }), 'cold')
})

test('a cold server without a token is chosen', () => {
  assert.is(choose([createLoad('cold'), createLoad('warm', { outstanding: 3 })], { cold: 'exhausted', warm: 'warm' }), undefined)
})

test.run()
