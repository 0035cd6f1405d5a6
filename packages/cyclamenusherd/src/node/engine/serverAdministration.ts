/** Control's connections to backend servers: one for each server, opened on demand. */

import { openServerConnection } from './serverConnection.js'
import { INTERNAL_STATEMENT_ID } from './preparation.js'
import type { KnownServer, ServerStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { ServerAdministration } from '../process/fleet/ports.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerCodec } from './statement.js'

/** Account name with which control connects. */
const CONTROL_ACCOUNT = 'cyclamenusher'
/** Time within which a server must answer control, in milliseconds: enough to wait behind a full queue of statements. */
const ANSWER_TIMEOUT_MILLISECONDS = 400
/** Idle time after which a connection is closed, in milliseconds: a server's connections are scarce. */
const IDLE_TIMEOUT_MILLISECONDS = 3_000

export function createServerAdministration (codec: () => ServerCodec, clock: Clock): ServerAdministration {
  const connections = new Map<string, ServerConnection>()

  async function ensureConnection (server: KnownServer): Promise<ServerConnection> {
    const key = `${server.member} ${server.bornAt} ${server.host}:${server.port}`
    const existing = connections.get(key)
    if (existing?.isOpen() === true) return existing
    const created = await openServerConnection({ server, account: CONTROL_ACCOUNT, codec: codec(), clock, onData: () => {}, onClose: () => { connections.delete(key) } })
    connections.set(key, created)
    return created
  }

  async function requestStatus (server: KnownServer, text: string): Promise<ServerStatus> {
    const connection = await ensureConnection(server)
    const reply = await connection.run(INTERNAL_STATEMENT_ID, text, ANSWER_TIMEOUT_MILLISECONDS)
    if (reply.kind === 'complete' && reply.rows.length === 1) return codec().readStatus(reply.rows[0])
    throw new Error(reply.kind === 'lost' ? reply.reason : reply.kind === 'failure' ? `${reply.failure}: ${reply.explanation}` : 'the answer does not have exactly one row')
  }

  const timer = setInterval(() => {
    const idleSince = clock.now() - IDLE_TIMEOUT_MILLISECONDS
    for (const connection of [...connections.values()]) if (connection.lastUsedAt() < idleSince) connection.close('the connection is no longer used')
  }, IDLE_TIMEOUT_MILLISECONDS)

  return {
    askStatus: async server => await requestStatus(server, codec().status()),
    stepDown: async (server, term) => await requestStatus(server, codec().stepDown(term)),
    close: () => {
      clearInterval(timer)
      for (const connection of [...connections.values()]) connection.close('the instance stops')
    }
  }
}
