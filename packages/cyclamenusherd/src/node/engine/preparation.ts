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

/** A statement of the system's own, and what the connection holds once it has run. */
interface OwnStatement {
  text: string
  done: () => void
}

function valueStatements (connection: ServerConnection, codec: ServerCodec, values: ReadonlyMap<string, string>, mayReset: boolean): OwnStatement[] {
  const strange = [...connection.values.keys()].some(name => !values.has(name))
  const resets = mayReset && (strange || connection.prepared.size > MAXIMUM_PREPARED)
  const reset: OwnStatement = {
    text: codec.reset(),
    done: () => {
      connection.values.clear()
      connection.prepared.clear()
    }
  }
  const missing = [...values].filter(([name, value]) => resets || connection.values.get(name) !== value)
  const sets = missing.map(([name, value]): OwnStatement => ({ text: codec.set(name, value), done: () => { connection.values.set(name, value) } }))
  return resets ? [reset, ...sets] : sets
}

function shapeStatements (connection: ServerConnection, codec: ServerCodec, shape: PreparedShape | undefined, resets: boolean): OwnStatement[] {
  if (shape === undefined) return []
  const name = nameAtServers(shape)
  if (!resets && connection.prepared.has(name)) return []
  return [{ text: codec.prepare(name, shape), done: () => { connection.prepared.add(name) } }]
}

/**
 * Makes the connection hold the session's values and no others, and the shape
 * that the statement runs; all that is missing is sent at once.
 *
 * @throws PreparationError
 */
export async function prepareConnection (connection: ServerConnection, codec: ServerCodec, values: ReadonlyMap<string, string>, shape: PreparedShape | undefined, mayReset: boolean): Promise<void> {
  const settings = valueStatements(connection, codec, values, mayReset)
  const resets = settings[0]?.text === codec.reset()
  const statements = [...settings, ...shapeStatements(connection, codec, shape, resets)]
  if (statements.length === 0) return
  const replies = await connection.runAll(OWN_ID, statements.map(({ text }) => text))
  for (const [place, reply] of replies.entries()) {
    if (reply.kind !== 'complete') throw new PreparationError(reply.kind === 'lost' ? reply.reason : reply.explanation)
    statements[place].done()
  }
}

/** The text to send for a statement: an execution names the shape as servers know it. */
export function statementText (codec: ServerCodec, { text, statement }: StatementRequest, shape: PreparedShape | undefined): string {
  if (statement.kind !== 'execute' || shape === undefined) return text
  return codec.execute(nameAtServers(shape), statement.parameters)
}
