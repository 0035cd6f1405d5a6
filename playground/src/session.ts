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
export function codeOf (error: unknown): string {
  return (error as { code?: string }).code ?? ''
}

export function createSession ({ ports, account, key, database }: SessionOptions): Session {
  let client: pg.Client | undefined
  let token = ''
  let turn = 0
  let moves = 0

  async function open (): Promise<pg.Client> {
    const opening = new pg.Client({
      host: '127.0.0.1',
      port: ports[turn % ports.length],
      user: account,
      password: key,
      database,
      connectionTimeoutMillis: 3_000,
      options: token === '' ? undefined : `-c cyclamenusher.session=${token}`
    })
    opening.on('error', () => {})
    const { connection } = opening as unknown as { connection: NodeJS.EventEmitter }
    connection.on('parameterStatus', ({ parameterName, parameterValue }: { parameterName: string, parameterValue: string }) => {
      if (parameterName === 'cyclamenusher.session') token = parameterValue
    })
    await opening.connect()
    return opening
  }

  function drop (): void {
    const { connection } = (client ?? {}) as unknown as { connection?: { stream: { destroy: () => void } } }
    connection?.stream.destroy()
    client = undefined
  }

  return {
    query: async (text, values) => {
      client ??= await open()
      try {
        return await client.query(text, values)
      } catch (error) {
        // An error without a code is the connection's: the next statement opens another.
        if (codeOf(error).length !== 5 || codeOf(error).startsWith('57P') || codeOf(error) === '28P01') drop()
        throw error
      }
    },
    roam: async () => {
      drop()
      turn += 1
      moves += 1
    },
    moves: () => moves,
    close: async () => { drop() }
  }
}
