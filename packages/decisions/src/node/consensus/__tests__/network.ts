/** Simulates a network of members in virtual time: drops, delays and duplicates messages, restarts members from their disks, and fills disks. */

import { EMPTY_DURABLE_STATE, applyPersist, observeLeader, resumeConsensus, startConsensus, stepConsensus } from '../consensus.js'
import { MANUAL_MEMBERSHIP, planMembershipChange } from '../repair.js'
import { leadershipConfirmedSince } from '../replication.js'
import type { DurableState } from '../consensus.js'
import type { Introduction, MembershipPolicy } from '../repair.js'
import type { ConsensusEffect, ConsensusEvent, ConsensusLimits, ConsensusMessage, ConsensusState, LogMember, RequestAnswer } from '../types.js'

export const LIMITS: ConsensusLimits = { heartbeatMilliseconds: 50, electionTimeoutMilliseconds: 300, maximumEntries: 4, maximumPartCharacters: 200 }

export interface Faults {
  dropProbability: number
  duplicateProbability: number
  maximumDelayMilliseconds: number
  /** Probability that a member crashes before an effect, so that later effects of the step are lost. */
  crashProbability: number
}

export const NO_FAULTS: Faults = { dropProbability: 0, duplicateProbability: 0, maximumDelayMilliseconds: 5, crashProbability: 0 }
export const RANDOM_FAULTS: Faults = { dropProbability: 0.1, duplicateProbability: 0.1, maximumDelayMilliseconds: 60, crashProbability: 0.0005 }

/** Interval between two attempts to write to a full disk, in milliseconds. */
const DISK_RETRY_MILLISECONDS = 250

class FullDiskError extends Error {}

interface Node {
  running: boolean
  /** When the disk refused a write; undefined while the member takes part. */
  diskRefusedAt: number | undefined
  state: ConsensusState
  durable: DurableState
  /** What a restart reads: after a refused write it may hold what was refused. */
  disk: DurableState
  appliedIndex: number
  /** Commands that the state machine has applied, in order. */
  commands: string[]
}

export type Answer = RequestAnswer | 'applied'

export function createRandom (seed: number): () => number {
  let value = seed >>> 0
  return () => {
    value = (value + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(value ^ (value >>> 15), value | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}

export function member (identity: string, name = identity): Introduction {
  return { identity, name, failureDomain: `domain-${name}`, host: '127.0.0.1', port: 1 }
}

export class InvariantViolation extends Error {}

/** Creates members, the message queue between them, and the records that checks read. */
export function createNetwork (seed: number, identities: string[], faults: Faults) {
  const random = createRandom(seed)
  const nodes = new Map<string, Node>()
  const cuts = new Set<string>()
  const fullDisks = new Set<string>()
  const answers = new Map<number, Answer>()
  const leaderOfTerm = new Map<number, string>()
  const appliedEntries = new Map<number, string>()
  const accepted: string[] = []
  const introductions = new Map<string, Introduction>()
  let queue: Array<{ at: number, from: string, to: string, message: ConsensusMessage }> = []
  let now = 0
  let nextRequest = 1
  let crashProbability = faults.crashProbability
  /** Number of commands in a state machine that has applied all accepted commands. */
  let acceptedLength = 0
  const expectedLengths = new Map<number, number>()

  function startNode (identity: string, durable: DurableState): void {
    const commands = durable.snapshot.data === '' ? [] : JSON.parse(durable.snapshot.data) as string[]
    nodes.set(identity, { running: true, diskRefusedAt: undefined, durable, disk: durable, appliedIndex: durable.snapshot.index, commands, state: startConsensus(identity, durable, now, random, LIMITS) })
  }

  function send (from: string, to: string, message: ConsensusMessage): void {
    const copies = random() < faults.duplicateProbability ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      if (random() < faults.dropProbability) continue
      queue.push({ at: now + 1 + random() * faults.maximumDelayMilliseconds, from, to, message: JSON.parse(JSON.stringify(message)) as ConsensusMessage })
    }
  }

  const performers: { [Kind in ConsensusEffect['kind']]: (node: Node, effect: Extract<ConsensusEffect, { kind: Kind }>) => void } = {
    persist: (node, effect) => {
      const next = applyPersist(node.durable, effect)
      const isFull = fullDisks.has(node.state.self)
      if (!isFull || random() < 0.5) node.disk = next
      if (isFull) throw new FullDiskError()
      node.durable = next
    },
    send: ({ state }, { to, message }) => { send(state.self, to, message) },
    apply: (node, { entry, request }) => {
      const text = JSON.stringify(entry)
      const known = appliedEntries.get(entry.index)
      if (known !== undefined && known !== text) throw new InvariantViolation(`entry ${entry.index} was applied as ${known} and as ${text}`)
      appliedEntries.set(entry.index, text)
      node.appliedIndex = entry.index
      if (entry.kind === 'command') node.commands.push(String(entry.command))
      if (request === undefined || entry.kind !== 'command') return
      accepted.push(String(entry.command))
      acceptedLength = Math.max(acceptedLength, node.commands.length)
      answers.set(request, 'applied')
    },
    restore: (node, { index, data }) => {
      node.appliedIndex = index
      node.commands = JSON.parse(data) as string[]
    },
    answer: (node, { request, answer }) => {
      answers.set(request, answer)
      const expected = expectedLengths.get(request) ?? 0
      if (answer === 'confirmed' && node.commands.length < expected) throw new InvariantViolation(`a read was confirmed at ${node.commands.length} commands, when ${expected} were accepted before it`)
    },
    note: ({ state }, { note, term }) => {
      if (note !== 'leads') return
      const known = leaderOfTerm.get(term) ?? state.self
      if (known !== state.self) throw new InvariantViolation(`term ${term} has two leaders: ${known} and ${state.self}`)
      leaderOfTerm.set(term, state.self)
    }
  }

  function resume (identity: string, node: Node): void {
    node.state = resumeConsensus(identity, node.durable, node.appliedIndex, now, random, LIMITS)
  }

  function awaitDisk (identity: string, node: Node): void {
    node.diskRefusedAt = now
    resume(identity, node)
  }

  /** Lets members take part again whose disks have room, at the intervals at which they try. */
  function retryDisks (): void {
    for (const [identity, node] of nodes) {
      if (node.diskRefusedAt === undefined || now < node.diskRefusedAt + DISK_RETRY_MILLISECONDS) continue
      node.diskRefusedAt = fullDisks.has(identity) ? now : undefined
      if (node.diskRefusedAt === undefined) {
        node.disk = node.durable
        resume(identity, node)
      }
    }
  }

  function performEffects (node: Node, effects: readonly ConsensusEffect[]): void {
    for (const effect of effects) {
      if (random() < crashProbability) {
        node.running = false
        return
      }
      const perform = performers[effect.kind] as (node: Node, effect: ConsensusEffect) => void
      perform(node, effect)
    }
  }

  function step (identity: string, event: ConsensusEvent): void {
    const node = nodes.get(identity)
    if (node?.running !== true) return
    if (node.diskRefusedAt !== undefined) {
      if (event.kind === 'receive') node.state = observeLeader(node.state, event.from, event.message)
      return
    }
    const { state, effects } = stepConsensus(node.state, event, now, random)
    node.state = state
    try {
      performEffects(node, effects)
    } catch (error) {
      if (!(error instanceof FullDiskError)) throw error
      awaitDisk(identity, node)
    }
  }

  function deliver (): void {
    const due = queue.filter(({ at }) => at <= now).sort((left, right) => left.at - right.at)
    queue = queue.filter(({ at }) => at > now)
    for (const { from, to, message } of due) {
      if (!cuts.has(`${from}>${to}`)) step(to, { kind: 'receive', from, message })
    }
  }

  /** A leader's lease lasts for an election timeout from its last confirmed round; no other member may lead until then, and it holds all that was accepted. */
  function checkLeases (): void {
    const leaders = [...nodes.values()].filter(({ running, state }) => running && state.role === 'leader' && now < leadershipConfirmedSince(state) + LIMITS.electionTimeoutMilliseconds)
    if (leaders.length > 1) throw new InvariantViolation(`${leaders.map(({ state }) => state.self).join(' and ')} lead at the same time`)
    for (const { state, commands } of leaders) {
      if (commands.length < acceptedLength) throw new InvariantViolation(`${state.self} has a lease with ${commands.length} commands, when ${acceptedLength} were accepted`)
    }
  }

  function request (identity: string, createEvent: (request: number) => ConsensusEvent): number {
    const number = nextRequest
    nextRequest += 1
    step(identity, createEvent(number))
    return number
  }

  const network = {
    random,
    nodes,
    answers,
    accepted,
    introductions,
    now: () => now,
    /** Advances virtual time. */
    run: (milliseconds: number, afterStep: () => void = () => {}) => {
      const end = now + milliseconds
      while (now < end) {
        now += 5
        retryDisks()
        deliver()
        for (const identity of nodes.keys()) step(identity, { kind: 'tick' })
        checkLeases()
        afterStep()
      }
    },
    leader: () => [...nodes.values()].filter(({ running, state }) => running && state.role === 'leader').sort((left, right) => right.state.term - left.state.term)[0]?.state.self,
    propose: (identity: string, command: string) => request(identity, number => ({ kind: 'propose', request: number, command })),
    confirm: (identity: string) => request(identity, number => {
      expectedLengths.set(number, acceptedLength)
      return { kind: 'confirm', request: number }
    }),
    change: (identity: string, change: Extract<ConsensusEvent, { kind: 'change membership' }>['change']) => request(identity, number => ({ kind: 'change membership', request: number, change })),
    compact: (identity: string) => {
      const node = nodes.get(identity)
      if (node !== undefined) step(identity, { kind: 'compact', index: node.state.appliedIndex, data: JSON.stringify(node.commands) })
    },
    /** Makes the next membership change that the leader plans. */
    repair: (policy: MembershipPolicy = MANUAL_MEMBERSHIP) => {
      const leader = nodes.get(network.leader() ?? '')
      const introduced = [...introductions.values()].filter(({ identity }) => nodes.get(identity)?.diskRefusedAt === undefined)
      const change = leader === undefined ? undefined : planMembershipChange(leader.state, introduced, now, policy)
      if (leader !== undefined && change !== undefined) network.change(leader.state.self, change)
    },
    stop: (identity: string) => {
      const node = nodes.get(identity)
      if (node !== undefined) node.running = false
    },
    /** Starts a member with an empty disk. */
    join: (identity: string) => { startNode(identity, EMPTY_DURABLE_STATE) },
    /** Restarts a member from its disk. */
    restart: (identity: string) => {
      const node = nodes.get(identity)
      if (node !== undefined) startNode(identity, node.disk)
    },
    /** Deletes the disk of `identity`; the instance returns as `successor`. */
    replaceDisk: (identity: string, successor: string, name: string) => {
      nodes.delete(identity)
      introductions.delete(name)
      introductions.set(name, member(successor, name))
      startNode(successor, EMPTY_DURABLE_STATE)
    },
    /** From now on the disk refuses all writes, until it has room. */
    fillDisk: (identity: string) => { fullDisks.add(identity) },
    makeRoom: (identity: string) => { fullDisks.delete(identity) },
    /** Drops all messages from one member to another, until healed. */
    cut: (from: string, to: string) => { cuts.add(`${from}>${to}`) },
    heal: () => { cuts.clear() },
    healAndRestart: () => {
      crashProbability = 0
      cuts.clear()
      fullDisks.clear()
      for (const [identity, { running }] of nodes) if (!running) network.restart(identity)
    }
  }

  const members: LogMember[] = identities.map(identity => ({ ...member(identity), role: 'voter' }))
  for (const [index, identity] of identities.entries()) {
    // Only the founder has the membership at first; the others receive it through the log.
    startNode(identity, index === 0 ? { ...EMPTY_DURABLE_STATE, snapshot: { ...EMPTY_DURABLE_STATE.snapshot, members } } : EMPTY_DURABLE_STATE)
  }
  return network
}

export type Network = ReturnType<typeof createNetwork>
