/** The control service: submission of rules, their history, and the watch that distributes them to all instances. */

import { createHash } from 'node:crypto'
import { FaultyFileError, INITIAL_CONFIGURATION, applyConfigurationCommand, changeSince, diffRules, checkSubmission, linesAt, linesOf, parseRules } from '@cyclamenusher/decisions'
import { createHeldRequests } from '../heldRequests.js'
import type { ConfigurationCommand, ConfigurationState, ParsedRules, RuleLine, SubmitOutcome } from '@cyclamenusher/decisions'
import type { ChangeMemberRequest, HistoryRequest, SubmitRequest, WatchRequest } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { ConsensusLog } from './consensusLog.js'
import type { MembershipChangeOutcome, StateMachine } from './replicatedLog.js'

/** Time without a request after which an instance is removed from the list, in milliseconds. */
const INSTANCE_TIMEOUT_MILLISECONDS = 5_000
/** Maximum time that a watch request is held, in milliseconds. */
const MAXIMUM_HOLD_MILLISECONDS = 2_000
/** Term of the first leader of a new log. */
const FIRST_TERM = 1
/** Maximum number of instances that may watch through one relay; further ones must send requests to control directly. */
const MAXIMUM_RELAYED_INSTANCES = 2_000
/** Time in which a new leader collects the instances before it reports them, in milliseconds. */
const INSTANCE_COLLECTION_MILLISECONDS = 2_000

interface KnownInstance { name: string, failureDomain: string, role: string, host: string, port: number }

interface SubmitAnswer {
  outcome: 'accepted' | 'conflict' | 'invalid' | 'unknown' | 'not leader'
  number: bigint
  winnerDigest?: string
  winnerOperator?: string
  message: string
}

export interface ControlService {
  stateMachine: StateMachine<ConfigurationCommand, SubmitOutcome>
  submit: (request: SubmitRequest) => Promise<SubmitAnswer>
  history: (request: HistoryRequest) => { items: Array<{ number: bigint, digest: string, operator: string, acceptedAt: bigint, content: string }> }
  watch: (request: WatchRequest) => Promise<WatchAnswer>
  instances: () => KnownInstance[]
  /** Number of the current configuration. */
  number: () => number
  changeMember: (request: ChangeMemberRequest) => Promise<{ outcome: string, message: string }>
  /** Sets the log to which submissions are proposed. */
  attach: (log: ConsensusLog<ConfigurationCommand, SubmitOutcome>) => void
}

export interface WatchAnswer {
  number: bigint
  baseNumber: bigint
  removed: string[]
  added: string[]
  fresh: boolean
  ageMilliseconds: number
  instances: KnownInstance[]
  instancesRevision: bigint
  leader?: KnownInstance
}

const CHANGE_MESSAGES: Record<MembershipChangeOutcome, (action: 'add' | 'remove', name: string) => string> = {
  changed: (action, name) => action === 'add' ? `${name} learns the log, and is a voter once it holds it: cyclamenusher member list shows it` : `${name} is no longer a member`,
  refused: (action, name) => `${name} can't be ${action === 'add' ? 'added' : 'removed'} now: another change is under way, or no voter would be left; try again`,
  'not leader': () => 'this instance does not lead: ask the others',
  unknown: (_action, name) => `what became of the change of ${name} is not known: look at cyclamenusher member list`,
  'no candidate': (_action, name) => `${name} does not run, or does not reach the leader: start it with all control instances in control.addresses`,
  'no member': (_action, name) => `${name} is no member: cyclamenusher member list names them`
}

type OutcomeAnswers = { [Kind in SubmitOutcome['kind']]: (outcome: Extract<SubmitOutcome, { kind: Kind }>, number: number) => SubmitAnswer }

const OUTCOME_ANSWERS: OutcomeAnswers = {
  accepted: ({ number }) => ({ outcome: 'accepted', number: BigInt(number), message: `configuration ${number} is accepted` }),
  conflict: ({ winner }, number) => ({
    outcome: 'conflict',
    number: BigInt(number),
    winnerDigest: winner.digest,
    winnerOperator: winner.operator,
    message: `configuration ${number} was already made by ${winner.operator} with other content (digest ${winner.digest}): look at it, then submit the next number`
  }),
  'out of order': ({ next }) => ({ outcome: 'invalid', number: BigInt(next), message: `the next configuration is ${next}: submit that number` }),
  forgotten: ({ oldest }) => ({ outcome: 'invalid', number: BigInt(oldest), message: `configurations before ${oldest} are no longer kept: submit the next number` })
}

function createSubmitAnswer (outcome: SubmitOutcome, number: number): SubmitAnswer {
  const answer = OUTCOME_ANSWERS[outcome.kind] as (outcome: SubmitOutcome, number: number) => SubmitAnswer
  return answer(outcome, number)
}

export function createControlService (clock: Clock, logger: ScopedLogger): ControlService {
  let state: ConfigurationState = INITIAL_CONFIGURATION
  let log: ConsensusLog<ConfigurationCommand, SubmitOutcome> | undefined
  let instancesRevision = 1n
  let leaderSince: number | undefined
  const instances = new Map<string, KnownInstance & { seenAt: number }>()
  const heldWatches = createHeldRequests()

  const stateMachine: StateMachine<ConfigurationCommand, SubmitOutcome> = {
    apply: command => {
      const applied = applyConfigurationCommand(state, command)
      state = applied.state
      if (applied.outcome.kind === 'accepted') heldWatches.release()
      return applied.outcome
    },
    snapshot: () => JSON.stringify({ ...state, lines: [...state.lines] }),
    restore: snapshot => {
      const restored = JSON.parse(snapshot) as Omit<ConfigurationState, 'lines'> & { lines: Array<[string, string]> }
      state = { ...restored, lines: new Map(restored.lines) }
      heldWatches.release()
    }
  }

  function parseContent (content: string): ParsedRules | SubmitAnswer {
    try {
      return parseRules('rules', content)
    } catch (error) {
      if (!(error instanceof FaultyFileError)) throw error
      return { outcome: 'invalid', number: BigInt(state.number), message: error.message }
    }
  }

  async function submit ({ number, content, operator }: SubmitRequest): Promise<SubmitAnswer> {
    const parsed = parseContent(content)
    if ('outcome' in parsed) return parsed
    if (log === undefined || !await log.confirmLeadership()) {
      return { outcome: 'not leader', number, message: `this instance does not lead; the leader is ${log?.status().leader || 'not known'}` }
    }
    const verdict = checkSubmission(state, Number(number), parsed.digest)
    if (verdict !== 'new') return createSubmitAnswer(verdict, Number(number))
    const { removed, added } = diffRules(linesOf(state), parsed.lines)
    const outcome = await log.propose({ kind: 'submit', number: Number(number), digest: parsed.digest, operator, acceptedAt: Date.now(), removed, added })
    if (outcome.kind === 'not leader') return { outcome: 'not leader', number, message: 'this instance does not lead any more' }
    if (outcome.kind === 'unknown') {
      return { outcome: 'unknown', number, message: `whether configuration ${number} was accepted is not known: submit it again with the same number and content` }
    }
    logger.info('A configuration was submitted.', { number: Number(number), outcome: outcome.result.kind, operator, added: added.length, removed: removed.length })
    return createSubmitAnswer(outcome.result, Number(number))
  }

  function recordInstances ({ instance, behind }: WatchRequest): void {
    if (instance !== undefined) recordInstance(instance)
    for (const relayed of behind.slice(0, MAXIMUM_RELAYED_INSTANCES)) recordInstance(relayed)
  }

  function recordInstance (instance: KnownInstance): void {
    const existing = instances.get(instance.name)
    const changed = existing?.host !== instance.host || existing.port !== instance.port || existing.failureDomain !== instance.failureDomain
    if (changed) logger.info('An instance joined.', { instance: instance.name, failureDomain: instance.failureDomain })
    instances.set(instance.name, { name: instance.name, failureDomain: instance.failureDomain, role: instance.role, host: instance.host, port: instance.port, seenAt: clock.now() })
    if (changed) updateInstancesRevision()
  }

  function removeExpiredInstances (): void {
    const now = clock.now()
    for (const [name, { seenAt }] of instances) {
      if (now - seenAt < INSTANCE_TIMEOUT_MILLISECONDS) continue
      instances.delete(name)
      updateInstancesRevision()
      logger.info('An instance no longer sends requests.', { instance: name })
    }
  }

  function hasNews (request: WatchRequest): boolean {
    return Number(request.knownNumber) !== state.number || (includesInstances(request) && request.knownInstances !== instancesRevision)
  }

  async function watch (request: WatchRequest): Promise<WatchAnswer> {
    const isLeader = updateLeadership()
    if (isLeader) recordInstances(request)
    if (isLeader) removeExpiredInstances()
    if (isLeader && !hasNews(request)) await heldWatches.hold(Math.min(request.holdMilliseconds, MAXIMUM_HOLD_MILLISECONDS))
    const fresh = log !== undefined && isLeader && await log.confirmLeadership()
    const withInstances = isLeader && includesInstances(request)
    const knownNumber = Number(request.knownNumber)
    const change = knownNumber === 0 ? undefined : changeSince(state, knownNumber)
    const added: RuleLine[] = change?.added ?? linesOf(state)
    return {
      number: BigInt(state.number),
      baseNumber: change === undefined ? 0n : request.knownNumber,
      removed: change?.removed ?? [],
      added: added.map(({ text }) => text),
      fresh,
      ageMilliseconds: 0,
      instances: withInstances && request.knownInstances !== instancesRevision ? listInstances() : [],
      instancesRevision: withInstances ? instancesRevision : request.knownInstances,
      leader: findLeaderInstance()
    }
  }

  /** Sets the revision to a digest of the list, so that equal lists of two leaders have equal revisions and different lists differ. */
  function updateInstancesRevision (): void {
    const hash = createHash('sha256')
    for (const { name, failureDomain, role, host, port } of [...instances.values()].sort((left, right) => left.name < right.name ? -1 : 1)) {
      hash.update(JSON.stringify([name, failureDomain, role, host, port]))
    }
    instancesRevision = hash.digest().readBigUInt64BE(0) | 1n
  }

  /** Returns whether this instance leads. Clears the list of instances when it becomes the leader. */
  function updateLeadership (): boolean {
    const isLeader = log?.isLeader() === true
    if (isLeader && leaderSince === undefined) {
      instances.clear()
      updateInstancesRevision()
      leaderSince = clock.now()
    }
    if (!isLeader) leaderSince = undefined
    return isLeader
  }

  /** Whether the answer includes the list of instances. A new leader omits it until it has collected them, so that watchers keep the list they have. */
  function includesInstances ({ knownInstances }: WatchRequest): boolean {
    if (leaderSince === undefined) return false
    // There was no leader before the first term, so no watcher has an earlier leader's list.
    if (log?.status().term === FIRST_TERM) return true
    return knownInstances === 0n || clock.now() - leaderSince >= INSTANCE_COLLECTION_MILLISECONDS
  }

  function findLeaderInstance (): KnownInstance | undefined {
    const leader = log?.leader()
    if (leader === undefined) return undefined
    const { name, failureDomain, host, port } = leader
    return { name, failureDomain, role: 'control', host, port }
  }

  async function changeMember ({ action, name }: ChangeMemberRequest): Promise<{ outcome: string, message: string }> {
    if (action !== 'add' && action !== 'remove') return { outcome: 'refused', message: `there is no action ${action}: take add or remove` }
    const outcome = log === undefined ? 'not leader' : await log.changeMember(action, name)
    logger.info('A membership change was requested.', { action, member: name, outcome })
    return { outcome: outcome === 'no candidate' || outcome === 'no member' ? 'refused' : outcome, message: CHANGE_MESSAGES[outcome](action, name) }
  }

  function listInstances (): KnownInstance[] {
    return [...instances.values()].map(({ name, failureDomain, role, host, port }) => ({ name, failureDomain, role, host, port }))
  }

  function history ({ fromNumber, limit, withContent }: HistoryRequest): ReturnType<ControlService['history']> {
    const items = state.history.filter(({ number }) => number >= Number(fromNumber)).slice(0, limit === 0 ? 100 : limit)
    return {
      items: items.map(({ number, digest, operator, acceptedAt }) => ({
        number: BigInt(number),
        digest,
        operator,
        acceptedAt: BigInt(acceptedAt),
        content: withContent ? (linesAt(state, number) ?? []).map(({ text }) => text).join('\n') : ''
      }))
    }
  }

  return { stateMachine, submit, history, watch, changeMember, instances: listInstances, number: () => state.number, attach: attached => { log = attached } }
}
