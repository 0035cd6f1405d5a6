import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findServerFault } from '../serverFields.js'
import type { ServerAnnouncement } from '../directory.js'

const ENTRY: ServerAnnouncement = { member: 'i-1', group: 'g', host: '10.0.0.1', port: 8_080, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1_760_000_000_000, sequence: 1 }

const NO_NAMES: unknown[] = ['', 'a b', 'a\r\nQUERY', 'a\u0000', 'x'.repeat(201), 7, null, undefined, ['i-1']]
const NO_NUMBERS: unknown[] = [-1, 0.5, NaN, Infinity, 1e300, 2 ** 53, '1', null, undefined, [1], { valueOf: () => 1 }]

const INVALID: Record<keyof ServerAnnouncement, unknown[]> = {
  member: NO_NAMES,
  group: NO_NAMES,
  failureDomain: NO_NAMES,
  host: ['here', 'localhost', '', '10.0.0', '10.0.0.256', '10.0.0.1.2', '0.0.0.0', '255.255.255.255', '224.0.0.1', '10.0.0.1%eth0', 1, null, undefined],
  port: [...NO_NUMBERS, 0, 65_536, 99_999],
  slots: [...NO_NUMBERS, 262_144],
  leaving: ['no', 0, null, undefined],
  role: ['arbiter', 'Primary', '', 1, null, undefined],
  bornAt: [...NO_NUMBERS, 8_640_000_000_000_000, 4_102_444_800_001],
  sequence: [...NO_NUMBERS, 2 ** 32],
  warmupMilliseconds: [...NO_NUMBERS.filter(value => value !== undefined), 86_400_001]
}

for (const [field, values] of Object.entries(INVALID)) {
  test(`an entry whose ${field} is out of range names a server`, () => {
    for (const value of values) assert.is(findServerFault({ ...ENTRY, [field]: value }), field, `${typeof value} ${String(value)}`)
  })
}

test('an entry at the ends of the ranges can be used', () => {
  const ends: Array<Partial<ServerAnnouncement>> = [{ port: 1 }, { port: 65_535 }, { slots: 0 }, { bornAt: 0 }, { sequence: 0 }, { host: '127.0.0.1' }, { host: '223.255.255.255' }, { host: '::1' }, { host: 'fd00::1' }, { member: 'é.1_x' }]
  for (const change of [{}, ...ends]) assert.is(findServerFault({ ...ENTRY, ...change }), undefined, JSON.stringify(change))
})

test('what is no object names a server', () => {
  for (const value of [null, undefined, 7, 'i-1', [], [ENTRY]]) assert.type(findServerFault(value), 'string')
})

test.run()
