/** One entry instance's connections to one backend server, with the server's answer times, replication lag and failures as seen from here. */

import { ASSUMED_ANSWER_MILLISECONDS, FULL_ALLOWANCE, UNKNOWN_LAG, computeAllowedConnections, computeAllowedStatements, createConcurrencyLimit, recordAnswer, recordFullServer, recordRefusal, recordMissingPosition, recordReplicaPosition } from '@cyclamenusher/decisions'
import { OpenError } from './errors.js'
import { openServerConnection, isReachable } from './serverConnection.js'
import type { ConcurrencyBounds, ConnectionBudget, ConnectionState, KnownServer, LogPosition, PositionHistory, PositionRequirement, ServerLoad, ServerObservation } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { ScopedLogger } from '../process/logger.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerCodec } from './statement.js'

/** How long a server with outstanding statements may send nothing before its address is probed, in milliseconds: longer than a usual statement behind a full queue. */
const PROBE_AFTER_SILENCE_MILLISECONDS = 350
/** Minimum time between two attempts to reach a failing server, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 250
/** How long no connection is opened after a reachable server refused one, in milliseconds. */
const FULL_SERVER_PAUSE_MILLISECONDS = 60
/** How long a replica is not used at first after it reported a position as missing, in milliseconds: the usual time in which a commit reaches it. */
const INITIAL_MISSING_POSITION_PAUSE_MILLISECONDS = 40
/** Maximum of the pause after a missing position, in milliseconds. The pause doubles at each repetition; the maximum bounds how late the replica's recovery is noticed. */
const MAXIMUM_MISSING_POSITION_PAUSE_MILLISECONDS = 600
/** Idle time after which a connection above the idle budget is closed, in milliseconds. */
const SURPLUS_IDLE_TIMEOUT_MILLISECONDS = 400

/** Why connections to a server in a drained failure domain are closed. */
const DRAINED_REASON = 'the failure domain of the server is drained'

interface PooledConnection {
  connection: ServerConnection
  inUse: boolean
  /** Acquired for work that only the primary may run. */
  primaryWork: boolean
}

export interface ServerPoolOptions {
  server: KnownServer
  codec: () => ServerCodec
  clock: Clock
  logger: ScopedLogger
  /** Numbers of connections that this instance may open to the server, and keep idle. */
  budget: () => ConnectionBudget
  /** Number of entry instances that use the server. */
  instances: () => number
  /** Called after a change that may let a waiting request proceed. */
  onChange: () => void
  /** Called when the server or the network closed a connection, or the server starts to fail: it may have restarted. */
  onLoss: () => void
  /** Called when the server starts to fail. */
  onFailing: (reason: string) => void
}

export interface ServerPool {
  server: () => KnownServer
  update: (server: KnownServer) => void
  computeLoad: (account: string, now: number, primary: string | undefined) => ServerLoad
  /** Whether the server may be sent one more statement now, of any account; `leastAllowed` statements may be outstanding in any case. */
  hasCapacity: (leastAllowed?: number) => boolean
  connectionsInUse: () => ServerConnection[]
  /** Acquires the idle connection of the account that needs the fewest statements to take the session's values. */
  acquireIdle: (account: string, values: ReadonlyMap<string, string>) => ServerConnection | undefined
  /** Opens and acquires a connection; where the budget is used up, it closes an idle one of another account. @throws OpenError */
  open: (account: string) => Promise<ServerConnection>
  markPrimaryWork: (connection: ServerConnection) => void
  release: (connection: ServerConnection, clean: boolean) => void
  /** Records the time in which the server answered a statement. */
  recordAnswerTime: (milliseconds: number) => void
  /** Records that the server refused a statement because it was busy. */
  recordRefusal: () => void
  /** Records the log position that the server, as a replica, has reached. */
  recordPosition: (history: PositionHistory, position: LogPosition) => void
  /** Records that the server does not hold a position yet. */
  recordMissingPosition: (need: PositionRequirement) => void
  /** Closes the connections that have been idle since that time, because a statement on another connection got no answer. */
  closeIdleSince: (since: number) => void
  hasPrimaryWork: () => boolean
  /** Closes the connections that run work that only the primary may run. */
  endPrimaryWork: (reason: string) => void
  /** Whether the server's failure domain is drained: idle connections are closed, and connections that are released. Nothing is probed. */
  setDrained: (drained: boolean) => void
  /** Whether there are connections, or the server's return is looked for. */
  isActive: () => boolean
  observe: (now: number) => ServerObservation | undefined
  tick: (now: number) => void
  close: (reason: string) => void
}

/** Number of statements that give a connection the session's values. */
function countPreparationStatements (held: ReadonlyMap<string, string>, wanted: ReadonlyMap<string, string>): number {
  const hasExtra = [...held.keys()].some(name => !wanted.has(name))
  const missing = [...wanted].filter(([name, value]) => hasExtra || held.get(name) !== value).length
  return missing + (hasExtra ? 1 : 0)
}

export function createServerPool (options: ServerPoolOptions): ServerPool {
  const { clock, logger } = options
  let { server } = options
  const pooled: PooledConnection[] = []
  let opening = 0
  let concurrency = createConcurrencyLimit(ASSUMED_ANSWER_MILLISECONDS, clock.now())
  let answeredAt = -Infinity
  let failingSince: number | undefined
  let openPausedUntil = -Infinity
  let allowance = FULL_ALLOWANCE
  let probedAt = -Infinity
  let probing = false
  let closed = false
  let drained = false
  let lag = UNKNOWN_LAG
  let missing: { position: LogPosition, until: number, pause: number } | undefined

  function computeBounds (): ConcurrencyBounds {
    return { minimum: Math.max(1, Math.ceil(server.slots / options.instances())), maximum: options.budget().maximum }
  }

  function countConnections (): number {
    return pooled.length + opening
  }

  function maximumConnections (now: number): number {
    return computeAllowedConnections(allowance, options.budget().maximum, now)
  }

  function recordContact (): void {
    answeredAt = clock.now()
    failingSince = undefined
  }

  function recordFailure (since: number, reason: string): void {
    if (closed || (failingSince === undefined && answeredAt > since)) return
    const startsFailing = failingSince === undefined
    failingSince ??= since
    if (startsFailing) options.onLoss()
    if (startsFailing) options.onFailing(reason)
  }

  function removeConnection (connection: ServerConnection): void {
    const index = pooled.findIndex(entry => entry.connection === connection)
    if (index !== -1) pooled.splice(index, 1)
    options.onChange()
  }

  /** The least recently used idle connection. */
  function findOldestIdle (): PooledConnection | undefined {
    return pooled.filter(({ inUse }) => !inUse).reduce<PooledConnection | undefined>((oldest, entry) => oldest === undefined || entry.connection.lastUsedAt() < oldest.connection.lastUsedAt() ? entry : oldest, undefined)
  }

  function findConnectionState (account: string, now: number): ConnectionState {
    if (pooled.some(entry => !entry.inUse && entry.connection.account === account)) return 'match'
    if (now < openPausedUntil) return 'none'
    const hasIdle = pooled.some(({ inUse }) => !inUse)
    return hasIdle || countConnections() < maximumConnections(now) ? 'spare' : 'none'
  }

  async function open (account: string): Promise<ServerConnection> {
    if (countConnections() >= maximumConnections(clock.now())) findOldestIdle()?.connection.close('its place is needed for another client account')
    opening += 1
    const since = clock.now()
    try {
      const established: { connection?: ServerConnection } = {}
      const connection = await openServerConnection({
        server,
        account,
        codec: options.codec(),
        clock,
        onData: recordContact,
        onClose: (reason, lost) => {
          // A connection that failed to open is reported by the thrown error.
          if (established.connection === undefined) return
          if (lost && !closed) options.onLoss()
          removeConnection(established.connection)
          if (lost && pooled.length === 0) recordFailure(clock.now(), reason)
        }
      })
      established.connection = connection
      recordContact()
      if (closed) connection.close('the server is no longer used')
      else pooled.push({ connection, inUse: true, primaryWork: false })
      return connection
    } catch (error) {
      const failure = error instanceof OpenError ? error.failure : 'refused'
      const unreachable = failure === 'refused' || failure === 'no answer'
      openPausedUntil = clock.now() + (unreachable ? RETRY_DELAY_MILLISECONDS : FULL_SERVER_PAUSE_MILLISECONDS)
      if (failure === 'too many') allowance = recordFullServer(countConnections() - 1, clock.now())
      // A network that refuses new connections may still carry the open ones.
      if (unreachable && pooled.length === 0) recordFailure(since, (error as Error).message)
      logger.warn('A connection to a backend server was not opened.', { member: server.member, account, failure, reason: (error as Error).message, connections: pooled.length })
      throw error
    } finally {
      opening -= 1
      options.onChange()
    }
  }

  async function probeAddress (since: number): Promise<void> {
    if (probing) return
    probing = true
    probedAt = clock.now()
    const reachable = await isReachable(server)
    probing = false
    if (closed) return
    if (reachable) {
      recordContact()
      options.onChange()
      return
    }
    recordFailure(since, 'its address does not answer')
    for (const { connection } of [...pooled]) connection.close('the server does not answer')
  }

  /** Since when the server has sent nothing although statements are outstanding; undefined: none is outstanding. */
  function findUnansweredSince (): number | undefined {
    const oldest = Math.min(...pooled.map(({ connection }) => connection.runningSince() ?? Infinity))
    return oldest === Infinity ? undefined : Math.max(oldest, answeredAt)
  }

  function closeSurplusConnection (now: number): void {
    if (countConnections() <= options.budget().idle) return
    const oldest = findOldestIdle()
    if (oldest !== undefined && now - oldest.connection.lastUsedAt() > SURPLUS_IDLE_TIMEOUT_MILLISECONDS) oldest.connection.close('other instances may need its place')
  }

  function countOutstanding (): number {
    return pooled.filter(({ connection }) => connection.runningSince() !== undefined).length + opening
  }

  return {
    server: () => server,
    hasCapacity: (leastAllowed = 1) => !drained && failingSince === undefined && countOutstanding() < Math.max(leastAllowed, computeAllowedStatements(concurrency, computeBounds())),
    update: next => {
      const isReplaced = next.bornAt !== server.bornAt || next.host !== server.host || next.port !== server.port
      server = next
      if (isReplaced) for (const { connection } of [...pooled]) connection.close('the server started again')
      if (next.leaving) for (const { connection, inUse } of [...pooled]) if (!inUse) connection.close('the server leaves')
    },
    computeLoad: (account, now, primary) => ({
      member: server.member,
      isPrimary: server.member === primary,
      slots: server.slots,
      outstanding: countOutstanding(),
      allowed: computeAllowedStatements(concurrency, computeBounds()),
      averageMilliseconds: concurrency.averageMilliseconds,
      answeredAt,
      failing: failingSince !== undefined,
      leaving: server.leaving,
      connection: findConnectionState(account, now),
      missing,
      lag
    }),
    connectionsInUse: () => pooled.filter(({ inUse }) => inUse).map(({ connection }) => connection),
    acquireIdle: (account, values) => {
      const idle = pooled.filter(entry => !entry.inUse && entry.connection.account === account)
      let best: PooledConnection | undefined
      for (const entry of idle) {
        if (best === undefined || countPreparationStatements(entry.connection.values, values) < countPreparationStatements(best.connection.values, values)) best = entry
      }
      if (best === undefined) return undefined
      best.inUse = true
      return best.connection
    },
    open,
    markPrimaryWork: connection => {
      const entry = pooled.find(candidate => candidate.connection === connection)
      if (entry !== undefined) entry.primaryWork = true
    },
    release: (connection, clean) => {
      const entry = pooled.find(candidate => candidate.connection === connection)
      if (entry === undefined) return
      entry.inUse = false
      entry.primaryWork = false
      if (!clean || server.leaving || drained) connection.close(clean ? drained ? DRAINED_REASON : 'the server leaves' : 'its state is not known')
      else options.onChange()
    },
    recordAnswerTime: milliseconds => {
      const now = clock.now()
      concurrency = recordAnswer(concurrency, milliseconds, computeBounds(), now)
      if (missing !== undefined && missing.until < now) missing = undefined
      options.onChange()
    },
    recordRefusal: () => { concurrency = recordRefusal(concurrency, computeBounds(), clock.now()) },
    recordPosition: (history, position) => { lag = recordReplicaPosition(lag, history, position, clock.now()) },
    recordMissingPosition: ({ position, reachedAt }) => {
      lag = recordMissingPosition(lag, reachedAt, clock.now())
      const isRepeated = missing !== undefined && clock.now() < missing.until + missing.pause
      const pause = isRepeated && missing !== undefined ? Math.min(MAXIMUM_MISSING_POSITION_PAUSE_MILLISECONDS, missing.pause * 2) : INITIAL_MISSING_POSITION_PAUSE_MILLISECONDS
      missing = { position, until: clock.now() + pause, pause }
    },
    closeIdleSince: since => {
      for (const { connection, inUse } of [...pooled]) if (!inUse && connection.lastUsedAt() <= since) connection.close('another connection to the server went silent')
    },
    hasPrimaryWork: () => pooled.some(({ inUse, primaryWork }) => inUse && primaryWork),
    endPrimaryWork: reason => { for (const { connection, primaryWork } of [...pooled]) if (primaryWork) connection.close(reason) },
    setDrained: next => {
      if (drained === next) return
      drained = next
      if (drained) for (const { connection, inUse } of [...pooled]) if (!inUse) connection.close(DRAINED_REASON)
    },
    isActive: () => countConnections() > 0 || failingSince !== undefined,
    observe: now => {
      if (failingSince === undefined && answeredAt === -Infinity) return undefined
      return {
        ...(answeredAt === -Infinity ? {} : { answeredAgo: Math.round(now - answeredAt) }),
        ...(failingSince === undefined ? {} : { failingFor: Math.round(now - failingSince) })
      }
    },
    tick: now => {
      if (drained) return
      closeSurplusConnection(now)
      if (failingSince !== undefined) {
        if (now - probedAt > RETRY_DELAY_MILLISECONDS) void probeAddress(failingSince)
        return
      }
      const unanswered = findUnansweredSince()
      if (unanswered !== undefined && now - unanswered > PROBE_AFTER_SILENCE_MILLISECONDS && now - probedAt > RETRY_DELAY_MILLISECONDS) void probeAddress(unanswered)
    },
    close: reason => {
      closed = true
      for (const { connection } of [...pooled]) connection.close(reason)
    }
  }
}
