/** One statement on one connection, within its time. */

import { PreparationError, prepareConnection, buildStatementText } from './preparation.js'
import type { EngineServices } from './services.js'
import type { AcquiredConnection } from './groupPool.js'
import type { Reply } from './serverConnection.js'
import type { StatementContext } from './session.js'

export type AttemptReply =
  | Reply
  /** The connection could not be prepared: the statement was not sent. */
  | { kind: 'not sent', reason: string }
  /** Its time is over; the connection was closed. */
  | { kind: 'late' }

/** Waits for a reply until the deadline, and closes the connection behind it. */
export async function awaitReply (services: EngineServices, acquired: AcquiredConnection, deadline: number, reply: Promise<Reply>): Promise<Reply | { kind: 'late' }> {
  const { clock } = services
  const startedAt = clock.now()
  let timer: NodeJS.Timeout | undefined
  const timeout = new Promise<{ kind: 'late' }>(resolve => {
    timer = setTimeout(() => { resolve({ kind: 'late' }) }, Math.max(0, deadline - startedAt))
  })
  const outcome = await Promise.race([reply, timeout])
  clearTimeout(timer)
  if (outcome.kind === 'late') {
    acquired.connection.close('a statement got no answer in its time')
    acquired.closeIdleSince(startedAt)
  } else if (outcome.kind === 'complete') {
    acquired.recordAnswerTime(clock.now() - startedAt)
  } else if (outcome.kind === 'failure' && outcome.failure === 'busy') {
    acquired.recordRefusal()
  }
  return outcome
}

/**
 * Runs a caller's statement on a connection that holds the session's values;
 * `prefix` is what the text needs in front on this connection.
 */
export async function attemptStatement (services: EngineServices, acquired: AcquiredConnection, { session, request, deadline }: StatementContext, addPrefix: (text: string) => string, mayReset: boolean): Promise<AttemptReply> {
  const { connection } = acquired
  const definition = request.statement.kind === 'execute' ? session.prepared.get(request.statement.name) : undefined
  try {
    const codec = services.codec()
    await prepareConnection(connection, codec, session.values, definition, mayReset)
    if (!connection.isOpen()) return { kind: 'not sent', reason: 'the connection is gone' }
    return await awaitReply(services, acquired, deadline, connection.run(request.id, addPrefix(buildStatementText(codec, request, definition))))
  } catch (error) {
    connection.close('a statement could not be run on it')
    if (!(error instanceof PreparationError)) throw error
    return { kind: 'not sent', reason: error.message }
  }
}
