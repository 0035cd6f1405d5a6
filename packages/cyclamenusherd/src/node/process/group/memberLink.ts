/**
 * The monitoring connection to one backend server, on one of its reserved
 * connections. It asks for the member's state, waits for positions, and gives
 * the orders of a failover. A question has a deadline: a link that went silent
 * is closed and opened anew.
 */

import pg from 'pg'
import { pause } from '../clock.js'
import type { MemberStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

/** Time that opening a link may take, in milliseconds. */
const CONNECT_MILLISECONDS = 500
/** Time that an answer may take beyond the wait that it contains, in milliseconds. */
const ANSWER_MILLISECONDS = 500
/** Longest wait for a position in one question, in milliseconds. */
const WAIT_MILLISECONDS = 50
/** Pause before a link is opened again, in milliseconds. */
const RETRY_MILLISECONDS = 50

export interface MemberAnswer {
  status: MemberStatus
  granted: boolean
  askedAt: number
  answeredAt: number
}

export interface MemberAddress {
  host: string
  port: number
}

export interface MemberLink {
  /** Asks for the state as soon as the link is free. */
  poke: () => void
  order: (statement: string) => Promise<MemberAnswer>
  move: (address: MemberAddress) => void
  close: () => void
}

export interface MemberLinkOptions {
  member: string
  address: MemberAddress
  user: string
  password: string
  database: string
  /** Time until the next question when nothing is waited for, in milliseconds. */
  intervalMilliseconds: () => number
  clock: Clock
  /** The place that somebody waits for at this member, if any. */
  wanted: () => { term: number, position: number } | undefined
  onAnswer: (answer: MemberAnswer) => void
  onLost: (reason: string) => void
}

type Row = Record<string, string>

function readFlag (value: string | undefined): boolean {
  return value === 'true' || value === 't'
}

function readStatus (row: Row): MemberStatus {
  return {
    member: row.member,
    role: row.role === 'primary' ? 'primary' : 'replica',
    adoptedTerm: Number(row.adopted_term),
    logTerm: Number(row.log_term),
    position: Number(row.position),
    appliedTerm: Number(row.applied_term ?? 0),
    appliedPosition: Number(row.applied_position),
    primaryMember: row.primary_member,
    heardMilliseconds: Number(row.heard_milliseconds),
    primaryRefused: readFlag(row.primary_refused),
    voting: readFlag(row.voting),
    incarnation: row.incarnation ?? '',
    leaving: readFlag(row.leaving),
    openTransactions: Number(row.open_transactions ?? 0)
  }
}

export function createMemberLink (options: MemberLinkOptions): MemberLink {
  const { member, user, password, database, clock } = options
  let { address } = options
  let client: pg.Client | undefined
  let closed = false
  let poked = false
  let wakeSleeper: (() => void) | undefined

  async function open (): Promise<pg.Client> {
    const opening = new pg.Client({ host: address.host, port: address.port, user, password, database, connectionTimeoutMillis: CONNECT_MILLISECONDS, keepAlive: true })
    // Without a listener an error of the socket would end the process.
    opening.on('error', () => {})
    await opening.connect()
    return opening
  }

  async function ask (connection: pg.Client, statement: string, waitMilliseconds: number): Promise<MemberAnswer> {
    const askedAt = clock.now()
    const deadline = setTimeout(() => { destroy(connection) }, ANSWER_MILLISECONDS + waitMilliseconds)
    try {
      const { rows } = await connection.query<Row>(statement)
      const answer = { status: readStatus(rows[0]), granted: readFlag(rows[0].granted), askedAt, answeredAt: clock.now() }
      if (answer.status.member !== member || rows[0].group_name !== database) {
        // Another server has this address now, so nothing that this one says may count.
        destroy(connection)
        throw new Error(`the server at this address is ${answer.status.member} of ${rows[0].group_name}`)
      }
      options.onAnswer(answer)
      return answer
    } finally {
      clearTimeout(deadline)
    }
  }

  function destroy (connection: pg.Client): void {
    const { stream } = (connection as unknown as { connection: { stream: { destroy: (error?: Error) => void } } }).connection
    stream.destroy(new Error('no answer in time'))
  }

  async function sleep (): Promise<void> {
    if (poked) {
      poked = false
      return
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, options.intervalMilliseconds())
      wakeSleeper = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    wakeSleeper = undefined
    poked = false
  }

  async function serve (connection: pg.Client): Promise<void> {
    while (!closed) {
      const wanted = options.wanted()
      if (wanted === undefined) {
        await ask(connection, 'SELECT * FROM cyclamenusher.status()', 0)
        await sleep()
      } else {
        await ask(connection, `SELECT * FROM cyclamenusher.wait('held', ${wanted.term}, ${wanted.position}, ${WAIT_MILLISECONDS})`, WAIT_MILLISECONDS)
      }
    }
  }

  async function run (): Promise<void> {
    while (!closed) {
      try {
        client = await open()
        await serve(client)
      } catch (error) {
        if (!closed) options.onLost((error as Error).message)
      }
      if (client !== undefined) destroy(client)
      client = undefined
      if (!closed) await pause(RETRY_MILLISECONDS)
    }
  }

  void run()
  return {
    poke: () => {
      poked = true
      wakeSleeper?.()
    },
    order: async statement => {
      if (client === undefined) throw new Error(`no link to ${member}`)
      return await ask(client, statement, WAIT_MILLISECONDS + ANSWER_MILLISECONDS)
    },
    move: moved => {
      if (moved.host === address.host && moved.port === address.port) return
      address = moved
      if (client !== undefined) destroy(client)
    },
    close: () => {
      closed = true
      wakeSleeper?.()
      if (client !== undefined) destroy(client)
    }
  }
}
