/** Prepares a server connection for a session's next statement. */

import { createHash } from 'node:crypto'
import type { Reply, ServerConnection } from './serverConnection.js'
import type { StatementDefinition, ServerCodec, StatementRequest } from './statement.js'

/** Id of internal statements, which the instance issues itself. */
export const INTERNAL_STATEMENT_ID = '-'
/** Length of the digest in the name of a prepared statement at servers, in characters. */
const NAME_DIGEST_CHARACTERS = 16
/** Number of prepared statements of one server connection above which the connection is reset. */
const MAXIMUM_PREPARED_PER_CONNECTION = 200

/** Time within which a server must answer internal statements, in milliseconds: they wait for no slot, so that an answer takes a few round trips. */
const PREPARATION_TIMEOUT_MILLISECONDS = 400

/** An internal statement failed on the connection. */
export class PreparationError extends Error {
  override name = 'PreparationError'

  /** `isLost`: the connection ended, or the server did not answer in time. */
  constructor (message: string, readonly isLost: boolean) {
    super(message)
  }
}

/** Name of a prepared statement at servers. It depends on the definition only, so that sessions share prepared statements. */
export function buildServerStatementName ({ access, text }: StatementDefinition): string {
  return `c${createHash('sha256').update(`${access} ${text}`).digest('hex').slice(0, NAME_DIGEST_CHARACTERS)}`
}

/** An internal statement, and the callback that records its effect on the connection. */
interface InternalStatement {
  text: string
  /** Whether it passes on what a caller asked for. */
  isAsked: boolean
  done: () => void
}

function buildValueStatements (connection: ServerConnection, codec: ServerCodec, values: ReadonlyMap<string, string>, mayReset: boolean): InternalStatement[] {
  const hasExtra = [...connection.values.keys()].some(name => !values.has(name))
  const needsReset = mayReset && (hasExtra || connection.prepared.size > MAXIMUM_PREPARED_PER_CONNECTION)
  const reset: InternalStatement = {
    text: codec.reset(),
    isAsked: false,
    done: () => {
      connection.values.clear()
      connection.prepared.clear()
    }
  }
  const missing = [...values].filter(([name, value]) => needsReset || connection.values.get(name) !== value)
  const sets = missing.map(([name, value]): InternalStatement => ({ text: codec.set(name, value), isAsked: true, done: () => { connection.values.set(name, value) } }))
  return needsReset ? [reset, ...sets] : sets
}

function buildPrepareStatements (connection: ServerConnection, codec: ServerCodec, definition: StatementDefinition | undefined, wasReset: boolean): InternalStatement[] {
  if (definition === undefined) return []
  const name = buildServerStatementName(definition)
  if (!wasReset && connection.prepared.has(name)) return []
  return [{ text: codec.prepare(name, definition), isAsked: true, done: () => { connection.prepared.add(name) } }]
}

/** Sends the statements one after another, each once it is admitted. */
async function runAdmitted (connection: ServerConnection, statements: readonly InternalStatement[], awaitAdmission: () => Promise<string | undefined>): Promise<Reply[]> {
  const replies: Reply[] = []
  for (const { text, isAsked } of statements) {
    const refusal = isAsked ? await awaitAdmission() : undefined
    if (refusal !== undefined) throw new PreparationError(refusal, false)
    const reply = await connection.run(INTERNAL_STATEMENT_ID, text, PREPARATION_TIMEOUT_MILLISECONDS)
    replies.push(reply)
    if (reply.kind !== 'complete') return replies
  }
  return replies
}

/**
 * Gives the connection the session's values and, if `mayReset`, removes all others;
 * prepares the statement that is executed next. The statements needed for this are
 * sent at once; where `awaitAdmission` is given, one after another, each once it
 * resolves without a reason not to send it.
 *
 * @throws PreparationError
 */
export async function prepareConnection (connection: ServerConnection, codec: ServerCodec, values: ReadonlyMap<string, string>, definition: StatementDefinition | undefined, mayReset: boolean, awaitAdmission?: () => Promise<string | undefined>): Promise<void> {
  const valueStatements = buildValueStatements(connection, codec, values, mayReset)
  const wasReset = valueStatements[0]?.text === codec.reset()
  const statements = [...valueStatements, ...buildPrepareStatements(connection, codec, definition, wasReset)]
  if (statements.length === 0) return
  const replies = awaitAdmission === undefined
    ? await connection.runAll(INTERNAL_STATEMENT_ID, statements.map(({ text }) => text), PREPARATION_TIMEOUT_MILLISECONDS)
    : await runAdmitted(connection, statements, awaitAdmission)
  for (const [index, reply] of replies.entries()) {
    if (reply.kind !== 'complete') throw new PreparationError(reply.kind === 'lost' ? reply.reason : reply.explanation, reply.kind === 'lost')
    statements[index].done()
  }
}

/** Builds the text to send for a statement; an execution gets the statement's name at servers. */
export function buildStatementText (codec: ServerCodec, { text, statement }: StatementRequest, definition: StatementDefinition | undefined): string {
  if (statement.kind !== 'execute' || definition === undefined) return text
  return codec.execute(buildServerStatementName(definition), statement.parameters)
}
