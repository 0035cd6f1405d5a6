/**
 * Transactions. A transaction acquires a connection before or with its first statement
 * and keeps it until its end. If the connection is lost before the commit is sent, the
 * transaction is known to be rolled back, because a server rolls back the open
 * transaction of a closed connection.
 */

import { StatementFailure } from './errors.js'
import { LATE_MARGIN_MILLISECONDS, attemptStatement, awaitReply } from './attempt.js'
import { INTERNAL_STATEMENT_ID } from './preparation.js'
import { adoptNewerTerm } from './reads.js'
import { confirmAdmission, requireKey, reviewTransaction } from './operationAdmission.js'
import { CONFIRM_GRACE_MILLISECONDS, NOT_RUN_FAILURES } from './writes.js'
import { computeObjective } from './session.js'
import { pause } from '../process/clock.js'
import type { ReadRequirement } from '@cyclamenusher/decisions'
import type { AttemptReply } from './attempt.js'
import type { LocalServices } from './operations.js'
import type { GroupPool, AcquiredConnection } from './groupPool.js'
import type { StatementResult, Session, StatementContext, Transaction } from './session.js'

/** Delay before the begin of a transaction is retried, in milliseconds: about the time of one statement. */
const RETRY_DELAY_MILLISECONDS = 20
/** Time within which a server must roll back before its connection is closed, in milliseconds. */
const ROLLBACK_TIMEOUT_MILLISECONDS = 500

function resolveRequirement (group: GroupPool, session: Session, { route, readOnly }: Transaction): ReadRequirement {
  if (!readOnly) return { kind: 'primary' }
  return group.resolveReadRequirement({ policy: route.readPolicy, maximumStalenessMilliseconds: route.maximumStalenessMilliseconds, session: session.lastCommit })
}

/** Begins the transaction at a server. @throws StatementFailure if no server has begun it by the deadline */
async function beginAtServer (services: LocalServices, context: StatementContext, transaction: Transaction): Promise<AcquiredConnection> {
  const { session, request, deadline, admission = transaction.admission } = context
  const admitted = confirmAdmission(services, { ...transaction, admission })
  const { route, account, readOnly, allowedRegions } = admitted
  const group = services.group(route.group)
  const codec = services.codec()
  const excluded = new Set<string>()
  for (;;) {
    const need = resolveRequirement(group, session, admitted)
    const acquired = await group.acquire({ account, values: session.values, priority: route.priority, objective: computeObjective(context, route), deadline, need, excluded, allowedRegions })
    requireKey(services, context, admitted, acquired)
    if (!acquired.mayBegin()) {
      acquired.release(true)
      throw new StatementFailure('busy', `the failure domain of server ${acquired.connection.member} is drained; the transaction did not begin`)
    }
    const begin = acquired.requiredPosition === undefined ? codec.begin(readOnly) : codec.requirePosition(acquired.requiredPosition, codec.begin(readOnly))
    const failure = await beginOnConnection(services, acquired, { ...context, request: { id: transaction.beginId, text: begin, statement: { kind: 'read' } } })
    if (failure === undefined) return acquired
    services.log.logDecision('The begin of a transaction is retried.', { id: request.id, member: acquired.connection.member, reason: failure, left: Math.round(deadline - services.clock.now()) })
    if (acquired.requiredPosition !== undefined && !acquired.isPrimary) excluded.add(acquired.connection.member)
    await pause(RETRY_DELAY_MILLISECONDS)
    if (services.clock.now() >= deadline) throw new StatementFailure('aborted', `no server began the transaction in time; the last said ${failure}`)
  }
}

/** Begins the transaction on the connection. Returns why that failed; undefined: it has begun. */
async function beginOnConnection (services: LocalServices, acquired: AcquiredConnection, context: StatementContext): Promise<string | undefined> {
  const reply = await attemptStatement(services, acquired, context, text => text, true)
  if (reply.kind === 'complete' && reply.state === 'in transaction') {
    // The transaction must see every commit that was acknowledged before it began.
    if (acquired.requiredPosition !== undefined || await acquired.confirmPrimary(context.deadline)) return undefined
    acquired.release(false)
    return 'the primary may have been replaced before it began'
  }
  if (reply.kind === 'failure' && reply.failure === 'lagging') acquired.recordMissingPosition()
  if (reply.kind === 'failure' && reply.failure === 'read only') services.link.reportNow()
  acquired.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind === 'failure') return `${reply.failure}: ${reply.explanation}`
  return reply.kind === 'not sent' || reply.kind === 'lost' ? reply.reason : 'it did not answer'
}

/** Keeps the connection on which the transaction has begun, until a drain of its server's failure domain ends the transaction. */
function adoptConnection (services: LocalServices, transaction: Transaction, acquired: AcquiredConnection): void {
  transaction.acquired = acquired
  acquired.onTransactionOver(reason => {
    transaction.endReason ??= reason
    // A statement in progress finishes first.
    if (transaction.isRunning !== true) rollBackTransaction(services, transaction)
  })
}

/**
 * Begins the transaction in the background, before its caller's first statement
 * arrives. If that fails, the first statement tries again.
 */
export function beginInBackground (services: LocalServices, context: StatementContext, transaction: Transaction): void {
  transaction.beginning = beginAtServer(services, context, transaction).then(
    acquired => { adoptConnection(services, transaction, acquired) },
    (error: Error) => { services.log.logDecision('A transaction could not begin before its first statement.', { id: context.request.id, reason: error.message }) }
  )
}

/** Rolls back at the server and releases the connection; `id` is that of the caller's rollback statement, if there is one. */
export function rollBackTransaction (services: LocalServices, transaction: Transaction, id = INTERNAL_STATEMENT_ID): void {
  if (transaction.beginning === undefined) return rollBackOnConnection(services, transaction, id)
  void transaction.beginning.then(() => { rollBackOnConnection(services, transaction, id) })
}

function rollBackOnConnection (services: LocalServices, transaction: Transaction, id: string): void {
  const { acquired } = transaction
  if (acquired === undefined) return
  transaction.acquired = undefined
  // The server rolls back when the connection closes, which costs a cold server no request.
  if (acquired.sendability() !== 'yes' || acquired.admitNow?.() === false) return acquired.release(false)
  const rollback = acquired.connection.run(id, services.codec().rollback(), ROLLBACK_TIMEOUT_MILLISECONDS + LATE_MARGIN_MILLISECONDS)
  void awaitReply(services, acquired, services.clock.now() + ROLLBACK_TIMEOUT_MILLISECONDS, rollback).then(reply => {
    acquired.release(reply.kind === 'complete' && reply.state === 'idle')
  })
}

/** Marks the transaction as failed and closes its connection, so that the server rolls back. Returns the failure, to be thrown. */
function failTransaction (session: Session, transaction: Transaction, failure: StatementFailure): StatementFailure {
  transaction.acquired?.release(false)
  transaction.acquired = undefined
  session.state = 'failed transaction'
  return failure
}

/** @throws StatementFailure if the instance has ended the transaction while its caller was idle */
export function requireNotEnded (session: Session, transaction: Transaction): void {
  if (transaction.endReason === undefined) return
  session.state = 'failed transaction'
  throw new StatementFailure('aborted', transaction.endReason)
}

/** Ends the transaction if its caller's key no longer stands for its account, or if that can't be told. */
async function endWithoutKey (services: LocalServices, context: StatementContext, transaction: Transaction): Promise<void> {
  const reason = await reviewTransaction(services, context, transaction)
  if (reason === undefined) return
  transaction.endReason ??= reason
  services.log.logDecision('A transaction is ended where it runs, because its key may not stand any more.', { id: context.request.id, account: transaction.account, reason, version: services.link.declaration()?.version })
  rollBackTransaction(services, transaction)
}

async function attemptInTransaction (services: LocalServices, context: StatementContext, transaction: Transaction, acquired: AcquiredConnection): Promise<AttemptReply> {
  transaction.isRunning = true
  try {
    return await attemptStatement(services, acquired, context, text => text, false)
  } finally {
    transaction.isRunning = false
  }
}

/** Runs a read or a write in the transaction. @throws StatementFailure */
export async function runInTransaction (services: LocalServices, context: StatementContext, transaction: Transaction, isWrite: boolean): Promise<StatementResult> {
  const { session } = context
  requireNotEnded(session, transaction)
  await transaction.beginning
  if (transaction.endReason === undefined) {
    if (transaction.acquired === undefined) await beginNow(services, context, transaction)
    else await endWithoutKey(services, context, transaction)
  }
  // It may also have been ended while its begin waited.
  if (transaction.endReason !== undefined) rollBackTransaction(services, transaction)
  requireNotEnded(session, transaction)
  const acquired = transaction.acquired as AcquiredConnection
  const reply = await attemptInTransaction(services, context, transaction, acquired)
  if (reply.kind === 'late') throw failTransaction(session, transaction, new StatementFailure('aborted', `server ${acquired.connection.member} did not answer in time; its connection was closed`))
  if (reply.kind === 'lost' || reply.kind === 'not sent') throw failTransaction(session, transaction, new StatementFailure('aborted', `the connection to server ${acquired.connection.member} was lost: ${reply.reason}`))
  if (reply.kind === 'failure') {
    session.state = 'failed transaction'
    rollBackTransaction(services, transaction)
    throw new StatementFailure(NOT_RUN_FAILURES.has(reply.failure) && reply.failure !== 'statement unknown' ? 'aborted' : reply.failure, reply.explanation)
  }
  transaction.wrote ||= isWrite
  if (transaction.endReason !== undefined) rollBackTransaction(services, transaction)
  return reply
}

async function beginNow (services: LocalServices, context: StatementContext, transaction: Transaction): Promise<void> {
  try {
    adoptConnection(services, transaction, await beginAtServer(services, context, transaction))
  } catch (error) {
    context.session.state = 'failed transaction'
    throw error
  }
}

/** Commits the transaction; the session is idle afterwards, whatever the result. @throws StatementFailure */
export async function commitTransaction (services: LocalServices, context: StatementContext, transaction: Transaction): Promise<StatementResult> {
  const { session } = context
  session.transaction = undefined
  session.state = 'idle'
  if (transaction.endReason === undefined) {
    await transaction.beginning
    await endWithoutKey(services, context, transaction)
  }
  if (transaction.endReason !== undefined) {
    rollBackTransaction(services, transaction)
    throw new StatementFailure('aborted', transaction.endReason)
  }
  const acquired = transaction.acquired ?? await beginAtServer(services, context, transaction)
  transaction.acquired = undefined
  const { connection } = acquired
  const reply = await attemptStatement(services, acquired, context, text => text, false)
  if (reply.kind === 'complete') {
    const confirmed = !transaction.wrote || await acquired.confirmPrimary(context.deadline + CONFIRM_GRACE_MILLISECONDS)
    acquired.release(reply.state === 'idle')
    if (!confirmed) throw new StatementFailure('in doubt', `primary ${connection.member} may have been replaced before it answered the commit`)
    if (reply.position !== undefined) {
      if (transaction.wrote) session.lastCommit = { position: reply.position, at: services.clock.now() }
      acquired.recordPosition(reply.askedAt, reply.position)
      adoptNewerTerm(session, acquired, reply)
    }
    return transaction.wrote ? { ...reply, primary: { member: connection.member, designation: acquired.designation } } : reply
  }
  acquired.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind === 'not sent') throw new StatementFailure('aborted', `the commit was not sent: ${reply.reason}`)
  if (reply.kind === 'failure') throw new StatementFailure(NOT_RUN_FAILURES.has(reply.failure) ? 'aborted' : reply.failure, reply.explanation)
  const reason = reply.kind === 'late' ? 'it did not answer in time' : reply.reason
  if (!transaction.wrote) throw new StatementFailure('aborted', `the answer to the commit of a transaction without writes was lost: ${reason}`)
  throw new StatementFailure('in doubt', `the answer of primary ${connection.member} to the commit was lost: ${reason}`)
}
