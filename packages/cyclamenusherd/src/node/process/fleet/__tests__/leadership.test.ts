import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { INITIAL_FLEET_STATE, NO_TOLERANCE, applyFleetCommand } from '@cyclamenusher/decisions'
import { startLeadership } from '../leadership.js'
import { createDocument, waitUntil } from './fleetHarness.js'
import type { ControlAddress, Declaration, FleetCommand, FleetState, KnownServer, RenewGrant, RenewRequest, ServerStatus } from '@cyclamenusher/decisions'
import type { Leadership } from '../leadership.js'

const NEVER_ABORTED = new AbortController().signal
const LONG_HOLD_MILLISECONDS = 60_000

const started: Leadership[] = []
test.after.each(() => { for (const leadership of started.splice(0)) leadership.close() })

/** Starts a leader whose clock stands still between the steps of a test. `initial` is what the log holds; commands are in the log once `written` resolves, and those of earlier leaders are applied once `confirmed` does. */
function startLeader (entries = 0, initial: Partial<FleetState> = {}, written: () => Promise<void> = async () => {}, confirmed: () => Promise<void> = async () => {}, askStatus: () => Promise<ServerStatus> = async () => { throw new Error('no server') }) {
  let now = 0
  let control: ControlAddress[] = []
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const document = initial.document ?? createDocument(1, { groups: [] })
  let state: FleetState = { ...INITIAL_FLEET_STATE, document, entries, ...initial }
  const leadership = startLeadership({
    administration: { askStatus, stepDown: async () => { throw new Error('no server') }, close: () => {} },
    promotion: { promote: async () => 'not sent' },
    propose: async command => {
      await written()
      const next = applyFleetCommand(state, command)
      state = next.state
      return { kind: 'applied', result: next.outcome }
    },
    resign: () => {},
    announceIntervalMilliseconds: 60_000,
    drainMilliseconds: 7_000,
    holder: 'control-1',
    term: 1,
    state: () => state,
    declaration: () => JSON.parse(document.text) as Declaration,
    hasLeaderLease: () => true,
    confirmState: async () => {
      await confirmed()
      return true
    },
    controlAddresses: () => control,
    rateTolerance: NO_TOLERANCE,
    clock: { now: () => now },
    logger
  })

  started.push(leadership)

  async function renew (name: string, changes: Partial<RenewRequest> = {}): Promise<RenewGrant | undefined> {
    return await leadership.renew({ name, incarnation: '1', failureDomain: 'a', knows: { term: 1, change: 0 }, version: 1, demand: {}, sightings: {}, busy: [], holdMilliseconds: 0, ...changes }, NEVER_ABORTED)
  }

  function apply (command: FleetCommand): void {
    state = applyFleetCommand(state, command).state
    leadership.refresh()
  }

  return { leadership, renew, apply, state: () => state, listControl: (addresses: ControlAddress[]) => { control = addresses }, advance: (milliseconds: number) => { now += milliseconds } }
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
  leadership.announce({ member: 'p', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'primary', bornAt: 1, sequence: 1 })
  await held
})

// Instances would have learned of a drain with their next renewal only.
test('a drain waits for the renewals to end, or is missing in later grants', async () => {
  const { renew, apply, advance } = startLeader()
  advance(1_000)
  const known = (await renew('entry-1'))?.shared
  assert.is(known?.drains, undefined)
  const held = renew('entry-1', { knows: { term: 1, change: known?.change ?? 0 }, holdMilliseconds: LONG_HOLD_MILLISECONDS })
  apply({ kind: 'drain', failureDomain: 'a', drained: true })
  const grant = await held
  assert.equal(grant?.shared.drains, ['a'])
  assert.equal((await renew('entry-1', { knows: { term: 1, change: grant?.shared.change ?? 0 } }))?.shared.drains, ['a'])
  apply({ kind: 'drain', failureDomain: 'a', drained: false })
  assert.equal((await renew('entry-1'))?.shared.drains, [])
})

// A new leader planned with the first instances that came, and shares moved away from all others.
test('a new leader plans before the instances that hold shares have returned', async () => {
  const { renew, advance } = startLeader(3)
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
})

const RESTARTED: Partial<RenewRequest> = { knows: { term: 0, change: 0 }, version: -1, holds: true, lendsAt: { host: 'entry', port: 1 } }

// The first instances that were back after a loss of power became the holders and lenders for all, and the others connected to the servers themselves.
test('a new leader plans with the first instances after all have restarted', async () => {
  const { renew, advance } = startLeader(3)
  advance(500)
  let granted = 0
  const first = ['entry-1', 'entry-2'].map(async name => {
    const grant = await renew(name, RESTARTED)
    granted += 1
    return grant
  })
  await new Promise(resolve => setTimeout(resolve, 60))
  assert.is(granted, 0)
  const grants = await Promise.all([...first, renew('entry-3', RESTARTED)])
  const shares = grants.map(grant => grant?.parts?.clinic ?? 0)
  assert.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9, shares.join())
  assert.ok(grants.every(grant => grant?.shared.lenders !== undefined))
})

// Instances that do not come back must not keep the others waiting.
test('the first plan waits for instances that are gone', async () => {
  const { renew, advance } = startLeader(3)
  advance(500)
  const grant = renew('entry-1', RESTARTED)
  await new Promise(resolve => setTimeout(resolve, 60))
  advance(200)
  assert.ok((await grant)?.shared.lenders !== undefined)
})

const THREE: Partial<FleetState> = { shareHolders: new Set(['entry-1', 'entry-2', 'entry-3']), shareBounds: new Map([['clinic', new Map([['entry-3', 0.6]])]]) }

// The share of a frozen instance was given to others by a new leader, and spent twice.
test('a new leader grants what an instance holds that has not returned', async () => {
  const { renew, advance } = startLeader(3, THREE)
  advance(500)
  const sum = async (): Promise<number> => {
    const grants = [await renew('entry-1', { parts: { clinic: 0.2 } }), await renew('entry-2', { parts: { clinic: 0.2 } })]
    return grants.reduce((total, grant) => total + (grant?.parts?.clinic ?? 0), 0)
  }
  await sum()
  for (let second = 0; second < 11; second += 1) {
    advance(1_000)
    await new Promise(resolve => setTimeout(resolve, 30))
    const granted = await sum()
    assert.ok(granted <= 0.4 + 1e-9, `${granted} after ${second + 1} s`)
  }
  advance(1_000)
  await waitUntil('the rest of the rate', async () => {
    advance(600)
    return await sum() > 0.95
  })
})

test('a lease is granted before the log names the instance', async () => {
  let release = (): void => {}
  const written = new Promise<void>(resolve => { release = resolve })
  const { renew, state, advance } = startLeader(0, {}, async () => { await written })
  advance(500)
  let granted = false
  const grant = renew('entry-1', { knows: { term: 0, change: 0 } }).then(() => { granted = true })
  await new Promise(resolve => setTimeout(resolve, 80))
  assert.not.ok(granted)
  release()
  await grant
  assert.ok(state().shareHolders?.has('entry-1'))
})

// A leader of this term may not have applied the last commands of the one before.
test('shares are planned before the commands of earlier leaders are applied', async () => {
  let release = (): void => {}
  const confirmed = new Promise<void>(resolve => { release = resolve })
  const { renew, advance } = startLeader(0, {}, async () => {}, async () => { await confirmed })
  advance(500)
  let granted = false
  const grant = renew('entry-1', { knows: { term: 0, change: 0 }, parts: {} }).then(() => { granted = true })
  await new Promise(resolve => setTimeout(resolve, 80))
  assert.not.ok(granted)
  release()
  await grant
})

// The first leases after a loss of power waited for one more tick of the leader, and another one for the command.
test('a leader looks at its log only some time after its election', async () => {
  const { state } = startLeader()
  for (let turn = 0; turn < 3; turn += 1) await new Promise(resolve => { setImmediate(resolve) })
  assert.is(state().shareUse?.term, 1)
})

// Commands about servers or the number of instances said nothing of it.
test('how long shares are used is lost with the next command of the same leader', async () => {
  const { renew, advance, state } = startLeader()
  advance(1_000)
  await renew('entry-1', { knows: { term: 0, change: 0 }, parts: {}, shareMilliseconds: 3_000 })
  await waitUntil('the number of instances in the log', async () => {
    advance(500)
    await renew('entry-1', { shareMilliseconds: 3_000 })
    return state().entries === 1
  })
  assert.is(state().shareUse?.milliseconds.get('entry-1'), 3_000)
})

test('an instance that does not say what it holds is taken to hold nothing', async () => {
  const { renew, advance } = startLeader(1, { shareHolders: new Set(['entry-1']) })
  advance(500)
  assert.is(await renew('entry-1', { knows: { term: 7, change: 3 } }), undefined)
  assert.ok(await renew('entry-1', { knows: { term: 7, change: 3 }, parts: {} }) !== undefined)
})

test('a share is granted before the log holds a bound for it', async () => {
  const { renew, advance, state } = startLeader()
  advance(1_000)
  await waitUntil('a share', async () => {
    advance(100)
    const share = (await renew('entry-1', { knows: { term: 0, change: 0 }, parts: {} }))?.parts?.clinic ?? 0
    assert.ok(share <= (state().shareBounds.get('clinic')?.get('entry-1') ?? 0), `${share} is granted`)
    return share > 0
  })
})

// The same addresses went to all instances with each renewal.
test('the control instances are listed again although they are the same', async () => {
  const { renew, advance, listControl } = startLeader()
  listControl([{ host: 'control', port: 1 }])
  advance(500)
  let first: RenewGrant | undefined
  await waitUntil('the list', async () => {
    first = await renew('entry-1')
    return first?.shared.control.length === 1
  })
  const known = { term: 1, change: first?.shared.change ?? 0 }
  assert.equal((await renew('entry-1', { knows: known }))?.shared.control, [])
  listControl([{ host: 'control', port: 1 }, { host: 'control', port: 2 }])
  await waitUntil('the new list', async () => (await renew('entry-1', { knows: known }))?.shared.control.length === 2)
})

// All instances of a failure domain got what they have in common encoded for each of them.
test('instances of one failure domain get grants of their own', async () => {
  const { renew, advance } = startLeader()
  advance(500)
  const [one, two, other] = await Promise.all([renew('entry-1'), renew('entry-2'), renew('entry-3', { failureDomain: 'b' })])
  assert.is(one?.shared, two?.shared)
  assert.is.not(one?.shared, other?.shared)
})

// An instance that has learned of an odd entry, from a leader of the build before, must not lose its lease.
test('an odd entry among the servers of a renewal is passed on', async () => {
  const { renew, advance } = startLeader()
  advance(1_000)
  const server: KnownServer = { member: 'i-1', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false }
  const granted = await renew('entry-1', { servers: [{ ...server, member: 'i-2', port: 70_000 }, { ...server, member: 'i-3', bornAt: 9e15 }, server] })
  assert.equal(granted?.shared.servers.map(({ member }) => member), ['i-1'])
})

// Renewals that were given up took the document with them, and the next ones were held for their whole time without it.
test('a lost document is sent again only when the held renewal ends', async () => {
  const { renew, advance } = startLeader()
  advance(1_000)
  await renew('entry-1')
  advance(500)
  await waitUntil('the first plan', async () => ((await renew('entry-1'))?.shared.change ?? 0) > 0)
  // The plan ends held renewals a moment later.
  await new Promise(resolve => setTimeout(resolve, 100))
  const lost = await renew('entry-1', { version: 0 })
  assert.is(lost?.shared.declaration?.version, 1)
  const behind = await renew('entry-1', { version: 0 })
  assert.equal([behind?.shared.declaration, behind?.shared.newest], [undefined, 1])
  let received: number | undefined
  void renew('entry-1', { version: 0, knows: { term: 1, change: Infinity }, holdMilliseconds: LONG_HOLD_MILLISECONDS }).then(grant => { received = grant?.shared.declaration?.version })
  advance(200)
  await waitUntil('the document', () => received === 1)
})

// An instance that was granted a lease between two plans had no lender and no share, and was never ready.
test('an instance that comes after the lenders were chosen is not told of them', async () => {
  const { renew, advance } = startLeader()
  advance(1_000)
  const names = ['entry-1', 'entry-2', 'entry-3', 'entry-4']
  const lending = (name: string): Partial<RenewRequest> => ({ holds: true, lendsAt: { host: name, port: 1 } })
  for (const name of names) await renew(name, lending(name))
  advance(500)
  await waitUntil('the first plan', async () => ((await renew('entry-1', lending('entry-1')))?.shared.change ?? 0) > 0)
  for (let number = 5; number <= 20; number += 1) {
    const name = `entry-${number}`
    const known = { shares: {}, lenders: {} }
    let knows = { term: 0, change: 0 }
    await waitUntil(`a share or a lender at ${name}`, async () => {
      const grant = await renew(name, { ...lending(name), knows })
      Object.assign(known.shares, grant?.parts)
      Object.assign(known.lenders, grant?.shared.lenders)
      knows = { term: 1, change: grant?.shared.change ?? 0 }
      advance(50)
      for (const other of names) await renew(other, lending(other))
      return 'clinic' in known.shares || 'clinic' in known.lenders
    })
    names.push(name)
  }
})

test('a holder gets no share of a cold server, or gets one while that of an earlier leader may be valid', async () => {
  const document = createDocument(1, { groups: [{ name: 'g', connectionsPerServer: 10, synchronousReplicas: 0, warmup: { milliseconds: 60_000, requestsPerSecond: 20 } }] })
  const { leadership, renew, advance } = startLeader(0, { document })
  const holding: Partial<RenewRequest> = { holds: true, lendsAt: { host: 'entry', port: 1 } }
  const announce = (sequence: number, warmupMilliseconds: number): void => { leadership.announce({ member: 's', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence, warmupMilliseconds }) }
  advance(500)
  announce(1, 60_000)
  let ledMilliseconds = 500
  let grant: RenewGrant | undefined
  const renewLater = async (): Promise<void> => {
    advance(50)
    ledMilliseconds += 50
    grant = await renew('entry-1', holding)
  }
  await waitUntil('a share', async () => {
    await renewLater()
    return grant?.warmups?.s !== undefined
  })
  assert.ok(ledMilliseconds >= 1_500, `granted after ${ledMilliseconds} ms`)
  assert.is(grant?.shared.holders?.g[0].failureDomain, 'a')
  assert.is(grant?.shared.servers[0].warmupMilliseconds, 60_500 - ledMilliseconds)
  announce(2, 0)
  await waitUntil('its end', async () => {
    await renewLater()
    return grant?.warmups === undefined
  })
})

test('a new leader does not learn in which term the primary was verified', async () => {
  const server: KnownServer = { member: 'p', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'primary', bornAt: 1, sequence: 1, gone: false }
  const designation = { group: 'g', member: 'p', number: 2, leadsFrom: 2 }
  const initial = { document: createDocument(1), servers: new Map([['p', server]]), designations: new Map([['g', designation]]) }
  const { advance, state } = startLeader(0, initial, undefined, undefined, async () => ({ role: 'primary', term: 2, received: { term: 2, position: 0 } }))
  await waitUntil('the term', () => {
    advance(50)
    return state().designations.get('g')?.term !== undefined
  })
  assert.equal(state().designations.get('g'), { ...designation, term: 2 })
})

test.run()
