/** A caller's session through an ordinary client, which moves between entry instances with its session token. */

import pg from 'pg'

export interface SessionOptions {
  ports: readonly number[]
  account: string
  key: string
  database: string
}

export interface Session {
  /** Runs a statement at the current instance; connects first when there is no connection. */
  query: (text: string, values?: unknown[]) => Promise<pg.QueryResult>
  /** Drops the connection; the next statement connects to the next instance with the session token. */
  roam: () => Promise<void>
  /** Returns how often the session has moved. */
  moves: () => number
  close: () => Promise<void>
}

/** Returns the code of a database or socket error; empty when it has none. */
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
        // An error without an SQLSTATE means a broken connection; the next statement opens a new one.
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
