/** Control's own connections to backend servers: one each, opened when it is needed. */

import { openServerConnection } from './serverConnection.js'
import { OWN_ID } from './preparation.js'
import type { KnownServer, ServerStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { ServerAdministration } from '../process/fleet/ports.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerCodec } from './statement.js'

/** Name under which control connects. */
const CONTROL_ACCOUNT = 'cyclamenusher'
/** Time that a server has to answer control, in milliseconds: behind a full queue of statements. */
const ANSWER_MILLISECONDS = 400
/** Idle time after which a connection is closed, in milliseconds: connections are scarce. */
const IDLE_MILLISECONDS = 3_000

export function createServerAdministration (codec: () => ServerCodec, clock: Clock): ServerAdministration {
  const connections = new Map<string, ServerConnection>()

  async function connectionTo (server: KnownServer): Promise<ServerConnection> {
    const key = `${server.member} ${server.bornAt} ${server.host}:${server.port}`
    const known = connections.get(key)
    if (known?.isOpen() === true) return known
    const opened = await openServerConnection({ server, account: CONTROL_ACCOUNT, codec: codec(), clock, onBytes: () => {}, onClose: () => { connections.delete(key) } })
    connections.set(key, opened)
    return opened
  }

  async function ask (server: KnownServer, text: string): Promise<ServerStatus> {
    const connection = await connectionTo(server)
    const timer = setTimeout(() => { connection.close('no answer in time') }, ANSWER_MILLISECONDS)
    try {
      const reply = await connection.run(OWN_ID, text)
      if (reply.kind === 'complete' && reply.rows.length === 1) return codec().readStatus(reply.rows[0])
      throw new Error(reply.kind === 'lost' ? reply.reason : reply.kind === 'failure' ? `${reply.failure}: ${reply.explanation}` : 'the answer has no row')
    } finally {
      clearTimeout(timer)
    }
  }

  const timer = setInterval(() => {
    const oldest = clock.now() - IDLE_MILLISECONDS
    for (const connection of [...connections.values()]) if (connection.lastUsedAt() < oldest) connection.close('it is not needed')
  }, IDLE_MILLISECONDS)

  return {
    askStatus: async server => await ask(server, codec().status()),
    stepDown: async (server, term) => await ask(server, codec().stepDown(term)),
    close: () => {
      clearInterval(timer)
      for (const connection of [...connections.values()]) connection.close('the instance stops')
    }
  }
}
