import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRenewalReader, readRenewal } from '../renewalFields.js'

const RENEWAL = { name: 'entry-1', incarnation: '1', failureDomain: 'a', knows: { term: 0, change: 0 }, version: -1, demand: {}, sightings: {}, busy: [], holdMilliseconds: 0 }

// One value of one account ended the renewals of the instance, and with them all that it served.
test('one value that can not be used ends the lease', () => {
  const { request, faults } = readRenewal({ ...RENEWAL, demand: { clinic: 1, warehouse: 'many', depot: -1 }, sightings: { p: { answeredAgo: 1 }, r: null }, parts: { clinic: 0.5, warehouse: null, depot: 7 }, loans: { completeFor: 1, loans: [{ account: 'clinic', operations: 1 }] } })
  assert.equal(request.demand, { clinic: 1 })
  assert.equal(request.sightings, { p: { answeredAgo: 1 } })
  assert.equal(faults, [
    'demand of "warehouse": "many"', 'demand of "depot": -1', 'sightings of "r": null', 'parts of "warehouse": null', 'parts of "depot": 7',
    'loans: {"completeFor":1,"loans":[{"account":"clinic","operations":1}]}'
  ])
})

test('a share that can not be read is taken for none', () => {
  assert.equal(readRenewal({ ...RENEWAL, parts: { clinic: 0.5, warehouse: null } }).request.parts, { clinic: 0.5, warehouse: 1 })
})

test('loans that can not be read are taken for none', () => {
  assert.equal(readRenewal({ ...RENEWAL, loans: null }).request.loans, { completeFor: 0, loans: [] })
})

test('names that every object inherits are lost', () => {
  const parts = JSON.parse('{ "__proto__": 0.1, "constructor": 0.2, "toString": 0.3 }') as Record<string, number>
  const { request, faults } = readRenewal({ ...RENEWAL, parts, demand: parts })
  assert.equal(Object.entries(request.parts ?? {}), Object.entries(parts))
  assert.equal(Object.entries(request.demand), Object.entries(parts))
  assert.equal(faults, [])
})

test('a value that can not be used is not logged, or with every renewal', () => {
  const lines: unknown[] = []
  const read = createRenewalReader({ error: () => {}, warn: (_sentence, facts) => { lines.push(facts) }, info: () => {}, debug: () => {} })
  for (const depot of ['many', 'many', 1, 'many']) read({ ...RENEWAL, demand: { depot } })
  assert.equal(lines, Array.from({ length: 2 }, () => ({ name: 'entry-1', values: 'demand of "depot": "many"' })))
})

test.run()
