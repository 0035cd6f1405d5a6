/**
 * One backend server that many instances share, in virtual time, under more load
 * than it can run: how many operations are answered within their objective, by
 * the way in which work waits and is refused. A seed repeats it exactly.
 */

import { NO_PRESSURE, computeAllowedStatements, canServeInTime, compareRequests, isOverloaded, recordTimeRefusal, recordWaiting, createConcurrencyLimit, recordAnswer, recordRefusal, computeWaitDeadline } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createTimeline } from './timeline.js'
import type { ConcurrencyLimit, QueuePressure, QueuedRequest } from '@cyclamenusher/decisions'

/** How an instance lets work wait. */
export type WaitingPolicy =
  /** All is sent at once, and waits in the server. */
  | 'unlimited'
  /** A connection serves whoever waits longest, until its time is over. */
  | 'first come'
  /** The earliest deadline first; refused where the deadline can't be met. */
  | 'deadline order'
  /** Statements at the server limited by its answers; the objective counts under overload. */
  | 'adaptive'

export interface OverloadOptions {
  seed: number
  policy: WaitingPolicy
  /** Load beside what the server can run, over time in milliseconds. */
  loadAt: (time: number) => number
  /** @default 20000 */
  milliseconds?: number
}

export interface OverloadOutcome {
  /** Operations whose first attempt came in the span of the count. */
  asked: number
  onTime: number
  late: number
  refused: number
  /** Operations that ran out of time without an answer. */
  expired: number
  /** Most that the server could run in the span. */
  capacity: number
}

const INSTANCES = 9
/** What a server and its callers are like; the deployments' own figures. */
const SLOTS = 3
const SERVER_QUEUE = 24
const CONNECTIONS = 5
const WORK_MILLISECONDS = 18
const MOST_WORK_MILLISECONDS = 120
const WAY_MILLISECONDS = 1
const OBJECTIVE_MILLISECONDS = 250
const STATEMENT_MILLISECONDS = 800
const PATIENCE_MILLISECONDS = 1_500
const ATTEMPTS = 3
const BUSY_PAUSE_MILLISECONDS = 20

interface Operation {
  startedAt: number
  attempts: number
  done: boolean
}

interface Attempt extends QueuedRequest {
  operation: Operation
}

interface Instance {
  queue: Attempt[]
  outstanding: number
  limit: ConcurrencyLimit
  pressure: QueuePressure
}

export interface OverloadRun {
  /** What became of the operations that began in a span. */
  between: (from: number, to: number) => OverloadOutcome
}

type Ending = 'on time' | 'late' | 'refused' | 'expired'

export function runOverload ({ seed, policy, loadAt, milliseconds = 20_000 }: OverloadOptions): OverloadRun {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const { now, after } = timeline
  const endings: Array<{ startedAt: number, ending: Ending }> = []
  const instances = Array.from({ length: INSTANCES }, (): Instance => ({ queue: [], outstanding: 0, limit: createConcurrencyLimit(WORK_MILLISECONDS, 0), pressure: NO_PRESSURE }))
  const bounds = { minimum: Math.ceil(SLOTS / INSTANCES), maximum: CONNECTIONS }
  const serverQueue: Array<() => void> = []
  let running = 0

  function work (): number {
    const spread = random.gap(1000 / WORK_MILLISECONDS)
    return Math.min(MOST_WORK_MILLISECONDS, Math.max(1, spread))
  }

  /** The server runs a statement, lets it wait, or has no room. */
  function arrive (answer: (busy: boolean) => void): void {
    const run = (): void => {
      running += 1
      after(work(), () => {
        running -= 1
        answer(false)
        serverQueue.shift()?.()
      })
    }
    if (running < SLOTS) return run()
    if (serverQueue.length >= SERVER_QUEUE) return answer(true)
    serverQueue.push(run)
  }

  function finish (operation: Operation, ending: Ending): void {
    if (operation.done) return
    operation.done = true
    endings.push({ startedAt: operation.startedAt, ending })
  }

  function refuse ({ operation }: Attempt): void {
    if (operation.done) return
    if (operation.attempts >= ATTEMPTS) return finish(operation, 'refused')
    after(2 * WAY_MILLISECONDS, () => { attempt(operation) })
  }

  function allowed ({ limit }: Instance): number {
    if (policy === 'unlimited') return Infinity
    return policy === 'adaptive' ? computeAllowedStatements(limit, bounds) : CONNECTIONS
  }

  function send (instance: Instance, entry: Attempt): void {
    const sentAt = now()
    instance.outstanding += 1
    after(WAY_MILLISECONDS, () => {
      arrive(busy => { after(WAY_MILLISECONDS, () => { receive(instance, entry, sentAt, busy) }) })
    })
  }

  function receive (instance: Instance, entry: Attempt, sentAt: number, busy: boolean): void {
    instance.outstanding -= 1
    instance.limit = busy ? recordRefusal(instance.limit, bounds, now()) : recordAnswer(instance.limit, now() - sentAt, bounds, now())
    const { operation } = entry
    if (!busy) finish(operation, now() - operation.startedAt <= OBJECTIVE_MILLISECONDS ? 'on time' : now() <= entry.deadline ? 'late' : 'expired')
    else if (now() + BUSY_PAUSE_MILLISECONDS < entry.deadline) after(BUSY_PAUSE_MILLISECONDS, () => { enqueue(instance, entry) })
    else refuse(entry)
    dispatch(instance)
  }

  function sortQueue ({ queue }: Instance): void {
    if (policy === 'adaptive') queue.sort((left, right) => compareRequests(left, right, now()))
    if (policy === 'deadline order') queue.sort((left, right) => left.deadline - right.deadline)
  }

  function dispatch (instance: Instance): void {
    const overloaded = policy === 'adaptive' && isOverloaded(instance.pressure, now())
    const [waiting, over] = [instance.queue.filter(entry => computeWaitDeadline(entry, overloaded) > now()), instance.queue.filter(entry => computeWaitDeadline(entry, overloaded) <= now())]
    instance.queue = waiting
    if (over.length > 0) instance.pressure = recordTimeRefusal(instance.pressure, now())
    for (const entry of over) refuse(entry)
    sortQueue(instance)
    while (instance.queue.length > 0 && instance.outstanding < allowed(instance)) send(instance, instance.queue.shift() as Attempt)
    instance.pressure = recordWaiting(instance.pressure, instance.queue.length, true, now())
  }

  function isHopeless (instance: Instance, entry: Attempt): boolean {
    if (policy === 'unlimited' || policy === 'first come') return false
    const overloaded = policy === 'adaptive' && isOverloaded(instance.pressure, now())
    const ahead = instance.queue.filter(other => compareRequests(other, entry, now()) <= 0).length
    const servedPerSecond = allowed(instance) * 1000 / instance.limit.averageMilliseconds
    return !canServeInTime(entry, { ahead, servedPerSecond, servedFrom: now(), overloaded }, now())
  }

  function enqueue (instance: Instance, entry: Attempt): void {
    if (isHopeless(instance, entry)) {
      instance.pressure = recordTimeRefusal(instance.pressure, now())
      return refuse(entry)
    }
    instance.queue.push(entry)
    dispatch(instance)
  }

  function attempt (operation: Operation): void {
    if (operation.done) return
    operation.attempts += 1
    const deadline = Math.min(now() + STATEMENT_MILLISECONDS, operation.startedAt + PATIENCE_MILLISECONDS)
    enqueue(random.pick(instances), { operation, priority: 1, objective: now() + OBJECTIVE_MILLISECONDS, deadline, queuedAt: now() })
  }

  function begin (): void {
    const operation: Operation = { startedAt: now(), attempts: 0, done: false }
    after(PATIENCE_MILLISECONDS, () => { finish(operation, 'expired') })
    attempt(operation)
    after(random.gap(loadAt(now()) * SLOTS * 1000 / WORK_MILLISECONDS), begin)
  }

  begin()
  timeline.every(50, () => { for (const instance of instances) dispatch(instance) })
  timeline.runUntil(milliseconds)
  return {
    between: (from, to) => {
      const counted = endings.filter(({ startedAt }) => startedAt >= from && startedAt < to)
      const count = (wanted: Ending): number => counted.filter(({ ending }) => ending === wanted).length
      return { asked: counted.length, onTime: count('on time'), late: count('late'), refused: count('refused'), expired: count('expired'), capacity: SLOTS * (to - from) / WORK_MILLISECONDS }
    }
  }
}
