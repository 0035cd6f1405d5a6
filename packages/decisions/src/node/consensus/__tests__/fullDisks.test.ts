import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_FAULTS, RANDOM_FAULTS, createNetwork, member } from './network.js'
import type { Network } from './network.js'

const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 40) }, (_value, index) => index + 1)
/** How long each disk is full, in milliseconds. */
const FULL_MILLISECONDS = 4_500
/** Time in which a change must be accepted while one disk is full, in milliseconds: an election, and another one if votes are split. */
const LONGEST_WAIT_MILLISECONDS = 3_000
const PROPOSAL_INTERVAL_MILLISECONDS = 100

function nameMembers (count: number): string[] {
  return Array.from({ length: count }, (_, index) => String.fromCharCode('a'.charCodeAt(0) + index))
}

/** Runs the network while changes are proposed to its leader; returns the longest time without an accepted one, in milliseconds. */
function runWithProposals (network: Network, milliseconds: number, afterStep: () => void = () => {}): number {
  let acceptedAt = network.now()
  let acceptedCount = network.accepted.length
  let proposedAt = network.now()
  let longestWait = 0
  network.run(milliseconds, () => {
    afterStep()
    if (network.now() - proposedAt >= PROPOSAL_INTERVAL_MILLISECONDS) {
      proposedAt = network.now()
      network.propose(network.leader() ?? '', `command-${proposedAt}`)
    }
    if (network.accepted.length > acceptedCount) {
      acceptedCount = network.accepted.length
      acceptedAt = network.now()
    }
    longestWait = Math.max(longestWait, network.now() - acceptedAt)
  })
  return longestWait
}

function assertHoldsAll (network: Network, identity: string, seed: number): void {
  const commands = network.nodes.get(identity)?.commands ?? []
  assert.ok(network.accepted.every(command => commands.includes(command)), `seed ${seed}: ${identity} lacks what was accepted`)
  assert.is(new Set(commands).size, commands.length, `seed ${seed}: ${identity} applied a command twice`)
}

for (const count of [3, 5]) {
  test(`changes wait too long while the disks of ${count} voters are full in turn`, () => {
    for (const seed of SEEDS) {
      const identities = nameMembers(count)
      const network = createNetwork(seed, identities, NO_FAULTS)
      network.run(3_000)
      for (const identity of identities) {
        network.fillDisk(identity)
        const wait = runWithProposals(network, FULL_MILLISECONDS)
        network.makeRoom(identity)
        assert.ok(wait < LONGEST_WAIT_MILLISECONDS, `seed ${seed}: ${wait} ms while the disk of ${identity} is full`)
      }
      assert.ok(runWithProposals(network, 2_000) < 1_000, `seed ${seed}: changes wait after the disks have room`)
      network.run(1_000)
      for (const identity of identities) assertHoldsAll(network, identity, seed)
    }
  })
}

test('full disks in turn lose a voter of a membership that repairs itself', () => {
  for (const seed of SEEDS) {
    const identities = nameMembers(8)
    const network = createNetwork(seed, identities.slice(0, 5), NO_FAULTS)
    for (const identity of identities) network.introductions.set(identity, member(identity))
    for (const identity of identities.slice(5)) network.join(identity)
    const repair = (): void => { network.repair({ automatic: true, voters: 5 }) }
    network.run(4_000, repair)
    for (const identity of identities) {
      network.fillDisk(identity)
      const wait = runWithProposals(network, FULL_MILLISECONDS, repair)
      network.makeRoom(identity)
      assert.ok(wait < LONGEST_WAIT_MILLISECONDS, `seed ${seed}: ${wait} ms while the disk of ${identity} is full`)
    }
    network.run(5_000, repair)
    const { members } = network.nodes.get(network.leader() ?? '')?.state ?? { members: [] }
    assert.is(members.length, identities.length, `seed ${seed}: members`)
    assert.is(members.filter(({ role }) => role === 'voter').length, 5, `seed ${seed}: voters`)
    for (const identity of identities) assertHoldsAll(network, identity, seed)
  }
})

test('full disks, crashes and lost messages lose, change or double an accepted command', () => {
  let accepted = 0
  for (const seed of SEEDS) {
    const identities = nameMembers(seed % 2 === 0 ? 3 : 5)
    const network = createNetwork(seed, identities, RANDOM_FAULTS)
    const { random } = network
    const pick = (): string => identities[Math.floor(random() * identities.length)]
    const faults: Array<() => void> = [
      () => { network.fillDisk(pick()) },
      () => { for (const identity of identities) network.makeRoom(identity) },
      () => { network.stop(pick()) },
      () => { for (const identity of identities) if (network.nodes.get(identity)?.running === false) network.restart(identity) },
      () => { network.compact(pick()) },
      () => { network.fillDisk(network.leader() ?? pick()) }
    ]
    for (let round = 0; round < 40; round += 1) {
      faults[Math.floor(random() * faults.length)]()
      runWithProposals(network, 100 + random() * 400)
    }
    network.healAndRestart()
    network.run(4_000)
    accepted += network.accepted.length
    for (const identity of identities) assertHoldsAll(network, identity, seed)
    assert.is(new Set(network.accepted).size, network.accepted.length, `seed ${seed}: a command was accepted twice`)
    assert.ok(network.leader(), `seed ${seed}: no leader`)
  }
  assert.ok(accepted > SEEDS.length * 20, `only ${accepted} commands were accepted: too few for a meaningful check`)
})

test.run()
