/** A caller's session that roams between entry instances with its token, through an ordinary client. */

import pg from 'pg'

export interface SessionOptions {
  ports: readonly number[]
  account: string
  key: string
  database: string
}

export interface Session {
  /** Runs a statement at whichever instance the session is connected to. */
  query: (text: string, values?: unknown[]) => Promise<pg.QueryResult>
  /** Moves to the next instance, with the token. */
  roam: () => Promise<void>
  /** Instances used so far. */
  moves: () => number
  close: () => Promise<void>
}

/** Error code of a database error; empty when there is none. */
export function getErrorCode (error: unknown): string {
  return (error as { code?: string }).code ?? ''
}

export function createSession ({ ports, account, key, database }: SessionOptions): Session {
  let client: pg.Client | undefined
  let token = ''
  let portIndex = 0
  let moves = 0

  async function openConnection (): Promise<pg.Client> {
    const newClient = new pg.Client({
      host: '127.0.0.1',
      port: ports[portIndex % ports.length],
      user: account,
      password: key,
      database,
      connectionTimeoutMillis: 3_000,
      options: token === '' ? undefined : `-c cyclamenusher.session=${token}`
    })
    newClient.on('error', () => {})
    const { connection } = newClient as unknown as { connection: NodeJS.EventEmitter }
    connection.on('parameterStatus', ({ parameterName, parameterValue }: { parameterName: string, parameterValue: string }) => {
      if (parameterName === 'cyclamenusher.session') token = parameterValue
    })
    await newClient.connect()
    return newClient
  }

  function destroyConnection (): void {
    const { connection } = (client ?? {}) as unknown as { connection?: { stream: { destroy: () => void } } }
    connection?.stream.destroy()
    client = undefined
  }

  return {
    query: async (text, values) => {
      client ??= await openConnection()
      try {
        return await client.query(text, values)
      } catch (error) {
        // An error without a code is the connection's: the next statement opens another.
        if (getErrorCode(error).length !== 5 || getErrorCode(error).startsWith('57P') || getErrorCode(error) === '28P01') destroyConnection()
        throw error
      }
    },
    roam: async () => {
      destroyConnection()
      portIndex += 1
      moves += 1
    },
    moves: () => moves,
    close: async () => { destroyConnection() }
  }
}
