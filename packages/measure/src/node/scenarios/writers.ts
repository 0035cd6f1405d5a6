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
const PAUSE_MILLISECONDS = 5
/** Pause after a write that was refused, in milliseconds. */
const RETRY_MILLISECONDS = 10

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

export function startWriter ({ failureDomain, port, account, key, database, name }: WriterOptions): Writer {
  const writes: Writer['writes'] = []
  let client: pg.Client | undefined
  let stopped = false

  async function open (): Promise<pg.Client> {
    const opening = new pg.Client({ host: '127.0.0.1', port, user: account, password: key, database, connectionTimeoutMillis: 2_000 })
    opening.on('error', () => {})
    await opening.connect()
    return opening
  }

  async function writeOnce (serial: number): Promise<void> {
    client ??= await open()
    const sentAt = Date.now()
    try {
      await client.query('insert into visits (id, value) values ($1, $2)', [`${name}-${serial}`, 'visit'])
      writes.push({ sentAt, answeredAt: Date.now() })
    } catch (error) {
      if (((error as { code?: string }).code ?? '').length !== 5) client = undefined
      throw error
    }
  }

  async function run (): Promise<void> {
    for (let serial = 0; !stopped; serial += 1) await writeOnce(serial).then(async () => { await pause(PAUSE_MILLISECONDS) }, async () => { await pause(RETRY_MILLISECONDS) })
  }

  const running = run()
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
export function gapAfter ({ writes }: Writer, faultAt: number): { milliseconds: number, endedAt: number } | undefined {
  const before = writes.findLast(({ answeredAt }) => answeredAt <= faultAt)
  // A write that was on its way may still be acknowledged by the old primary.
  const after = writes.filter(({ answeredAt }) => answeredAt > faultAt)
  if (before === undefined || after.length === 0) return undefined
  let longest = { milliseconds: 0, endedAt: 0 }
  let last = before.answeredAt
  for (const { answeredAt } of after) {
    if (answeredAt - last > longest.milliseconds) longest = { milliseconds: answeredAt - last, endedAt: answeredAt }
    last = answeredAt
  }
  return longest
}
