/** Reads outside transactions: they run again elsewhere until one answer counts or their time is over. */

import { StatementFailure } from './errors.js'
import { attempt } from './attempt.js'
import { pause } from '../process/clock.js'
import { objectiveOf } from './session.js'
import type { LogPosition } from '@cyclamenusher/decisions'
import type { AttemptReply } from './attempt.js'
import type { EngineServices } from './services.js'
import type { GroupPool, Lent } from './groupPool.js'
import type { Admitted, Answer, Session, StatementContext } from './session.js'

/** Pause before servers that all refused are asked again, in milliseconds: about a statement's length. */
const AGAIN_MILLISECONDS = 20
/** Times that a read may run and fail at servers before its failure is passed on. */
const MAXIMUM_FAILED_RUNS = 2

interface ReadProgress {
  /** Servers that did not answer it. */
  avoid: Set<string>
  failedRuns: number
}

/** Takes the position of an answer where the session's own belongs to an earlier term. */
export function renewPosition (session: Session, lent: Lent, { position, askedAt }: { position?: LogPosition, askedAt: number }): void {
  if (!lent.isPrimary || position === undefined || session.committed === undefined) return
  if (session.committed.position.term < position.term) session.committed = { position, at: askedAt }
}

type Verdict = { kind: 'answer', answer: Answer } | { kind: 'again', reason: string }

async function judge (lent: Lent, context: StatementContext, reply: AttemptReply, progress: ReadProgress): Promise<Verdict> {
  const { connection } = lent
  if (reply.kind === 'late') throw new StatementFailure('timeout', `server ${connection.member} did not answer in time`)
  if (reply.kind === 'complete') {
    const counts = lent.after !== undefined || await lent.confirm(context.deadline)
    lent.release(reply.state === 'idle')
    if (!counts) return { kind: 'again', reason: 'the primary may have been replaced before it answered' }
    if (reply.position !== undefined) lent.recordPosition(reply.askedAt, reply.position)
    renewPosition(context.session, lent, reply)
    return { kind: 'answer', answer: reply }
  }
  lent.release(reply.kind === 'failure' && reply.state === 'idle')
  if (reply.kind !== 'failure') {
    if (lent.after !== undefined) progress.avoid.add(connection.member)
    return { kind: 'again', reason: reply.reason }
  }
  if (reply.failure === 'lagging') lent.recordLack()
  else if (reply.failure === 'statement unknown') connection.prepared.clear()
  else if (lent.after !== undefined) progress.avoid.add(connection.member)
  if (reply.failure === 'failed' || reply.failure === 'timeout') {
    progress.failedRuns += 1
    if (progress.failedRuns >= MAXIMUM_FAILED_RUNS) throw new StatementFailure(reply.failure, reply.explanation)
  }
  if (reply.failure === 'busy' || reply.failure === 'read only') await pause(AGAIN_MILLISECONDS)
  return { kind: 'again', reason: `${reply.failure}: ${reply.explanation}` }
}

/** Servers that were all tried in vain may be tried again. */
function clearAvoided (group: GroupPool, { avoid }: ReadProgress): void {
  if (avoid.size >= Object.keys(group.sightings()).length) avoid.clear()
}

/** @throws StatementFailure */
export async function runRead (services: EngineServices, context: StatementContext, { route, account }: Admitted): Promise<Answer> {
  const { session, request, deadline } = context
  const group = services.group(route.group)
  const progress: ReadProgress = { avoid: new Set(), failedRuns: 0 }
  for (;;) {
    const need = group.readNeed({ policy: route.readPolicy, maximumStalenessMilliseconds: route.maximumStalenessMilliseconds, session: session.committed })
    const lent = await group.lend({ account, values: session.values, priority: route.priority, objective: objectiveOf(context, route), deadline, need, avoid: progress.avoid })
    const { after } = lent
    const prefix = (text: string): string => after === undefined ? text : services.codec().after(after, text)
    const verdict = await judge(lent, context, await attempt(services, lent, context, prefix, true), progress)
    if (verdict.kind === 'answer') return verdict.answer
    services.log.decided('A read runs again.', { id: request.id, member: lent.connection.member, primary: lent.isPrimary, reason: verdict.reason, left: Math.round(deadline - services.clock.now()) })
    if (services.clock.now() >= deadline) throw new StatementFailure('busy', `no server answered in time; the last said ${verdict.reason}`)
    clearAvoided(group, progress)
  }
}
