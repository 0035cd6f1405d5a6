/** Replies to batches that the instance answers without a server, in the form that the caller's messages require. */

import { BACKEND, FRONTEND, buildCommandComplete, buildDataRow, buildFrame, buildReadyForQuery, buildRowDescription } from '@cyclamenusher/protocol'
import { confirmStatement } from './batch.js'
import type { TransactionState } from '@cyclamenusher/protocol'
import type { Batch, BatchMessage, PreparedStatements } from './batch.js'

/** Result of a statement that the instance answers itself. */
export interface LocalResult {
  tag: string
  /** One column with one row. */
  column?: { name: string, value: string }
}

const PARSE_COMPLETE = buildFrame(BACKEND.parseComplete)
const BIND_COMPLETE = buildFrame(BACKEND.bindComplete)
const CLOSE_COMPLETE = buildFrame(BACKEND.closeComplete)
const NO_DATA = buildFrame(BACKEND.noData)
const NO_PARAMETERS = buildFrame(BACKEND.parameterDescription, Uint8Array.of(0, 0))

function buildDescription ({ column }: LocalResult): Buffer {
  return column === undefined ? NO_DATA : buildRowDescription([column.name])
}

function buildExecuteReply ({ tag, column }: LocalResult): Buffer[] {
  return [...(column === undefined ? [] : [buildDataRow([column.value])]), buildCommandComplete(tag)]
}

const REPLY_BUILDERS: Record<number, (message: BatchMessage, result: LocalResult) => Buffer[]> = {
  [FRONTEND.parse]: () => [PARSE_COMPLETE],
  [FRONTEND.bind]: () => [BIND_COMPLETE],
  [FRONTEND.describe]: (message, result) => [...(message.statementName === undefined ? [] : [NO_PARAMETERS]), buildDescription(result)],
  [FRONTEND.execute]: (_message, result) => buildExecuteReply(result),
  [FRONTEND.close]: () => [CLOSE_COMPLETE]
}

/** Builds the whole reply to a batch, in which each statement returns `result`. */
export function buildLocalReply (batch: Batch, result: LocalResult, transaction: TransactionState, prepared: PreparedStatements): Buffer {
  const ready = batch.complete ? [buildReadyForQuery(transaction)] : []
  if (batch.simple) {
    const description = result.column === undefined ? [] : [buildDescription(result)]
    return Buffer.concat([...description, ...buildExecuteReply(result), ...ready])
  }
  const replies: Buffer[] = []
  for (const message of batch.messages) {
    replies.push(...REPLY_BUILDERS[message.type]?.(message, result) ?? [])
    confirmStatement(message, prepared)
  }
  return Buffer.concat([...replies, ...ready])
}
