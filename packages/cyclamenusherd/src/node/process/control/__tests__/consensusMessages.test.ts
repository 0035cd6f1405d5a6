import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ConsensusService, createPeerLink } from '@cyclamenusher/protocol'
import { decodeMessages, encodeMessages } from '../consensusMessages.js'
import { CREDENTIALS, createInstances, rules, waitUntil } from './controlInstances.js'
import type { ConsensusMessage } from '@cyclamenusher/decisions'
import type { Instance } from './controlInstances.js'

const MEMBER = { identity: 'a', name: 'control-1', failureDomain: 'd', host: '10.0.0.1', port: 1, role: 'voter' } as const

const MESSAGES: ConsensusMessage[] = [
  { kind: 'pre-vote', term: 1, lastIndex: 0, lastTerm: 0 },
  { kind: 'pre-vote reply', term: 1, campaignTerm: 2, granted: false, started: true },
  { kind: 'vote', term: 1, lastIndex: 4, lastTerm: 1, unanimous: true },
  { kind: 'vote reply', term: 1, granted: true },
  { kind: 'append', term: 1, previousIndex: 0, previousTerm: 0, entries: [{ kind: 'command', index: 1, term: 1, command: {} }, { kind: 'membership', index: 2, term: 1, members: [MEMBER] }], commitIndex: 0, round: 1 },
  { kind: 'append reply', term: 1, success: true, index: 2, round: 1 },
  { kind: 'install snapshot', term: 1, index: 2, snapshotTerm: 1, members: [MEMBER], offset: 0, data: '{}', total: 2, round: 1 },
  { kind: 'install snapshot reply', term: 1, index: 2, received: 2, round: 1 }
]

function decode (messages: unknown): ConsensusMessage[] {
  return decodeMessages(new Uint8Array(Buffer.from(JSON.stringify(messages))))
}

test('all kinds of messages are read back', () => {
  assert.equal(decodeMessages(encodeMessages(MESSAGES)), MESSAGES)
})

test('a message with a field out of range is read', () => {
  for (const message of MESSAGES) {
    for (const field of Object.keys(message).filter(name => name !== 'started' && name !== 'unanimous')) {
      for (const value of [null, -1, 2 ** 53, 'text of another kind', { nested: [] }]) {
        if (field === 'data' && typeof value === 'string') continue
        assert.equal(decode([{ ...message, [field]: value }, MESSAGES[0]]), [MESSAGES[0]], `${message.kind}: ${field}`)
      }
    }
  }
})

test('what is no list of messages is read', () => {
  for (const value of [null, 7, {}, 'append', [null], [[]], [{}], [{ kind: 'constructor' }]]) assert.equal(decode(value), [])
})

// One message of a kind that a later build may send ended the part of every instance that got it.
test('an unknown message ends an instance\'s part in consensus', async () => {
  const instances = await createInstances(3)
  try {
    for (const index of [0, 1, 2]) await instances.start(index)
    await instances.submit(1, rules(1))
    const target = instances.running.get('control-1') as Instance
    const [own, other] = ['control-1', 'control-2'].map(name => target.log.status().members.find(member => member.name === name))
    const link = createPeerLink(ConsensusService, own?.host ?? '', own?.port ?? 0, CREDENTIALS)
    const odd = [{ kind: 'of a later build' }, { kind: 'append', term: 1e300 }, null]
    await link.client.deliver({ from: other?.identity, to: own?.identity, body: new Uint8Array(Buffer.from(JSON.stringify(odd))) })
    link.reconnect()
    assert.is.not(target.log.status().role, 'failed')
    await instances.submit(2, rules(2))
    await waitUntil('the instance holds 2', () => target.service.number() === 2)
  } finally {
    await instances.close()
  }
})

test.run()
