/**
 * The monitoring link to one backend server, over one of its reserved
 * connections. Requests the member's status, waits for positions, and sends the
 * commands of a failover. Each request has a deadline, after which the connection
 * is closed and opened again.
 */

import pg from 'pg'
import { pause } from '../clock.js'
import type { MemberStatus } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

/** Timeout for opening the connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 500
/** Timeout of an answer, not counting the wait for a position that the statement includes, in milliseconds. */
const ANSWER_TIMEOUT_MILLISECONDS = 500
/** Maximum time that one statement waits for a position, in milliseconds. */
const POSITION_WAIT_MILLISECONDS = 50
/** Delay before the connection is opened again, in milliseconds. */
const RECONNECT_DELAY_MILLISECONDS = 50

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
  /** Requests the status as soon as the link is free. */
  refresh: () => void
  sendCommand: (statement: string) => Promise<MemberAnswer>
  setAddress: (address: MemberAddress) => void
  close: () => void
}

export interface MemberLinkOptions {
  member: string
  address: MemberAddress
  user: string
  password: string
  database: string
  /** Time until the next status request while no position is wanted, in milliseconds. */
  intervalMilliseconds: () => number
  clock: Clock
  /** The position that requests wait for at this member, if any. */
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
  let refreshRequested = false
  let endPause: (() => void) | undefined

  async function openConnection (): Promise<pg.Client> {
    const connection = new pg.Client({ host: address.host, port: address.port, user, password, database, connectionTimeoutMillis: CONNECT_TIMEOUT_MILLISECONDS, keepAlive: true })
    // Without a listener, a socket error would end the process.
    connection.on('error', () => {})
    await connection.connect()
    return connection
  }

  async function runStatement (connection: pg.Client, statement: string, waitMilliseconds: number): Promise<MemberAnswer> {
    const askedAt = clock.now()
    const deadline = setTimeout(() => { destroy(connection) }, ANSWER_TIMEOUT_MILLISECONDS + waitMilliseconds)
    try {
      const { rows } = await connection.query<Row>(statement)
      const answer = { status: readStatus(rows[0]), granted: readFlag(rows[0].granted), askedAt, answeredAt: clock.now() }
      if (answer.status.member !== member || rows[0].group_name !== database) {
        // Another server has this address now, so its answers must not count.
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

  async function pauseUntilRefresh (): Promise<void> {
    if (refreshRequested) {
      refreshRequested = false
      return
    }
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, options.intervalMilliseconds())
      endPause = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    endPause = undefined
    refreshRequested = false
  }

  async function pollStatus (connection: pg.Client): Promise<void> {
    while (!closed) {
      const wanted = options.wanted()
      if (wanted === undefined) {
        await runStatement(connection, 'SELECT * FROM cyclamenusher.status()', 0)
        await pauseUntilRefresh()
      } else {
        await runStatement(connection, `SELECT * FROM cyclamenusher.wait('held', ${wanted.term}, ${wanted.position}, ${POSITION_WAIT_MILLISECONDS})`, POSITION_WAIT_MILLISECONDS)
      }
    }
  }

  async function keepConnected (): Promise<void> {
    while (!closed) {
      try {
        client = await openConnection()
        await pollStatus(client)
      } catch (error) {
        if (!closed) options.onLost((error as Error).message)
      }
      if (client !== undefined) destroy(client)
      client = undefined
      if (!closed) await pause(RECONNECT_DELAY_MILLISECONDS)
    }
  }

  void keepConnected()
  return {
    refresh: () => {
      refreshRequested = true
      endPause?.()
    },
    sendCommand: async statement => {
      if (client === undefined) throw new Error(`no link to ${member}`)
      return await runStatement(client, statement, POSITION_WAIT_MILLISECONDS + ANSWER_TIMEOUT_MILLISECONDS)
    },
    setAddress: newAddress => {
      if (newAddress.host === address.host && newAddress.port === address.port) return
      address = newAddress
      if (client !== undefined) destroy(client)
    },
    close: () => {
      closed = true
      endPause?.()
      if (client !== undefined) destroy(client)
    }
  }
}
