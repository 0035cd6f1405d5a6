import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { findShareUse } from '../shareBounds.js'
import { INITIAL_FLEET_STATE, applyFleetCommand, decodeFleetState, encodeFleetState } from '../state.js'
import type { FleetCommand, FleetOutcome, FleetState } from '../state.js'
import type { KnownServer } from '../directory.js'

const SERVER: KnownServer = { member: 'i-1', group: 'g', host: '10.0.0.1', port: 1, failureDomain: 'a', slots: 3, leaving: false, role: 'replica', bornAt: 1, sequence: 1, gone: false }

function apply (commands: readonly FleetCommand[]): { state: FleetState, outcomes: FleetOutcome[] } {
  let state = INITIAL_FLEET_STATE
  const outcomes = commands.map(command => {
    const next = applyFleetCommand(state, command)
    state = next.state
    return next.outcome
  })
  return { state, outcomes }
}

function declare (version: number, text = `text ${version}`): FleetCommand {
  return { kind: 'declare', document: { version, text } }
}

test('the highest version is kept in any order of arrival', () => {
  const { state, outcomes } = apply([declare(5), declare(3), declare(7), declare(6)])
  assert.equal(state.document, { version: 7, text: 'text 7' })
  assert.equal(outcomes.map(({ kind }) => kind), ['declared', 'overtaken', 'declared', 'overtaken'])
})

test('other content with the same version is rejected', () => {
  assert.equal(apply([declare(5), declare(5, 'other')]).state.document, { version: 5, text: 'text 5' })
})

test('of two designations that replace the same one the first is kept', () => {
  const { state, outcomes } = apply([
    { kind: 'designate', group: 'g', member: 'p', after: 0 },
    { kind: 'designate', group: 'g', member: 'r1', after: 1 },
    { kind: 'designate', group: 'g', member: 'r2', after: 1 }
  ])
  assert.equal(state.designations.get('g'), { group: 'g', member: 'r1', number: 2 })
  assert.is(outcomes[2].kind, 'conflict')
})

test('servers are merged by their start time and sequence number', () => {
  const { state } = apply([{ kind: 'remember', servers: [{ ...SERVER, sequence: 9, leaving: true }], entries: 3 }, { kind: 'remember', servers: [SERVER], entries: 2 }])
  assert.is(state.servers.get('i-1')?.leaving, true)
  assert.is(state.entries, 2)
})

test('a snapshot holds the whole state', () => {
  const { state } = apply([declare(5), { kind: 'designate', group: 'g', member: 'p', after: 0 }, { kind: 'remember', servers: [SERVER], entries: 4 }])
  assert.equal(decodeFleetState(encodeFleetState(state)), state)
  assert.equal(decodeFleetState(encodeFleetState(INITIAL_FLEET_STATE)), INITIAL_FLEET_STATE)
})

// Every control instance would have failed at the same entry of the log, again at each start.
test('an entry that names no server ends whoever reads the log or a snapshot', () => {
  const odd = [null, { ...SERVER, member: 'i-2', port: 70_000 }, { ...SERVER, member: 'i-3', bornAt: 9e15 }] as KnownServer[]
  const { state } = apply([{ kind: 'remember', servers: [...odd, SERVER], entries: 3 }])
  assert.equal([...state.servers.keys()], ['i-1'])
  const snapshot = JSON.stringify({ ...JSON.parse(encodeFleetState(state)) as object, servers: [...odd, SERVER] })
  assert.equal([...decodeFleetState(snapshot).servers.keys()], ['i-1'])
})

const HOLDERS: FleetCommand = { kind: 'remember', servers: [], entries: 2, shares: { added: ['entry-1', 'constructor'], removed: [], bounds: [['__proto__', [['entry-1', 0.5], ['constructor', 0.2]]]] } }

test('holders of shares are lost with a snapshot', () => {
  const { shareHolders, shareBounds } = decodeFleetState(encodeFleetState(apply([HOLDERS]).state))
  assert.equal([...shareHolders ?? []], ['entry-1', 'constructor'])
  assert.equal([...shareBounds.get('__proto__') ?? []], [['entry-1', 0.5], ['constructor', 0.2]])
})

test('what an earlier build wrote leaves older holders of shares in force', () => {
  const { state } = apply([HOLDERS, { kind: 'remember', servers: [], entries: 3 }])
  assert.is(state.shareHolders, undefined)
  assert.is(state.shareBounds.size, 0)
  assert.is(decodeFleetState('{"designations":[],"servers":[],"entries":3}').shareHolders, undefined)
})

test('broken holders of shares are taken for none', () => {
  for (const shares of [null, {}, { added: [1], removed: [], bounds: [] }, { added: [], removed: [], bounds: [['a', [['b', 7]]]] }]) {
    assert.is(apply([HOLDERS, { kind: 'remember', servers: [], entries: 3, shares } as unknown as FleetCommand]).state.shareHolders, undefined)
  }
})

test('an instance whose shares have ended keeps its bounds', () => {
  const { state } = apply([HOLDERS, { kind: 'remember', servers: [], entries: 1, shares: { added: [], removed: ['entry-1'], bounds: [] } }])
  assert.equal([...state.shareHolders ?? []], ['constructor'])
  assert.equal([...state.shareBounds.get('__proto__') ?? []], [['constructor', 0.2]])
})

const SHORT_USE: FleetCommand = { kind: 'remember', servers: [], entries: 2, shares: { added: ['entry-1', '__proto__'], removed: [], bounds: [], use: { term: 5, milliseconds: [['entry-1', 3_000], ['__proto__', 4_000]] } } }

function rememberUse (term: number | undefined, milliseconds: Array<[string, number]> = [], removed: string[] = []): FleetCommand {
  return { kind: 'remember', servers: [], entries: 2, shares: { added: [], removed, bounds: [], ...(term === undefined ? {} : { use: { term, milliseconds } }) } }
}

function findUses (commands: readonly FleetCommand[], term: number): number[] {
  const { shareUse } = decodeFleetState(encodeFleetState(apply(commands).state))
  return ['entry-1', '__proto__'].map(name => findShareUse(shareUse, term, name))
}

test('the use of shares is lost with a snapshot, or with the next command of its leader', () => {
  assert.equal(findUses([SHORT_USE], 5), [3_000, 4_000])
  assert.equal(findUses([SHORT_USE, rememberUse(5), rememberUse(6)], 7), [3_000, 4_000])
  assert.equal(findUses([SHORT_USE, rememberUse(5, [['entry-1', 12_000]])], 6), [12_000, 4_000])
  assert.equal(findUses([SHORT_USE, rememberUse(5, [], ['__proto__'])], 6), [3_000, 12_000])
})

// A leader of an earlier build in between may have granted shares to a process that uses them for longer, and written nothing of it.
test('the use of shares outlives a leader of which nothing is known', () => {
  assert.equal(findUses([SHORT_USE], 6), [3_000, 4_000])
  assert.equal(findUses([SHORT_USE], 7), [12_000, 12_000])
  assert.equal(findUses([SHORT_USE, rememberUse(7)], 7), [12_000, 12_000])
  assert.equal(findUses([SHORT_USE, rememberUse(undefined)], 5), [12_000, 12_000])
  assert.equal(findUses([SHORT_USE, rememberUse(5, [['entry-1', 'long']] as unknown as Array<[string, number]>)], 5), [12_000, 12_000])
})

test('the record of commit copies is lost with a snapshot', () => {
  const copies = { group: '__proto__', synchronousReplicas: 1, servers: [{ member: 'p', bornAt: 1, address: '10.0.0.1:1' }] }
  const remember = (changes: Partial<typeof copies>): FleetCommand => ({ kind: 'remember', servers: [], entries: 1, copies: { ...copies, ...changes } })
  assert.equal(decodeFleetState(encodeFleetState(apply([remember({})]).state)).copies.get('__proto__'), copies)
  assert.is(apply([remember({}), remember({ servers: [] })]).state.copies.size, 0)
})

// A new leader would take a former primary for the one that leads, or wait for a promotion that is over.
test('the term of a primary is lost with a snapshot, or noted for another designation', () => {
  const { state } = apply([{ kind: 'designate', group: 'g', member: 'p', after: 0 }, { kind: 'designate', group: 'g', member: 'r1', after: 1, leadsFrom: 2 }])
  const verify = (designation: number) => applyFleetCommand(state, { kind: 'remember', servers: [], entries: 4, verified: [{ group: 'g', designation, term: 2 }] }).state
  assert.equal(verify(1).designations.get('g'), { group: 'g', member: 'r1', number: 2, leadsFrom: 2 })
  const verified = decodeFleetState(encodeFleetState(verify(2)))
  assert.equal(verified.designations.get('g'), { group: 'g', member: 'r1', number: 2, leadsFrom: 2, term: 2 })
  const next = applyFleetCommand(verified, { kind: 'designate', group: 'g', member: 'p', after: 2, leadsFrom: 3 }).state
  assert.is(next.designations.get('g')?.term, undefined)
})

test.run()
