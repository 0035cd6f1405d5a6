import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { FleetService, listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { decodeBody, encodeBody } from '../bodies.js'
import { createFleetLink } from '../fleetLink.js'
import { waitUntil } from './fleetHarness.js'
import type { RenewGrant, RenewReply, RenewRequest } from '@cyclamenusher/decisions'

const HOST = '127.0.0.1'
const CREDENTIALS = { secret: 'a secret of the tests' }

const GRANT: RenewGrant = { kind: 'granted', term: 1, change: 1, leaseMilliseconds: 1_500, whole: true, groups: [], servers: [], parts: { clinic: 0.4 }, entries: 1, control: [] }

/** Connects a link to one control instance whose replies come from `reply`. */
async function connectLink (reply: (request: RenewRequest) => RenewReply) {
  const requests: RenewRequest[] = []
  const calls = await listenForCalls(HOST, 0, CREDENTIALS, router => {
    router.service(FleetService, {
      renew: async ({ body }) => {
        const request = decodeBody<RenewRequest>(body)
        requests.push(request)
        await new Promise(resolve => setTimeout(resolve, 5))
        return { body: encodeBody(reply(request)) }
      }
    })
  })
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const link = createFleetLink({ name: 'entry-1', failureDomain: 'a', seeds: () => [{ host: HOST, port: calls.port }], decodeDeclaration: () => { throw new Error('unexpected declaration') }, report: () => ({ demand: {}, sightings: {}, busy: [] }), credentials: CREDENTIALS, clock: systemClock, logger })
  link.start()
  return {
    requests,
    stop: async () => {
      link.close()
      await calls.close()
    }
  }
}

test('shares are reported only in the first renewal with a leader', async () => {
  const { requests, stop } = await connectLink(() => GRANT)
  await waitUntil('three renewals', () => requests.length >= 3)
  await stop()
  assert.equal(requests[0].parts, {})
  assert.is(requests[2].parts, undefined)
})

for (const [description, replyOnLoss] of Object.entries({
  'answers that it does not lead': (): RenewReply => ({ kind: 'not leader' }),
  'does not answer': (): RenewReply => { throw new Error('the control instance is stopped') }
})) {
  test(`shares are reported again after the leader ${description}`, async () => {
    let lost = false
    const { requests, stop } = await connectLink(() => {
      if (lost || requests.length !== 3) return GRANT
      lost = true
      return replyOnLoss()
    })
    await waitUntil('renewals after the loss', () => requests.length >= 5)
    await stop()
    assert.equal(requests[3].parts, { clinic: 0.4 })
  })
}

test.run()
