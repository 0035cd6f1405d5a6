/** Closed-loop load: each caller sends its next statement when the previous one is answered. */

import { build } from 'hdr-histogram-js'
import pg from 'pg'

/** Number of rows that reads and writes are spread over. */
const ROW_COUNT = 1_000
/** Longest latency that the histogram records, in microseconds. */
const MAXIMUM_LATENCY_MICROSECONDS = 60_000_000

export type StatementName = 'read' | 'write'

/** Address, credentials and database that a client connects with. */
export interface Target {
  port: number
  user: string
  password: string
  database: string
}

export interface LoadFigures {
  statementsPerSecond: number
  p50Milliseconds: number
  p99Milliseconds: number
  errors: number
}

const STATEMENTS: Record<StatementName, { text: string, values: (row: number, sequence: number) => string[] }> = {
  read: { text: 'select value from bench where id = $1', values: row => [`row-${row}`] },
  write: { text: 'update bench set value = $1 where id = $2', values: (row, sequence) => [`value-${sequence}`, `row-${row}`] }
}

export async function connectAll (target: Target, callers: number): Promise<pg.Client[]> {
  const clients = Array.from({ length: callers }, () => {
    const client = new pg.Client({ host: '127.0.0.1', ...target })
    client.on('error', () => {})
    return client
  })
  await Promise.all(clients.map(async client => { await client.connect() }))
  return clients
}

/** Inserts or resets the rows that the load reads and writes. */
export async function insertRows (target: Target): Promise<void> {
  const [client] = await connectAll(target, 1)
  for (let row = 0; row < ROW_COUNT; row += 1) {
    await client.query('insert into bench (id, value) values ($1, $2) on conflict (id) do update set value = excluded.value', [`row-${row}`, 'first'])
  }
  await client.end()
}

/** Runs one kind of statement from all clients for `milliseconds`, after a warm-up that is not counted. */
export async function runLoad (clients: readonly pg.Client[], name: StatementName, warmUpMilliseconds: number, milliseconds: number): Promise<LoadFigures> {
  const { text, values } = STATEMENTS[name]
  const histogram = build({ highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 })
  const measuredFrom = performance.now() + warmUpMilliseconds
  const endsAt = measuredFrom + milliseconds
  let errors = 0

  async function runStatements (client: pg.Client, callerIndex: number): Promise<void> {
    for (let sequence = 0; performance.now() < endsAt; sequence += 1) {
      const row = (callerIndex * 7_919 + sequence * 31) % ROW_COUNT
      const startedAt = performance.now()
      try {
        await client.query(text, values(row, sequence))
      } catch {
        errors += 1
      }
      if (startedAt >= measuredFrom) histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1000)))
    }
  }

  await Promise.all(clients.map(runStatements))
  return {
    statementsPerSecond: Math.round(histogram.totalCount / milliseconds * 1000),
    p50Milliseconds: histogram.getValueAtPercentile(50) / 1000,
    p99Milliseconds: histogram.getValueAtPercentile(99) / 1000,
    errors
  }
}
