/**
 * The replicated log of a control instance. Founds the log with the other
 * instances or joins it, and carries out the requests of the control service.
 */

import { ConsensusService, createPeerLink } from '@cyclamenusher/protocol'
import { MANUAL_MEMBERSHIP, decideFounding, isCaughtUp } from '@cyclamenusher/decisions'
import { pause } from '../clock.js'
import { decodeMessages, encodeMessages } from './consensusMessages.js'
import { createConsensusTask } from './consensusTask.js'
import { openLogStorage } from './logStorage.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { ConsensusLimits, DiskReport, Introduction, LogMember, MembershipChange, MembershipPolicy, RequestAnswer } from '@cyclamenusher/decisions'
import type { ControlMember, IntroduceReply, PeerCredentials, PeerLink } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { Address } from '../address.js'
import type { ScopedLogger } from '../logger.js'
import type { ConsensusTask, Participation } from './consensusTask.js'
import type { Disk } from './logStorage.js'
import type { LogStatus, MembershipChangeOutcome, ReplicatedLog, StateMachine } from './replicatedLog.js'

/** Interval at which an instance that is not a member introduces itself, in milliseconds. */
const INTRODUCTION_INTERVAL_MILLISECONDS = 300
/** Timeout of the call that introduces an instance, in milliseconds. */
const INTRODUCTION_TIMEOUT_MILLISECONDS = 500
/** Time after which the outcome of a proposal counts as unknown, in milliseconds. */
const PROPOSAL_TIMEOUT_MILLISECONDS = 4_000
/** Maximum time that a membership change waits for the previous one, in milliseconds. */
const CHANGE_RETRY_TIMEOUT_MILLISECONDS = 2_000
const CHANGE_RETRY_INTERVAL_MILLISECONDS = 50
/** Time after which a confirmation counts as failed, in milliseconds. */
const CONFIRMATION_TIMEOUT_MILLISECONDS = 1_000

export interface ConsensusLogOptions<Command, Result> {
  name: string
  failureDomain: string
  /** Address at which the other control instances reach this one. */
  address: Address
  /** Addresses of control instances that are known from outside the log, read at each introduction. The first of them founds the log. */
  addresses: () => readonly Address[]
  /** Whether this instance may found a log if there is none. @default true */
  mayFound?: boolean
  /** @default MANUAL_MEMBERSHIP */
  membership?: MembershipPolicy
  /** @default COMPACTION_ENTRIES */
  compactionEntries?: number
  /** @default DEFAULT_CONSENSUS_LIMITS */
  limits?: ConsensusLimits
  dataFolder: string
  stateMachine: StateMachine<Command, Result>
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
  /** @default SYSTEM_DISK */
  disk?: Disk
  /** Called when this instance has stopped taking part in consensus for good, and only a restart can mend that. */
  onStopped?: () => void
}

export interface ConsensusLog<Command, Result> extends ReplicatedLog<Command, Result> {
  routes: (router: ConnectRouter) => void
  /** The leader, if it is known. */
  leader: () => LogMember | undefined
  /** Whether this instance was elected; another member may have been elected since. */
  isLeader: () => boolean
  /** Whether this instance leads with all that earlier leaders accepted, and no other member can: a majority confirmed its leadership recently, and the process was not suspended since. */
  hasLeaderLease: () => boolean
  /** Gives up leadership, so that another member is elected. */
  resign: () => void
  term: () => number
}

const INACTIVE_ROLES: Record<Participation, LogStatus['role'] | undefined> = { active: undefined, 'awaiting disk': 'awaiting disk', stopped: 'failed' }

/** Resolves with the value of `promise`, or with `fallback` after the timeout. */
async function withTimeout<Value> (milliseconds: number, promise: Promise<Value>, fallback: Value): Promise<Value> {
  let timer: NodeJS.Timeout | undefined
  const deadline = new Promise<Value>(resolve => { timer = setTimeout(resolve, milliseconds, fallback) })
  const value = await Promise.race([promise, deadline])
  clearTimeout(timer)
  return value
}

function readIntroduction ({ identity, name, failureDomain, host, port }: ControlMember): Introduction {
  return { identity, name, failureDomain, host, port }
}

export function openConsensusLog<Command, Result> (options: ConsensusLogOptions<Command, Result>): ConsensusLog<Command, Result> {
  const { name, failureDomain, address, addresses, stateMachine, credentials, clock, logger } = options
  const storage = openLogStorage(options.dataFolder, logger, options.disk)
  const self: Introduction = { identity: storage.identity, name, failureDomain, host: address.host, port: address.port }
  const isOwnAddress = ({ host, port }: Address): boolean => host === address.host && port === address.port
  const links = new Map<string, PeerLink<typeof ConsensusService>>()
  /** Addresses of members that other instances reported, for an instance that holds no log yet. */
  let reportedMembers: readonly Address[] = []
  const [first] = addresses()
  const isFirst = first !== undefined && isOwnAddress(first) && options.mayFound !== false
  const task: ConsensusTask<Result> = createConsensusTask({ storage, stateMachine, credentials, clock, random: Math.random, logger, membership: options.membership ?? MANUAL_MEMBERSHIP, compactionEntries: options.compactionEntries, limits: options.limits, onStopped: options.onStopped })
  let closed = false

  function isEmpty (): boolean {
    const { members, log, snapshot } = task.state()
    return members.length === 0 && log.length === 0 && snapshot.index === 0
  }

  function isMember (): boolean {
    const ownMember = task.state().members.find(({ identity }) => identity === self.identity)
    return ownMember !== undefined && ownMember.host === self.host && ownMember.port === self.port && ownMember.name === self.name
  }

  function ensureLink ({ host, port }: Address): PeerLink<typeof ConsensusService> {
    const key = `${host}:${port}`
    const link = links.get(key) ?? createPeerLink(ConsensusService, host, port, credentials)
    links.set(key, link)
    return link
  }

  /** Addresses of all other control instances known from any source. */
  function listOtherAddresses (): Address[] {
    const known = new Map([...addresses(), ...reportedMembers, ...task.state().members].map(({ host, port }) => [`${host}:${port}`, { host, port }]))
    return [...known.values()].filter(other => !isOwnAddress(other))
  }

  /** Whether a leader is known. A member that was removed while it was down is still a member in its own log, but finds no leader. */
  function knowsLeader (): boolean {
    const { role, leader: known } = task.state()
    return role === 'leader' || known !== ''
  }

  async function sendIntroduction (link: PeerLink<typeof ConsensusService>): Promise<IntroduceReply | undefined> {
    try {
      return await link.client.introduce({ self: { ...self, role: '' } }, { timeoutMs: INTRODUCTION_TIMEOUT_MILLISECONDS })
    } catch {
      link.reconnect()
      return undefined
    }
  }

  function foundLog (members: LogMember[]): void {
    logger.info('This instance founds the log.', { members: members.map(member => member.name).join(',') })
    task.found(members)
  }

  /** Introduces this instance whenever it is not a member or knows no leader; founds the log if it should. One whose disk refuses writes could not become a member. */
  async function maintainMembership (): Promise<void> {
    while (!closed && task.participation() !== 'stopped') {
      if (task.participation() === 'active' && (!isMember() || !knowsLeader())) await introduceOnce()
      await pause(INTRODUCTION_INTERVAL_MILLISECONDS)
    }
  }

  async function introduceOnce (): Promise<void> {
    task.introduce(self)
    const replies = await Promise.all(listOtherAddresses().map(async other => await sendIntroduction(ensureLink(other))))
    const members = replies.flatMap(reply => reply?.members ?? [])
    if (members.length > 0) reportedMembers = members.map(({ host, port }) => ({ host, port }))
    if (closed || !isEmpty()) return
    const reports = replies.map((reply): DiskReport | undefined => reply?.self === undefined ? undefined : { ...readIntroduction(reply.self), empty: reply.empty })
    const decision = decideFounding(self, isFirst, reports)
    if (decision.kind === 'found') foundLog(decision.members)
    if (decision.kind === 'clash') logger.error('Two control instances have the same name.', { name: decision.name })
  }

  function routes (router: ConnectRouter): void {
    router.service(ConsensusService, {
      // Messages for an earlier identity of this instance must not reach the current one.
      deliver: ({ from, to, body }) => ({ body: encodeMessages(to === self.identity ? task.receive(from, decodeMessages(body)) : []) }),
      introduce: ({ self: other }) => {
        if (other !== undefined) task.introduce(readIntroduction(other))
        return { self: { ...self, role: '' }, empty: isEmpty(), members: [...task.state().members] }
      }
    })
  }

  function leader (): LogMember | undefined {
    const { leader: identity, members } = task.state()
    if (task.participation() === 'stopped') return undefined
    return members.find(member => member.identity === identity)
  }

  function currentRole (): LogStatus['role'] {
    const { role, members } = task.state()
    const roleOfInactive = INACTIVE_ROLES[task.participation()]
    if (roleOfInactive !== undefined) return roleOfInactive
    if (members.every(({ identity, role: memberRole }) => identity !== self.identity || memberRole === 'learner')) return 'learner'
    return role === 'pre-candidate' ? 'candidate' : role
  }

  function listCandidates (): Introduction[] {
    const { members } = task.state()
    return task.introductions().filter(({ identity }) => members.every(member => member.identity !== identity))
  }

  /** Changes the membership; retries for a limited time while another change is in progress. */
  async function changeWithRetry (change: MembershipChange): Promise<RequestAnswer> {
    const deadline = clock.now() + CHANGE_RETRY_TIMEOUT_MILLISECONDS
    let answer = await task.change(change)
    while (answer === 'not now' && clock.now() < deadline) {
      await pause(CHANGE_RETRY_INTERVAL_MILLISECONDS)
      answer = await task.change(change)
    }
    return answer
  }

  async function changeMember (action: 'add' | 'remove', target: string): Promise<MembershipChangeOutcome> {
    if (task.state().role !== 'leader') return 'not leader'
    const candidate = listCandidates().find(introduction => introduction.name === target)
    const member = task.state().members.find(known => known.name === target)
    if (action === 'add' && member !== undefined && isCaughtUp(task.state(), member.identity)) return 'changed'
    if (action === 'add' && candidate === undefined) return 'no candidate'
    if (action === 'remove' && member === undefined) return 'no member'
    const change = action === 'add' ? { kind: 'add learner', member: candidate as Introduction } as const : { kind: 'remove', identity: member?.identity ?? '' } as const
    const answer = await withTimeout(PROPOSAL_TIMEOUT_MILLISECONDS, changeWithRetry(change), 'unknown')
    return answer === 'changed' || answer === 'not leader' || answer === 'unknown' ? answer : 'refused'
  }

  const log: ConsensusLog<Command, Result> = {
    routes,
    leader,
    hasLeaderLease: task.hasLeaderLease,
    resign: task.resign,
    term: () => task.state().term,
    isLeader: () => task.state().role === 'leader' && task.participation() === 'active',
    propose: async command => {
      const answer = await withTimeout(PROPOSAL_TIMEOUT_MILLISECONDS, task.propose(command), { kind: 'answered', answer: 'unknown' })
      if (answer.kind === 'applied') return answer
      return answer.answer === 'not leader' ? { kind: 'not leader', leader: leader()?.name } : { kind: 'unknown' }
    },
    confirmLeadership: async () => await withTimeout(CONFIRMATION_TIMEOUT_MILLISECONDS, task.confirmLeadership(), false),
    changeMember,
    status: () => {
      const { term, commitIndex, members } = task.state()
      const voters = members.filter(({ role }) => role === 'voter').map(member => member.name)
      return { role: currentRole(), term, leader: leader()?.name ?? '', commitIndex, voters, members, candidates: listCandidates() }
    },
    close: async () => {
      closed = true
      task.close()
      for (const link of links.values()) link.reconnect()
    }
  }
  void maintainMembership()
  return log
}
