import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { INITIAL_FLEET_STATE, NO_TOLERANCE } from '@cyclamenusher/decisions'
import { startLeadership } from '../leadership.js'
import { createDocument, waitUntil } from './fleetHarness.js'
import type { Declaration, RenewGrant, RenewRequest } from '@cyclamenusher/decisions'

const NEVER_ABORTED = new AbortController().signal
const LONG_HOLD_MILLISECONDS = 60_000

/** Starts a leader whose clock stands still between the steps of a test. */
function startLeader (entries = 0) {
  let now = 0
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const document = createDocument(1, { groups: [] })
  const leadership = startLeadership({
    administration: { askStatus: async () => { throw new Error('no server') }, stepDown: async () => { throw new Error('no server') }, close: () => {} },
    promotion: { promote: async () => 'not sent' },
    propose: async () => ({ kind: 'unknown' }),
    resign: () => {},
    announceIntervalMilliseconds: 60_000,
    drainMilliseconds: 7_000,
    holder: 'control-1',
    term: 1,
    state: () => ({ ...INITIAL_FLEET_STATE, document, entries }),
    declaration: () => JSON.parse(document.text) as Declaration,
    hasLeaderLease: () => true,
    controlAddresses: () => [],
    rateTolerance: NO_TOLERANCE,
    clock: { now: () => now },
    logger
  })

  async function renew (name: string, changes: Partial<RenewRequest> = {}): Promise<RenewGrant | undefined> {
    return await leadership.renew({ name, incarnation: '1', failureDomain: 'a', knows: { term: 1, change: 0 }, version: 1, demand: {}, sightings: {}, busy: [], holdMilliseconds: 0, ...changes }, NEVER_ABORTED)
  }

  return { leadership, renew, advance: (milliseconds: number) => { now += milliseconds } }
}

// A share that changed anywhere ended the held renewals of all instances.
test('a changed share ends the renewals of other instances', async () => {
  const { leadership, renew, advance } = startLeader()
  advance(1_000)
  await renew('entry-1')
  await renew('entry-2')
  advance(500)
  let known = 0
  await waitUntil('the first plan', async () => {
    known = (await renew('entry-1'))?.shared.change ?? 0
    return known > 0
  })
  let ended = false
  const held = renew('entry-1', { knows: { term: 1, change: known }, holdMilliseconds: LONG_HOLD_MILLISECONDS }).then(() => { ended = true })
  advance(500)
  await waitUntil('a changed share', async () => ((await renew('entry-2', { demand: { clinic: 50 } }))?.shared.change ?? 0) > known)
  await new Promise(resolve => setTimeout(resolve, 50))
  assert.not.ok(ended)
  leadership.announce({ member: 'p', group: 'g', host: 'h', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'primary', bornAt: 1, sequence: 1 })
  await held
  leadership.close()
})

// A new leader planned with the first instances that came, and shares moved away from all others.
test('a new leader plans before the instances that hold shares have returned', async () => {
  const { leadership, renew, advance } = startLeader(3)
  advance(500)
  const parts = { clinic: 0.5 }
  await renew('entry-1', { parts })
  await renew('entry-2', { parts })
  advance(600)
  await new Promise(resolve => setTimeout(resolve, 60))
  const early = await renew('entry-1')
  assert.is(early?.shared.lenders, undefined)
  assert.equal(early?.parts, parts)
  await renew('entry-3', { parts: {} })
  advance(600)
  await waitUntil('a plan', async () => (await renew('entry-1'))?.shared.lenders !== undefined)
  leadership.close()
})

// All instances of a failure domain got what they have in common encoded for each of them.
test('instances of one failure domain get grants of their own', async () => {
  const { leadership, renew, advance } = startLeader()
  advance(500)
  const [one, two, other] = await Promise.all([renew('entry-1'), renew('entry-2'), renew('entry-3', { failureDomain: 'b' })])
  assert.is(one?.shared, two?.shared)
  assert.is.not(one?.shared, other?.shared)
  leadership.close()
})

test.run()
