/** Brings a server connection to what a session's next statement needs there. */

import { createHash } from 'node:crypto'
import type { ServerConnection } from './serverConnection.js'
import type { PreparedShape, ServerCodec, StatementRequest } from './statement.js'

/** Id of statements that the system issues itself. */
export const OWN_ID = '-'
/** Characters of the digest that names a prepared statement at servers. */
const NAME_CHARACTERS = 16
/** Prepared statements that one server connection keeps; with more it starts anew. */
const MAXIMUM_PREPARED = 200

/** The connection did not take a statement of the system's own. */
export class PreparationError extends Error {
  override name = 'PreparationError'
}

/** Name at servers: the same shape has the same name for every session. */
export function nameAtServers ({ access, text }: PreparedShape): string {
  return `c${createHash('sha256').update(`${access} ${text}`).digest('hex').slice(0, NAME_CHARACTERS)}`
}

async function runOwn (connection: ServerConnection, text: string): Promise<void> {
  const reply = await connection.run(OWN_ID, text)
  if (reply.kind === 'complete') return
  throw new PreparationError(reply.kind === 'lost' ? reply.reason : reply.explanation)
}

/** Makes the connection hold the session's values and no others. */
export async function alignValues (connection: ServerConnection, codec: ServerCodec, values: ReadonlyMap<string, string>, mayReset: boolean): Promise<void> {
  const strange = [...connection.values.keys()].some(name => !values.has(name))
  if (mayReset && (strange || connection.prepared.size > MAXIMUM_PREPARED)) {
    await runOwn(connection, codec.reset())
    connection.values.clear()
    connection.prepared.clear()
  }
  for (const [name, value] of values) {
    if (connection.values.get(name) === value) continue
    await runOwn(connection, codec.set(name, value))
    connection.values.set(name, value)
  }
}

/** The text to send for a statement: an execution names the statement as the server knows it, once it knows it. */
export async function statementText (connection: ServerConnection, codec: ServerCodec, { text, statement }: StatementRequest, shape: PreparedShape | undefined): Promise<string> {
  if (statement.kind !== 'execute' || shape === undefined) return text
  const name = nameAtServers(shape)
  if (!connection.prepared.has(name)) {
    await runOwn(connection, codec.prepare(name, shape))
    connection.prepared.add(name)
  }
  return codec.execute(name, statement.parameters)
}
