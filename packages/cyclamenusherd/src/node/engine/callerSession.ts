/** One caller's connection: owns the socket and the session, and answers the caller's statements one after another. */

import { CLIENT_RESERVE_BYTES, PREFETCHED_TOKEN_MILLISECONDS } from '@cyclamenusher/decisions'
import { LONGEST_TIMER_MILLISECONDS } from '@cyclamenusher/protocol'
import { createCallerProtection } from './callerProtection.js'
import { cutRunning, refuseWaiting } from './cutAnswer.js'
import { StatementFailure } from './errors.js'
import { admitOperation, describeStatementAdmission, findTransactionEnd, resolveAccess } from './operationAdmission.js'
import { createSession } from './session.js'
import { INTERNAL_DIGEST } from './statement.js'
import type { ClientAccount, PreparationKind } from '@cyclamenusher/decisions'
import type { Socket } from 'node:net'
import type { LogFacts } from '../process/logger.js'
import type { LimitName } from '../process/limits.js'
import type { CallerProtection } from './callerProtection.js'
import type { RunningStatement } from './cutAnswer.js'
import type { EngineServices } from './services.js'
import type { AdmittedOperation, StatementResult, Session, StatementContext, Transaction } from './session.js'
import type { CallerCodec, CallerMessage, Statement, StatementDefinition, StatementRequest } from './statement.js'

/** Time limit of statements without a route, in milliseconds: as long as callers wait for an answer. */
const UNROUTED_STATEMENT_MILLISECONDS = 5_000
/** Memory of a message, or of a value of a session, beside its text, in bytes. */
const ENTRY_BYTES = 128
/** How long a transaction may wait for its caller while no declaration is known, in milliseconds. */
const DEFAULT_IDLE_TRANSACTION_MILLISECONDS = 3_000
/** Maximum number of values of one session, and of its prepared statements. */
const MAXIMUM_SESSION_ENTRIES = 1_000

/** Handle of one caller's connection. The state of its session is `Session`. */
export interface CallerSession {
  /** Closes the connection if no statement or transaction is in progress, or else as soon as none is. Returns whether it was closed. */
  closeIfIdle: () => boolean
  /** Ends the open transaction if its key no longer stands; called when the declaration has changed. */
  reviewTransaction: () => void
  /** Ends the open transaction, after the statement of it that runs, and refuses the operations that come from now on. */
  endWork: (reason: string) => void
  /** Gives a final answer to the statement that runs and to those that wait, and closes the connection. */
  cut: (reason: string) => void
  close: () => void
}

export interface CallerSessionOptions {
  socket: Socket
  codec: CallerCodec
  services: EngineServices
  onClose: () => void
  /** Called with the first message. @default undefined */
  onFirstMessage?: () => void
  /** @default the default limits, for this session alone */
  protection?: CallerProtection
}

/** Statements that release something, and are not refused for memory. */
const ENDING_KINDS: ReadonlySet<Statement['kind']> = new Set<Statement['kind']>(['commit', 'rollback', 'deallocate'])
const EMPTY_RESULT: StatementResult = { rows: [], digest: INTERNAL_DIGEST }

/** Memory of a message while it waits, in bytes. */
function measureMessage (message: CallerMessage): number {
  if (message.kind === 'statement') return message.request.text.length + message.request.id.length + ENTRY_BYTES
  return message.kind === 'start' ? message.database.length + message.key.length + ENTRY_BYTES : ENTRY_BYTES
}

/** Copies a part of a message, so that what is kept of it does not keep the whole message. */
function copyText (text: string): string {
  return Buffer.from(text, 'latin1').toString('latin1')
}

export function startCallerSession ({ socket, codec, services, onClose, onFirstMessage = () => {}, protection = createCallerProtection(services.clock) }: CallerSessionOptions): CallerSession {
  const { clock, log, operations } = services
  const { limits, account, report } = protection
  const messages: CallerMessage[] = []
  let waitingBytes = 0
  /** Bytes of the session's names, values and prepared statements. */
  let keptBytes = 0
  /** Whether the account holds back this client's input. */
  let heldBack = false
  /** Whether the next statement waits until the caller has read its answers. */
  let awaitingReader = false
  let hasFirstMessage = false
  let partialTimer: NodeJS.Timeout | undefined
  const measure = (): number => codec.pendingBytes() + waitingBytes + socket.writableLength
  const client = account.open({
    measure,
    resume: () => {
      heldBack = false
      resumeReading()
    },
    destroy: () => { destroy() }
  })
  let startedSession: Session | undefined
  let processing = false
  let closed = false
  /** Whether the connection closes as soon as no statement or transaction is in progress. */
  let closeWhenIdle = false
  let idleTimer: NodeJS.Timeout | undefined
  /** Whether the open transaction was ended while a statement of it ran, and is rolled back after that. */
  let rollsBackNext = false
  /** Why operations are refused; undefined: they are not. */
  let refusal: string | undefined
  let running: RunningStatement | undefined
  /** When a token was last borrowed for the next operation; undefined: not since the last operation. */
  let prefetchedAt: number | undefined

  function write (text: string): void {
    if (closed) return
    socket.write(text, 'latin1')
    client.update(measure())
  }

  function close (): void {
    if (closed) return
    closed = true
    clearTimeout(idleTimer)
    clearTimeout(startTimer)
    clearTimeout(partialTimer)
    client.keep(-keptBytes)
    keptBytes = 0
    messages.length = 0
    waitingBytes = 0
    if (startedSession?.transaction !== undefined && !processing) operations.rollBack(startedSession.transaction)
    socket.end()
    socket.destroySoon()
    // A caller that reads gets its answers; one that takes nothing must not keep the connection.
    if (socket.writableLength > 0) {
      socket.pause()
      socket.setTimeout(limits.unreadAnswerMilliseconds, () => { socket.destroy() })
    }
    onClose()
  }

  function destroy (): void {
    close()
    socket.destroy()
  }

  function closeForLimit (limit: LimitName): void {
    if (closed) return
    report(limit, { client: socket.remoteAddress, bytes: measure(), database: startedSession?.database })
    destroy()
  }

  const startTimer = setTimeout(() => { closeForLimit('first message time') }, limits.firstMessageMilliseconds)

  function resumeReading (): void {
    if (closed || heldBack || awaitingReader || waitingBytes > limits.pipelinedBytes || !socket.isPaused()) return
    socket.resume()
    watchPartialMessage()
  }

  /** Stops reading while too much is waiting. A message that is incomplete then has its whole time again afterwards. */
  function pauseIfFull (): void {
    heldBack = !client.mayRead(codec.pendingBytes() + waitingBytes)
    const isFull = waitingBytes > limits.pipelinedBytes
    if (!heldBack && !isFull) return
    if (isFull) report('pipelined bytes', { client: socket.remoteAddress, bytes: waitingBytes })
    clearTimeout(partialTimer)
    partialTimer = undefined
    socket.pause()
  }

  /** Limits the time of the message that is incomplete now, if there is one. */
  function watchPartialMessage (): void {
    if (closed || codec.pendingBytes() === 0 || !hasFirstMessage) return
    partialTimer ??= setTimeout(() => { closeForLimit('partial message time') }, limits.partialMessageMilliseconds)
  }

  /** Waits until the caller has read enough of its answers. */
  async function awaitReader (): Promise<void> {
    if (socket.writableLength <= limits.unreadAnswerBytes || closed) return
    awaitingReader = true
    socket.pause()
    restartIdleTimer()
    // The time starts again with each byte that the caller takes.
    socket.setTimeout(limits.unreadAnswerMilliseconds, () => { closeForLimit('unread answer time') })
    await new Promise<void>(resolve => { socket.once('drain', resolve).once('close', () => { resolve() }) })
    awaitingReader = false
    clearTimeout(idleTimer)
    if (closed) return
    socket.setTimeout(0)
    socket.removeAllListeners('timeout')
    client.recordProgress()
    resumeReading()
  }

  /** Adds bytes that the session keeps. @throws StatementFailure */
  function keep (bytes: number): void {
    const tooMuch = keptBytes + bytes > limits.sessionBytes
    if (tooMuch || !client.keep(bytes)) {
      report('session bytes', { client: socket.remoteAddress, kept: keptBytes, bytes })
      throw new StatementFailure(tooMuch ? 'too large' : 'busy', 'the values, statements and names of sessions take too much memory: drop those that are no longer used')
    }
    keptBytes += bytes
  }

  function forget (bytes: number): void {
    keptBytes -= bytes
    client.keep(-bytes)
  }

  async function start (message: Extract<CallerMessage, { kind: 'start' }>): Promise<void> {
    clearTimeout(startTimer)
    await services.awaitDeclaration()
    if (closed) return
    try {
      const { account } = resolveAccess(services, message)
      keep(message.database.length + message.key.length)
      startedSession = createSession(message.database, message.key)
      write(codec.ready('idle'))
      prefetchToken('start', account)
    } catch (error) {
      if (!(error instanceof StatementFailure)) throw error
      log.logAnswer('A session was refused.', {}, () => ({ reason: error.kind, explanation: error.message, version: services.link.declaration()?.version }))
      write(codec.failure(error.kind, error.message))
      close()
    }
  }

  /** Borrows the token of the session's next operation while its caller prepares it, once for each operation. */
  function prefetchToken (kind: PreparationKind, account: ClientAccount | undefined): void {
    const now = clock.now()
    if (account === undefined || (prefetchedAt !== undefined && now - prefetchedAt < PREFETCHED_TOKEN_MILLISECONDS)) return
    prefetchedAt = now
    services.rates.prefetch(account, kind)
  }

  /** Borrows the token of the session's next operation; one in a transaction needs none. */
  function prefetchForSession (kind: PreparationKind, { transaction, database, key }: Session): void {
    if (transaction !== undefined) return
    const index = services.link.declaration()
    if (index?.routeOf(database) !== undefined) prefetchToken(kind, index.accountOf(key))
  }

  /** @throws StatementFailure if operations are refused */
  function requireAccepted (): void {
    if (refusal !== undefined) throw new StatementFailure('busy', `${refusal}; the operation did not run: try another instance`)
  }

  async function admit (session: Session): Promise<AdmittedOperation> {
    prefetchedAt = undefined
    requireAccepted()
    const operation = await admitOperation(services, session)
    // It may have waited for its rate until operations were refused.
    requireAccepted()
    return operation
  }

  async function begin (context: StatementContext, readOnly: boolean): Promise<StatementResult> {
    const { session } = context
    if (session.transaction !== undefined) throw new StatementFailure('malformed', 'a transaction is open already')
    if (context.request.id.length > CLIENT_RESERVE_BYTES) throw new StatementFailure('too large', 'the id of a statement that begins a transaction is too long')
    session.transaction = { ...await admit(session), beginId: context.request.id, readOnly, wrote: false }
    session.state = 'in transaction'
    operations.begin(context, session.transaction)
    return EMPTY_RESULT
  }

  function rollback ({ session, request }: StatementContext): StatementResult {
    if (session.transaction !== undefined) operations.rollBack(session.transaction, request.id)
    session.transaction = undefined
    session.state = 'idle'
    return EMPTY_RESULT
  }

  /** Ends a transaction that must not run the statement, and notes by what one is admitted that may. */
  function admitToTransaction (context: StatementContext, transaction: Transaction): void {
    const reason = transaction.endReason === undefined ? findTransactionEnd(services, context, transaction) : undefined
    if (reason !== undefined) {
      logKeyLoss(transaction, reason)
      transaction.endReason = reason
      operations.rollBack(transaction)
    }
    context.admission = describeStatementAdmission(services, context.session, transaction)
  }

  function logKeyLoss (transaction: Transaction, reason: string): void {
    log.logDecision('A transaction is ended, because its key no longer stands.', { database: startedSession?.database, account: transaction.account, version: services.link.declaration()?.version, reason })
  }

  function reviewTransaction (): void {
    const transaction = startedSession?.transaction
    if (startedSession === undefined || transaction === undefined || transaction.endReason !== undefined) return
    const reason = findTransactionEnd(services, { session: startedSession }, transaction)
    if (reason === undefined) return
    logKeyLoss(transaction, reason)
    endTransaction(reason)
  }

  /** Whether a statement is being run, so that its result is not cut off. */
  function isAtWork (): boolean {
    return processing && !awaitingReader
  }

  /** Rolls back the transaction that was ended during the last statement. */
  function rollBackIfEnded (): void {
    if (!rollsBackNext) return
    rollsBackNext = false
    if (startedSession?.transaction !== undefined) operations.rollBack(startedSession.transaction)
  }

  async function commitIfOpen (context: StatementContext): Promise<StatementResult> {
    const { session } = context
    if (session.transaction === undefined) return EMPTY_RESULT
    admitToTransaction(context, session.transaction)
    return await operations.commit(context, session.transaction)
  }

  async function runOperation (context: StatementContext, access: 'read' | 'write'): Promise<StatementResult> {
    const { session } = context
    if (session.transaction !== undefined) {
      admitToTransaction(context, session.transaction)
      return await operations.continue(context, session.transaction, access === 'write')
    }
    const operation = await admit(session)
    context.timing.admission = clock.now() - context.startedAt
    return await operations.run(context, operation, access)
  }

  function requireCapacity (entries: ReadonlyMap<string, unknown>): void {
    if (entries.size >= MAXIMUM_SESSION_ENTRIES) throw new StatementFailure('too large', `a session keeps ${MAXIMUM_SESSION_ENTRIES} values and as many statements at most: drop those that are no longer used`)
  }

  function measurePrepared (name: string, { text }: StatementDefinition): number {
    return name.length + text.length + ENTRY_BYTES
  }

  type StatementHandlers = { [Kind in Statement['kind']]: (context: StatementContext, statement: Extract<Statement, { kind: Kind }>) => StatementResult | Promise<StatementResult> }
  const STATEMENT_HANDLERS: StatementHandlers = {
    begin: async (context, { readOnly }) => await begin(context, readOnly),
    commit: async context => await commitIfOpen(context),
    rollback,
    read: async context => await runOperation(context, 'read'),
    write: async context => await runOperation(context, 'write'),
    execute: async (context, { name }) => {
      const definition = context.session.prepared.get(name)
      if (definition === undefined) throw new StatementFailure('statement unknown', `no statement ${name} was prepared in this session`)
      return await runOperation(context, definition.access)
    },
    set: ({ session }, { name, value }) => {
      requireCapacity(session.values)
      keep(name.length + value.length + ENTRY_BYTES)
      const replaced = session.values.get(name)
      if (replaced !== undefined) forget(name.length + replaced.length + ENTRY_BYTES)
      session.values.set(copyText(name), copyText(value))
      prefetchForSession('set', session)
      return EMPTY_RESULT
    },
    prepare: ({ session }, { name, definition }) => {
      requireCapacity(session.prepared)
      keep(measurePrepared(name, definition))
      const replaced = session.prepared.get(name)
      if (replaced !== undefined) forget(measurePrepared(name, replaced))
      session.prepared.set(copyText(name), { ...definition, text: copyText(definition.text) })
      prefetchForSession('prepare', session)
      return EMPTY_RESULT
    },
    deallocate: ({ session }, { name }) => {
      const removed = session.prepared.get(name)
      if (removed !== undefined) forget(measurePrepared(name, removed))
      session.prepared.delete(name)
      return EMPTY_RESULT
    }
  }

  /** Refuses a statement other than commit or rollback in a failed transaction. */
  function requireNotFailed ({ state }: Session, { kind }: Statement): void {
    if (state !== 'failed transaction' || kind === 'commit' || kind === 'rollback') return
    throw new StatementFailure('malformed', 'the transaction has failed: end it first')
  }

  /** Rolls back. No commit has been sent, so one that ends the transaction is answered that nothing is kept. */
  function endFailedTransaction (context: StatementContext): StatementResult {
    const result = rollback(context)
    if (context.request.statement.kind === 'commit') throw new StatementFailure('aborted', 'the transaction has failed and was rolled back')
    return result
  }

  async function execute (context: StatementContext): Promise<StatementResult> {
    const { session, request: { statement } } = context
    requireNotFailed(session, statement)
    if (session.state === 'failed transaction') return endFailedTransaction(context)
    const handle = STATEMENT_HANDLERS[statement.kind] as (context: StatementContext, statement: Statement) => StatementResult | Promise<StatementResult>
    return await handle(context, statement)
  }

  function findStatementTimeout (session: Session): number {
    return services.link.declaration()?.routeOf(session.database)?.statementMilliseconds ?? UNROUTED_STATEMENT_MILLISECONDS
  }

  function describeAnswer ({ session, request, timing, holder }: StatementContext, milliseconds: number, failure: StatementFailure | undefined): LogFacts {
    return {
      ...Object.fromEntries(Object.entries(timing).map(([part, duration]) => [part, Math.round(duration)])),
      id: request.id,
      statement: request.statement.kind,
      database: session.database,
      state: session.state,
      version: services.link.declaration()?.version,
      newest: services.link.newestVersion(),
      leasedFor: Math.round(services.link.leasedUntil() - clock.now()),
      ...(holder === undefined ? {} : { holder: holder.name, holderVersion: holder.version }),
      milliseconds,
      ...(failure === undefined ? {} : { failure: failure.kind, explanation: failure.message })
    }
  }

  function logOutcome (context: StatementContext, failure?: StatementFailure): void {
    const milliseconds = Math.round((clock.now() - context.startedAt) * 10) / 10
    const answer = { statement: context.request.statement.kind, failure: failure?.kind, milliseconds }
    log.logAnswer(failure === undefined ? 'complete' : 'A statement failed.', answer, () => describeAnswer(context, milliseconds, failure))
  }

  /** Logs a defect of the instance and rolls back the transaction. Whether the statement took effect is unknown, so it ends in doubt. */
  function handleDefect (session: Session, { id }: StatementRequest, { message, stack }: Error): StatementFailure {
    log.logDecision('A statement met a defect of the instance.', { id, reason: message, stack: stack ?? '' })
    if (session.transaction !== undefined) {
      operations.rollBack(session.transaction)
      session.state = 'failed transaction'
    }
    return new StatementFailure('in doubt', `the instance failed: ${message}`)
  }

  async function answerStatement (session: Session, request: StatementRequest): Promise<void> {
    const startedAt = clock.now()
    const context: StatementContext = { timing: {}, session, request, startedAt, deadline: startedAt + findStatementTimeout(session) }
    let takeOff = (): void => {}
    running = { request, transaction: session.transaction }
    try {
      if (!ENDING_KINDS.has(request.statement.kind) && !account.mayStart(request.text.length + keptBytes)) throw new StatementFailure('busy', 'this instance holds too much for its clients now; the statement did not run: try again, or another one')
      // Values of the session travel with each statement.
      takeOff = account.start(request.text.length + keptBytes)
      const { rows, digest, position } = await execute(context)
      logOutcome(context)
      write(codec.result(rows, digest) + codec.ready(session.state, position))
    } catch (error) {
      const failure = error instanceof StatementFailure ? error : handleDefect(session, request, error as Error)
      logOutcome(context, failure)
      write(codec.failure(failure.kind, failure.message) + codec.ready(session.state))
      // Another instance may still hold a lease; callers that reconnect can reach it.
      if (!services.link.isLeased() && session.state === 'idle') closeWhenIdle = true
    } finally {
      running = undefined
      takeOff()
    }
  }

  function answerMalformed (kind: 'malformed' | 'too large', reason: string): void {
    write(codec.failure(kind, reason))
    if (kind === 'too large') report('message bytes', { client: socket.remoteAddress })
    if (startedSession === undefined || kind === 'too large') return close()
    write(codec.ready(startedSession.state))
  }

  function restartIdleTimer (): void {
    clearTimeout(idleTimer)
    if (startedSession?.transaction === undefined || startedSession.transaction.endReason !== undefined) return
    const limitMilliseconds = services.link.declaration()?.declaration.idleTransactionMilliseconds ?? DEFAULT_IDLE_TRANSACTION_MILLISECONDS
    idleTimer = setTimeout(() => { endTransaction(`the transaction was idle for more than ${limitMilliseconds} ms`) }, Math.min(limitMilliseconds, LONGEST_TIMER_MILLISECONDS))
  }

  /** Ends the open transaction: at once if it waits for its caller, otherwise after the statement of it that runs. */
  function endTransaction (reason: string): void {
    const transaction = startedSession?.transaction
    if (transaction === undefined || transaction.endReason !== undefined) return
    transaction.endReason = reason
    if (isAtWork()) rollsBackNext = true
    else operations.rollBack(transaction)
  }

  function endWork (reason: string): void {
    refusal = reason
    endTransaction(reason)
  }

  function cut (reason: string): void {
    if (startedSession === undefined) return close()
    if (running !== undefined) {
      const { id, statement } = running.request
      const outcome = cutRunning(startedSession, running)
      log.logAnswer('A statement was cut off by the end of the instance.', { statement: statement.kind, failure: outcome }, () => ({ id, statement: statement.kind, failure: outcome }))
      write(codec.failure(outcome, reason) + codec.ready(startedSession.state))
    }
    write(refuseWaiting(codec, startedSession, messages, reason))
    close()
  }

  type MessageHandlers = { [Kind in CallerMessage['kind']]: (message: Extract<CallerMessage, { kind: Kind }>) => void | Promise<void> }
  const MESSAGE_HANDLERS: MessageHandlers = {
    start: async message => { startedSession === undefined ? await start(message) : answerMalformed('malformed', 'the session has started already') },
    statement: async ({ request }) => {
      if (startedSession === undefined) return answerMalformed('malformed', 'name a database first')
      await answerStatement(startedSession, request)
    },
    end: () => { close() },
    malformed: ({ reason }) => { answerMalformed('malformed', reason) },
    'too large': () => { answerMalformed('too large', 'a message is too long') }
  }

  async function processMessages (): Promise<void> {
    if (processing) return
    processing = true
    clearTimeout(idleTimer)
    for (let message = messages.shift(); message !== undefined && !closed; message = messages.shift()) {
      waitingBytes -= measureMessage(message)
      const handle = MESSAGE_HANDLERS[message.kind] as (message: CallerMessage) => void | Promise<void>
      await handle(message)
      rollBackIfEnded()
      if (socket.writableLength > limits.unreadAnswerBytes) await awaitReader()
      if (socket.isPaused()) {
        heldBack = !client.mayRead(codec.pendingBytes() + waitingBytes)
        resumeReading()
      }
    }
    processing = false
    // The caller may have disconnected while its statement ran.
    if (closed && startedSession?.transaction !== undefined) operations.rollBack(startedSession.transaction)
    if (closeWhenIdle) closeIfIdle()
    if (!closed) restartIdleTimer()
  }

  function closeIfIdle (): boolean {
    if (processing || startedSession?.transaction !== undefined || messages.length > 0) {
      closeWhenIdle = true
      return false
    }
    close()
    return true
  }

  socket.on('data', chunk => {
    if (closed) return
    const received = codec.read(chunk)
    if (received.length > 0) {
      if (partialTimer !== undefined) clearTimeout(partialTimer)
      partialTimer = undefined
      hasFirstMessage = true
      onFirstMessage()
      for (const message of received) waitingBytes += measureMessage(message)
      messages.push(...received)
      if (messages.length > limits.pipelinedStatements) return closeForLimit('pipelined statements')
    }
    client.recordProgress()
    void processMessages()
    client.update(measure())
    watchPartialMessage()
    if (waitingBytes + codec.pendingBytes() > CLIENT_RESERVE_BYTES) pauseIfFull()
  })
  socket.on('end', close)
  socket.on('error', close)
  socket.on('close', () => {
    close()
    client.release()
  })
  return { closeIfIdle, reviewTransaction, endWork, cut, close }
}
