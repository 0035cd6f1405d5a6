/**
 * A model of one backend server that many instances share, in virtual time, under
 * more load than it can run. It counts the operations that are answered within their
 * objective under each waiting policy. A run with the same seed is identical.
 */

import { NO_PRESSURE, computeAllowedStatements, canServeInTime, compareRequests, isOverloaded, recordTimeRefusal, recordWaiting, createConcurrencyLimit, recordAnswer, recordRefusal, computeWaitDeadline } from '@cyclamenusher/decisions'
import { createRandom } from './random.js'
import { createTimeline } from './timeline.js'
import type { ConcurrencyLimit, QueuePressure, QueuedRequest } from '@cyclamenusher/decisions'

/** How an instance queues, sends and refuses requests. */
export type WaitingPolicy =
  /** Every request is sent at once and waits in the server. */
  | 'unlimited'
  /** A free connection serves the request that has waited longest; a request is refused once its deadline passes. */
  | 'first come'
  /** The earliest deadline is served first; a request is refused at once if its deadline can't be met. */
  | 'deadline order'
  /** The server's answers limit the number of statements sent to it; under overload, the objective is the deadline. */
  | 'adaptive'

export interface OverloadOptions {
  seed: number
  policy: WaitingPolicy
  /** Load at a time in milliseconds, as a multiple of the server's capacity. */
  loadAt: (time: number) => number
  /**
   * Virtual time that the run lasts, in milliseconds.
   *
   * @default 20000
   */
  milliseconds?: number
}

export interface OverloadOutcome {
  /** Operations that started in the span. */
  offered: number
  /** Answered within the objective. */
  onTime: number
  /** Answered after the objective, but before the deadline. */
  late: number
  /** Refused at every attempt. */
  refused: number
  /** Not answered before the deadline. */
  expired: number
  /** Number of operations that the server can run in the span, at the mean work time. */
  capacity: number
}

const INSTANCE_COUNT = 9
/** Statements that the server runs at once. This and the figures below are those of the deployments. */
const SERVER_SLOTS = 3
/** Statements that may wait in the server; it rejects further ones as busy. */
const MAXIMUM_SERVER_QUEUE = 24
const CONNECTIONS_PER_INSTANCE = 5
const MEAN_WORK_MILLISECONDS = 18
const MAXIMUM_WORK_MILLISECONDS = 120
const ONE_WAY_DELAY_MILLISECONDS = 1
/** Time within which an operation should be answered, in milliseconds. */
const OBJECTIVE_MILLISECONDS = 250
const STATEMENT_TIMEOUT_MILLISECONDS = 800
/** Time after which a caller gives up an operation with all its attempts, in milliseconds. */
const OPERATION_TIMEOUT_MILLISECONDS = 1_500
const MAXIMUM_ATTEMPTS = 3
/** Pause before a statement that found the server busy is queued again, in milliseconds. */
const BUSY_RETRY_DELAY_MILLISECONDS = 20

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
  /** Counts the results of the operations that started in a span, given in milliseconds. */
  between: (from: number, to: number) => OverloadOutcome
}

type OperationResult = 'on time' | 'late' | 'refused' | 'expired'

export function runOverload ({ seed, policy, loadAt, milliseconds = 20_000 }: OverloadOptions): OverloadRun {
  const random = createRandom(seed)
  const timeline = createTimeline()
  const { now, after } = timeline
  const results: Array<{ startedAt: number, result: OperationResult }> = []
  const instances = Array.from({ length: INSTANCE_COUNT }, (): Instance => ({ queue: [], outstanding: 0, limit: createConcurrencyLimit(MEAN_WORK_MILLISECONDS, 0), pressure: NO_PRESSURE }))
  const bounds = { minimum: Math.ceil(SERVER_SLOTS / INSTANCE_COUNT), maximum: CONNECTIONS_PER_INSTANCE }
  const serverQueue: Array<() => void> = []
  let running = 0

  function sampleWorkMilliseconds (): number {
    const sampled = random.exponentialGap(1000 / MEAN_WORK_MILLISECONDS)
    return Math.min(MAXIMUM_WORK_MILLISECONDS, Math.max(1, sampled))
  }

  /** Runs a statement at the server, queues it there, or responds that the server is busy. */
  function submitToServer (respond: (busy: boolean) => void): void {
    const runStatement = (): void => {
      running += 1
      after(sampleWorkMilliseconds(), () => {
        running -= 1
        respond(false)
        serverQueue.shift()?.()
      })
    }
    if (running < SERVER_SLOTS) return runStatement()
    if (serverQueue.length >= MAXIMUM_SERVER_QUEUE) return respond(true)
    serverQueue.push(runStatement)
  }

  function finish (operation: Operation, result: OperationResult): void {
    if (operation.done) return
    operation.done = true
    results.push({ startedAt: operation.startedAt, result })
  }

  function retryOrRefuse ({ operation }: Attempt): void {
    if (operation.done) return
    if (operation.attempts >= MAXIMUM_ATTEMPTS) return finish(operation, 'refused')
    after(2 * ONE_WAY_DELAY_MILLISECONDS, () => { startAttempt(operation) })
  }

  function countAllowedStatements ({ limit }: Instance): number {
    if (policy === 'unlimited') return Infinity
    return policy === 'adaptive' ? computeAllowedStatements(limit, bounds) : CONNECTIONS_PER_INSTANCE
  }

  function send (instance: Instance, attempt: Attempt): void {
    const sentAt = now()
    instance.outstanding += 1
    after(ONE_WAY_DELAY_MILLISECONDS, () => {
      submitToServer(busy => { after(ONE_WAY_DELAY_MILLISECONDS, () => { handleAnswer(instance, attempt, sentAt, busy) }) })
    })
  }

  function handleAnswer (instance: Instance, attempt: Attempt, sentAt: number, busy: boolean): void {
    instance.outstanding -= 1
    instance.limit = busy ? recordRefusal(instance.limit, bounds, now()) : recordAnswer(instance.limit, now() - sentAt, bounds, now())
    const { operation } = attempt
    if (!busy) finish(operation, now() - operation.startedAt <= OBJECTIVE_MILLISECONDS ? 'on time' : now() <= attempt.deadline ? 'late' : 'expired')
    else if (now() + BUSY_RETRY_DELAY_MILLISECONDS < attempt.deadline) after(BUSY_RETRY_DELAY_MILLISECONDS, () => { enqueue(instance, attempt) })
    else retryOrRefuse(attempt)
    dispatch(instance)
  }

  function sortQueue ({ queue }: Instance): void {
    if (policy === 'adaptive') queue.sort((left, right) => compareRequests(left, right, now()))
    if (policy === 'deadline order') queue.sort((left, right) => left.deadline - right.deadline)
  }

  function dispatch (instance: Instance): void {
    const overloaded = policy === 'adaptive' && isOverloaded(instance.pressure, now())
    const [remaining, expired] = [instance.queue.filter(attempt => computeWaitDeadline(attempt, overloaded) > now()), instance.queue.filter(attempt => computeWaitDeadline(attempt, overloaded) <= now())]
    instance.queue = remaining
    if (expired.length > 0) instance.pressure = recordTimeRefusal(instance.pressure, now())
    for (const attempt of expired) retryOrRefuse(attempt)
    sortQueue(instance)
    while (instance.queue.length > 0 && instance.outstanding < countAllowedStatements(instance)) send(instance, instance.queue.shift() as Attempt)
    instance.pressure = recordWaiting(instance.pressure, instance.queue.length, true, now())
  }

  function missesDeadline (instance: Instance, attempt: Attempt): boolean {
    if (policy === 'unlimited' || policy === 'first come') return false
    const overloaded = policy === 'adaptive' && isOverloaded(instance.pressure, now())
    const ahead = instance.queue.filter(other => compareRequests(other, attempt, now()) <= 0).length
    const servedPerSecond = countAllowedStatements(instance) * 1000 / instance.limit.averageMilliseconds
    return !canServeInTime(attempt, { ahead, servedPerSecond, servedFrom: now(), overloaded }, now())
  }

  function enqueue (instance: Instance, attempt: Attempt): void {
    if (missesDeadline(instance, attempt)) {
      instance.pressure = recordTimeRefusal(instance.pressure, now())
      return retryOrRefuse(attempt)
    }
    instance.queue.push(attempt)
    dispatch(instance)
  }

  function startAttempt (operation: Operation): void {
    if (operation.done) return
    operation.attempts += 1
    const deadline = Math.min(now() + STATEMENT_TIMEOUT_MILLISECONDS, operation.startedAt + OPERATION_TIMEOUT_MILLISECONDS)
    enqueue(random.pick(instances), { operation, priority: 1, objective: now() + OBJECTIVE_MILLISECONDS, deadline, queuedAt: now() })
  }

  function startOperation (): void {
    const operation: Operation = { startedAt: now(), attempts: 0, done: false }
    after(OPERATION_TIMEOUT_MILLISECONDS, () => { finish(operation, 'expired') })
    startAttempt(operation)
    after(random.exponentialGap(loadAt(now()) * SERVER_SLOTS * 1000 / MEAN_WORK_MILLISECONDS), startOperation)
  }

  startOperation()
  timeline.every(50, () => { for (const instance of instances) dispatch(instance) })
  timeline.runUntil(milliseconds)
  return {
    between: (from, to) => {
      const started = results.filter(({ startedAt }) => startedAt >= from && startedAt < to)
      const count = (expected: OperationResult): number => started.filter(({ result }) => result === expected).length
      return { offered: started.length, onTime: count('on time'), late: count('late'), refused: count('refused'), expired: count('expired'), capacity: SERVER_SLOTS * (to - from) / MEAN_WORK_MILLISECONDS }
    }
  }
}
