/**
 * A model of one group of three backend servers at which six holders run the
 * operations of many accounts, in virtual time. It compares ways to choose among
 * servers with knowledge of different age, and ways to share scarce slots and
 * connections between priorities and accounts. A run with the same seed is identical.
 */

import { NO_PRESSURE, planConnections, computeAllowedStatements, canServeInTime, compareRequests, isOverloaded, recordTimeRefusal, recordWaiting, createConcurrencyLimit, recordAnswer, recordRefusal, computeWaitDeadline, computePriorityLimit, estimateWait, isExcessOfAccount, canMeetObjectiveBehindUrgent, estimateQueueWait, isStarved, mayAcquireConnection, LEAST_ALLOWED_WITH_PRIORITIES } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createTimeline } from './timeline.js'
import { SERVER_CHOICES } from './serverChoices.js'
import type { ConcurrencyBounds, ConcurrencyLimit, ConnectionState, QueuePressure, QueuedRequest } from '@cyclamenusher/decisions'
import type { ChosenFrom, ServerChoiceName } from './serverChoices.js'

export type ClassName = 'urgent' | 'ordinary' | 'least urgent'

interface RequestClass {
  priority: number
  workMilliseconds: number
  ratePerSecond: number
  objective: number
  deadline: number
  weight: number
  /** Share of the requests that any server can run; the others need the primary. */
  freeShare: number
}

/** The mix of a deployment of six groups. */
export const CLASSES: Record<ClassName, RequestClass> = {
  urgent: { priority: 0, workMilliseconds: 3, ratePerSecond: 100, objective: 100, deadline: 1_000, weight: 3.5, freeShare: 0 },
  ordinary: { priority: 1, workMilliseconds: 9, ratePerSecond: 480, objective: 200, deadline: 2_000, weight: 1, freeShare: 0.8 },
  'least urgent': { priority: 2, workMilliseconds: 15, ratePerSecond: 180, objective: 600, deadline: 3_000, weight: 0.47, freeShare: 0.9 }
}
const PRIORITIES = { mostUrgent: CLASSES.urgent.priority, leastUrgent: CLASSES['least urgent'].priority }
const CLASS_NAMES = Object.keys(CLASSES) as ClassName[]

export type LoadName = 'calm' | 'burst of the least urgent' | 'burst of the urgent' | 'one account' | 'slow server'
export const LOAD_NAMES: readonly LoadName[] = ['calm', 'burst of the least urgent', 'burst of the urgent', 'one account', 'slow server']

interface Load {
  /** Factors of the rates of the classes, within the span. */
  classFactors?: Partial<Record<ClassName, number>>
  /** Factor of the rate of the largest account, within the span. */
  accountFactor?: number
  /** Factor of the work time at the second server, within the span. */
  slowFactor?: number
  span: { from: number, to: number }
}

const LOADS: Record<LoadName, Load> = {
  calm: { span: { from: 3_000, to: 8_000 } },
  'burst of the least urgent': { classFactors: { 'least urgent': 2.3 }, span: { from: 3_000, to: 8_000 } },
  'burst of the urgent': { classFactors: { urgent: 1.8 }, span: { from: 3_000, to: 6_000 } },
  'one account': { accountFactor: 4.6, span: { from: 3_000, to: 8_000 } },
  'slow server': { slowFactor: 4, span: { from: 3_000, to: 8_000 } }
}

/** "before": one queue by priority; "reserved": capacity is reserved for the most urgent priority, and accounts are bounded. */
export type SharingPolicy = 'before' | 'reserved'

export interface EvenLoadOptions {
  seed: number
  choice: ServerChoiceName
  sharing: SharingPolicy
  load: LoadName
  /** Factor of all rates: 1 sends the whole mix to one group, 1/6 spreads it over six. */
  density: number
}

export interface ClassOutcome {
  offered: number
  onTime: number
  refused: number
}

export interface EvenLoadOutcome {
  /** Of all accounts, or of all but the one that sends more than usual. */
  classes: Record<ClassName, ClassOutcome>
  others: Record<ClassName, ClassOutcome>
  /** Share of the operations that were answered within their objective, weighted by class. */
  weighted: number
  /** Statements that only the primary could run, and those that any server could run, by server. */
  bound: number[]
  free: number[]
  /** Work time of all statements, by server, in milliseconds. */
  work: number[]
  opened: number
  /** Statements that were sent to a server of another failure domain. */
  remote: number
}

const SERVERS = 3
const PRIMARY = 0
const SLOTS = 4
const SERVER_QUEUE = 32
const CONNECTIONS_PER_SERVER = 40
const HOLDERS = 6
const ACCOUNTS = 30
const CONNECT_MILLISECONDS = 12
const NEAR_DELAY_MILLISECONDS = 0.1
const FAR_DELAY_MILLISECONDS = 1.4
const BUSY_RETRY_DELAY_MILLISECONDS = 20
const RETRY_DELAY_MILLISECONDS = 10
const MAXIMUM_ATTEMPTS = 3
const SURPLUS_IDLE_MILLISECONDS = 400
const RUN_MILLISECONDS = 11_500
/** Probability that one request arrives at each holder at the same moment. */
const SIMULTANEOUS_SHARE = 0.1
/** Age of the first holder's knowledge about the others, in milliseconds; doubles with each holder. */
const LEAST_KNOWLEDGE_AGE_MILLISECONDS = 10

interface Operation {
  className: ClassName
  account: number
  holder: Holder
  isFree: boolean
  startedAt: number
  attempts: number
  done: boolean
}

interface Attempt extends QueuedRequest {
  operation: Operation
}

interface Connection {
  account: number
  inUse: boolean
  priority: number
  lastUsedAt: number
}

interface ServerView {
  connections: Connection[]
  limit: ConcurrencyLimit
  answeredAt: number
}

interface Holder {
  index: number
  queue: Attempt[]
  pressure: QueuePressure
  views: ServerView[]
}

interface Server {
  running: number
  waiting: Array<() => void>
}

export function runEvenLoad ({ seed, choice, sharing, load: loadName, density }: EvenLoadOptions): EvenLoadOutcome {
  const random = createRandom(seed)
  const { now, after, every, runUntil } = createTimeline()
  const load = LOADS[loadName]
  const choose = SERVER_CHOICES[choice]
  const budget = planConnections(CONNECTIONS_PER_SERVER, HOLDERS)
  const bounds: ConcurrencyBounds = { minimum: Math.ceil(SLOTS / HOLDERS), maximum: budget.maximum }
  const servers = Array.from({ length: SERVERS }, (): Server => ({ running: 0, waiting: [] }))
  const holders = Array.from({ length: HOLDERS }, (_, index): Holder => ({
    index,
    queue: [],
    pressure: NO_PRESSURE,
    views: servers.map(() => ({ connections: [], limit: createConcurrencyLimit(20, 0), answeredAt: 0 }))
  }))
  const accountWeights = Array.from({ length: ACCOUNTS }, (_, index) => 1 / (index + 2))
  const accountHolders = accountWeights.map(() => random.pick(holders))
  /** Outstanding statements of all holders by server, newest last, as other instances would learn them. */
  const history: Array<{ at: number, outstanding: number[][] }> = []
  const statements = { bound: servers.map(() => 0), free: servers.map(() => 0), work: servers.map(() => 0), opened: 0, remote: 0 }
  const results: Array<{ operation: Operation, result: 'on time' | 'late' | 'refused' }> = []

  const isInSpan = (time: number): boolean => time >= load.span.from && time < load.span.to
  const domainOf = (holder: Holder): number => holder.index % SERVERS
  const delayTo = (holder: Holder, server: number): number => domainOf(holder) === server ? NEAR_DELAY_MILLISECONDS : FAR_DELAY_MILLISECONDS

  function sampleWork (className: ClassName, server: number): number {
    const mean = CLASSES[className].workMilliseconds
    const sampled = mean * 0.5 + random.exponentialGap(1000 / (mean * 0.5))
    return sampled * (server === 1 && isInSpan(now()) ? load.slowFactor ?? 1 : 1)
  }

  function submit (server: number, milliseconds: number, respond: (busy: boolean) => void): void {
    const state = servers[server]
    const run = (): void => {
      state.running += 1
      after(milliseconds, () => {
        state.running -= 1
        respond(false)
        state.waiting.shift()?.()
      })
    }
    if (state.running < SLOTS) return run()
    if (state.waiting.length >= SERVER_QUEUE) return respond(true)
    state.waiting.push(run)
  }

  function finish (operation: Operation, result: 'on time' | 'late' | 'refused'): void {
    if (operation.done) return
    operation.done = true
    results.push({ operation, result })
  }

  function refuse (attempt: Attempt): void {
    const { operation } = attempt
    if (operation.attempts >= MAXIMUM_ATTEMPTS || now() >= attempt.deadline) return finish(operation, 'refused')
    after(RETRY_DELAY_MILLISECONDS, () => { startAttempt(operation) })
  }

  function countOutstanding ({ connections }: ServerView): number {
    let count = 0
    for (const { inUse } of connections) if (inUse) count += 1
    return count
  }

  function countOutstandingOf ({ views }: Holder, priority: number): number {
    let count = 0
    for (const { connections } of views) for (const connection of connections) if (connection.inUse && connection.priority === priority) count += 1
    return count
  }

  function findConnectionState (view: ServerView, account: number): ConnectionState {
    if (view.connections.some(connection => !connection.inUse && connection.account === account)) return 'match'
    return view.connections.length < budget.maximum || view.connections.some(({ inUse }) => !inUse) ? 'spare' : 'none'
  }

  /** Number of statements that the request's priority may have outstanding at the server, by the policy. */
  function computeLimit (view: ServerView, priority: number, leastUrgentStarved: boolean): number {
    const allowed = computeAllowedStatements(view.limit, bounds)
    if (sharing === 'before') return allowed
    return computePriorityLimit({ allowed, maximum: budget.maximum, priority, priorities: PRIORITIES, leastUrgentStarved })
  }

  function isLeastUrgentStarved (holder: Holder): boolean {
    const { leastUrgent } = PRIORITIES
    return isStarved(countOutstandingOf(holder, leastUrgent), holder.queue.find(queued => queued.priority === leastUrgent), now())
  }

  /** Whether the connections that are left are reserved for the most urgent priority. */
  function isReserved (view: ServerView, priority: number, leastUrgentStarved: boolean): boolean {
    return sharing === 'reserved' && !mayAcquireConnection(countOutstanding(view), { maximum: budget.maximum, priority, priorities: PRIORITIES, leastUrgentStarved })
  }

  function listServers (holder: Holder, attempt: Attempt): ChosenFrom[] {
    const { operation } = attempt
    const age = LEAST_KNOWLEDGE_AGE_MILLISECONDS * 2 ** holder.index
    const known = choice === 'piggybacked state' ? history.findLast(({ at }) => at <= now() - age) : undefined
    const starved = sharing === 'reserved' && isLeastUrgentStarved(holder)
    return holder.views.map((view, index) => ({
      member: String(index),
      isPrimary: index === PRIMARY,
      slots: SLOTS,
      outstanding: countOutstanding(view),
      allowed: computeLimit(view, attempt.priority, starved),
      averageMilliseconds: view.limit.averageMilliseconds,
      answeredAt: view.answeredAt,
      failing: false,
      leaving: false,
      connection: isReserved(view, attempt.priority, starved) ? 'none' : findConnectionState(view, operation.account),
      lag: { milliseconds: 0, updatedAt: 0 },
      isNear: domainOf(holder) === index,
      choosers: HOLDERS,
      runsUrgentWork: sharing === 'reserved' && attempt.priority > 0 && view.connections.some(({ inUse, priority }) => inUse && priority === 0),
      knownOfOthers: known === undefined ? 0 : known.outstanding[index].reduce((sum, count, other) => other === holder.index ? sum : sum + count, 0)
    }))
  }

  function chooseServer (holder: Holder, attempt: Attempt): number | undefined {
    const loads = listServers(holder, attempt)
    if (!attempt.operation.isFree) return estimateWait(loads[PRIMARY], now(), 0) < Infinity ? PRIMARY : undefined
    const usable = loads.filter(server => estimateWait(server, now(), 0) < Infinity)
    const chosen = usable.length === 0 ? undefined : choose(usable, now(), random)
    return chosen === undefined ? undefined : Number(chosen.member)
  }

  function send (holder: Holder, attempt: Attempt, server: number): void {
    const { operation } = attempt
    const view = holder.views[server]
    const delay = delayTo(holder, server)
    let connection = view.connections.find(candidate => !candidate.inUse && candidate.account === operation.account)
    const opens = connection === undefined
    if (connection === undefined) {
      if (view.connections.length >= budget.maximum) {
        const oldest = view.connections.filter(({ inUse }) => !inUse).sort((left, right) => left.lastUsedAt - right.lastUsedAt)[0]
        view.connections.splice(view.connections.indexOf(oldest), 1)
      }
      connection = { account: operation.account, inUse: true, priority: attempt.priority, lastUsedAt: now() }
      view.connections.push(connection)
    }
    const used = connection
    used.inUse = true
    used.priority = attempt.priority
    if (isInSpan(now())) {
      statements[operation.isFree ? 'free' : 'bound'][server] += 1
      if (opens) statements.opened += 1
      if (domainOf(holder) !== server) statements.remote += 1
    }
    const runStatement = (): void => {
      const sentAt = now()
      const work = sampleWork(operation.className, server)
      if (isInSpan(now())) statements.work[server] += work
      after(delay, () => { submit(server, work, busy => { after(delay, () => { handleAnswer(holder, attempt, view, used, now() - sentAt, busy) }) }) })
    }
    if (!opens) return runStatement()
    after(delay, () => { submit(server, CONNECT_MILLISECONDS, () => { after(delay, runStatement) }) })
  }

  function handleAnswer (holder: Holder, attempt: Attempt, view: ServerView, connection: Connection, milliseconds: number, busy: boolean): void {
    const { operation } = attempt
    connection.inUse = false
    connection.lastUsedAt = now()
    view.answeredAt = now()
    view.limit = busy ? recordRefusal(view.limit, bounds, now()) : recordAnswer(view.limit, milliseconds, bounds, now())
    if (!busy) finish(operation, now() - operation.startedAt <= CLASSES[operation.className].objective ? 'on time' : 'late')
    else if (now() + BUSY_RETRY_DELAY_MILLISECONDS < attempt.deadline) after(BUSY_RETRY_DELAY_MILLISECONDS, () => { enqueue(holder, attempt) })
    else refuse(attempt)
    dispatch(holder)
  }

  /** Whether any server may be sent one more statement of any priority. */
  function hasCapacity ({ views }: Holder): boolean {
    const leastAllowed = sharing === 'before' ? 1 : LEAST_ALLOWED_WITH_PRIORITIES
    return views.some(view => countOutstanding(view) < Math.max(leastAllowed, computeAllowedStatements(view.limit, bounds)))
  }

  function dispatch (holder: Holder): void {
    const overloaded = isOverloaded(holder.pressure, now())
    const expired = holder.queue.filter(attempt => computeWaitDeadline(attempt, overloaded) <= now())
    holder.queue = holder.queue.filter(attempt => !expired.includes(attempt))
    if (expired.length > 0) holder.pressure = recordTimeRefusal(holder.pressure, now())
    for (const attempt of expired) refuse(attempt)
    holder.queue.sort((left, right) => compareRequests(left, right, now()))
    for (const attempt of [...holder.queue]) {
      if (!hasCapacity(holder)) break
      const server = chooseServer(holder, attempt)
      if (server === undefined) continue
      holder.queue.splice(holder.queue.indexOf(attempt), 1)
      send(holder, attempt, server)
    }
    holder.pressure = recordWaiting(holder.pressure, holder.queue.length, true, now())
  }

  function isRefusedAtOnce (holder: Holder, attempt: Attempt): boolean {
    const overloaded = isOverloaded(holder.pressure, now())
    const ahead = holder.queue.filter(other => compareRequests(other, attempt, now()) <= 0).length
    const usable = holder.views.filter((_, index) => attempt.operation.isFree || index === PRIMARY)
    const servedPerSecond = usable.reduce((sum, { limit }) => sum + computeAllowedStatements(limit, bounds) * 1000 / limit.averageMilliseconds, 0)
    if (sharing === 'before') return !canServeInTime(attempt, { ahead, servedPerSecond, servedFrom: now(), overloaded }, now())
    if (chooseServer(holder, attempt) !== undefined) return false
    if (!canServeInTime(attempt, { ahead, servedPerSecond, servedFrom: now(), overloaded }, now())) return true
    const waitMilliseconds = estimateQueueWait({ ahead, servedPerSecond, servedFrom: now() }, now())
    if (!canMeetObjectiveBehindUrgent(attempt, holder.queue, waitMilliseconds, now())) return true
    return overloaded && exceedsShare(holder, attempt, servedPerSecond)
  }

  function exceedsShare (holder: Holder, attempt: Attempt, servedPerSecond: number): boolean {
    const { account } = attempt.operation
    const waiting = holder.queue.filter(({ priority }) => priority === attempt.priority).map(({ operation }) => operation.account)
    const totalWeight = [...new Set([...waiting, account])].reduce((sum, other) => sum + accountWeights[other], 0)
    const ofAccount = waiting.filter(other => other === account).length
    return isExcessOfAccount({ waiting: ofAccount, weight: accountWeights[account], totalWeight }, servedPerSecond, attempt.objective - now())
  }

  function enqueue (holder: Holder, attempt: Attempt): void {
    if (isRefusedAtOnce(holder, attempt)) {
      holder.pressure = recordTimeRefusal(holder.pressure, now())
      return refuse(attempt)
    }
    holder.queue.push(attempt)
    dispatch(holder)
  }

  function startAttempt (operation: Operation): void {
    operation.attempts += 1
    const { priority, objective, deadline } = CLASSES[operation.className]
    enqueue(operation.holder, { operation, priority, objective: operation.startedAt + objective, deadline: operation.startedAt + deadline, queuedAt: now() })
  }

  function pickAccount (candidates: readonly number[]): number {
    const weightOf = (account: number): number => accountWeights[account] * (account === 0 && isInSpan(now()) ? load.accountFactor ?? 1 : 1)
    let left = random.unit() * candidates.reduce((sum, account) => sum + weightOf(account), 0)
    return candidates.find(account => (left -= weightOf(account)) <= 0) ?? candidates[candidates.length - 1]
  }

  const allAccounts = accountWeights.map((_, index) => index)
  const accountsByHolder = holders.map(holder => allAccounts.filter(account => accountHolders[account] === holder))

  function startOperation (className: ClassName, account: number): void {
    startAttempt({ className, account, holder: accountHolders[account], isFree: random.chance(CLASSES[className].freeShare), startedAt: now(), attempts: 0, done: false })
  }

  /** Rate of a class now, with what the largest account sends beyond its usual load. */
  function computeRate (className: ClassName): number {
    const totalWeight = accountWeights.reduce((sum, weight) => sum + weight, 0)
    const surplus = isInSpan(now()) ? ((load.accountFactor ?? 1) - 1) * accountWeights[0] / totalWeight : 0
    const classFactor = isInSpan(now()) ? load.classFactors?.[className] ?? 1 : 1
    return CLASSES[className].ratePerSecond * density * classFactor * (1 + surplus)
  }

  function scheduleArrivals (className: ClassName): void {
    const meanBatch = 1 + SIMULTANEOUS_SHARE * (HOLDERS - 1)
    after(random.exponentialGap(computeRate(className) / meanBatch), () => {
      if (random.chance(SIMULTANEOUS_SHARE)) for (let index = 0; index < HOLDERS; index += 1) startOperation(className, pickAccount(accountsByHolder[index].length === 0 ? allAccounts : accountsByHolder[index]))
      else startOperation(className, pickAccount(allAccounts))
      scheduleArrivals(className)
    })
  }

  function closeSurplus (): void {
    for (const { connections } of holders.flatMap(({ views }) => views)) {
      const oldest = connections.filter(({ inUse }) => !inUse).sort((left, right) => left.lastUsedAt - right.lastUsedAt)[0]
      if (connections.length > budget.idle && oldest !== undefined && now() - oldest.lastUsedAt > SURPLUS_IDLE_MILLISECONDS) connections.splice(connections.indexOf(oldest), 1)
    }
  }

  for (const className of CLASS_NAMES) scheduleArrivals(className)
  every(10, () => {
    history.push({ at: now(), outstanding: servers.map((_, server) => holders.map(({ views }) => countOutstanding(views[server]))) })
    if (history.length > 50) history.shift()
  })
  every(50, () => {
    closeSurplus()
    for (const holder of holders) dispatch(holder)
  })
  runUntil(RUN_MILLISECONDS)

  function countClasses (includes: (operation: Operation) => boolean): Record<ClassName, ClassOutcome> {
    const counted = results.filter(({ operation }) => isInSpan(operation.startedAt) && includes(operation))
    const count = (name: ClassName, expected?: string): number => counted.filter(({ operation, result }) => operation.className === name && (expected === undefined || result === expected)).length
    const entries = CLASS_NAMES.map(name => [name, { offered: count(name), onTime: count(name, 'on time'), refused: count(name, 'refused') }] as const)
    return Object.fromEntries(entries) as Record<ClassName, ClassOutcome>
  }

  const classes = countClasses(() => true)
  return { classes, others: countClasses(({ account }) => account !== 0), weighted: computeWeightedShare(classes), ...statements }
}

/** Share of the operations that were answered within their objective, weighted by class. */
export function computeWeightedShare (classes: Record<ClassName, ClassOutcome>): number {
  const sum = (field: 'offered' | 'onTime'): number => CLASS_NAMES.reduce((total, name) => total + classes[name][field] * CLASSES[name].weight, 0)
  return sum('onTime') / sum('offered')
}

/** How much more the busiest server gets than the mean. */
export function computeImbalance (counts: readonly number[]): number {
  return Math.max(...counts) * counts.length / counts.reduce((sum, count) => sum + count, 0)
}
