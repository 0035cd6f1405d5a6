/**
 * State of a stand-in backend server: one member of a replicated group, with a
 * term, a log position, asynchronous replication with lag, promotion, and faults
 * that a test sets. `connection.ts` implements the wire protocol.
 */

import { randomUUID } from 'node:crypto'
import { connect } from 'node:net'
import { createInterface } from 'node:readline'
import { createStore } from './store.js'
import { findCommonPosition, openServerLog } from './log.js'
import { buildStartupMessage } from '../utils.js'
import type { Socket } from 'node:net'
import type { LogRecord, ServerLog, TermRun } from './log.js'
import type { Operation, Store } from './store.js'

/** Interval between a primary's heartbeats to its replicas, in milliseconds. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 50
/** Time without data after which a replica closes its connection to the primary, in milliseconds (wal_receiver_timeout). */
const RECEIVER_TIMEOUT_MILLISECONDS = 2_000
/** Delay before a replica reconnects to its primary, in milliseconds. */
const RECONNECT_DELAY_MILLISECONDS = 20
/** Consecutive connections that end without a message from the primary after which it is reported as refusing connections. */
const UNANSWERED_CONNECTIONS_AS_REFUSAL = 2

export interface BackendServerOptions {
  group: string
  member: string
  failureDomain: string
  host: string
  port: number
  /** Maximum number of connections for callers' work; those of monitoring are reserved and not counted. */
  connectionLimit: number
  /** Time to open a connection, in milliseconds. */
  openMilliseconds: number
  /** Delay between receiving a record and showing it to reads, in milliseconds. */
  lagMilliseconds: number
  /** @default undefined - state in memory only */
  dataFolder?: string
}

export type ServerRole = 'primary' | 'replica'

/** Row that `cyclamenusher.status()` and the other functions of that schema return. */
export interface ServerStatus {
  member: string
  role: ServerRole
  adoptedTerm: number
  logTerm: number
  position: number
  /** Term of the last record that reads show. */
  appliedTerm: number
  appliedPosition: number
  primaryMember: string
  /** Milliseconds since the last message from the primary; -1: none so far. */
  heardMilliseconds: number
  /** Whether the primary refuses connections, or they end without a message from it. */
  primaryRefused: boolean
  /** Whether the member counts in majorities. False after a start on an empty data folder, until `admit`. */
  voting: boolean
  /** Identifies one run of the process. */
  incarnation: string
  leaving: boolean
  /** Number of callers' open transactions, and of statements that run outside of one. */
  openTransactions: number
  /** Whether the function that returned this row did what was requested. */
  granted: boolean
}

/** Faults of a server, set through its administration address. */
export interface ServerFaults {
  /** Neither sends nor accepts records and heartbeats, as if cut off from the group. */
  isolated: boolean
  lagMilliseconds: number
  /** Does not answer callers until the fault is removed. */
  frozen: boolean
  leaving: boolean
  /** Does not report that its primary refuses connections. */
  hidesRefusal: boolean
  /** Delay before each answer, in milliseconds. */
  answerMilliseconds: number
}

export interface BackendServer {
  readonly options: BackendServerOptions
  readonly faults: ServerFaults
  readonly store: Store
  readonly log: ServerLog
  readonly incarnation: string
  /** Returns `openTransactions` of the status; replaced by the code that serves connections. */
  countTransactions: () => number
  status: (granted?: boolean) => ServerStatus
  /** Commits operations; returns undefined if the server is not the primary. */
  commit: (operations: Operation[]) => { term: number, position: number } | undefined
  adopt: (term: number) => ServerStatus
  promote: (term: number) => ServerStatus
  follow: (term: number, host: string, port: number) => ServerStatus
  /** Lets the server count in majorities if it is this incarnation, has adopted `term` and holds `position`. */
  admit: (term: number, position: number, incarnation: string) => ServerStatus
  /** Resolves when `position` of `term` is held or applied, when a higher term is adopted, or on timeout. */
  wait: (kind: 'held' | 'applied', term: number, position: number, milliseconds: number) => Promise<ServerStatus>
  /** Serves a replica's replication connection. */
  serveReplica: (socket: Socket) => void
  setFaults: (faults: Partial<ServerFaults>) => void
  /** Registers a listener for changes of what the server announces. */
  onChanged: (listener: () => void) => void
  /** Registers a listener for the end of the server's time as primary. */
  onDemoted: (listener: () => void) => void
  close: () => void
}

type ReplicationMessage =
  | { kind: 'start', truncate: number, term: number, member: string }
  | { kind: 'record', record: LogRecord }
  | { kind: 'heartbeat', term: number }
  | { kind: 'refused' }

export function createBackendServer (options: BackendServerOptions): BackendServer {
  const log = openServerLog(options.dataFolder)
  const store = createStore()
  const faults: ServerFaults = { isolated: false, lagMilliseconds: options.lagMilliseconds, frozen: false, leaving: false, hidesRefusal: false, answerMilliseconds: 0 }
  const incarnation = randomUUID()
  let role: ServerRole = 'replica'
  /** Term that `adopt` granted, for which neither `promote` nor `follow` has succeeded since; 0: none. */
  let grantedTerm = 0
  let primaryRefused = false
  /** Consecutive connections that ended without a message from the primary. */
  let unansweredConnections = 0
  let primaryMember = ''
  let lastContactAt = -1
  let appliedPosition = 0
  let upstream: Socket | undefined
  let followedAddress: { host: string, port: number } | undefined
  let reconnectTimer: NodeJS.Timeout | undefined
  const replicas = new Set<Socket>()
  const demotedListeners: Array<() => void> = []
  const changedListeners: Array<() => void> = []
  let waiters: Array<() => void> = []

  function rebuildStore (): void {
    store.clear()
    appliedPosition = 0
    applyUpTo(log.last().position)
  }

  function applyUpTo (position: number): void {
    const records = log.records()
    while (appliedPosition < Math.min(position, records.length)) {
      for (const operation of records[appliedPosition].operations) store.apply(operation)
      appliedPosition += 1
    }
    wakeWaiters()
  }

  function wakeWaiters (): void {
    const woken = waiters
    waiters = []
    for (const wake of woken) wake()
  }

  function status (granted = true): ServerStatus {
    const last = log.last()
    return {
      member: options.member,
      role,
      adoptedTerm: log.adoptedTerm(),
      logTerm: last.term,
      position: last.position,
      appliedTerm: log.records()[appliedPosition - 1]?.term ?? 0,
      appliedPosition,
      primaryMember: role === 'primary' ? options.member : primaryMember,
      heardMilliseconds: role === 'primary' ? 0 : lastContactAt < 0 ? -1 : Math.round(performance.now() - lastContactAt),
      primaryRefused: primaryRefused && !faults.hidesRefusal,
      voting: log.isVoting(),
      incarnation,
      leaving: faults.leaving,
      openTransactions: server.countTransactions(),
      granted
    }
  }

  function append (record: LogRecord): void {
    log.append(record)
    const line = `${JSON.stringify({ kind: 'record', record } satisfies ReplicationMessage)}\n`
    if (!faults.isolated) for (const replica of replicas) replica.write(line)
    wakeWaiters()
  }

  function commit (operations: Operation[]): { term: number, position: number } | undefined {
    if (role !== 'primary') return undefined
    const record = { term: log.adoptedTerm(), position: log.last().position + 1, operations }
    append(record)
    applyUpTo(record.position)
    return { term: record.term, position: record.position }
  }

  function stepDown (): void {
    const wasPrimary = role === 'primary'
    role = 'replica'
    primaryMember = ''
    for (const replica of replicas) replica.destroy()
    replicas.clear()
    if (wasPrimary) for (const listener of demotedListeners) listener()
  }

  function stopFollowing (): void {
    clearTimeout(reconnectTimer)
    followedAddress = undefined
    primaryRefused = false
    unansweredConnections = 0
    upstream?.destroy()
    upstream = undefined
  }

  function adopt (term: number): ServerStatus {
    if (term <= log.adoptedTerm()) return status(false)
    log.adopt(term)
    grantedTerm = term
    stepDown()
    stopFollowing()
    wakeWaiters()
    return status(true)
  }

  function promote (term: number): ServerStatus {
    if (role === 'primary' && log.adoptedTerm() === term) return status(true)
    // A promotion is decided on the log that was reported with the grant. After a
    // restart, or once another primary of the term is followed, it is refused.
    if (grantedTerm !== term || log.adoptedTerm() !== term || !log.isVoting()) return status(false)
    grantedTerm = 0
    role = 'primary'
    for (const listener of changedListeners) listener()
    append({ term, position: log.last().position + 1, operations: [] })
    applyUpTo(log.last().position)
    return status(true)
  }

  function follow (term: number, host: string, port: number): ServerStatus {
    if (term < log.adoptedTerm()) return status(false)
    if (role === 'primary' && term === log.adoptedTerm()) return status(false)
    if (term > log.adoptedTerm()) log.adopt(term)
    grantedTerm = 0
    if (followedAddress?.host === host && followedAddress.port === port && upstream !== undefined) return status(true)
    stepDown()
    stopFollowing()
    followedAddress = { host, port }
    connectUpstream()
    return status(true)
  }

  function admit (term: number, position: number, admittedIncarnation: string): ServerStatus {
    const { term: logTerm, position: lastPosition } = log.last()
    const isPositionHeld = log.adoptedTerm() === term && (logTerm === term || position === 0) && lastPosition >= position
    if (admittedIncarnation !== incarnation || !isPositionHeld) return status(false)
    log.admit()
    return status(true)
  }

  function connectUpstream (): void {
    if (followedAddress === undefined) return
    const { host, port } = followedAddress
    const socket = connect({ host, port, noDelay: true })
    upstream = socket
    const lines = createInterface({ input: socket })
    let startReceived = false
    let messageReceived = false
    socket.setTimeout(RECEIVER_TIMEOUT_MILLISECONDS, () => { socket.destroy() })
    socket.on('connect', () => {
      socket.write(buildStartupMessage({ user: 'replication', replication: 'true' }))
      socket.write(`${JSON.stringify({ group: options.group, adoptedTerm: log.adoptedTerm(), runs: log.runs() })}\n`)
    })
    lines.on('line', line => {
      if (upstream !== socket || faults.isolated) return
      const message = JSON.parse(line) as ReplicationMessage
      unansweredConnections = 0
      messageReceived = true
      // Records fit the log only after the start message, which removes those that the primary does not have.
      startReceived = startReceived || message.kind === 'start'
      if (startReceived) handleMessage(message)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (upstream === socket) primaryRefused = error.code === 'ECONNREFUSED'
    })
    lines.on('error', () => {})
    socket.on('close', () => {
      if (upstream !== socket) return
      upstream = undefined
      if (followedAddress === undefined) return
      // A proxy or link in between may accept a connection that the primary's host refuses.
      if (!messageReceived) unansweredConnections += 1
      if (unansweredConnections >= UNANSWERED_CONNECTIONS_AS_REFUSAL) primaryRefused = true
      reconnectTimer = setTimeout(connectUpstream, RECONNECT_DELAY_MILLISECONDS)
    })
  }

  const messageHandlers: { [Kind in ReplicationMessage['kind']]: (message: Extract<ReplicationMessage, { kind: Kind }>) => void } = {
    start: message => {
      if (message.term !== log.adoptedTerm()) return
      lastContactAt = performance.now()
      primaryMember = message.member
      primaryRefused = false
      if (message.truncate >= log.last().position) return
      log.truncate(message.truncate)
      rebuildStore()
    },
    record: ({ record }) => {
      lastContactAt = performance.now()
      // A record is accepted only in order and only from the primary of the adopted term.
      if (record.position !== log.last().position + 1) return
      log.append(record)
      wakeWaiters()
      if (faults.lagMilliseconds === 0) applyUpTo(record.position)
      else setTimeout(() => { applyUpTo(Math.min(record.position, log.last().position)) }, faults.lagMilliseconds)
    },
    heartbeat: ({ term }) => {
      if (term === log.adoptedTerm()) lastContactAt = performance.now()
    },
    refused: () => { upstream?.destroy() }
  }

  function handleMessage (message: ReplicationMessage): void {
    const handler = messageHandlers[message.kind] as (message: ReplicationMessage) => void
    handler(message)
  }

  function serveReplica (socket: Socket): void {
    const lines = createInterface({ input: socket })
    socket.on('error', () => {})
    lines.on('error', () => {})
    socket.on('close', () => { replicas.delete(socket) })
    lines.once('line', line => {
      const handshake = JSON.parse(line) as { group: string, adoptedTerm: number, runs: TermRun[] }
      if (role !== 'primary' || handshake.group !== options.group || handshake.adoptedTerm !== log.adoptedTerm()) {
        socket.end(`${JSON.stringify({ kind: 'refused' } satisfies ReplicationMessage)}\n`)
        return
      }
      const truncate = findCommonPosition(log.runs(), handshake.runs)
      const start: ReplicationMessage = { kind: 'start', truncate, term: log.adoptedTerm(), member: options.member }
      const messages: ReplicationMessage[] = [start, ...log.records().slice(truncate).map(record => ({ kind: 'record' as const, record }))]
      if (!faults.isolated) socket.write(messages.map(message => `${JSON.stringify(message)}\n`).join(''))
      replicas.add(socket)
    })
  }

  async function wait (kind: 'held' | 'applied', term: number, position: number, milliseconds: number): Promise<ServerStatus> {
    const deadline = performance.now() + milliseconds
    const reached = (): boolean => {
      const current = status()
      if (current.adoptedTerm > term) return true
      const reachedPosition = kind === 'held' ? current.position : current.appliedPosition
      return (current.logTerm === term && reachedPosition >= position) || position === 0
    }
    while (!reached() && performance.now() < deadline) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, deadline - performance.now())
        waiters.push(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
    return status(reached())
  }

  const heartbeat = setInterval(() => {
    if (role !== 'primary' || faults.isolated) return
    const line = `${JSON.stringify({ kind: 'heartbeat', term: log.adoptedTerm() } satisfies ReplicationMessage)}\n`
    for (const replica of replicas) replica.write(line)
  }, HEARTBEAT_INTERVAL_MILLISECONDS)

  const server: BackendServer = {
    options,
    faults,
    store,
    log,
    incarnation,
    countTransactions: () => 0,
    status,
    commit,
    adopt,
    promote,
    follow,
    admit,
    wait,
    serveReplica,
    setFaults: changes => {
      const healed = faults.isolated && changes.isolated === false
      const leavingChanged = changes.leaving !== undefined && changes.leaving !== faults.leaving
      Object.assign(faults, changes)
      if (leavingChanged) for (const listener of changedListeners) listener()
      if (faults.isolated || healed) {
        // Isolated servers miss records, so replication starts anew on both sides.
        upstream?.destroy()
        for (const replica of replicas) replica.destroy()
      }
    },
    onChanged: listener => { changedListeners.push(listener) },
    onDemoted: listener => { demotedListeners.push(listener) },
    close: () => {
      clearInterval(heartbeat)
      stopFollowing()
      for (const replica of replicas) replica.destroy()
    }
  }
  rebuildStore()
  return server
}
