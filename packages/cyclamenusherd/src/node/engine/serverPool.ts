/** What one entry instance has to do with one backend server: its connections, how fast it answers, whether it answers at all. */

import { ASSUMED_ANSWER_MILLISECONDS, UNKNOWN_LAG, computeAllowedStatements, createConcurrencyLimit, recordAnswer, recordRefusal, recordMissingPosition, recordReplicaPosition } from '@cyclamenusher/decisions'
import { OpenError } from './errors.js'
import { openServerConnection, reaches } from './serverConnection.js'
import type { ConcurrencyBounds, ConnectionBudget, ConnectionState, KnownServer, LogPosition, PositionHistory, PositionRequirement, ServerLoad, ServerObservation } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'
import type { ScopedLogger } from '../process/logger.js'
import type { ServerConnection } from './serverConnection.js'
import type { ServerCodec } from './statement.js'

/** Silence of a server with statements outstanding after which its address is tried, in milliseconds: above a usual statement behind a full queue. */
const SILENCE_MILLISECONDS = 350
/** Pause between two tries of a server that fails, in milliseconds. */
const RETRY_MILLISECONDS = 250
/** Time for which no connection is opened after the server had no room for one, in milliseconds. */
const FULL_MILLISECONDS = 60
/** How long a replica that lacks a position is left alone at first and at most, in milliseconds: a commit's usual way to it, and a bound on how late its recovery shows. */
const LACK_MILLISECONDS = 40
const LACK_MILLISECONDS_AT_MOST = 600
/** Idle time after which a connection beyond those that may stay idle is closed, in milliseconds. */
const SURPLUS_IDLE_MILLISECONDS = 400

interface Pooled {
  connection: ServerConnection
  lent: boolean
  /** Lent for work that only the primary may do. */
  primaryWork: boolean
}

export interface ServerPoolOptions {
  server: KnownServer
  codec: () => ServerCodec
  clock: Clock
  logger: ScopedLogger
  /** Connections that this instance may have to the server. */
  budget: () => ConnectionBudget
  /** Instances that use the server. */
  instances: () => number
  /** Something changed that may let a waiting request go on. */
  onChange: () => void
  /** It began to fail. */
  onFailing: (reason: string) => void
}

export interface ServerPool {
  server: () => KnownServer
  update: (server: KnownServer) => void
  load: (account: string, now: number, primary: string | undefined) => ServerLoad
  /** An idle connection of the account that needs least to hold the session's values. */
  takeIdle: (account: string, values: ReadonlyMap<string, string>) => ServerConnection | undefined
  /** Opens a connection, and closes an idle one of another account where there is no room. @throws OpenError */
  open: (account: string) => Promise<ServerConnection>
  markPrimaryWork: (connection: ServerConnection) => void
  release: (connection: ServerConnection, clean: boolean) => void
  /** The server answered a statement. */
  recordTime: (milliseconds: number) => void
  /** The server had no room for a statement. */
  recordRefusal: () => void
  /** The server, as a replica, stands at a position. */
  recordPosition: (history: PositionHistory, position: LogPosition) => void
  /** The server lacks a position. */
  recordLack: (need: PositionRequirement) => void
  /** A statement got no answer on a connection: those that were idle meanwhile are suspect too. */
  suspectIdle: (since: number) => void
  hasPrimaryWork: () => boolean
  /** Ends what only the primary may do. */
  endPrimaryWork: (reason: string) => void
  sighting: (now: number) => ServerObservation | undefined
  tick: (now: number) => void
  close: (reason: string) => void
}

/** Statements that it takes to bring a connection to the session's values. */
function distance (held: ReadonlyMap<string, string>, wanted: ReadonlyMap<string, string>): number {
  const strange = [...held.keys()].some(name => !wanted.has(name))
  const missing = [...wanted].filter(([name, value]) => strange || held.get(name) !== value).length
  return missing + (strange ? 1 : 0)
}

export function createServerPool (options: ServerPoolOptions): ServerPool {
  const { clock, logger } = options
  let { server } = options
  const pooled: Pooled[] = []
  let opening = 0
  let concurrency = createConcurrencyLimit(ASSUMED_ANSWER_MILLISECONDS, clock.now())
  let answeredAt = -Infinity
  let failingSince: number | undefined
  let fullUntil = -Infinity
  let triedAt = -Infinity
  let trying = false
  let closed = false
  let lag = UNKNOWN_LAG
  let lacks: { position: LogPosition, until: number, pause: number } | undefined

  function bounds (): ConcurrencyBounds {
    return { minimum: Math.max(1, Math.ceil(server.slots / options.instances())), maximum: options.budget().maximum }
  }

  function total (): number {
    return pooled.length + opening
  }

  function noteBytes (): void {
    answeredAt = clock.now()
    failingSince = undefined
  }

  function noteFailure (since: number, reason: string): void {
    if (closed || (failingSince === undefined && answeredAt > since)) return
    const first = failingSince === undefined
    failingSince ??= since
    if (first) options.onFailing(reason)
  }

  function forget (connection: ServerConnection): void {
    const place = pooled.findIndex(entry => entry.connection === connection)
    if (place !== -1) pooled.splice(place, 1)
    options.onChange()
  }

  /** The idle connection that was used longest ago. */
  function oldestIdle (): Pooled | undefined {
    return pooled.filter(({ lent }) => !lent).reduce<Pooled | undefined>((oldest, entry) => oldest === undefined || entry.connection.lastUsedAt() < oldest.connection.lastUsedAt() ? entry : oldest, undefined)
  }

  function connectionState (account: string, now: number): ConnectionState {
    if (pooled.some(entry => !entry.lent && entry.connection.account === account)) return 'match'
    if (now < fullUntil) return 'none'
    const idle = pooled.some(({ lent }) => !lent)
    return idle || total() < options.budget().maximum ? 'spare' : 'none'
  }

  async function open (account: string): Promise<ServerConnection> {
    if (total() >= options.budget().maximum) oldestIdle()?.connection.close('its place is needed for another client account')
    opening += 1
    const since = clock.now()
    try {
      const opened: { connection?: ServerConnection } = {}
      const connection = await openServerConnection({
        server,
        account,
        codec: options.codec(),
        clock,
        onBytes: noteBytes,
        onClose: (reason, lost) => {
          // One that never stood is spoken of by the error of opening it.
          if (opened.connection === undefined) return
          forget(opened.connection)
          if (lost && pooled.length === 0) noteFailure(clock.now(), reason)
        }
      })
      opened.connection = connection
      noteBytes()
      if (closed) connection.close('the server is no longer used')
      else pooled.push({ connection, lent: true, primaryWork: false })
      return connection
    } catch (error) {
      const failure = error instanceof OpenError ? error.failure : 'refused'
      const unreachable = failure === 'refused' || failure === 'no answer'
      fullUntil = clock.now() + (unreachable ? RETRY_MILLISECONDS : FULL_MILLISECONDS)
      // A network that refuses new connections may leave the open ones alone.
      if (unreachable && pooled.length === 0) noteFailure(since, (error as Error).message)
      logger.warn('A connection to a backend server was not opened.', { member: server.member, account, failure, reason: (error as Error).message, connections: pooled.length })
      throw error
    } finally {
      opening -= 1
      options.onChange()
    }
  }

  async function tryAddress (since: number): Promise<void> {
    if (trying) return
    trying = true
    triedAt = clock.now()
    const reached = await reaches(server)
    trying = false
    if (closed) return
    if (reached) {
      noteBytes()
      options.onChange()
      return
    }
    noteFailure(since, 'its address does not answer')
    for (const { connection } of [...pooled]) connection.close('the server does not answer')
  }

  /** When the oldest statement was sent that nothing has been heard of. */
  function silentSince (): number | undefined {
    const oldest = Math.min(...pooled.map(({ connection }) => connection.runningSince() ?? Infinity))
    return oldest === Infinity ? undefined : Math.max(oldest, answeredAt)
  }

  function closeSurplus (now: number): void {
    if (total() <= options.budget().idle) return
    const oldest = oldestIdle()
    if (oldest !== undefined && now - oldest.connection.lastUsedAt() > SURPLUS_IDLE_MILLISECONDS) oldest.connection.close('other instances may need its place')
  }

  return {
    server: () => server,
    update: next => {
      const moved = next.bornAt !== server.bornAt || next.host !== server.host || next.port !== server.port
      server = next
      if (moved) for (const { connection } of [...pooled]) connection.close('the server started again')
      if (next.leaving) for (const { connection, lent } of [...pooled]) if (!lent) connection.close('the server leaves')
    },
    load: (account, now, primary) => ({
      member: server.member,
      isPrimary: server.member === primary,
      slots: server.slots,
      outstanding: pooled.filter(({ connection }) => connection.runningSince() !== undefined).length + opening,
      allowed: computeAllowedStatements(concurrency, bounds()),
      averageMilliseconds: concurrency.averageMilliseconds,
      answeredAt,
      failing: failingSince !== undefined,
      leaving: server.leaving,
      connection: connectionState(account, now),
      missing: lacks,
      lag
    }),
    takeIdle: (account, values) => {
      const idle = pooled.filter(entry => !entry.lent && entry.connection.account === account)
      let best: Pooled | undefined
      for (const entry of idle) {
        if (best === undefined || distance(entry.connection.values, values) < distance(best.connection.values, values)) best = entry
      }
      if (best === undefined) return undefined
      best.lent = true
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
      entry.lent = false
      entry.primaryWork = false
      if (!clean || server.leaving) connection.close(clean ? 'the server leaves' : 'its state is not known')
      else options.onChange()
    },
    recordTime: milliseconds => {
      const now = clock.now()
      concurrency = recordAnswer(concurrency, milliseconds, bounds(), now)
      if (lacks !== undefined && lacks.until < now) lacks = undefined
      options.onChange()
    },
    recordRefusal: () => { concurrency = recordRefusal(concurrency, bounds(), clock.now()) },
    recordPosition: (history, position) => { lag = recordReplicaPosition(lag, history, position, clock.now()) },
    recordLack: ({ position, reachedAt: since }) => {
      lag = recordMissingPosition(lag, since, clock.now())
      const again = lacks !== undefined && clock.now() < lacks.until + lacks.pause
      const pause = again && lacks !== undefined ? Math.min(LACK_MILLISECONDS_AT_MOST, lacks.pause * 2) : LACK_MILLISECONDS
      lacks = { position, until: clock.now() + pause, pause }
    },
    suspectIdle: since => {
      for (const { connection, lent } of [...pooled]) if (!lent && connection.lastUsedAt() <= since) connection.close('another connection to the server went silent')
    },
    hasPrimaryWork: () => pooled.some(({ lent, primaryWork }) => lent && primaryWork),
    endPrimaryWork: reason => { for (const { connection, primaryWork } of [...pooled]) if (primaryWork) connection.close(reason) },
    sighting: now => {
      if (failingSince === undefined && answeredAt === -Infinity) return undefined
      return {
        ...(answeredAt === -Infinity ? {} : { answeredAgo: Math.round(now - answeredAt) }),
        ...(failingSince === undefined ? {} : { failingFor: Math.round(now - failingSince) })
      }
    },
    tick: now => {
      closeSurplus(now)
      if (failingSince !== undefined) {
        if (now - triedAt > RETRY_MILLISECONDS) void tryAddress(failingSince)
        return
      }
      const silent = silentSince()
      if (silent !== undefined && now - silent > SILENCE_MILLISECONDS && now - triedAt > RETRY_MILLISECONDS) void tryAddress(silent)
    },
    close: reason => {
      closed = true
      for (const { connection } of [...pooled]) connection.close(reason)
    }
  }
}
