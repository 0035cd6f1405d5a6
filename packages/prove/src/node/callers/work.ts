/** Operations of callers on the data: appends of unique values, registers, transactions and reads. */

import { AbandonedError, UncommittedError } from './session.js'
import type pg from 'pg'
import type { RandomSource } from '@cyclamenusher/stand-ins'
import type { Session } from './session.js'

const JOURNAL_TABLE = 'journal'
const REGISTERS_TABLE = 'registers'

/** Setting that a transaction changes and later transactions must not see. */
const MARKED_SETTING = 'application_name'

export interface Worker {
  session: Session
  random: RandomSource
  /** Creates a value that occurs nowhere else in the run. */
  createUniqueValue: () => string
  /** Register that only this session writes. */
  register: string
  /** Last number that the session wrote to its register. */
  number: number
}

type Action = (worker: Worker) => Promise<void>

async function insertAll (client: pg.Client, values: readonly string[]): Promise<void> {
  for (const value of values) await client.query(`insert into ${JOURNAL_TABLE} (value) values ('${value}')`)
}

export async function append ({ session, createUniqueValue }: Worker): Promise<void> {
  const values = [createUniqueValue()]
  await session.run({ kind: 'append', values }, async client => { await insertAll(client, values) })
}

export async function put (worker: Worker): Promise<void> {
  worker.number += 1
  const { session, register, number } = worker
  await session.run({ kind: 'put', register, number }, async client => {
    await client.query(`insert into ${REGISTERS_TABLE} (id, value) values ('${register}', '${number}') on conflict (id) do update set value = excluded.value`)
  })
}

export async function get ({ session, register }: Worker): Promise<void> {
  await session.run({ kind: 'get', register }, async (client, call) => {
    const { rows } = await client.query<{ value: string }>(`select value from ${REGISTERS_TABLE} where id = '${register}'`)
    call.number = rows.length === 0 ? 0 : Number(rows[0].value)
  })
}

export async function transact ({ session, random, createUniqueValue }: Worker): Promise<void> {
  const values = Array.from({ length: random.between(2, 4) }, createUniqueValue)
  await session.run({ kind: 'transaction', values }, async client => {
    try {
      await client.query('begin')
      await insertAll(client, values)
    } catch (error) {
      // The commit was not sent, so nothing of the transaction may become visible.
      throw new UncommittedError((error as Error).message)
    }
    const { command } = await client.query('commit')
    if (command !== 'COMMIT') throw new UncommittedError(`the commit was answered ${command}`)
  })
}

/** Destroys the connection in the middle of a transaction, or rolls the transaction back. */
export async function abandon ({ session, random, createUniqueValue }: Worker): Promise<void> {
  const values = [createUniqueValue(), createUniqueValue()]
  const aborts = random.chance(0.5)
  await session.run({ kind: 'transaction', values }, async client => {
    await client.query('begin')
    await insertAll(client, values)
    if (!aborts) await client.query('rollback')
    throw new AbandonedError(aborts ? 'the caller vanished' : 'rolled back')
  })
}

/** Reads a unique text back, and sometimes checks for a setting that another transaction left. */
export async function echo ({ session, random, createUniqueValue }: Worker): Promise<void> {
  const expected = createUniqueValue()
  const withSetting = random.chance(0.3)
  await session.run({ kind: 'read', expected }, async (client, call) => {
    if (withSetting) {
      await client.query('begin')
      const { rows: [{ current_setting: previousSetting }] } = await client.query<{ current_setting: string }>(`select current_setting('${MARKED_SETTING}')`)
      await client.query(`set local ${MARKED_SETTING} = '${expected}'`)
      await client.query('rollback')
      if (previousSetting.startsWith('unique-')) call.leaked = previousSetting
    }
    const { rows } = await client.query<{ answer: string }>(`select '${expected}' as answer`)
    call.given = rows.map(row => Object.values(row)[0]).join()
  })
}

const ACTIONS: ReadonlyArray<[weight: number, action: Action]> = [[30, get], [25, put], [15, append], [12, transact], [6, abandon], [12, echo]]
const TOTAL_WEIGHT = ACTIONS.reduce((sum, [weight]) => sum + weight, 0)
/** Longest pause between two operations of a session, in milliseconds. */
const MAXIMUM_PAUSE_MILLISECONDS = 25
/** Probability that a session reconnects, to an instance picked at random, after an operation. */
const ROAM_PROBABILITY = 0.1

export function chooseAction (random: RandomSource): Action {
  let remainingWeight = random.next() * TOTAL_WEIGHT
  for (const [weight, action] of ACTIONS) {
    remainingWeight -= weight
    if (remainingWeight < 0) return action
  }
  return get
}

export async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Runs random operations until `isOver` returns true. */
export async function workUntil (worker: Worker, isOver: () => boolean): Promise<void> {
  while (!isOver()) {
    await chooseAction(worker.random)(worker)
    if (worker.random.chance(ROAM_PROBABILITY)) await worker.session.roam()
    await pause(worker.random.between(1, MAXIMUM_PAUSE_MILLISECONDS))
  }
}
