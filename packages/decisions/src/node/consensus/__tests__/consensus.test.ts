import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EMPTY_DURABLE_STATE, applyPersist, startConsensus, stepConsensus } from '../consensus.js'
import { NO_FAULTS, RANDOM_FAULTS, createNetwork, member } from './network.js'
import type { Network } from './network.js'
import type { DurableState } from '../consensus.js'
import type { ConsensusEvent, ConsensusState, LogEntry, LogMember } from '../types.js'

const THREE_MEMBERS = ['a', 'b', 'c']
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 60) }, (_value, index) => index + 1)

function holdsAll (network: Network, identity: string): boolean {
  const commands = network.nodes.get(identity)?.commands ?? []
  return network.accepted.every(command => commands.includes(command))
}

function waitForLeader (network: Network): string {
  network.run(3_000)
  const leader = network.leader()
  assert.ok(leader, 'no leader after three seconds')
  return leader
}

/** Repeats a proposal until it is accepted. */
function proposeUntilAccepted (network: Network, command: string): void {
  for (let attempt = 0; attempt < 40; attempt += 1) {
    const request = network.propose(network.leader() ?? '', `${command}-${attempt}`)
    network.run(300, network.repair)
    if (network.answers.get(request) === 'applied') return
  }
  throw new Error(`${command} was never accepted`)
}

/** Runs random faults for one seed, with proposals and reads on all members. */
function runWithFaults (seed: number, identities: string[]): Network {
  const network = createNetwork(seed, identities, RANDOM_FAULTS)
  const { random } = network
  const pickMember = (): string => identities[Math.floor(random() * identities.length)]
  let command = 0
  const faults: Array<() => void> = [
    () => { network.cut(pickMember(), pickMember()) },
    () => { network.heal() },
    () => { network.stop(pickMember()) },
    () => { for (const identity of identities) if (network.nodes.get(identity)?.running === false) network.restart(identity) },
    () => { network.compact(pickMember()) },
    () => { for (const other of identities) network.cut(network.leader() ?? '', other) }
  ]
  for (let round = 0; round < 40; round += 1) {
    faults[Math.floor(random() * faults.length)]()
    network.run(100 + random() * 400, () => {
      if (random() < 0.1) network.propose(network.leader() ?? pickMember(), `command-${command += 1}`)
      if (random() < 0.1) network.propose(pickMember(), `command-${command += 1}`)
      if (random() < 0.1) network.confirm(pickMember())
    })
  }
  network.healAndRestart()
  network.run(4_000)
  return network
}

test('random faults lose, change or duplicate no accepted command', () => {
  let accepted = 0
  for (const seed of SEEDS) {
    const identities = seed % 3 === 0 ? ['a', 'b', 'c', 'd', 'e'] : THREE_MEMBERS
    const network = runWithFaults(seed, identities)
    accepted += network.accepted.length
    for (const identity of identities) assert.ok(holdsAll(network, identity), `seed ${seed}: ${identity} lacks what was accepted`)
    assert.is(new Set(network.accepted).size, network.accepted.length, `seed ${seed}: a command was accepted twice`)
    assert.ok(network.leader(), `seed ${seed}: no leader after the faults`)
  }
  assert.ok(accepted > SEEDS.length * 20, `only ${accepted} commands were accepted: too few for a meaningful check`)
})

// A new leader published the primary that its predecessor had replaced, and went on with it.
test('a leader has a lease before it has applied the commands of its predecessor', () => {
  for (const seed of SEEDS) {
    const network = createNetwork(seed, THREE_MEMBERS, NO_FAULTS)
    const leader = waitForLeader(network)
    proposeUntilAccepted(network, 'before')
    const [behind, next] = THREE_MEMBERS.filter(identity => identity !== leader)
    network.cut(leader, behind)
    network.propose(leader, 'last')
    network.run(20)
    network.stop(leader)
    network.heal()
    network.run(3_000)
    assert.is(network.leader(), next, `seed ${seed}`)
    assert.ok(holdsAll(network, next), `seed ${seed}`)
  }
})

test('members that all restart elect a leader well before an election timeout', () => {
  for (const seed of SEEDS) {
    const network = createNetwork(seed, THREE_MEMBERS, NO_FAULTS)
    waitForLeader(network)
    proposeUntilAccepted(network, 'before')
    for (const identity of THREE_MEMBERS) network.stop(identity)
    network.run(50)
    for (const identity of THREE_MEMBERS) network.restart(identity)
    network.run(150)
    assert.ok(network.leader(), `seed ${seed}`)
    proposeUntilAccepted(network, 'after')
  }
})

test('restarted members that are cut off from the leader elect another after its lease', () => {
  for (const seed of SEEDS) {
    const network = createNetwork(seed, THREE_MEMBERS, NO_FAULTS)
    const leader = waitForLeader(network)
    proposeUntilAccepted(network, 'before')
    const others = THREE_MEMBERS.filter(identity => identity !== leader)
    for (const other of others) {
      network.cut(leader, other)
      network.cut(other, leader)
      network.restart(other)
    }
    network.run(2_000)
    assert.ok(others.includes(network.leader() ?? ''), `seed ${seed}`)
  }
})

test('a restarted member does not disrupt an active leader', () => {
  const network = createNetwork(11, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  const term = network.nodes.get(leader)?.state.term
  for (const identity of THREE_MEMBERS.filter(other => other !== leader)) {
    network.stop(identity)
    network.restart(identity)
    network.run(1_000)
  }
  assert.is(network.leader(), leader)
  assert.is(network.nodes.get(leader)?.state.term, term)
})

test('a leader that receives no replies steps down', () => {
  const network = createNetwork(1, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  for (const other of THREE_MEMBERS) network.cut(other, leader)
  network.run(700)
  assert.is.not(network.nodes.get(leader)?.state.role, 'leader')
})

test('a leader whose messages are lost does not confirm a read', () => {
  const network = createNetwork(2, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  for (const other of THREE_MEMBERS) network.cut(leader, other)
  const request = network.confirm(leader)
  network.run(3_000)
  assert.is(network.answers.get(request), 'unconfirmed')
})

test('a member that receives no messages does not raise the term', () => {
  const network = createNetwork(3, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  const term = network.nodes.get(leader)?.state.term
  const [isolated] = THREE_MEMBERS.filter(identity => identity !== leader)
  for (const other of THREE_MEMBERS) network.cut(other, isolated)
  network.run(5_000)
  network.heal()
  network.run(2_000)
  assert.is(network.leader(), leader)
  assert.is(network.nodes.get(leader)?.state.term, term)
})

test('a member far behind receives the snapshot in parts', () => {
  const network = createNetwork(4, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  const [behind] = THREE_MEMBERS.filter(identity => identity !== leader)
  network.stop(behind)
  for (let command = 0; command < 30; command += 1) proposeUntilAccepted(network, `command-${command}`)
  network.compact(leader)
  network.restart(behind)
  network.run(2_000)
  assert.ok(holdsAll(network, behind))
  assert.ok((network.nodes.get(behind)?.state.snapshot.index ?? 0) > 0)
})

test('a leader removed from the membership stops leading', () => {
  const network = createNetwork(5, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  const request = network.change(leader, { kind: 'remove', identity: leader })
  network.run(3_000)
  assert.is(network.answers.get(request), 'changed')
  assert.is.not(network.leader(), leader)
  proposeUntilAccepted(network, 'after')
})

test('a second membership change is refused while the first is uncommitted', () => {
  const network = createNetwork(6, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  network.change(leader, { kind: 'add learner', member: member('d') })
  const second = network.change(leader, { kind: 'add learner', member: member('e') })
  assert.is(network.answers.get(second), 'not now')
})

test('a learner that lacks committed entries is not promoted', () => {
  const network = createNetwork(7, THREE_MEMBERS, NO_FAULTS)
  const leader = waitForLeader(network)
  proposeUntilAccepted(network, 'first')
  network.change(leader, { kind: 'add learner', member: member('d') })
  network.run(500)
  const promotion = network.change(leader, { kind: 'promote', identity: 'd' })
  assert.is(network.answers.get(promotion), 'refused')
})

test('disk losses, each right after a repair, lose no accepted command', () => {
  for (const seed of SEEDS) {
    const network = createNetwork(seed, THREE_MEMBERS, { ...RANDOM_FAULTS, crashProbability: 0 })
    waitForLeader(network)
    for (let command = 0; command < 5; command += 1) proposeUntilAccepted(network, `before-${command}`)
    const first = THREE_MEMBERS[seed % 3]
    network.replaceDisk(first, `${first}2`, first)
    repairUntilComplete(network, seed)
    proposeUntilAccepted(network, 'between')
    const second = THREE_MEMBERS[(seed + 1) % 3]
    network.replaceDisk(second, `${second}2`, second)
    repairUntilComplete(network, seed)
    proposeUntilAccepted(network, 'after')
    const third = THREE_MEMBERS[(seed + 2) % 3]
    network.replaceDisk(third, `${third}2`, third)
    repairUntilComplete(network, seed)
    network.run(2_000)
    for (const identity of ['a2', 'b2', 'c2']) assert.ok(holdsAll(network, identity), `seed ${seed}: ${identity} lacks what was accepted`)
  }
})

/** Repairs the membership until it consists of three voters, all with their disks. */
function repairUntilComplete (network: Network, seed: number): void {
  for (let round = 0; round < 100; round += 1) {
    network.run(200, network.repair)
    const members = network.nodes.get(network.leader() ?? '')?.state.members ?? []
    const complete = members.length === 3 && members.every(({ identity, role }) => role === 'voter' && network.nodes.has(identity))
    if (complete) return
  }
  throw new Error(`seed ${seed}: the membership was not repaired`)
}

const MEMBERS: LogMember[] = THREE_MEMBERS.map(identity => ({ ...member(identity), role: 'voter' }))

function startWith (self: string, durable: Partial<DurableState>): ConsensusState {
  const snapshot = { ...EMPTY_DURABLE_STATE.snapshot, members: MEMBERS }
  return startConsensus(self, { ...EMPTY_DURABLE_STATE, snapshot, ...durable }, 0, () => 0)
}

function applyEvents (state: ConsensusState, events: ConsensusEvent[], now: number): ConsensusState {
  return events.reduce((current, event) => stepConsensus(current, event, now, () => 0).state, state)
}

// Restarted members refuse votes for an election timeout, each until a moment of its own; a member whose pre-vote came a little too early waited for one or two more.
test('members that restart without two disks find no leader in two election timeouts', () => {
  for (const seed of SEEDS) {
    const identities = ['a', 'b', 'c', 'd', 'e']
    const network = createNetwork(seed, identities, NO_FAULTS)
    waitForLeader(network)
    network.run(2_000)
    proposeUntilAccepted(network, 'before')
    network.run(500)
    for (const identity of identities) network.stop(identity)
    for (const lost of ['d', 'e']) network.replaceDisk(lost, `${lost}2`, lost)
    for (const identity of ['a', 'b', 'c']) {
      network.restart(identity)
      network.run(25)
    }
    network.run(2 * (network.nodes.get('a')?.state.limits.electionTimeoutMilliseconds ?? 0) - 75)
    assert.ok(network.leader() !== undefined, `seed ${seed}`)
  }
})

test('a vote survives a restart', () => {
  const vote = (from: string): ConsensusEvent => ({ kind: 'receive', from, message: { kind: 'vote', term: 4, lastIndex: 0, lastTerm: 0 } })
  const { effects } = stepConsensus(startWith('a', {}), vote('b'), 10, () => 0)
  const sent = effects.findIndex(({ kind }) => kind === 'send')
  let durable: DurableState = EMPTY_DURABLE_STATE
  for (const effect of effects.slice(0, sent)) if (effect.kind === 'persist') durable = applyPersist(durable, effect)
  const again = stepConsensus(startWith('a', { term: durable.term, votedFor: durable.votedFor }), vote('c'), 20, () => 0)
  const reply = again.effects.find(({ kind }) => kind === 'send')
  assert.ok(reply?.kind === 'send' && reply.message.kind === 'vote reply' && !reply.message.granted)
})

test('an entry of an older term is not committed by counting replicas', () => {
  const log: LogEntry[] = [{ kind: 'command', index: 1, term: 2, command: 'old' }]
  const elected = applyEvents(startWith('a', { term: 3, log }), [
    { kind: 'tick' },
    { kind: 'receive', from: 'b', message: { kind: 'pre-vote reply', term: 3, campaignTerm: 4, granted: true } },
    { kind: 'receive', from: 'b', message: { kind: 'vote reply', term: 4, granted: true } }
  ], 5_000)
  assert.is(elected.role, 'leader')
  const acknowledge = (index: number): ConsensusEvent => ({ kind: 'receive', from: 'b', message: { kind: 'append reply', term: 4, success: true, index, round: 1 } })
  const counted = applyEvents(elected, [acknowledge(1)], 5_010)
  assert.is(counted.commitIndex, 0)
  assert.is(applyEvents(counted, [acknowledge(2)], 5_020).commitIndex, 2)
})

test('a single member elects itself, accepts commands and confirms reads', () => {
  const network = createNetwork(8, ['a'], NO_FAULTS)
  waitForLeader(network)
  proposeUntilAccepted(network, 'alone')
  const request = network.confirm('a')
  assert.is(network.answers.get(request), 'confirmed')
})

test.run()
