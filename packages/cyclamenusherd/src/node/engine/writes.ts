/** Writes outside transactions: sent again only where the server's word proves that the write did not run. */

import { StatementFailure } from './errors.js'
import { attempt } from './attempt.js'
import { pause } from '../process/clock.js'
import { objectiveOf } from './session.js'
import type { EngineServices } from './services.js'
import type { FailureKind } from './statement.js'
import type { Admitted, Answer, StatementContext } from './session.js'

/** Pause before a write that was refused is sent again, in milliseconds: about a statement's length. */
const AGAIN_MILLISECONDS = 25
/** Time beyond the statement's own for which the answer of a write waits for the lease, in milliseconds: an election of control. */
export const CONFIRM_MILLISECONDS = 700

/** Failures that prove that a statement did not run. */
export const NOT_RUN: ReadonlySet<FailureKind> = new Set(['busy', 'statement unknown', 'lagging', 'read only', 'wrong server', 'too many'])

/** @throws StatementFailure */
export async function runWrite (services: EngineServices, context: StatementContext, { route, account }: Admitted): Promise<Answer> {
  const { session, request, deadline } = context
  const group = services.group(route.group)
  for (;;) {
    const lent = await group.lend({ account, values: session.values, priority: route.priority, objective: objectiveOf(context, route), deadline, need: { kind: 'primary' }, avoid: new Set() })
    const { connection } = lent
    const reply = await attempt(services, lent, context, text => text, true)
    if (reply.kind === 'complete') {
      const counts = await lent.confirm(deadline + CONFIRM_MILLISECONDS)
      lent.release(reply.state === 'idle')
      if (!counts) throw new StatementFailure('in doubt', `primary ${connection.member} may have been replaced before it answered`)
      if (reply.position !== undefined) {
        session.committed = { position: reply.position, at: services.clock.now() }
        lent.recordPosition(reply.askedAt, reply.position)
      }
      return reply
    }
    lent.release(reply.kind === 'failure' && reply.state === 'idle')
    if (reply.kind === 'late') throw new StatementFailure('in doubt', `primary ${connection.member} did not answer in time`)
    if (reply.kind === 'lost') throw new StatementFailure('in doubt', `the answer of primary ${connection.member} was lost: ${reply.reason}`)
    if (reply.kind === 'failure') {
      if (!NOT_RUN.has(reply.failure)) throw new StatementFailure(reply.failure, reply.explanation)
      if (reply.failure === 'statement unknown') connection.prepared.clear()
      if (reply.failure === 'read only') services.link.reportNow()
    }
    const reason = reply.kind === 'failure' ? `${reply.failure}: ${reply.explanation}` : reply.reason
    services.log.decided('A write is sent again.', { id: request.id, member: connection.member, reason, left: Math.round(deadline - services.clock.now()) })
    await pause(AGAIN_MILLISECONDS)
    if (services.clock.now() >= deadline) throw new StatementFailure('busy', `the write did not run; the primary said ${reason}`)
  }
}
