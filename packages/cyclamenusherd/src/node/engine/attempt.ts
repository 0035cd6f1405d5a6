/** One statement on one connection, within its time. */

import { PreparationError, prepareConnection, statementText } from './preparation.js'
import type { EngineServices } from './services.js'
import type { Lent } from './groupPool.js'
import type { Reply } from './serverConnection.js'
import type { StatementContext } from './session.js'

export type AttemptReply =
  | Reply
  /** The connection could not be prepared: the statement was not sent. */
  | { kind: 'not sent', reason: string }
  /** Its time is over; the connection was closed. */
  | { kind: 'late' }

/** Waits for a reply until the deadline, and closes the connection behind it. */
export async function replyWithin (services: EngineServices, lent: Lent, deadline: number, reply: Promise<Reply>): Promise<Reply | { kind: 'late' }> {
  const { clock } = services
  const startedAt = clock.now()
  let timer: NodeJS.Timeout | undefined
  const late = new Promise<{ kind: 'late' }>(resolve => {
    timer = setTimeout(() => { resolve({ kind: 'late' }) }, Math.max(0, deadline - startedAt))
  })
  const first = await Promise.race([reply, late])
  clearTimeout(timer)
  if (first.kind === 'late') {
    lent.connection.close('a statement got no answer in its time')
    lent.suspectIdle(startedAt)
  } else if (first.kind === 'complete') {
    lent.recordTime(clock.now() - startedAt)
  } else if (first.kind === 'failure' && first.failure === 'busy') {
    lent.recordRefusal()
  }
  return first
}

/**
 * Runs a caller's statement on a connection that holds the session's values;
 * `prefix` is what the text needs in front on this connection.
 */
export async function attempt (services: EngineServices, lent: Lent, { session, request, deadline }: StatementContext, prefix: (text: string) => string, mayReset: boolean): Promise<AttemptReply> {
  const { connection } = lent
  const shape = request.statement.kind === 'execute' ? session.prepared.get(request.statement.name) : undefined
  try {
    const codec = services.codec()
    await prepareConnection(connection, codec, session.values, shape, mayReset)
    if (!connection.isOpen()) return { kind: 'not sent', reason: 'the connection is gone' }
    return await replyWithin(services, lent, deadline, connection.run(request.id, prefix(statementText(codec, request, shape))))
  } catch (error) {
    connection.close('a statement could not be run on it')
    if (!(error instanceof PreparationError)) throw error
    return { kind: 'not sent', reason: error.message }
  }
}
