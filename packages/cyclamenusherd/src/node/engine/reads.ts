/** Reads outside transactions: a read is retried, also at other servers, until it has a valid answer or its deadline passes. */

import { StatementFailure } from './errors.js'
import { attemptStatement } from './attempt.js'
import { requireKey } from './operationAdmission.js'
import { pause } from '../process/clock.js'
import { computeObjective } from './session.js'
import type { LogPosition } from '@cyclamenusher/decisions'
import type { AttemptReply } from './attempt.js'
import type { LocalServices } from './operations.js'
import type { AcquiredConnection } from './groupPool.js'
import type { AdmittedOperation, StatementResult, Session, StatementContext } from './session.js'

/** Delay before a read that a server refused is retried, in milliseconds: about the time of one statement. */
const RETRY_DELAY_MILLISECONDS = 20
/** Number of failed runs at servers after which a read fails. */
const MAXIMUM_FAILED_RUNS = 2

interface ReadProgress {
  /** Servers at which the read has already failed. */
  excluded: Set<string>
  failedRuns: number
}

/** Replaces the position of the session's last commit by that of the primary's answer if the answer is of a later term. */
export function adoptNewerTerm (session: Session, acquired: AcquiredConnection, { position, askedAt }: { position?: LogPosition, askedAt: number }): void {
  if (!acquired.isPrimary || position === undefined || session.lastCommit === undefined) return
  if (session.lastCommit.position.term < position.term) session.lastCommit = { position, at: askedAt }
}

type ReadOutcome = { kind: 'answer', answer: StatementResult } | { kind: 'again', reason: string }

async function assessReply (acquired: AcquiredConnection, context: StatementContext, reply: AttemptReply, progress: ReadProgress): Promise<ReadOutcome> {
  const { connection } = acquired
  if (reply.kind === 'late') throw new StatementFailure('timeout', `server ${connection.member} did not answer in time`)
  if (reply.kind === 'complete') {
    const confirmed = acquired.requiredPosition !== undefined || await acquired.confirmPrimary(context.deadline)
    acquired.release(reply.state === 'idle')
    if (!confirmed) return { kind: 'again', reason: 'the primary may have been replaced before it answered' }
    if (reply.position !== undefined) acquired.recordPosition(reply.askedAt, reply.position)
    adoptNewerTerm(context.session, acquired, reply)
    return { kind: 'answer', answer: reply }
  }
  acquired.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind !== 'failure') {
    if (acquired.requiredPosition !== undefined) progress.excluded.add(connection.member)
    return { kind: 'again', reason: reply.reason }
  }
  if (reply.failure === 'lagging') acquired.recordMissingPosition()
  else if (reply.failure === 'statement unknown') connection.prepared.clear()
  else if (acquired.requiredPosition !== undefined) progress.excluded.add(connection.member)
  if (reply.failure === 'failed' || reply.failure === 'timeout') {
    progress.failedRuns += 1
    if (progress.failedRuns >= MAXIMUM_FAILED_RUNS) throw new StatementFailure(reply.failure, reply.explanation)
  }
  if (reply.failure === 'busy' || reply.failure === 'read only') await pause(RETRY_DELAY_MILLISECONDS)
  return { kind: 'again', reason: `${reply.failure}: ${reply.explanation}` }
}

/** Runs a read until it has a valid answer. @throws StatementFailure */
export async function runRead (services: LocalServices, context: StatementContext, operation: AdmittedOperation): Promise<StatementResult> {
  const { route, account, allowedRegions } = operation
  const { session, request, deadline } = context
  const group = services.group(route.group)
  const progress: ReadProgress = { excluded: new Set(), failedRuns: 0 }
  for (;;) {
    const need = group.resolveReadRequirement({ policy: route.readPolicy, maximumStalenessMilliseconds: route.maximumStalenessMilliseconds, session: session.lastCommit })
    const acquired = await group.acquire({ account, values: session.values, priority: route.priority, objective: computeObjective(context, route), deadline, need, excluded: progress.excluded, allowedRegions })
    context.timing.acquisition = services.clock.now() - context.startedAt
    requireKey(services, context, operation, acquired)
    const { requiredPosition } = acquired
    const addPrefix = (text: string): string => requiredPosition === undefined ? text : services.codec().requirePosition(requiredPosition, text)
    const outcome = await assessReply(acquired, context, await attemptStatement(services, acquired, context, addPrefix, true), progress)
    if (outcome.kind === 'answer') return outcome.answer
    services.log.logDecision('A read runs again.', { id: request.id, member: acquired.connection.member, primary: acquired.isPrimary, reason: outcome.reason, left: Math.round(deadline - services.clock.now()) })
    if (services.clock.now() >= deadline) throw new StatementFailure('busy', `no server answered in time; the last said ${outcome.reason}`)
    if (group.hasTriedAll({ need, excluded: progress.excluded, allowedRegions })) progress.excluded.clear()
  }
}
