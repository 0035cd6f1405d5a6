/** Callers that write continuously, and the gaps between their acknowledged writes. */

import pg from 'pg'

export interface Writer {
  failureDomain: string
  /** When each acknowledged write was sent and answered, in milliseconds of the wall clock. */
  writes: Array<{ sentAt: number, answeredAt: number }>
  stop: () => Promise<void>
}

export interface WriterOptions {
  failureDomain: string
  port: number
  account: string
  key: string
  database: string
  name: string
}

/** Pause between two writes, in milliseconds. */
const WRITE_PAUSE_MILLISECONDS = 5
/** Pause after a failed write, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 10

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

export function startWriter ({ failureDomain, port, account, key, database, name }: WriterOptions): Writer {
  const writes: Writer['writes'] = []
  let client: pg.Client | undefined
  let stopped = false

  async function connect (): Promise<pg.Client> {
    const newClient = new pg.Client({ host: '127.0.0.1', port, user: account, password: key, database, connectionTimeoutMillis: 2_000 })
    newClient.on('error', () => {})
    await newClient.connect()
    return newClient
  }

  async function writeOnce (sequence: number): Promise<void> {
    client ??= await connect()
    const sentAt = Date.now()
    try {
      await client.query('insert into visits (id, value) values ($1, $2)', [`${name}-${sequence}`, 'visit'])
      writes.push({ sentAt, answeredAt: Date.now() })
    } catch (error) {
      // A code of five characters is taken for an SQLSTATE; after any other error, a new connection is opened.
      if (((error as { code?: string }).code ?? '').length !== 5) client = undefined
      throw error
    }
  }

  async function writeUntilStopped (): Promise<void> {
    for (let sequence = 0; !stopped; sequence += 1) await writeOnce(sequence).then(async () => { await pause(WRITE_PAUSE_MILLISECONDS) }, async () => { await pause(RETRY_DELAY_MILLISECONDS) })
  }

  const running = writeUntilStopped()
  return {
    failureDomain,
    writes,
    stop: async () => {
      stopped = true
      await running
      await client?.end().catch(() => {})
    }
  }
}

/** Finds the longest gap between consecutive acknowledged writes, from the last one before the fault on. */
export function findLongestGap ({ writes }: Writer, faultAt: number): { milliseconds: number, endedAt: number } | undefined {
  const before = writes.findLast(({ answeredAt }) => answeredAt <= faultAt)
  // The old primary may still acknowledge a write that was sent before the fault, so the first gap need not be the longest.
  const after = writes.filter(({ answeredAt }) => answeredAt > faultAt)
  if (before === undefined || after.length === 0) return undefined
  let longest = { milliseconds: 0, endedAt: 0 }
  let previousAnsweredAt = before.answeredAt
  for (const { answeredAt } of after) {
    if (answeredAt - previousAnsweredAt > longest.milliseconds) longest = { milliseconds: answeredAt - previousAnsweredAt, endedAt: answeredAt }
    previousAnsweredAt = answeredAt
  }
  return longest
}
