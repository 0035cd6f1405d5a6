import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_REGIONS, combineRegions, isAllowedDomain, isAllowedHere, listUnknownRegions } from '../homeRegions.js'
import type { RegionMap } from '../homeRegions.js'

const REGIONS: RegionMap = { own: 'north', ofDomain: new Map([['a', 'north'], ['b', 'north'], ['c', 'south']]) }

test('a missing or empty list limits', () => {
  assert.is(combineRegions({}, undefined), undefined)
  assert.is(combineRegions({ allowedRegions: [] }, { allowedRegions: [] }), undefined)
  assert.ok(isAllowedDomain(undefined, 'x', NO_REGIONS) && isAllowedHere(undefined, NO_REGIONS))
})

test('only one of the two lists applies', () => {
  assert.equal(combineRegions({ allowedRegions: ['north'] }, {}), ['north'])
  assert.equal(combineRegions({}, { allowedRegions: ['south'] }), ['south'])
  assert.equal(combineRegions({ allowedRegions: ['north', 'south'] }, { allowedRegions: ['south', 'east'] }), ['south'])
  assert.equal(combineRegions({ allowedRegions: ['north'] }, { allowedRegions: ['south'] }), [])
})

test('a domain elsewhere or of unknown region is allowed', () => {
  assert.equal(['a', 'b', 'c', 'x', undefined].map(domain => isAllowedDomain(['north'], domain, REGIONS)), [true, true, false, false, false])
  assert.equal([['north'], ['south'], []].map(allowed => isAllowedHere(allowed, REGIONS)), [true, false, false])
  assert.not.ok(isAllowedHere(['north'], NO_REGIONS))
})

test('a region without a failure domain is not reported', () => {
  assert.equal(listUnknownRegions([{ allowedRegions: ['north', 'east'] }, {}, { allowedRegions: ['east'] }], REGIONS), ['east'])
})

test.run()
