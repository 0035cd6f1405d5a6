/** Callers that write without a pause, and the gaps between the writes that were acknowledged. */

import pg from 'pg'

export interface Writer {
  failureDomain: string
  /** When each acknowledged write was sent and answered, by the wall clock in milliseconds. */
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
/** Pause after a write that was refused, in milliseconds. */
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

/** The gap that a fault made: from the first write that it held up to the first acknowledged one. */
export function findLongestGap ({ writes }: Writer, faultAt: number): { milliseconds: number, endedAt: number } | undefined {
  const before = writes.findLast(({ answeredAt }) => answeredAt <= faultAt)
  // A write that was on its way may still be acknowledged by the old primary.
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
