/**
 * A stand-in backend server: one member of a replicated group, with a term, a
 * log position, asynchronous replication with lag, promotion, and faults that
 * a test sets. It is the state; `connection.ts` speaks the protocol.
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

/** How often a primary tells its replicas that it lives, in milliseconds. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 50
/** Silence after which a replica gives up its connection to the primary, in milliseconds (wal_receiver_timeout). */
const RECEIVER_TIMEOUT_MILLISECONDS = 2_000
/** Pause before a replica connects to its primary again, in milliseconds. */
const RECONNECT_DELAY_MILLISECONDS = 20
/** Connections in a row that end before the primary says anything, after which it counts as refusing. */
const UNANSWERED_CONNECTIONS_AS_REFUSAL = 2

export interface BackendServerOptions {
  group: string
  member: string
  failureDomain: string
  host: string
  port: number
  /** Connections for callers' work; monitoring uses reserved ones besides. */
  connectionLimit: number
  /** Cost of opening a connection, in milliseconds. */
  openMilliseconds: number
  /** Delay between holding a record and showing it to reads, in milliseconds. */
  lagMilliseconds: number
  /** @default undefined - state in memory only */
  dataFolder?: string
}

export type ServerRole = 'primary' | 'replica'

/** What `cyclamenusher.status()` and its kin answer. */
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
  /** Milliseconds since the primary was last heard; -1: never. */
  heardMilliseconds: number
  /** The last connection to the primary was refused. */
  primaryRefused: boolean
  /** Counts in majorities; false from an empty data folder on until `admit`. */
  voting: boolean
  /** Another one each time the process starts. */
  incarnation: string
  leaving: boolean
  /** Callers' transactions and statements that run. */
  openTransactions: number
  /** Whether the call that asked for it did what it asked. */
  granted: boolean
}

/** Faults of a server, set through its administration address. */
export interface ServerFaults {
  /** Takes no records and sends none, as if cut off from the group. */
  isolated: boolean
  lagMilliseconds: number
  /** Answers no statement of a caller's until it is taken back. */
  frozen: boolean
  leaving: boolean
  /** Tells nobody that its primary refuses connections. */
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
  /** Says how many of callers' transactions are open; set by who serves them. */
  countTransactions: () => number
  status: (granted?: boolean) => ServerStatus
  /** Commits operations as primary; undefined when it may not. */
  commit: (operations: Operation[]) => { term: number, position: number } | undefined
  adopt: (term: number) => ServerStatus
  promote: (term: number) => ServerStatus
  follow: (term: number, host: string, port: number) => ServerStatus
  /** Lets this incarnation count in majorities, if it holds `position` in `term`. */
  admit: (term: number, position: number, incarnation: string) => ServerStatus
  /** Resolves when `position` of `term` is held or applied, when a higher term shows, or on timeout. */
  wait: (kind: 'held' | 'applied', term: number, position: number, milliseconds: number) => Promise<ServerStatus>
  /** Serves one replica that connected for replication. */
  serveReplica: (socket: Socket) => void
  setFaults: (faults: Partial<ServerFaults>) => void
  /** Called when what the server announces has changed. */
  onChanged: (listener: () => void) => void
  /** Called when the server stops being the primary of a term. */
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
  /** The term that `adopt` granted to a coordinator which has not yet promoted anyone. */
  let grantedTerm = 0
  let primaryRefused = false
  /** Connections in a row that ended before the primary said anything. */
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
    // The order holds for the log that was shown with the grant, so neither a
    // restart nor another primary of the term may lie between.
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
      // Records join on to the log only behind the start, which drops what the primary lacks.
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
      // Something between the two may accept a connection that the primary's host refuses.
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
      // A record is taken only in order and only from the primary of the adopted term.
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
        // Links that were cut have missed records, so both sides start anew.
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
