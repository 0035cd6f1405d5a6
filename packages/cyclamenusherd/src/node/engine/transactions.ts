/**
 * Transactions: they take a connection with their first statement and keep it to
 * their end. Until its commit is sent, a transaction that loses its connection
 * is known to be undone, because a server rolls back what is closed.
 */

import { StatementFailure } from './errors.js'
import { attempt, replyWithin } from './attempt.js'
import { OWN_ID } from './preparation.js'
import { renewPosition } from './reads.js'
import { CONFIRM_MILLISECONDS, NOT_RUN } from './writes.js'
import { objectiveOf } from './session.js'
import { pause } from '../process/clock.js'
import type { ReadRequirement } from '@cyclamenusher/decisions'
import type { EngineServices } from './services.js'
import type { GroupPool, Lent } from './groupPool.js'
import type { Answer, Session, StatementContext, Transaction } from './session.js'

/** Pause before a transaction that a server refused is begun again, in milliseconds: about a statement's length. */
const AGAIN_MILLISECONDS = 20
/** Time that a server has to roll back before its connection is closed instead, in milliseconds. */
const ROLLBACK_MILLISECONDS = 500

function needOf (group: GroupPool, session: Session, { route, readOnly }: Transaction): ReadRequirement {
  if (!readOnly) return { kind: 'primary' }
  return group.readNeed({ policy: route.readPolicy, maximumStalenessMilliseconds: route.maximumStalenessMilliseconds, session: session.committed })
}

/** Begins the transaction at a server. @throws StatementFailure when none takes it in time */
async function beginAtServer (services: EngineServices, context: StatementContext, transaction: Transaction): Promise<Lent> {
  const { session, request, deadline } = context
  const { route, account, readOnly } = transaction
  const group = services.group(route.group)
  const codec = services.codec()
  const avoid = new Set<string>()
  for (;;) {
    const need = needOf(group, session, transaction)
    const lent = await group.lend({ account, values: session.values, priority: route.priority, objective: objectiveOf(context, route), deadline, need, avoid })
    const begin = lent.after === undefined ? codec.begin(readOnly) : codec.after(lent.after, codec.begin(readOnly))
    const reply = await beginOn(services, lent, { ...context, request: { id: transaction.beginId, text: begin, statement: { kind: 'read' } } })
    if (reply === undefined) return lent
    services.log.decided('A transaction is begun again.', { id: request.id, member: lent.connection.member, reason: reply, left: Math.round(deadline - services.clock.now()) })
    if (lent.after !== undefined && !lent.isPrimary) avoid.add(lent.connection.member)
    await pause(AGAIN_MILLISECONDS)
    if (services.clock.now() >= deadline) throw new StatementFailure('aborted', `no server began the transaction in time; the last said ${reply}`)
  }
}

/** Undefined: the transaction has begun on the connection; else why not. */
async function beginOn (services: EngineServices, lent: Lent, context: StatementContext): Promise<string | undefined> {
  const reply = await attempt(services, lent, context, text => text, true)
  if (reply.kind === 'complete' && reply.state === 'in transaction') {
    // What it reads must hold all that was acknowledged before it began.
    if (lent.after !== undefined || await lent.confirm(context.deadline)) return undefined
    lent.release(false)
    return 'the primary may have been replaced before it began'
  }
  if (reply.kind === 'failure' && reply.failure === 'lagging') lent.recordLack()
  if (reply.kind === 'failure' && reply.failure === 'read only') services.link.reportNow()
  lent.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind === 'failure') return `${reply.failure}: ${reply.explanation}`
  return reply.kind === 'not sent' || reply.kind === 'lost' ? reply.reason : 'it did not answer'
}

/**
 * Begins the transaction while its caller is still on the way with the first
 * statement. What fails here is tried again with that statement.
 */
export function startAtServer (services: EngineServices, context: StatementContext, transaction: Transaction): void {
  transaction.starting = beginAtServer(services, context, transaction).then(
    lent => { transaction.lent = lent },
    (error: Error) => { services.log.decided('A transaction was not begun ahead.', { id: context.request.id, reason: error.message }) }
  )
}

/** Rolls back at the server and gives the connection back; `id` is that of the caller's own rollback. */
export function endAtServer (services: EngineServices, transaction: Transaction, id = OWN_ID): void {
  if (transaction.starting === undefined) return rollBack(services, transaction, id)
  void transaction.starting.then(() => { rollBack(services, transaction, id) })
}

function rollBack (services: EngineServices, transaction: Transaction, id: string): void {
  const { lent } = transaction
  if (lent === undefined) return
  transaction.lent = undefined
  const rollback = lent.connection.run(id, services.codec().rollback())
  void replyWithin(services, lent, services.clock.now() + ROLLBACK_MILLISECONDS, rollback).then(reply => {
    lent.release(reply.kind === 'complete' && reply.state === 'idle')
  })
}

/** The transaction is over: nothing of it is kept. */
function fail (session: Session, transaction: Transaction, failure: StatementFailure): StatementFailure {
  transaction.lent?.release(false)
  transaction.lent = undefined
  session.state = 'failed transaction'
  return failure
}

function requireRunning (session: Session, transaction: Transaction): void {
  if (transaction.ended === undefined) return
  session.state = 'failed transaction'
  throw new StatementFailure('aborted', transaction.ended)
}

/** Runs a read or write of the transaction. @throws StatementFailure */
export async function runInTransaction (services: EngineServices, context: StatementContext, transaction: Transaction, writes: boolean): Promise<Answer> {
  const { session } = context
  requireRunning(session, transaction)
  await transaction.starting
  const lent = transaction.lent ?? await takeConnection(services, context, transaction)
  const reply = await attempt(services, lent, context, text => text, false)
  if (reply.kind === 'late') throw fail(session, transaction, new StatementFailure('aborted', `server ${lent.connection.member} did not answer in time; its connection was closed`))
  if (reply.kind === 'lost' || reply.kind === 'not sent') throw fail(session, transaction, new StatementFailure('aborted', `the connection to server ${lent.connection.member} was lost: ${reply.reason}`))
  if (reply.kind === 'failure') {
    session.state = 'failed transaction'
    endAtServer(services, transaction)
    throw new StatementFailure(NOT_RUN.has(reply.failure) && reply.failure !== 'statement unknown' ? 'aborted' : reply.failure, reply.explanation)
  }
  transaction.wrote ||= writes
  return reply
}

async function takeConnection (services: EngineServices, context: StatementContext, transaction: Transaction): Promise<Lent> {
  try {
    transaction.lent = await beginAtServer(services, context, transaction)
    return transaction.lent
  } catch (error) {
    context.session.state = 'failed transaction'
    throw error
  }
}

/** Commits; the session is idle afterwards, whatever came of it. @throws StatementFailure */
export async function commit (services: EngineServices, context: StatementContext, transaction: Transaction): Promise<Answer> {
  const { session } = context
  session.transaction = undefined
  session.state = 'idle'
  if (transaction.ended !== undefined) throw new StatementFailure('aborted', transaction.ended)
  await transaction.starting
  const lent = transaction.lent ?? await beginAtServer(services, context, transaction)
  transaction.lent = undefined
  const { connection } = lent
  const reply = await attempt(services, lent, context, text => text, false)
  if (reply.kind === 'complete') {
    const counts = !transaction.wrote || await lent.confirm(context.deadline + CONFIRM_MILLISECONDS)
    lent.release(reply.state === 'idle')
    if (!counts) throw new StatementFailure('in doubt', `primary ${connection.member} may have been replaced before it answered the commit`)
    if (reply.position !== undefined) {
      if (transaction.wrote) session.committed = { position: reply.position, at: services.clock.now() }
      lent.recordPosition(reply.askedAt, reply.position)
      renewPosition(session, lent, reply)
    }
    return reply
  }
  lent.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind === 'not sent') throw new StatementFailure('aborted', `the commit was not sent: ${reply.reason}`)
  if (reply.kind === 'failure') throw new StatementFailure(NOT_RUN.has(reply.failure) ? 'aborted' : reply.failure, reply.explanation)
  const reason = reply.kind === 'late' ? 'it did not answer in time' : reply.reason
  if (!transaction.wrote) throw new StatementFailure('aborted', `the answer to the commit of a transaction without writes was lost: ${reason}`)
  throw new StatementFailure('in doubt', `the answer of primary ${connection.member} to the commit was lost: ${reason}`)
}
