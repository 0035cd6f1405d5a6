/** A caller's connection: it owns the socket and the session, and answers one statement after the other. */

import { StatementFailure } from './errors.js'
import { admitOperation, resolveAccess } from './operationAdmission.js'
import { runRead } from './reads.js'
import { openSession } from './session.js'
import { OWN_DIGEST } from './statement.js'
import { commit, endAtServer, runInTransaction, startAtServer } from './transactions.js'
import { runWrite } from './writes.js'
import type { Socket } from 'node:net'
import type { EngineServices } from './services.js'
import type { Answer, Session, StatementContext } from './session.js'
import type { CallerCodec, CallerMessage, Statement, StatementRequest } from './statement.js'

/** Time that a caller has until it names its database, in milliseconds: as long as callers wait themselves. */
const START_MILLISECONDS = 5_000
/** Statements that a caller may send ahead; one with more is disconnected. */
const MAXIMUM_AHEAD = 1_000
/** Time limit of a transaction's pause where no declaration is held, in milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 3_000
/** Prepared statements and values of one session; more are refused. */
const MAXIMUM_KEPT = 1_000

export interface CallerSession {
  /** Closes the connection if no operation is under way; true: it was closed. */
  closeIfIdle: () => boolean
  /** Ends the open transaction, if there is one that waits for its caller. */
  endTransaction: (reason: string) => void
  close: () => void
}

export interface CallerSessionOptions {
  socket: Socket
  codec: CallerCodec
  services: EngineServices
  onClose: () => void
}

const OWN_ANSWER: Answer = { rows: [], digest: OWN_DIGEST }

export function openCallerSession ({ socket, codec, services, onClose }: CallerSessionOptions): CallerSession {
  const { clock, log } = services
  const messages: CallerMessage[] = []
  let session: Session | undefined
  let working = false
  let closed = false
  /** Set when the session is to end as soon as no operation is under way. */
  let closing = false
  let idleTimer: NodeJS.Timeout | undefined

  function write (text: string): void {
    if (!closed) socket.write(text, 'latin1')
  }

  function close (): void {
    if (closed) return
    closed = true
    clearTimeout(idleTimer)
    clearTimeout(startTimer)
    if (session?.transaction !== undefined && !working) endAtServer(services, session.transaction)
    socket.end()
    socket.destroySoon()
    onClose()
  }

  const startTimer = setTimeout(close, START_MILLISECONDS)

  function start (message: Extract<CallerMessage, { kind: 'start' }>): void {
    clearTimeout(startTimer)
    try {
      resolveAccess(services, message)
      session = openSession(message.database, message.key)
      write(codec.ready('idle'))
    } catch (error) {
      if (!(error instanceof StatementFailure)) throw error
      log.answered('A session was refused.', { reason: error.kind, explanation: error.message, version: services.link.declaration()?.version })
      write(codec.failure(error.kind, error.message))
      close()
    }
  }

  async function begin (context: StatementContext, readOnly: boolean): Promise<Answer> {
    const { session: own } = context
    if (own.transaction !== undefined) throw new StatementFailure('malformed', 'a transaction is open already')
    own.transaction = { ...await admitOperation(services, own), beginId: context.request.id, readOnly, wrote: false }
    own.state = 'in transaction'
    startAtServer(services, context, own.transaction)
    return OWN_ANSWER
  }

  function rollback ({ session: own, request }: StatementContext): Answer {
    if (own.transaction !== undefined) endAtServer(services, own.transaction, request.id)
    own.transaction = undefined
    own.state = 'idle'
    return OWN_ANSWER
  }

  async function commitOpen (context: StatementContext): Promise<Answer> {
    const { session: own } = context
    if (own.transaction === undefined) return OWN_ANSWER
    return await commit(services, context, own.transaction)
  }

  async function runAccess (context: StatementContext, access: 'read' | 'write'): Promise<Answer> {
    const { session: own } = context
    if (own.transaction !== undefined) return await runInTransaction(services, context, own.transaction, access === 'write')
    const admitted = await admitOperation(services, own)
    const run = access === 'read' ? runRead : runWrite
    return await run(services, context, admitted)
  }

  function requireRoom (kept: ReadonlyMap<string, unknown>): void {
    if (kept.size >= MAXIMUM_KEPT) throw new StatementFailure('too large', `a session keeps ${MAXIMUM_KEPT} values and as many statements at most: drop those that are no longer used`)
  }

  type Handlers = { [Kind in Statement['kind']]: (context: StatementContext, statement: Extract<Statement, { kind: Kind }>) => Answer | Promise<Answer> }
  const HANDLERS: Handlers = {
    begin: async (context, { readOnly }) => await begin(context, readOnly),
    commit: async context => await commitOpen(context),
    rollback,
    read: async context => await runAccess(context, 'read'),
    write: async context => await runAccess(context, 'write'),
    execute: async (context, { name }) => {
      const shape = context.session.prepared.get(name)
      if (shape === undefined) throw new StatementFailure('statement unknown', `no statement ${name} was prepared in this session`)
      return await runAccess(context, shape.access)
    },
    set: ({ session: own }, { name, value }) => {
      requireRoom(own.values)
      own.values.set(name, value)
      return OWN_ANSWER
    },
    prepare: ({ session: own }, { name, shape }) => {
      requireRoom(own.prepared)
      own.prepared.set(name, shape)
      return OWN_ANSWER
    },
    deallocate: ({ session: own }, { name }) => {
      own.prepared.delete(name)
      return OWN_ANSWER
    }
  }

  /** A failed transaction takes nothing but its end. */
  function requireAlive ({ state }: Session, { kind }: Statement): void {
    if (state !== 'failed transaction' || kind === 'commit' || kind === 'rollback') return
    throw new StatementFailure('malformed', 'the transaction has failed: end it first')
  }

  async function execute (context: StatementContext): Promise<Answer> {
    const { session: own, request: { statement } } = context
    requireAlive(own, statement)
    if (own.state === 'failed transaction') return rollback(context)
    const handle = HANDLERS[statement.kind] as (context: StatementContext, statement: Statement) => Answer | Promise<Answer>
    return await handle(context, statement)
  }

  function statementMilliseconds (own: Session): number {
    return services.link.declaration()?.routeOf(own.database)?.statementMilliseconds ?? START_MILLISECONDS
  }

  function noteAnswer (own: Session, request: StatementRequest, startedAt: number, failure?: StatementFailure): void {
    const facts = {
      id: request.id,
      statement: request.statement.kind,
      database: own.database,
      state: own.state,
      version: services.link.declaration()?.version,
      milliseconds: Math.round((clock.now() - startedAt) * 10) / 10
    }
    if (failure === undefined) log.answered('complete', facts)
    else log.answered('A statement failed.', { ...facts, failure: failure.kind, explanation: failure.message, leasedFor: Math.round(services.link.leasedUntil() - clock.now()) })
  }

  /** A defect ends one statement: nobody can tell what it did, and its transaction is rolled back. */
  function noteDefect (own: Session, { id }: StatementRequest, { message, stack }: Error): StatementFailure {
    log.decided('A statement met a defect of the instance.', { id, reason: message, stack: stack ?? '' })
    if (own.transaction !== undefined) {
      endAtServer(services, own.transaction)
      own.state = 'failed transaction'
    }
    return new StatementFailure('in doubt', `the instance failed: ${message}`)
  }

  async function answer (own: Session, request: StatementRequest): Promise<void> {
    const startedAt = clock.now()
    const context: StatementContext = { session: own, request, startedAt, deadline: startedAt + statementMilliseconds(own) }
    try {
      const { rows, digest, position } = await execute(context)
      noteAnswer(own, request, startedAt)
      write(codec.result(rows, digest) + codec.ready(own.state, position))
    } catch (error) {
      const failure = error instanceof StatementFailure ? error : noteDefect(own, request, error as Error)
      noteAnswer(own, request, startedAt, failure)
      write(codec.failure(failure.kind, failure.message) + codec.ready(own.state))
      // Another instance may have word from control; its callers' retries find it.
      if (!services.link.isLeased() && own.state === 'idle') closing = true
    }
  }

  function answerMalformed (kind: 'malformed' | 'too large', reason: string): void {
    write(codec.failure(kind, reason))
    if (session === undefined || kind === 'too large') return close()
    write(codec.ready(session.state))
  }

  function watchIdleTransaction (): void {
    clearTimeout(idleTimer)
    if (session?.transaction === undefined || session.transaction.ended !== undefined) return
    const limit = services.link.declaration()?.declaration.idleTransactionMilliseconds ?? DEFAULT_IDLE_MILLISECONDS
    idleTimer = setTimeout(() => { endTransaction(`the transaction was idle for more than ${limit} ms`) }, limit)
  }

  function endTransaction (reason: string): void {
    if (working || session?.transaction === undefined) return
    session.transaction.ended = reason
    endAtServer(services, session.transaction)
  }

  type Takers = { [Kind in CallerMessage['kind']]: (message: Extract<CallerMessage, { kind: Kind }>) => void | Promise<void> }
  const TAKERS: Takers = {
    start: message => { session === undefined ? start(message) : answerMalformed('malformed', 'the session has started already') },
    statement: async ({ request }) => {
      if (session === undefined) return answerMalformed('malformed', 'name a database first')
      await answer(session, request)
    },
    end: () => { close() },
    malformed: ({ reason }) => { answerMalformed('malformed', reason) },
    'too large': () => { answerMalformed('too large', 'a message is too long') }
  }

  async function work (): Promise<void> {
    if (working) return
    working = true
    clearTimeout(idleTimer)
    for (let message = messages.shift(); message !== undefined && !closed; message = messages.shift()) {
      const take = TAKERS[message.kind] as (message: CallerMessage) => void | Promise<void>
      await take(message)
    }
    working = false
    // The caller may have gone while its statement ran.
    if (closed && session?.transaction !== undefined) endAtServer(services, session.transaction)
    if (closing) closeIfIdle()
    if (!closed) watchIdleTransaction()
  }

  function closeIfIdle (): boolean {
    if (working || session?.transaction !== undefined || messages.length > 0) {
      closing = true
      return false
    }
    close()
    return true
  }

  socket.on('data', chunk => {
    messages.push(...codec.read(chunk))
    if (messages.length > MAXIMUM_AHEAD) return close()
    void work()
  })
  socket.on('end', close)
  socket.on('error', close)
  socket.on('close', close)
  return { closeIfIdle, endTransaction, close }
}
