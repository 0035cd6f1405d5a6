/**
 * A stand-in backend server: one member of a replicated group, with a term, a
 * log position, asynchronous replication with lag, promotion, and faults that
 * a test sets. It is the state; `connection.ts` speaks the protocol.
 */

import { randomUUID } from 'node:crypto'
import { connect } from 'node:net'
import { createInterface } from 'node:readline'
import { createStore } from './store.js'
import { commonPosition, openServerLog } from './log.js'
import { buildStartupMessage } from '../utils.js'
import type { Socket } from 'node:net'
import type { LogRecord, ServerLog, TermRun } from './log.js'
import type { Operation, Store } from './store.js'

/** How often a primary tells its replicas that it lives, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 50
/** Silence after which a replica gives up its connection to the primary, in milliseconds (wal_receiver_timeout). */
const RECEIVER_TIMEOUT_MILLISECONDS = 2_000
/** Pause before a replica connects to its primary again, in milliseconds. */
const RECONNECT_MILLISECONDS = 20
/** Connections in a row that end before the primary says anything, after which it counts as refusing. */
const REFUSED_CONNECTIONS = 2

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
  let unanswered = 0
  let primaryMember = ''
  let heardAt = -1
  let appliedPosition = 0
  let upstream: Socket | undefined
  let following: { host: string, port: number } | undefined
  let retry: NodeJS.Timeout | undefined
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
      heardMilliseconds: role === 'primary' ? 0 : heardAt < 0 ? -1 : Math.round(performance.now() - heardAt),
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
    clearTimeout(retry)
    following = undefined
    primaryRefused = false
    unanswered = 0
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
    if (following?.host === host && following.port === port && upstream !== undefined) return status(true)
    stepDown()
    stopFollowing()
    following = { host, port }
    connectUpstream()
    return status(true)
  }

  function admit (term: number, position: number, admitted: string): ServerStatus {
    const { term: logTerm, position: held } = log.last()
    const isHeld = log.adoptedTerm() === term && (logTerm === term || position === 0) && held >= position
    if (admitted !== incarnation || !isHeld) return status(false)
    log.admit()
    return status(true)
  }

  function connectUpstream (): void {
    if (following === undefined) return
    const { host, port } = following
    const socket = connect({ host, port, noDelay: true })
    upstream = socket
    const lines = createInterface({ input: socket })
    let started = false
    let answered = false
    socket.setTimeout(RECEIVER_TIMEOUT_MILLISECONDS, () => { socket.destroy() })
    socket.on('connect', () => {
      socket.write(buildStartupMessage({ user: 'replication', replication: 'true' }))
      socket.write(`${JSON.stringify({ group: options.group, adoptedTerm: log.adoptedTerm(), runs: log.runs() })}\n`)
    })
    lines.on('line', line => {
      if (upstream !== socket || faults.isolated) return
      const message = JSON.parse(line) as ReplicationMessage
      unanswered = 0
      answered = true
      // Records join on to the log only behind the start, which drops what the primary lacks.
      started = started || message.kind === 'start'
      if (started) receive(message)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (upstream === socket) primaryRefused = error.code === 'ECONNREFUSED'
    })
    lines.on('error', () => {})
    socket.on('close', () => {
      if (upstream !== socket) return
      upstream = undefined
      if (following === undefined) return
      // Something between the two may accept a connection that the primary's host refuses.
      if (!answered) unanswered += 1
      if (unanswered >= REFUSED_CONNECTIONS) primaryRefused = true
      retry = setTimeout(connectUpstream, RECONNECT_MILLISECONDS)
    })
  }

  const receivers: { [Kind in ReplicationMessage['kind']]: (message: Extract<ReplicationMessage, { kind: Kind }>) => void } = {
    start: message => {
      if (message.term !== log.adoptedTerm()) return
      heardAt = performance.now()
      primaryMember = message.member
      primaryRefused = false
      if (message.truncate >= log.last().position) return
      log.truncate(message.truncate)
      rebuildStore()
    },
    record: ({ record }) => {
      heardAt = performance.now()
      // A record is taken only in order and only from the primary of the adopted term.
      if (record.position !== log.last().position + 1) return
      log.append(record)
      wakeWaiters()
      if (faults.lagMilliseconds === 0) applyUpTo(record.position)
      else setTimeout(() => { applyUpTo(Math.min(record.position, log.last().position)) }, faults.lagMilliseconds)
    },
    heartbeat: ({ term }) => {
      if (term === log.adoptedTerm()) heardAt = performance.now()
    },
    refused: () => { upstream?.destroy() }
  }

  function receive (message: ReplicationMessage): void {
    const receiver = receivers[message.kind] as (message: ReplicationMessage) => void
    receiver(message)
  }

  function serveReplica (socket: Socket): void {
    const lines = createInterface({ input: socket })
    socket.on('error', () => {})
    lines.on('error', () => {})
    socket.on('close', () => { replicas.delete(socket) })
    lines.once('line', line => {
      const hello = JSON.parse(line) as { group: string, adoptedTerm: number, runs: TermRun[] }
      if (role !== 'primary' || hello.group !== options.group || hello.adoptedTerm !== log.adoptedTerm()) {
        socket.end(`${JSON.stringify({ kind: 'refused' } satisfies ReplicationMessage)}\n`)
        return
      }
      const truncate = commonPosition(log.runs(), hello.runs)
      const start: ReplicationMessage = { kind: 'start', truncate, term: log.adoptedTerm(), member: options.member }
      const messages: ReplicationMessage[] = [start, ...log.records().slice(truncate).map(record => ({ kind: 'record' as const, record }))]
      if (!faults.isolated) socket.write(messages.map(message => `${JSON.stringify(message)}\n`).join(''))
      replicas.add(socket)
    })
  }

  async function wait (kind: 'held' | 'applied', term: number, position: number, milliseconds: number): Promise<ServerStatus> {
    const deadline = performance.now() + milliseconds
    const reached = (): boolean => {
      const now = status()
      if (now.adoptedTerm > term) return true
      const at = kind === 'held' ? now.position : now.appliedPosition
      return (now.logTerm === term && at >= position) || position === 0
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
  }, HEARTBEAT_MILLISECONDS)

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
    setFaults: changed => {
      const healed = faults.isolated && changed.isolated === false
      const leftOrStayed = changed.leaving !== undefined && changed.leaving !== faults.leaving
      Object.assign(faults, changed)
      if (leftOrStayed) for (const listener of changedListeners) listener()
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
