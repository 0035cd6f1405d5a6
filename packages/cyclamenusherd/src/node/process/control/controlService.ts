/** The control service: submissions, history, and the watch that carries rules to all instances. */

import { FaultyFileError, INITIAL_CONFIGURATION, applyCommand, changeSince, diffRules, judgeSubmission, linesOf, parseRules } from '@cyclamenusher/decisions'
import type { ConfigurationCommand, ConfigurationState, ParsedRules, RuleLine, SubmitOutcome } from '@cyclamenusher/decisions'
import type { HistoryRequest, SubmitRequest, WatchRequest } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'
import type { ReplicatedLog, StateMachine } from './replicatedLog.js'

/** Time after which an instance that has not asked again counts as gone, in milliseconds. */
const INSTANCE_MILLISECONDS = 5_000
/** Longest time that a watch is held, in milliseconds. */
const MAXIMUM_HOLD_MILLISECONDS = 2_000

interface KnownInstance { name: string, failureDomain: string, role: string, host: string, port: number }

interface SubmitAnswer {
  outcome: 'accepted' | 'conflict' | 'invalid' | 'unknown' | 'not leader'
  number: bigint
  winnerDigest?: string
  winnerOperator?: string
  message: string
}

export interface ControlService {
  machine: StateMachine<ConfigurationCommand, SubmitOutcome>
  submit: (request: SubmitRequest) => Promise<SubmitAnswer>
  history: (request: HistoryRequest) => { items: Array<{ number: bigint, digest: string, operator: string, acceptedAt: bigint, content: string }> }
  watch: (request: WatchRequest) => Promise<WatchAnswer>
  instances: () => KnownInstance[]
  number: () => number
  attach: (log: ReplicatedLog<ConfigurationCommand, SubmitOutcome>) => void
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

function answerOutcome (outcome: SubmitOutcome, number: number): SubmitAnswer {
  const answer = OUTCOME_ANSWERS[outcome.kind] as (outcome: SubmitOutcome, number: number) => SubmitAnswer
  return answer(outcome, number)
}

export function createControlService (clock: Clock, logger: ScopedLogger): ControlService {
  let state: ConfigurationState = INITIAL_CONFIGURATION
  let log: ReplicatedLog<ConfigurationCommand, SubmitOutcome> | undefined
  let instancesRevision = 1
  const instances = new Map<string, KnownInstance & { seenAt: number }>()
  let sleepers: Array<() => void> = []

  function wake (): void {
    const woken = sleepers
    sleepers = []
    for (const sleeper of woken) sleeper()
  }

  const machine: StateMachine<ConfigurationCommand, SubmitOutcome> = {
    apply: command => {
      const applied = applyCommand(state, command)
      state = applied.state
      if (applied.outcome.kind === 'accepted') wake()
      return applied.outcome
    },
    snapshot: () => JSON.stringify({ ...state, lines: [...state.lines] }),
    restore: snapshot => {
      const restored = JSON.parse(snapshot) as Omit<ConfigurationState, 'lines'> & { lines: Array<[string, string]> }
      state = { ...restored, lines: new Map(restored.lines) }
      wake()
    }
  }

  function parse (content: string): ParsedRules | SubmitAnswer {
    try {
      return parseRules('rules', content)
    } catch (error) {
      if (!(error instanceof FaultyFileError)) throw error
      return { outcome: 'invalid', number: BigInt(state.number), message: error.message }
    }
  }

  async function submit ({ number, content, operator }: SubmitRequest): Promise<SubmitAnswer> {
    const parsed = parse(content)
    if ('outcome' in parsed) return parsed
    if (log === undefined || !await log.confirmCurrent()) {
      return { outcome: 'not leader', number, message: `this instance does not lead; the leader is ${log?.status().leader || 'not known'}` }
    }
    const judged = judgeSubmission(state, Number(number), parsed.digest)
    if (judged !== 'new') return answerOutcome(judged, Number(number))
    const { removed, added } = diffRules(linesOf(state), parsed.lines)
    const outcome = await log.propose({ kind: 'submit', number: Number(number), digest: parsed.digest, operator, acceptedAt: Date.now(), removed, added })
    if (outcome.kind === 'not leader') return { outcome: 'not leader', number, message: 'this instance does not lead any more' }
    if (outcome.kind === 'unknown') {
      return { outcome: 'unknown', number, message: `whether configuration ${number} was accepted is not known: submit it again with the same number and content` }
    }
    logger.info('A configuration was submitted.', { number: Number(number), outcome: outcome.result.kind, operator, added: added.length, removed: removed.length })
    return answerOutcome(outcome.result, Number(number))
  }

  function noteInstance (request: WatchRequest): void {
    const { instance } = request
    if (instance === undefined) return
    if (!instances.has(instance.name)) {
      instancesRevision += 1
      logger.info('An instance joined.', { instance: instance.name, failureDomain: instance.failureDomain })
    }
    instances.set(instance.name, { name: instance.name, failureDomain: instance.failureDomain, role: instance.role, host: instance.host, port: instance.port, seenAt: clock.now() })
  }

  function forgetSilent (): void {
    const now = clock.now()
    for (const [name, { seenAt }] of instances) {
      if (now - seenAt < INSTANCE_MILLISECONDS) continue
      instances.delete(name)
      instancesRevision += 1
      logger.info('An instance is no longer heard.', { instance: name })
    }
  }

  function isNews (request: WatchRequest): boolean {
    return Number(request.knownNumber) !== state.number || Number(request.knownInstances) !== instancesRevision
  }

  async function sleep (milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      sleepers.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  async function watch (request: WatchRequest): Promise<WatchAnswer> {
    noteInstance(request)
    forgetSilent()
    if (!isNews(request)) await sleep(Math.min(request.holdMilliseconds, MAXIMUM_HOLD_MILLISECONDS))
    const fresh = log !== undefined && await log.confirmCurrent()
    const known = Number(request.knownNumber)
    const change = known === 0 ? undefined : changeSince(state, known)
    const added: RuleLine[] = change?.added ?? linesOf(state)
    return {
      number: BigInt(state.number),
      baseNumber: change === undefined ? 0n : request.knownNumber,
      removed: change?.removed ?? [],
      added: added.map(({ text }) => text),
      fresh,
      ageMilliseconds: 0,
      instances: Number(request.knownInstances) === instancesRevision ? [] : listInstances(),
      instancesRevision: BigInt(instancesRevision)
    }
  }

  function listInstances (): KnownInstance[] {
    return [...instances.values()].map(({ name, failureDomain, role, host, port }) => ({ name, failureDomain, role, host, port }))
  }

  function history ({ fromNumber, limit }: HistoryRequest): ReturnType<ControlService['history']> {
    const items = state.history.filter(({ number }) => number >= Number(fromNumber)).slice(0, limit === 0 ? 100 : limit)
    return {
      items: items.map(({ number, digest, operator, acceptedAt }) => ({
        number: BigInt(number),
        digest,
        operator,
        acceptedAt: BigInt(acceptedAt),
        content: number === state.number ? [...state.lines.values()].join('\n') : ''
      }))
    }
  }

  return { machine, submit, history, watch, instances: listInstances, number: () => state.number, attach: attached => { log = attached } }
}
