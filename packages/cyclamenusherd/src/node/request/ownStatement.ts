/** Internal statements, which the instance issues itself, on a connection that runs no request. */

import { BACKEND, FRONTEND, buildFrame, cString, readErrorResponse } from '@cyclamenusher/protocol'
import { ConnectionLostError } from './statementRequest.js'
import type { BackendConnection } from '../connection/backendConnection.js'

/** Time within which an internal statement must complete, in milliseconds. */
export const INTERNAL_STATEMENT_TIMEOUT_MILLISECONDS = 1_000

/** The server answered an internal statement with an error. */
export class InternalStatementError extends Error {
  override readonly name = 'InternalStatementError'
  constructor (readonly code: string, message: string) {
    super(message)
  }
}

/**
 * Runs a statement and discards its result. The connection is closed if the reply does
 * not arrive within `milliseconds`.
 *
 * @throws InternalStatementError when the server answers with an error
 * @throws ConnectionLostError when the connection is lost, or closed after this time
 */
export async function runInternalStatement (backend: BackendConnection, text: string, milliseconds: number): Promise<void> {
  if (!backend.isOpen()) throw new ConnectionLostError()
  await new Promise<void>((resolve, reject) => {
    let error: InternalStatementError | undefined
    const timer = setTimeout(() => { backend.destroy() }, milliseconds)
    backend.setReceiver({
      onFrame: frame => {
        if (frame.type === BACKEND.errorResponse) {
          const { code, message } = readErrorResponse(frame)
          error = new InternalStatementError(code, message)
        }
        if (frame.type !== BACKEND.readyForQuery) return
        clearTimeout(timer)
        backend.setReceiver(undefined)
        if (error === undefined) resolve()
        else reject(error)
      },
      onChunkEnd: () => {},
      onClosed: () => {
        clearTimeout(timer)
        reject(new ConnectionLostError())
      }
    })
    backend.send([buildFrame(FRONTEND.query, cString(text))])
  })
}
