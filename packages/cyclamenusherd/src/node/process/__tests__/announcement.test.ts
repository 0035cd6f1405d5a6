import { create } from '@bufbuild/protobuf'
import { AnnouncementSchema } from '@cyclamenusher/protocol'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AnnouncementError, readAnnouncement } from '../announcement.js'

const VALID = { group: 'padron', member: 'padron-1', role: 'replica', term: 1n, logTerm: 1n, position: 7n, host: '127.0.0.1', port: 5432, failureDomain: 'la-plata', sequence: 1n }

test('a valid announcement is accepted', () => {
  const read = readAnnouncement(create(AnnouncementSchema, VALID))
  assert.is(read.position, 7)
  assert.is(readAnnouncement(create(AnnouncementSchema, { ...VALID, host: '::1' })).host, '::1')
})

const INVALID: Array<[string, Partial<typeof VALID>]> = [
  ['host', { host: 'padron.example' }],
  ['host', { host: "127.0.0.1', 1); DROP TABLE visits; --" }],
  ['host', { host: "fe80::1%'" }],
  ['host', { host: '' }],
  ['port', { port: 0 }],
  ['port', { port: 70_000 }],
  ['group', { group: '' }],
  ['group', { group: 'a\nb' }],
  ['member', { member: "padron'1" }],
  ['member', { member: 'x'.repeat(64) }],
  ['failure domain', { failureDomain: 'la plata' }],
  ['role', { role: 'leader' }],
  ['term', { term: 2n ** 60n }],
  ['position', { position: 2n ** 53n }]
]

for (const [field, change] of INVALID) {
  test(`refused: ${JSON.stringify(change, (_key, value: unknown) => typeof value === 'bigint' ? String(value) : value).slice(0, 50)}`, () => {
    assert.throws(() => readAnnouncement(create(AnnouncementSchema, { ...VALID, ...change })), (error: unknown) => error instanceof AnnouncementError && error.message.includes(field))
  })
}

test('arbitrary fields are accepted or refused with an AnnouncementError', () => {
  const text = fc.oneof(fc.string(), fc.constantFrom('padron', '10.0.0.1', 'primary', "'", '::1'))
  const count = fc.bigInt({ min: 0n, max: 2n ** 64n - 1n })
  const fields = fc.record({ group: text, member: text, role: text, host: text, failureDomain: text, port: fc.nat(4_294_967_295), term: count, logTerm: count, position: count, sequence: count })
  fc.assert(fc.property(fields, given => {
    try {
      const { host, group, member } = readAnnouncement(create(AnnouncementSchema, given))
      assert.not.match(`${host} ${group} ${member}`, /['"\\;\s].*['"\\;]/)
    } catch (error) {
      assert.instance(error, AnnouncementError)
    }
  }), { seed: 11, numRuns: 2_000 })
})

test.run()
