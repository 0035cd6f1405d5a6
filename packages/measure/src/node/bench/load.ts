/** Closed-loop load: each caller sends its next statement when it has the last answer. */

import { build } from 'hdr-histogram-js'
import pg from 'pg'

/** Rows that reads and writes spread over. */
const ROWS = 1_000
/** Longest latency that is told apart, in microseconds. */
const HIGHEST_MICROSECONDS = 60_000_000

export type StatementName = 'read' | 'write'

/** Where a client connects, and as whom. */
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

const STATEMENTS: Record<StatementName, { text: string, values: (row: number, count: number) => string[] }> = {
  read: { text: 'select value from bench where id = $1', values: row => [`row-${row}`] },
  write: { text: 'update bench set value = $1 where id = $2', values: (row, count) => [`value-${count}`, `row-${row}`] }
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

/** Writes the rows that the load works on. */
export async function fillRows (target: Target): Promise<void> {
  const [client] = await connectAll(target, 1)
  for (let row = 0; row < ROWS; row += 1) {
    await client.query('insert into bench (id, value) values ($1, $2) on conflict (id) do update set value = excluded.value', [`row-${row}`, 'first'])
  }
  await client.end()
}

/** Runs one kind of statement from all clients for a time, after a time that is not counted. */
export async function runLoad (clients: readonly pg.Client[], name: StatementName, warmUpMilliseconds: number, milliseconds: number): Promise<LoadFigures> {
  const { text, values } = STATEMENTS[name]
  const histogram = build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 3 })
  const countFrom = performance.now() + warmUpMilliseconds
  const until = countFrom + milliseconds
  let errors = 0

  async function call (client: pg.Client, caller: number): Promise<void> {
    for (let count = 0; performance.now() < until; count += 1) {
      const row = (caller * 7_919 + count * 31) % ROWS
      const startedAt = performance.now()
      try {
        await client.query(text, values(row, count))
      } catch {
        errors += 1
      }
      if (startedAt >= countFrom) histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAt) * 1000)))
    }
  }

  await Promise.all(clients.map(call))
  return {
    statementsPerSecond: Math.round(histogram.totalCount / milliseconds * 1000),
    p50Milliseconds: histogram.getValueAtPercentile(50) / 1000,
    p99Milliseconds: histogram.getValueAtPercentile(99) / 1000,
    errors
  }
}
