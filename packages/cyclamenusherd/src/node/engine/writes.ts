/** Writes outside transactions: a write is sent again only if it is certain that it did not run. */

import { StatementFailure } from './errors.js'
import { attemptStatement } from './attempt.js'
import { requireKey } from './operationAdmission.js'
import { pause } from '../process/clock.js'
import { computeObjective } from './session.js'
import type { LocalServices } from './operations.js'
import type { FailureKind } from './statement.js'
import type { AdmittedOperation, StatementResult, StatementContext } from './session.js'

/** Delay before a write that did not run is sent again, in milliseconds: about the time of one statement. */
const RETRY_DELAY_MILLISECONDS = 25
/** How long after its deadline the answer to a write may wait for the lease to be renewed, in milliseconds: the time of an election of control's leader. */
export const CONFIRM_GRACE_MILLISECONDS = 700

/** Failures that prove that a statement did not run. */
export const NOT_RUN_FAILURES: ReadonlySet<FailureKind> = new Set(['busy', 'statement unknown', 'lagging', 'read only', 'wrong server', 'too many'])

/** Runs a write at the primary. @throws StatementFailure */
export async function runWrite (services: LocalServices, context: StatementContext, operation: AdmittedOperation): Promise<StatementResult> {
  const { session, request, deadline } = context
  const { route, account, allowedRegions } = operation
  const group = services.group(route.group)
  for (;;) {
    const acquired = await group.acquire({ account, values: session.values, priority: route.priority, objective: computeObjective(context, route), deadline, need: { kind: 'primary' }, excluded: new Set(), allowedRegions })
    context.timing.acquisition = services.clock.now() - context.startedAt
    requireKey(services, context, operation, acquired)
    const { connection } = acquired
    const reply = await attemptStatement(services, acquired, context, text => text, true)
    if (reply.kind === 'complete') {
      const confirmed = await acquired.confirmPrimary(deadline + CONFIRM_GRACE_MILLISECONDS)
      acquired.release(reply.state === 'idle')
      if (!confirmed) throw new StatementFailure('in doubt', `primary ${connection.member} may have been replaced before it answered`)
      if (reply.position !== undefined) {
        session.lastCommit = { position: reply.position, at: services.clock.now() }
        acquired.recordPosition(reply.askedAt, reply.position)
      }
      return { ...reply, primary: { member: connection.member, designation: acquired.designation } }
    }
    acquired.release(reply.kind === 'failure' && reply.state === 'idle')
    if (reply.kind === 'late') throw new StatementFailure('in doubt', `primary ${connection.member} did not answer in time`)
    if (reply.kind === 'lost') throw new StatementFailure('in doubt', `the answer of primary ${connection.member} was lost: ${reply.reason}`)
    if (reply.kind === 'failure') {
      if (!NOT_RUN_FAILURES.has(reply.failure)) throw new StatementFailure(reply.failure, reply.explanation)
      if (reply.failure === 'statement unknown') connection.prepared.clear()
      if (reply.failure === 'read only') services.link.reportNow()
    }
    const reason = reply.kind === 'failure' ? `${reply.failure}: ${reply.explanation}` : reply.reason
    services.log.logDecision('A write is sent again.', { id: request.id, member: connection.member, reason, left: Math.round(deadline - services.clock.now()) })
    await pause(RETRY_DELAY_MILLISECONDS)
    if (services.clock.now() >= deadline) throw new StatementFailure('busy', `the write did not run; the primary said ${reason}`)
  }
}
