/** A caller's session through an ordinary client, which moves between instances with its session token. */

import pg from 'pg'
import type { Call, History, Operation, OperationResult, Outcome } from '../history.js'
import type { RandomSource } from '@cyclamenusher/stand-ins'

const HOST = '127.0.0.1'
/** Time that a connection may take to open, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000
/** Time after which the caller stops waiting for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 8_000
const TOKEN_PARAMETER = 'cyclamenusher.session'

export interface CallerInstance {
  name: string
  /** Port on which the instance accepts callers. */
  callers: number
}

export interface SessionOptions {
  name: string
  account: string
  key: string
  database: string
  instances: () => readonly CallerInstance[]
  history: History
  random: RandomSource
}

export interface Session {
  readonly name: string
  /**
   * Runs and records one operation on the session's connection, which is opened when
   * there is none; undefined when it can't be opened.
   */
  run: (call: Partial<Call> & { kind: Call['kind'] }, work: (client: pg.Client, call: Call) => Promise<void>) => Promise<Operation | undefined>
  /** Closes the connection; the next operation picks an instance at random. */
  roam: () => Promise<void>
  /** Destroys the connection without a termination message, like a caller that crashes. */
  abort: () => void
  close: () => Promise<void>
}

/** The caller left the operation unfinished on purpose. */
export class AbandonedError extends Error {
  override readonly name = 'AbandonedError'
}

/** A transaction failed before its commit was sent, or the server answered the commit with a rollback. */
export class UncommittedError extends Error {
  override readonly name = 'UncommittedError'
}

interface ServerError extends Error {
  code?: string
  detail?: string
}

/** Outcomes by the start of the detail in the system's error. */
const OUTCOMES_BY_DETAIL_PREFIX: ReadonlyArray<[start: string, outcome: Outcome]> = [
  ['The request has not run', 'not run'],
  ['Whether the request ran', 'unknown'],
  ['The request was stopped', 'failed']
]

export function classifyError (error: ServerError): OperationResult {
  const { code, message } = error
  if (error instanceof AbandonedError || error instanceof UncommittedError) return { outcome: 'failed', code, message }
  for (const [start, outcome] of OUTCOMES_BY_DETAIL_PREFIX) {
    if (error.detail?.startsWith(start) === true) return { outcome, code, message }
  }
  // A backend server's own error undoes its statement; any other error leaves the outcome unknown.
  const isServerError = code !== undefined && /^[0-9A-Z]{5}$/.test(code) && !code.startsWith('08') && !code.startsWith('57P')
  return { outcome: isServerError ? 'failed' : 'unknown', code, message }
}

export function createSession (options: SessionOptions): Session {
  const { name, account, key, database, history, random } = options
  let client: pg.Client | undefined
  let instance: CallerInstance | undefined
  let token = ''

  function destroyConnection (): void {
    const currentClient = client
    client = undefined
    if (currentClient === undefined) return
    const { stream } = (currentClient as unknown as { connection: { stream: { destroy: () => void } } }).connection
    stream.destroy()
  }

  async function openConnection (target: CallerInstance): Promise<pg.Client> {
    const newClient = new pg.Client({
      host: HOST,
      port: target.callers,
      user: account,
      password: key,
      database,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MILLISECONDS,
      query_timeout: ANSWER_TIMEOUT_MILLISECONDS,
      options: token === '' ? undefined : `-c ${TOKEN_PARAMETER}=${token}`
    })
    newClient.on('error', () => { if (client === newClient) client = undefined })
    const { connection } = newClient as unknown as { connection: NodeJS.EventEmitter }
    connection.on('parameterStatus', ({ parameterName, parameterValue }: { parameterName: string, parameterValue: string }) => {
      if (parameterName === TOKEN_PARAMETER) token = parameterValue
    })
    await newClient.connect()
    return newClient
  }

  async function run (partialCall: Partial<Call> & { kind: Call['kind'] }, work: (client: pg.Client, call: Call) => Promise<void>): Promise<Operation | undefined> {
    if (client === undefined) {
      instance = random.pick(options.instances())
      const target = instance
      const connected = await history.record({ kind: 'connect', session: name, account, key, database, instance: target.name }, async () => {
        try {
          client = await openConnection(target)
          return { outcome: 'done' }
        } catch (error) {
          // No request was sent, so none can have run.
          return { ...classifyError(error as ServerError), outcome: 'not run' }
        }
      })
      if (connected.outcome !== 'done') return undefined
    }
    const connection = client
    if (connection === undefined || instance === undefined) return undefined
    return await history.record({ session: name, account, key, database, instance: instance.name, ...partialCall }, async call => {
      try {
        await work(connection, call)
        return { outcome: 'done' }
      } catch (error) {
        const result = classifyError(error as ServerError)
        if (result.outcome !== 'not run') destroyConnection()
        // A write of unknown outcome may be newer than the token; a session without a token starts at the primary.
        if (result.outcome === 'unknown') token = ''
        return result
      }
    })
  }

  return {
    name,
    run,
    roam: async () => {
      const currentClient = client
      client = undefined
      await currentClient?.end().catch(() => {})
    },
    abort: destroyConnection,
    close: async () => {
      const currentClient = client
      client = undefined
      await Promise.race([currentClient?.end().catch(() => {}), new Promise(resolve => setTimeout(resolve, 500))])
    }
  }
}
