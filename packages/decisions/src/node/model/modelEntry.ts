/** A simulated entry instance: keeps a view of the group, coordinates failovers and runs the requests of sessions. */

import { GRANT_VALIDITY_MILLISECONDS, choosePrimary, decideFailover, nextTerm } from '../group/failover.js'
import { decideRoute } from '../group/route.js'
import { createGroupView, findConfirmedSample, hasVote, highestTerm, majorityHolds, majorityOf, recordStatus } from '../group/view.js'
import { createModelProcess } from './modelProcess.js'
import type { FailoverDecision } from '../group/failover.js'
import type { RouteNeed } from '../group/route.js'
import type { GroupView, MemberStatus } from '../group/view.js'
import type { LogPosition } from '../session/position.js'
import type { GroupMutation } from './groupModel.js'
import type { ModelMember } from './modelMember.js'
import type { ModelProcess, Simulation } from './world.js'

/** The outcome of a write, with its position if that is known. */
export type WriteOutcome = { kind: 'acknowledged' | 'unknown', at?: LogPosition } | { kind: 'not run' }

export interface ModelEntry {
  process: ModelProcess
  write: (value: string) => Promise<WriteOutcome>
  /** Returns the values that a read shows, and the session's position after it. */
  read: (knownPosition: LogPosition | undefined) => Promise<{ values: string[], position: LogPosition } | undefined>
  /** Returns the values that an aged read shows, and the virtual time at which its member was chosen. */
  readWithinAge: (maximumAgeMilliseconds: number) => Promise<{ values: string[], decidedAt: number } | undefined>
}

export interface ModelEntryOptions {
  simulation: Simulation
  name: string
  failureDomain: string
  members: readonly string[]
  findMember: (name: string) => ModelMember
  mutation?: GroupMutation
}

const STATUS_INTERVAL_MILLISECONDS = 50
const STATUS_TIMEOUT_MILLISECONDS = 500
const TICK_MILLISECONDS = 20
const COMMAND_TIMEOUT_MILLISECONDS = 1_000
const STATEMENT_TIMEOUT_MILLISECONDS = 400
const WAIT_TIMEOUT_MILLISECONDS = 2_000
const LIMITS = { silenceMilliseconds: 300, answerMilliseconds: 1_000 }
const GROUP_SIZE = 3

export function createModelEntry (options: ModelEntryOptions): ModelEntry {
  const { simulation, members, findMember, mutation } = options
  const process = createModelProcess(options.name, options.failureDomain)
  // The clocks of two instances differ in value and in rate.
  const clockRate = 0.8 + 0.4 * simulation.random()
  const clock = (): number => simulation.now() * clockRate
  let view: GroupView = createGroupView('group', GROUP_SIZE)

  async function callMember<Answer> (name: string, work: (member: ModelMember) => Answer, milliseconds: number): Promise<Answer | undefined> {
    const member = findMember(name)
    return await simulation.call(process, member.process, () => work(member), milliseconds)
  }

  async function pollStatus (name: string): Promise<void> {
    while (process.alive) {
      const askedAt = clock()
      const status = await callMember(name, member => member.status(), STATUS_TIMEOUT_MILLISECONDS)
      if (status !== undefined) view = recordStatus(view, status, askedAt, clock())
      await simulation.sleep(process, STATUS_INTERVAL_MILLISECONDS)
    }
  }

  async function adoptAll (term: number): Promise<MemberStatus[]> {
    const startedAt = clock()
    const answers = await Promise.all(members.map(async name => {
      const answer = await callMember(name, member => member.adopt(term), COMMAND_TIMEOUT_MILLISECONDS)
      if (answer === undefined || clock() - startedAt > GRANT_VALIDITY_MILLISECONDS) return undefined
      view = recordStatus(view, answer.status, startedAt, clock())
      return answer.granted ? answer.status : undefined
    }))
    return answers.filter(answer => answer !== undefined)
  }

  function countsAsVoter (status: MemberStatus): boolean {
    const known = view.members.get(status.member)
    return status.voting && known !== undefined && hasVote(known)
  }

  async function install (chosen: MemberStatus, term: number): Promise<void> {
    if (await callMember(chosen.member, member => member.promote(term), COMMAND_TIMEOUT_MILLISECONDS) !== true) return
    await follow(chosen.member, term, members.filter(name => name !== chosen.member))
  }

  async function follow (primary: string, term: number, names: readonly string[]): Promise<void> {
    await Promise.all(names.map(async name => await callMember(name, member => { member.follow(term, primary) }, COMMAND_TIMEOUT_MILLISECONDS)))
  }

  async function promote (): Promise<void> {
    const term = nextTerm(view)
    const granted = (await adoptAll(term)).filter(countsAsVoter)
    const chosen = mutation === 'promotes any log'
      ? granted.length < majorityOf(GROUP_SIZE) ? undefined : simulation.pick(granted)
      : choosePrimary(granted, mutation === 'minority promotes' ? 1 : GROUP_SIZE)
    if (chosen !== undefined) await install(chosen, term)
  }

  async function form (): Promise<void> {
    const term = nextTerm(view)
    const granted = (await adoptAll(term)).filter(({ position }) => position === 0)
    if (granted.length < GROUP_SIZE) return
    const admitted = await Promise.all(granted.map(async ({ member, incarnation }) => await callMember(member, target => target.admit(term, 0, incarnation), COMMAND_TIMEOUT_MILLISECONDS)))
    if (admitted.every(Boolean)) await install(granted[0], term)
  }

  type Handlers = { [Kind in FailoverDecision['kind']]: (decision: Extract<FailoverDecision, { kind: Kind }>) => Promise<unknown> }
  const handlers: Handlers = {
    none: async () => {},
    form,
    promote,
    'hand over': promote,
    repair: async ({ primary, term, members: names }) => { await follow(primary, term, names) },
    admit: async ({ member, term, position, incarnation }) => await callMember(member, target => target.admit(term, position, incarnation), COMMAND_TIMEOUT_MILLISECONDS)
  }

  async function coordinate (): Promise<void> {
    while (process.alive) {
      await simulation.sleep(process, TICK_MILLISECONDS)
      const decision = decideFailover(view, LIMITS, clock())
      if (decision.kind === 'none') continue
      await simulation.sleep(process, simulation.integerBetween(0, 300))
      const handle = handlers[decision.kind] as (decision: FailoverDecision) => Promise<unknown>
      await handle(decision)
    }
  }

  async function waitFor<Outcome> (decide: () => Outcome | undefined): Promise<Outcome | undefined> {
    const deadline = clock() + WAIT_TIMEOUT_MILLISECONDS
    while (clock() < deadline) {
      const outcome = decide()
      if (outcome !== undefined) return outcome
      await simulation.sleep(process, TICK_MILLISECONDS)
    }
    return undefined
  }

  /** Chooses the member for a request and returns it with its incarnation in the view. */
  function route (need: RouteNeed): { name: string, incarnation: string } | undefined {
    const decision = decideRoute(view, need, new Map(), clock())
    if (decision.kind === 'none') return undefined
    return { name: decision.member, incarnation: view.members.get(decision.member)?.status.incarnation ?? '' }
  }

  function majorityReaches (position: number): boolean {
    return [...view.members.values()].filter(({ status }) => status.position >= position).length >= majorityOf(GROUP_SIZE)
  }

  async function write (value: string): Promise<WriteOutcome> {
    const target = await waitFor(() => route({ kind: 'write' }))
    if (target === undefined) return { kind: 'not run' }
    const answer = await callMember(target.name, member => ({ at: member.commit(value) }), STATEMENT_TIMEOUT_MILLISECONDS)
    if (answer === undefined) return { kind: 'unknown' }
    const { at } = answer
    if (at === undefined) return { kind: 'not run' }
    if (mutation === 'trusts the primary') return { kind: 'acknowledged', at }
    const outcome = await waitFor(() => {
      if (mutation === 'counts holders of any term' && majorityReaches(at.position)) return 'held'
      if (majorityHolds(view, at)) return 'held'
      return highestTerm(view) > at.term ? 'replaced' : undefined
    })
    return { kind: outcome === 'held' ? 'acknowledged' : 'unknown', at }
  }

  async function confirmPosition (): Promise<LogPosition | undefined> {
    const since = clock()
    if (mutation === 'confirms without a majority') return view.samples.at(-1)
    return await waitFor(() => findConfirmedSample(view, since))
  }

  async function readFrom (target: { name: string, incarnation: string }): Promise<string[] | undefined> {
    const answer = await callMember(target.name, member => {
      if (member.incarnation !== target.incarnation && mutation !== 'reads at any incarnation') return undefined
      return { values: member.read() }
    }, STATEMENT_TIMEOUT_MILLISECONDS)
    return answer?.values
  }

  async function read (knownPosition: LogPosition | undefined): Promise<{ values: string[], position: LogPosition } | undefined> {
    const position = knownPosition ?? await confirmPosition()
    if (position === undefined) return undefined
    const requiredPosition = mutation === 'ignores the token' ? { term: 0, position: 0 } : position
    const target = await waitFor(() => route({ kind: 'session-read', requiredPosition }))
    const values = target === undefined ? undefined : await readFrom(target)
    return values === undefined ? undefined : { values, position }
  }

  async function readWithinAge (maximumAgeMilliseconds: number): Promise<{ values: string[], decidedAt: number } | undefined> {
    const target = route({ kind: 'aged-read', maximumAgeMilliseconds: maximumAgeMilliseconds * clockRate })
    const decidedAt = simulation.now()
    const values = target === undefined ? undefined : await readFrom(target)
    return values === undefined ? undefined : { values, decidedAt }
  }

  for (const name of members) void pollStatus(name)
  void coordinate()
  return { process, write, read, readWithinAge }
}
