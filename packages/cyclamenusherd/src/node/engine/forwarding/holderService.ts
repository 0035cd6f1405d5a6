/** Runs the operations that other instances send to this one, because it holds the connections to their group's servers. */

import { isAllowedHere, measureDelay } from '@cyclamenusher/decisions'
import { pause } from '../../process/clock.js'
import { STOP_REASON } from '../callerListener.js'
import { awaitLease } from '../confirmation.js'
import { StatementFailure } from '../errors.js'
import { createSession } from '../session.js'
import { COMPACT_FORMAT, decodeHolderRequest, encodeHolderReply, findFormat, roundTime } from './messages.js'
import type { ClockOffset } from '@cyclamenusher/decisions'
import type { MessageStream, MessageStreamHandlers } from '@cyclamenusher/protocol'
import type { Clock } from '../../process/clock.js'
import type { ScopedLogger } from '../../process/logger.js'
import type { MemoryAccount } from '../../process/memoryAccount.js'
import type { DrainPlan } from '../callerListener.js'
import type { LocalServices, OperationRunner } from '../operations.js'
import type { AdmittedOperation, Session, StatementContext, StatementResult, Transaction } from '../session.js'
import type { ForwardedStatement, HolderReply, HolderRequest, MessageFormat } from './messages.js'

/** Requests of one instance that may run at once; further ones are refused. */
const MAXIMUM_RUNNING_REQUESTS = 2_000
/** Transactions of one instance that may be open at once. */
const MAXIMUM_TRANSACTIONS = 2_000
/** Interval at which the remaining work is checked while draining, in milliseconds. */
const DRAIN_POLL_INTERVAL_MILLISECONDS = 50
/** How long an operation waits here for the lease of this instance if the instance that sent it has one, in milliseconds: after a change of the leader, instances get theirs within this of one another. */
const LEASE_WAIT_MILLISECONDS = 100
/** Name under which a session of this instance knows the one statement that it executes. */
const STATEMENT_NAME = 'forwarded'

export interface HolderService {
  /** Accepts the stream of another instance. */
  accept: (stream: MessageStream) => MessageStreamHandlers
  /** Tells the other instances that this one stops, so that they send new operations elsewhere. */
  startLeaving: () => void
  /** Ends the work of other instances by the plan. Resolves once none is left, at the plan's end at the latest. */
  drain: (plan: DrainPlan) => Promise<void>
}

export interface HolderServiceOptions {
  runner: OperationRunner
  services: LocalServices
  clock: Clock
  logger: ScopedLogger
  /** Counts the statements of other instances while they run here. @default undefined */
  account?: MemoryAccount
}

interface ForwardedSession {
  session: Session
  transaction: Transaction
  /** Settles when the last request of the transaction so far is done: they run one after another, as their caller sent them. */
  last: Promise<void>
  /** Requests of the transaction that run or wait. */
  pending: number
}

/** A statement, and the times on this instance's clock at which its caller sent it and gives it up. */
interface ReceivedStatement extends ForwardedStatement {
  startedAt: number
  deadline: number
}

interface CallingInstance {
  stream: MessageStream
  /** Format of the replies: compact once the other end has sent a compact request. */
  format: MessageFormat
  /** Name that the other end gave the stream. */
  token?: string
  transactions: Map<number, ForwardedSession>
  running: number
  offset?: ClockOffset
}

function adoptStatement (session: Session, { values, execution, lastCommit }: ForwardedStatement, now: number): void {
  session.values = new Map(values)
  session.prepared = execution === undefined ? new Map() : new Map([[STATEMENT_NAME, execution.definition]])
  session.lastCommit = lastCommit === undefined ? undefined : { position: lastCommit.position, at: now - lastCommit.agoMilliseconds }
}

export function createHolderService ({ runner, services, clock, logger, account }: HolderServiceOptions): HolderService {
  const instances = new Set<CallingInstance>()
  let leaving = false
  /** Whether operations that arrive now are refused, because the instance stops soon. */
  let refusing = false

  /** Takes the times of a statement when it arrives. */
  function receiveStatement (instance: CallingInstance, statement: ForwardedStatement): ReceivedStatement {
    const now = clock.now()
    const { offset, delayMilliseconds } = measureDelay(instance.offset, statement, now)
    instance.offset = offset
    const sentAt = now - delayMilliseconds
    return { ...statement, startedAt: sentAt - statement.elapsedMilliseconds, deadline: sentAt + statement.remainingMilliseconds }
  }

  function createContext (session: Session, statement: ReceivedStatement, access: 'read' | 'write'): StatementContext {
    const { id, text, execution, startedAt, deadline } = statement
    adoptStatement(session, statement, clock.now())
    return {
      timing: {},
      session,
      request: { id, text, statement: execution === undefined ? { kind: access } : { kind: 'execute', name: STATEMENT_NAME, parameters: execution.parameters } },
      startedAt,
      deadline
    }
  }

  /** Runs a request of a transaction after those that came before it. */
  function runInOrder (forwarded: ForwardedSession, run: () => void | Promise<void>): void {
    forwarded.pending += 1
    forwarded.last = forwarded.last.then(run).catch((error: Error) => {
      logger.error('A request of a transaction met a defect of the instance.', { reason: error.message })
    }).finally(() => { forwarded.pending -= 1 })
  }

  function buildFailure (number: number, id: string, session: Session, error: unknown): HolderReply {
    const version = services.link.declaration()?.version
    if (!(error instanceof StatementFailure)) {
      const { message, stack } = error as Error
      services.log.logDecision('A statement met a defect of the instance.', { id, reason: message, stack: stack ?? '' })
      return { kind: 'failure', number, failure: 'in doubt', explanation: `the instance failed: ${message}`, state: session.state, canServe: true, version }
    }
    return { kind: 'failure', number, failure: error.kind, explanation: error.message, state: session.state, canServe: services.link.isLeased() && services.link.isDeclarationTrusted(), version }
  }

  /**
   * Refuses an operation that another holder can run, while there is time for it.
   *
   * Load pattern: this instance has lost control, and the callers' instances have not. An
   * operation that waits here for the lease is refused at its deadline.
   *
   * @throws StatementFailure
   */
  async function requireLeaseSoon ({ admission }: AdmittedOperation): Promise<void> {
    // What was admitted without an admission came from an instance with a lease.
    if (admission !== undefined || await awaitLease(services.link, clock, clock.now() + LEASE_WAIT_MILLISECONDS)) return
    throw new StatementFailure('busy', 'this instance has no word from control, and the one that asks has: try another one')
  }

  /** Runs a statement and sends the reply. */
  async function answer (instance: CallingInstance, number: number, context: StatementContext, run: () => Promise<StatementResult>): Promise<void> {
    const { session, request } = context
    const { lastCommit } = session
    const arrivedAt = clock.now()
    instance.running += 1
    let reply: HolderReply
    let takeOff: (() => void) | undefined
    try {
      if (account?.mayStart(request.text.length) === false) throw new StatementFailure('busy', 'this instance holds too much for its clients now; the statement did not run')
      takeOff = account?.start(request.text.length)
      if (context.deadline <= clock.now()) throw new StatementFailure('busy', 'the statement was held up on its way until its deadline, and did not run')
      const { rows, digest, position, primary } = await run()
      reply = {
        kind: 'result',
        number,
        rows,
        digest,
        position,
        primary,
        timing: Object.fromEntries(Object.entries({ ...context.timing, atHolder: clock.now() - arrivedAt }).map(([part, milliseconds]) => [part, roundTime(milliseconds)])),
        state: session.state,
        version: services.link.declaration()?.version,
        ...(session.lastCommit === undefined || session.lastCommit === lastCommit ? {} : { lastCommit: { position: session.lastCommit.position, agoMilliseconds: roundTime(clock.now() - session.lastCommit.at) } })
      }
    } catch (error) {
      reply = buildFailure(number, request.id, session, error)
    }
    takeOff?.()
    instance.running -= 1
    send(instance, reply)
  }

  function send ({ stream, format }: CallingInstance, reply: HolderReply): void {
    stream.send(encodeHolderReply(reply, format))
  }

  function runInSession (instance: CallingInstance, { number, transaction, statement, admission }: Extract<HolderRequest, { kind: 'continue' | 'commit' }>, access: 'read' | 'write', run: (context: StatementContext, transaction: Transaction) => Promise<StatementResult>): ForwardedSession | undefined {
    const found = instance.transactions.get(transaction)
    if (found === undefined && refusing) {
      send(instance, { kind: 'failure', number, failure: 'busy', explanation: `${STOP_REASON}; the transaction is not open here`, state: 'failed transaction', canServe: false })
      return undefined
    }
    if (found === undefined) {
      send(instance, { kind: 'failure', number, failure: 'aborted', explanation: 'this transaction is not open here', state: 'failed transaction', canServe: true })
      return undefined
    }
    const received = receiveStatement(instance, statement)
    runInOrder(found, async () => {
      const context = { ...createContext(found.session, received, access), admission }
      await answer(instance, number, context, async () => await run(context, found.transaction))
    })
    return found
  }

  /** Whether the operation may run at this instance by its regions; its caller's instance should not have sent it otherwise. */
  function isAllowed ({ account, allowedRegions }: AdmittedOperation): boolean {
    if (isAllowedHere(allowedRegions, services.regions)) return true
    logger.warn('An operation was sent to a holder outside its regions and is refused.', { account, regions: allowedRegions?.join(', '), own: services.regions.own })
    return false
  }

  type RequestHandlers = { [Kind in HolderRequest['kind']]: (instance: CallingInstance, request: Extract<HolderRequest, { kind: Kind }>) => void }
  const REQUEST_HANDLERS: RequestHandlers = {
    run: (instance, { number, access, operation, statement }) => {
      if (!isAllowed(operation)) return send(instance, { kind: 'failure', number, failure: 'busy', explanation: 'this instance lies outside the regions of the operation, which did not run', state: 'idle', canServe: false })
      if (refusing) return send(instance, { kind: 'failure', number, failure: 'busy', explanation: `${STOP_REASON}; the operation did not run`, state: 'idle', canServe: false })
      const context = createContext(createSession('', ''), receiveStatement(instance, statement), access)
      if (instance.running >= MAXIMUM_RUNNING_REQUESTS) return send(instance, buildFailure(number, statement.id, context.session, new StatementFailure('busy', 'too many statements of one instance run here')))
      void answer(instance, number, context, async () => {
        await requireLeaseSoon(operation)
        return await runner.run(context, operation, access)
      })
    },
    begin: (instance, { transaction: number, readOnly, operation, statement }) => {
      // The first statement of a transaction that is not open here is told so.
      if (refusing || instance.transactions.size >= MAXIMUM_TRANSACTIONS || !isAllowed(operation)) return
      const session = createSession('', '')
      const transaction: Transaction = { ...operation, beginId: statement.id, readOnly, wrote: false }
      session.transaction = transaction
      session.state = 'in transaction'
      instance.transactions.set(number, { session, transaction, last: Promise.resolve(), pending: 0 })
      runner.begin(createContext(session, receiveStatement(instance, statement), 'read'), transaction)
    },
    continue: (instance, request) => {
      runInSession(instance, request, request.isWrite ? 'write' : 'read', async (context, transaction) => {
        if (transaction.hasRun !== true) await requireLeaseSoon(transaction)
        transaction.hasRun = true
        return await runner.continue(context, transaction, request.isWrite)
      })
    },
    commit: (instance, request) => {
      const found = runInSession(instance, request, 'write', async (context, transaction) => await runner.commit(context, transaction))
      if (found === undefined) return
      runInOrder(found, () => {
        instance.transactions.delete(request.transaction)
        // A commit that was held up until its deadline did not run.
        if (found.session.transaction !== undefined) runner.rollBack(found.transaction)
      })
    },
    'roll back': (instance, { transaction: number, id }) => {
      const found = instance.transactions.get(number)
      instance.transactions.delete(number)
      if (found !== undefined) runInOrder(found, () => { runner.rollBack(found.transaction, id) })
    },
    probe: (instance, { stream, replaces }) => {
      if (stream !== undefined) instance.token = stream
      const ended = replaces === undefined ? undefined : [...instances].find(({ token }) => token === replaces)
      ended?.stream.close('the other side uses another stream')
      send(instance, { kind: 'alive', formats: [COMPACT_FORMAT], reviewsTransactions: true })
    }
  }

  /** @throws Error, which ends the stream */
  function readRequest (body: Buffer): HolderRequest {
    try {
      return decodeHolderRequest(body)
    } catch (error) {
      logger.warn('A message about operations can not be read; its stream ends.', { reason: (error as Error).message, format: findFormat(body) })
      throw error
    }
  }

  function accept (stream: MessageStream): MessageStreamHandlers {
    const instance: CallingInstance = { stream, format: 'json', transactions: new Map(), running: 0 }
    instances.add(instance)
    if (leaving) send(instance, { kind: 'leaving' })
    return {
      message: body => {
        const request = readRequest(body)
        if (findFormat(body) === COMPACT_FORMAT) instance.format = COMPACT_FORMAT
        const handle = REQUEST_HANDLERS[request.kind] as (instance: CallingInstance, request: HolderRequest) => void
        handle(instance, request)
      },
      closed: reason => {
        instances.delete(instance)
        if (instance.running + instance.transactions.size > 0) logger.info('An instance went away while its work ran here.', { reason, statements: instance.running, transactions: instance.transactions.size })
        for (const forwarded of instance.transactions.values()) runInOrder(forwarded, () => { runner.rollBack(forwarded.transaction) })
      }
    }
  }

  /** Ends all transactions, those that run a statement after it, and refuses further operations. */
  function endWork (): void {
    refusing = true
    for (const { transactions } of instances) {
      for (const { transaction, pending } of transactions.values()) {
        if (transaction.endReason !== undefined) continue
        transaction.endReason = STOP_REASON
        if (pending === 0) runner.rollBack(transaction)
      }
    }
  }

  function countWork (): number {
    return [...instances].reduce((sum, { running, transactions }) => sum + running + [...transactions.values()].filter(({ transaction, pending }) => pending > 0 || transaction.endReason === undefined).length, 0)
  }

  return {
    accept,
    startLeaving: () => {
      leaving = true
      for (const instance of instances) send(instance, { kind: 'leaving' })
    },
    drain: async ({ closeIdleAfter, endTransactionsAfter, forceCloseAfter }) => {
      const startedAt = clock.now()

      /** Waits until no work is left, until `after` milliseconds from the start at the latest. */
      async function awaitWork (after: number): Promise<void> {
        for (let left = after; countWork() > 0 && left > 0; left = startedAt + after - clock.now()) await pause(Math.min(left, DRAIN_POLL_INTERVAL_MILLISECONDS))
      }

      await pause(closeIdleAfter)
      await awaitWork(endTransactionsAfter)
      endWork()
      await awaitWork(forceCloseAfter)
    }
  }
}
