import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseRelay } from '../relay.js'

const PEERS = Array.from({ length: 40 }, (_value, index) => ({ name: `entry-${index}`, failureDomain: index % 2 === 0 ? 'a' : 'b', role: 'entry' }))

test('two relays serve a failure domain, and ask control directly', () => {
  const local = PEERS.filter(({ failureDomain }) => failureDomain === 'a')
  const choices = local.map(self => chooseRelay(self, PEERS, 16)?.name)
  const relays = new Set(choices.filter(name => name !== undefined))
  assert.is(relays.size, 2)
  assert.is(choices.filter(name => name === undefined).length, 2)
  for (const relay of relays) assert.is(chooseRelay(local.find(({ name }) => name === relay) ?? local[0], PEERS, 16), undefined)
})

test('a small failure domain asks control directly', () => {
  assert.is(chooseRelay(PEERS[0], PEERS, 20), undefined)
})

test('a relay that was removed is not chosen', () => {
  const local = PEERS.filter(({ failureDomain }) => failureDomain === 'a')
  const before = new Map(local.map(self => [self.name, chooseRelay(self, PEERS, 4)?.name]))
  const [removed] = [...before.values()].filter(name => name !== undefined)
  const remaining = PEERS.filter(({ name }) => name !== removed)
  for (const self of local) {
    const after = chooseRelay(self, remaining, 4)?.name
    if (self.name === removed || after === undefined || before.get(self.name) === undefined) continue
    assert.ok(after !== removed)
  }
})

test.run()
