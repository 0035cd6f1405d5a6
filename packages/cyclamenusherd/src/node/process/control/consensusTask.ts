/**
 * The task that takes part in consensus: owns the reducer's state, its timer, the
 * data folder and the links to the other members.
 */

import { EventEmitter } from 'node:events'
import { fromEvent, merge, periodic } from 'most'
import { leadershipConfirmedSince, observeLeader, planMembershipChange, resumeConsensus, startConsensus, stepConsensus } from '@cyclamenusher/decisions'
import { createSuspensionWatch } from '../suspension.js'
import { DiskError } from './errors.js'
import { createPeerLinks } from './peerLinks.js'
import type { ConsensusEffect, ConsensusLimits, ConsensusEvent, ConsensusMessage, ConsensusState, Introduction, LogMember, MembershipChange, MembershipPolicy, RequestAnswer } from '@cyclamenusher/decisions'
import type { PeerCredentials } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { LogStorage } from './logStorage.js'
import type { StateMachine } from './replicatedLog.js'

/** Interval of the timer that drives elections and heartbeats, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 25
/** Number of applied entries after which a snapshot replaces them. */
const COMPACTION_ENTRIES = 256
/** Multiple of that number at which a leader no longer waits for members that have not caught up. */
const COMPACTION_LAG_FACTOR = 4
/** Time by which a leader's lease ends before the election timeout, in milliseconds: allows for clock drift and message delay. */
const LEADER_LEASE_MARGIN_MILLISECONDS = 100
/** Time after which an introduction expires unless it is repeated, in milliseconds. */
const INTRODUCTION_VALIDITY_MILLISECONDS = 5_000

/** Interval between two attempts to write to a disk that refused a write, in milliseconds: short compared to the time after which a silent voter is replaced. */
const DISK_RETRY_INTERVAL_MILLISECONDS = 250

/** Maximum number of requests that wait for an answer; further ones are rejected. */
const MAXIMUM_PENDING_REQUESTS = 20_000
/** Maximum number of introductions that are kept; further ones are ignored. */
const MAXIMUM_INTRODUCTIONS = 64

/** `awaiting disk`: the disk refuses writes, and the member waits until it takes them again. `stopped`: an error that only a restart can mend. */
export type Participation = 'active' | 'awaiting disk' | 'stopped'

export type TaskAnswer<Result> = { kind: 'answered', answer: RequestAnswer } | { kind: 'applied', result: Result }

export interface ConsensusTask<Result> {
  propose: (command: unknown) => Promise<TaskAnswer<Result>>
  /** As `confirmLeadership` of the replicated log, without its timeout. */
  confirmLeadership: () => Promise<boolean>
  change: (change: MembershipChange) => Promise<RequestAnswer>
  /** Handles messages from `from`; returns this member's immediate replies to it. */
  receive: (from: string, messages: ConsensusMessage[]) => ConsensusMessage[]
  /** Creates the log with these members, unless this member already holds one. */
  found: (members: LogMember[]) => void
  introduce: (introduction: Introduction) => void
  introductions: () => Introduction[]
  state: () => ConsensusState
  /** Whether this member leads, and no other member can lead at this moment. */
  hasLeaderLease: () => boolean
  /** Gives up leadership, so that another member is elected. */
  resign: () => void
  participation: () => Participation
  close: () => void
}

export interface TaskOptions<Command, Result> {
  storage: LogStorage
  stateMachine: StateMachine<Command, Result>
  credentials: PeerCredentials
  clock: Clock
  random: () => number
  logger: ScopedLogger
  membership: MembershipPolicy
  /** Number of applied entries after which a snapshot replaces them. @default COMPACTION_ENTRIES */
  compactionEntries?: number
  limits?: ConsensusLimits
  /** Called when the member has stopped for good. */
  onStopped?: () => void
}

type Performers = { [Kind in ConsensusEffect['kind']]: (effect: Extract<ConsensusEffect, { kind: Kind }>) => void }

export function createConsensusTask<Command, Result> (options: TaskOptions<Command, Result>): ConsensusTask<Result> {
  const { storage, stateMachine, credentials, clock, random, logger } = options
  const { compactionEntries = COMPACTION_ENTRIES } = options
  const { identity } = storage
  const suspension = createSuspensionWatch(clock)
  const emitter = new EventEmitter()
  const pendingRequests = new Map<number, (answer: TaskAnswer<Result>) => void>()
  const receivedIntroductions = new Map<string, { introduction: Introduction, at: number }>()
  const links = createPeerLinks(identity, credentials, (from, messages) => { for (const message of messages) step({ kind: 'receive', from, message }) })
  let state = startConsensus(identity, storage.durable(), clock.now(), random, options.limits)
  /** Index of the last entry that the state machine holds. */
  let appliedIndex = state.appliedIndex
  let nextRequest = 1
  let participation: Participation = 'active'
  let diskRefusedAt = -Infinity
  let diskRetriedAt = -Infinity
  let closed = false
  /** While a call is handled: the member that made it, and the messages to return. */
  let reply: { to: string, messages: ConsensusMessage[] } | undefined

  if (state.snapshot.data !== '') stateMachine.restore(state.snapshot.data)
  links.setMembers(state.members)

  function resolveRequest (request: number, answer: TaskAnswer<Result>): void {
    const resolve = pendingRequests.get(request)
    pendingRequests.delete(request)
    resolve?.(answer)
  }

  const performers: Performers = {
    persist: storage.persist,
    send: ({ to, message }) => {
      if (reply?.to === to) reply.messages.push(message)
      else links.send(to, message)
    },
    apply: ({ entry, request }) => {
      appliedIndex = entry.index
      if (entry.kind !== 'command') return
      const result = stateMachine.apply(entry.command as Command)
      if (request !== undefined) resolveRequest(request, { kind: 'applied', result })
    },
    restore: ({ index, data }) => {
      appliedIndex = index
      stateMachine.restore(data)
    },
    answer: ({ request, answer }) => { resolveRequest(request, { kind: 'answered', answer }) },
    note: ({ note, term, leader }) => { logger.info('The part in agreement changed.', { now: note, term, leader: findName(leader) }) }
  }

  function findName (memberIdentity: string | undefined): string | undefined {
    return state.members.find(member => member.identity === memberIdentity)?.name ?? memberIdentity
  }

  function answerPendingRequests (): void {
    for (const request of [...pendingRequests.keys()]) resolveRequest(request, { kind: 'answered', answer: 'unknown' })
  }

  function stop (error: Error): void {
    participation = 'stopped'
    links.close()
    answerPendingRequests()
    logger.error('This instance takes no part in agreement any more.', { reason: error.message })
    options.onStopped?.()
  }

  /** Starts over from what is durable: the state may hold entries and votes that the disk refused. */
  function resetState (): void {
    state = resumeConsensus(identity, storage.durable(), appliedIndex, clock.now(), random, options.limits)
    links.setMembers(state.members)
  }

  /** Sends and answers nothing until the disk takes writes again. Others count this member as lost meanwhile. */
  function awaitDisk (error: Error): void {
    participation = 'awaiting disk'
    diskRefusedAt = clock.now()
    diskRetriedAt = diskRefusedAt
    resetState()
    answerPendingRequests()
    logger.error('The disk refuses writes: this instance takes no part in agreement until it takes them again.', { reason: error.message })
  }

  function fail (error: unknown): void {
    if (error instanceof DiskError) awaitDisk(error)
    else stop(error as Error)
  }

  function resumeIfPossible (): void {
    if (clock.now() - diskRetriedAt < DISK_RETRY_INTERVAL_MILLISECONDS) return
    diskRetriedAt = clock.now()
    try {
      storage.rewrite()
    } catch (error) {
      if (!(error instanceof DiskError)) return stop(error as Error)
      logger.debug('The disk still refuses writes.', { reason: error.message })
      return
    }
    participation = 'active'
    resetState()
    logger.info('The disk takes writes again: this instance takes part in agreement again.', { milliseconds: Math.round(clock.now() - diskRefusedAt) })
  }

  function step (event: ConsensusEvent): void {
    if (closed || participation === 'stopped') return
    if (participation === 'awaiting disk') {
      if (event.kind === 'receive') state = observeLeader(state, event.from, event.message)
      return
    }
    try {
      const { members } = state
      const next = stepConsensus(state, event, clock.now(), random)
      state = next.state
      if (state.members !== members) links.setMembers(state.members)
      for (const effect of next.effects) {
        const perform = performers[effect.kind] as (effect: ConsensusEffect) => void
        perform(effect)
      }
    } catch (error) {
      fail(error)
    }
  }

  function compactWhenDue (): void {
    const { appliedIndex, snapshot, progress } = state
    const uncompacted = appliedIndex - snapshot.index
    const allCaughtUp = [...progress.values()].every(({ matchIndex }) => matchIndex >= appliedIndex)
    if (uncompacted < compactionEntries || (!allCaughtUp && uncompacted < compactionEntries * COMPACTION_LAG_FACTOR)) return
    step({ kind: 'compact', index: appliedIndex, data: stateMachine.snapshot() })
  }

  function introductions (): Introduction[] {
    const oldest = clock.now() - INTRODUCTION_VALIDITY_MILLISECONDS
    for (const [name, { at }] of receivedIntroductions) if (at < oldest) receivedIntroductions.delete(name)
    return [...receivedIntroductions.values()].map(({ introduction }) => introduction)
  }

  function repairMembership (): void {
    const change = planMembershipChange(state, introductions(), clock.now(), options.membership)
    if (change === undefined) return
    logger.info('A membership change is proposed.', { change: change.kind, member: 'member' in change ? change.member.name : findName(change.identity) })
    void request(number => ({ kind: 'change membership', request: number, change }))
  }

  function hasLeaderLease (): boolean {
    if (participation !== 'active' || state.role !== 'leader') return false
    const confirmedSince = leadershipConfirmedSince(state)
    if (confirmedSince <= suspension.resumedAt()) return false
    return clock.now() < confirmedSince + state.limits.electionTimeoutMilliseconds - LEADER_LEASE_MARGIN_MILLISECONDS
  }

  function tick (): void {
    // Compares the clocks at each tick, so that they drift little between two comparisons.
    suspension.resumedAt()
    if (participation === 'awaiting disk') resumeIfPossible()
    step({ kind: 'tick' })
    if (closed || participation !== 'active') return
    compactWhenDue()
    repairMembership()
  }

  async function request (createEvent: (request: number) => ConsensusEvent): Promise<TaskAnswer<Result>> {
    if (closed || participation !== 'active' || pendingRequests.size >= MAXIMUM_PENDING_REQUESTS) return { kind: 'answered', answer: 'not leader' }
    const number = nextRequest
    nextRequest += 1
    return await new Promise(resolve => {
      pendingRequests.set(number, resolve)
      emitter.emit('event', createEvent(number))
    })
  }

  function receive (from: string, messages: ConsensusMessage[]): ConsensusMessage[] {
    reply = { to: from, messages: [] }
    for (const message of messages) step({ kind: 'receive', from, message })
    const { messages: replies } = reply
    reply = undefined
    return participation === 'active' ? replies : []
  }

  if (storage.needsRewrite()) awaitDisk(new DiskError('the data folder', new Error('the log could not be opened for writing')))

  const closing = fromEvent('close', emitter)
  const events = fromEvent<ConsensusEvent>('event', emitter).map(event => () => { step(event) })
  const ticks = periodic(TICK_INTERVAL_MILLISECONDS, tick)
  void merge(events, ticks).until(closing).observe(run => { run() })

  return {
    propose: async command => await request(number => ({ kind: 'propose', request: number, command })),
    confirmLeadership: async () => {
      const answer = await request(number => ({ kind: 'confirm', request: number }))
      return answer.kind === 'answered' && answer.answer === 'confirmed'
    },
    change: async change => {
      const answer = await request(number => ({ kind: 'change membership', request: number, change }))
      return answer.kind === 'answered' ? answer.answer : 'unknown'
    },
    receive,
    found: members => { step({ kind: 'found', members }) },
    introduce: introduction => {
      if (!receivedIntroductions.has(introduction.name) && introductions().length >= MAXIMUM_INTRODUCTIONS) return
      receivedIntroductions.set(introduction.name, { introduction, at: clock.now() })
    },
    introductions,
    state: () => state,
    hasLeaderLease,
    resign: () => { step({ kind: 'resign' }) },
    participation: () => participation,
    close: () => {
      closed = true
      emitter.emit('close')
      links.close()
      answerPendingRequests()
      storage.close()
    }
  }
}
