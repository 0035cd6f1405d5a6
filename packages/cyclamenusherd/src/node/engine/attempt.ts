/** Runs one statement on one connection, until its deadline. */

import { startAnswerTimeout } from '@cyclamenusher/protocol'
import { UNSENDABLE_REASONS, findSendRefusal } from './groupDrain.js'
import { PreparationError, prepareConnection, buildStatementText } from './preparation.js'
import type { LocalServices } from './operations.js'
import type { AcquiredConnection } from './groupPool.js'
import type { Reply } from './serverConnection.js'
import type { StatementContext } from './session.js'

export type AttemptReply =
  | Reply
  /** The statement was not sent, because the connection could not be prepared for it. */
  | { kind: 'not sent', reason: string }
  /** The deadline passed without a reply; the connection was closed. */
  | { kind: 'late' }

/** How long after its deadline a statement's connection closes by itself, in milliseconds: `awaitReply` has closed it by then. */
export const LATE_MARGIN_MILLISECONDS = 500

/** Waits for a reply until the deadline, and closes the connection if none has arrived by then. */
export async function awaitReply (services: LocalServices, acquired: AcquiredConnection, deadline: number, reply: Promise<Reply>): Promise<Reply | { kind: 'late' }> {
  const { clock } = services
  const startedAt = clock.now()
  let cancelTimeout = (): void => {}
  const timeout = new Promise<{ kind: 'late' }>(resolve => {
    cancelTimeout = startAnswerTimeout(Math.max(0, deadline - startedAt), () => { resolve({ kind: 'late' }) })
  })
  const outcome = await Promise.race([reply, timeout])
  cancelTimeout()
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

/** Waits until one statement may be sent. Returns why it may not be; undefined: it may. A drain may have come into force during the wait. */
async function awaitAdmission ({ connection, admit, sendability }: AcquiredConnection, deadline: number): Promise<string | undefined> {
  if (admit !== undefined && !await admit(deadline)) return `server ${connection.member} is cold and its share is spent`
  const outcome = sendability()
  return outcome === 'yes' ? undefined : UNSENDABLE_REASONS[outcome]
}

/**
 * Runs a caller's statement on a connection, after the connection has been given
 * the session's values. `addPrefix` adds what the text needs in front of it on this
 * connection; `mayReset` allows a reset of the connection's session.
 */
export async function attemptStatement (services: LocalServices, acquired: AcquiredConnection, { session, request, deadline }: StatementContext, addPrefix: (text: string) => string, mayReset: boolean): Promise<AttemptReply> {
  const { connection, admit } = acquired
  const refusal = acquired.sendability() === 'yes' ? undefined : await findSendRefusal(acquired.sendability, services.clock, deadline)
  if (refusal !== undefined) return { kind: 'not sent', reason: refusal }
  const startedAt = services.clock.now()
  const definition = request.statement.kind === 'execute' ? session.prepared.get(request.statement.name) : undefined
  try {
    const codec = services.codec()
    await prepareConnection(connection, codec, session.values, definition, mayReset, admit === undefined ? undefined : async () => await awaitAdmission(acquired, deadline))
    const lateRefusal = await awaitAdmission(acquired, deadline)
    if (lateRefusal !== undefined) return { kind: 'not sent', reason: lateRefusal }
    if (!connection.isOpen()) return { kind: 'not sent', reason: 'the connection is gone' }
    return await awaitReply(services, acquired, deadline, connection.run(request.id, addPrefix(buildStatementText(codec, request, definition)), Math.max(0, deadline - services.clock.now()) + LATE_MARGIN_MILLISECONDS))
  } catch (error) {
    connection.close('a statement could not be run on it')
    if (!(error instanceof PreparationError)) throw error
    // Others that are idle since before may have gone silent with it.
    if (error.isLost) acquired.closeIdleSince(startedAt)
    return { kind: 'not sent', reason: error.message }
  }
}
