/** Accepts callers' connections, and ends those whose key is no longer valid. */

import { createServer } from 'node:net'
import { randomInt } from 'node:crypto'
import { createCallerConnection } from '../connection/callerConnection.js'
import { createInputBudget } from '../connection/callerInput.js'
import { createCallerTlsContext, performHandshake } from '../connection/callerHandshake.js'
import { REFUSAL_CODES, RefusalError, buildRefusalResponse } from '../request/refusal.js'
import { OPEN_ACCOUNT, requireOpenRoute } from './admission.js'
import type { Server, Socket } from 'node:net'
import type { CallerConnection, CallerServices } from '../connection/callerConnection.js'
import type { CallerStartup } from '../connection/callerHandshake.js'
import type { Identity, RulesStore } from '../version/rulesStore.js'
import type { Config } from './config.js'
import type { LimitReport } from './limits.js'
import type { ScopedLogger } from './logger.js'
import type { Metrics } from './metrics.js'

/** Interval at which the keys of connected callers are checked, in milliseconds. */
const KEY_CHECK_INTERVAL_MILLISECONDS = 250
/** Interval at which a shutdown checks whether all callers have disconnected, in milliseconds. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 20

export interface Callers {
  port: number
  /** Connections whose handshake is complete. */
  count: () => number
  /** Connections whose handshake is not complete. */
  pendingHandshakes: () => number
  /**
   * Stops accepting, ends idle callers, and ends busy ones as they finish. Callers
   * still busy after `milliseconds` are ended at once, and counted in `cut`.
   */
  drain: (milliseconds: number) => Promise<{ cut: number }>
  close: () => void
}

export interface CallersOptions {
  config: Config
  store: RulesStore
  services: CallerServices
  logger: ScopedLogger
  metrics: Metrics
  /** @default undefined - limits that were met are not reported */
  report?: LimitReport['report']
}

export async function listenForCallers (options: CallersOptions): Promise<Callers> {
  const { config, store, services, logger, metrics, report = () => {} } = options
  const { tlsCertificate, tlsKey, listen, maximumConnections } = config.callers
  const context = createCallerTlsContext(tlsCertificate === undefined || tlsKey === undefined ? undefined : { certificate: tlsCertificate, key: tlsKey })
  const callers = new Map<number, { caller: CallerConnection, secret: number }>()
  const inputBudget = createInputBudget(config.callers.maximumInputBytes)
  /** Connections without a complete handshake, in the order in which they came, and when. */
  const handshakingSockets = new Map<Socket, number>()
  let nextProcessNumber = 1
  let draining = false

  function identify ({ user, database }: CallerStartup, key: string | undefined): Identity {
    if (key === undefined) {
      requireOpenRoute(store, 'database unknown', database)
      return { account: OPEN_ACCOUNT }
    }
    if (!store.isFresh()) throw new RefusalError('rules not fresh', 'this instance can\'t tell whether the key stands', 'not run', 'Connect through another instance, or try again.')
    const identity = store.identify(user, key)
    // An unknown account and a wrong key get the same answer, so that account names can't be probed.
    if (identity === undefined) throw new RefusalError('key refused', `the key does not stand for client account ${user}`, 'not run', 'Check the account (user) and its key (password).')
    if (!store.rules().databases.has(database) || store.access(user, database) === undefined) throw new RefusalError('database unknown', `client account ${user} reaches no database ${database}`, 'not run', 'Check the database\'s name, or ask the operators for an access rule.')
    return identity
  }

  function recordRefusal (error: RefusalError, account?: string, database?: string): void {
    const code = REFUSAL_CODES[error.kind]
    metrics.refusals.inc({ code })
    logger.info('A request was refused.', { account, database, code, reason: error.message, ran: error.runState })
  }

  /** Closes the oldest connection without a complete handshake, if it is older than the grace, so that silent ones do not keep out callers. */
  function closeOldestHandshake (): boolean {
    const [oldest] = handshakingSockets
    if (oldest === undefined) return false
    const [socket, since] = oldest
    if (services.now() - since < config.callers.handshakeGraceMilliseconds) return false
    handshakingSockets.delete(socket)
    socket.destroy()
    report('handshakes', { maximum: maximumConnections })
    return true
  }

  async function accept (plainSocket: Socket): Promise<void> {
    plainSocket.setNoDelay(true)
    plainSocket.on('error', () => { plainSocket.destroy() })
    if (callers.size + handshakingSockets.size >= maximumConnections && !closeOldestHandshake()) {
      report('connections', { maximum: maximumConnections })
      // Does not wait for the handshake: a flood of connections must not hold resources.
      plainSocket.resume()
      plainSocket.write(buildRefusalResponse(new RefusalError('too many connections', `this instance serves ${maximumConnections} callers already`, 'not run', 'Connect again: the balancer may choose another instance.'), 'FATAL'))
      plainSocket.destroySoon()
      return
    }
    handshakingSockets.set(plainSocket, services.now())
    const handshake = await performHandshake(plainSocket, context, {
      milliseconds: config.callers.handshakeMilliseconds,
      refused: error => { recordRefusal(error) },
      onTimeout: () => { report('first message time', { client: plainSocket.remoteAddress }) },
      needsKey: ({ user }) => user !== OPEN_ACCOUNT,
      accept: identify,
      cancelRequest: (processNumber, secret) => {
        const target = callers.get(processNumber)
        if (target !== undefined && target.secret === secret) target.caller.cancel()
      }
    })
    handshakingSockets.delete(plainSocket)
    if (handshake === undefined) return
    const { socket, startup, accepted: identity, remaining } = handshake
    const processNumber = nextProcessNumber
    nextProcessNumber += 1
    const secret = randomInt(0xffffffff)
    let closed = false
    const caller = createCallerConnection({
      socket,
      identity,
      database: startup.database,
      parameters: startup.parameters,
      processNumber,
      secret,
      remaining,
      services,
      inputBudget,
      limits: config.callers,
      onLimit: limit => { report(limit, { client: socket.remoteAddress, account: identity.account }) },
      idleTransactionMilliseconds: config.callers.idleTransactionMilliseconds,
      onRefused: error => { recordRefusal(error, identity.account, startup.database) },
      onClosed: () => {
        closed = true
        callers.delete(processNumber)
        metrics.callers.set(callers.size)
      }
    })
    if (closed || caller === undefined) return
    callers.set(processNumber, { caller, secret })
    if (draining) caller.drain()
    metrics.callers.set(callers.size)
    logger.debug('A caller connected.', { account: identity.account, database: startup.database })
  }

  /** Returns the reason why a caller must be disconnected now; undefined if it may stay. */
  function findKeyProblem (caller: CallerConnection, rulesFresh: boolean): RefusalError | undefined {
    const { identity } = caller
    if (identity.key === undefined) return undefined
    if (!store.isValid(identity)) return new RefusalError('key refused', `the key of client account ${identity.account} is no longer valid`, 'stopped')
    // An idle caller may stay: its next request is refused unless the rules are fresh again by then.
    if (rulesFresh || !caller.isBusy()) return undefined
    return new RefusalError('rules not fresh', 'this instance can no longer tell whether the key stands', 'stopped', 'Connect through another failure domain, or try again.')
  }

  /** Ends callers whose key was withdrawn, and busy ones whose key can't be checked because the rules are stale. */
  function checkKeys (): void {
    const rulesFresh = store.isFresh()
    for (const { caller } of callers.values()) {
      const problem = findKeyProblem(caller, rulesFresh)
      if (problem === undefined) continue
      logger.info('A caller was disconnected.', { account: caller.identity.account, key: caller.identity.key, reason: problem.message })
      caller.closeWithError(problem)
    }
  }

  const server: Server = createServer(socket => {
    accept(socket).catch((error: Error) => {
      logger.error('A connection of a caller could not be accepted.', { error: error.message })
      socket.destroy()
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, 1024, resolve)
  })
  const subscription = store.versions.observe(checkKeys)
  subscription.catch(() => {})
  const timer = setInterval(checkKeys, KEY_CHECK_INTERVAL_MILLISECONDS)
  const address = server.address()

  /** Ends and logs every remaining caller; returns how many there were. */
  function endRemaining (): number {
    const remaining = [...callers.values()]
    for (const { caller } of remaining) {
      logger.warn('A caller was cut off by the shutdown.', { account: caller.identity.account, busy: caller.isBusy() })
      caller.closeWithError(new RefusalError('shutting down', 'this instance is shutting down and can wait no longer', 'stopped'))
    }
    return remaining.length
  }

  async function drain (milliseconds: number): Promise<{ cut: number }> {
    draining = true
    server.close()
    for (const { caller } of callers.values()) caller.drain()
    const deadline = services.now() + milliseconds
    while (callers.size + handshakingSockets.size > 0 && services.now() < deadline) await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_INTERVAL_MILLISECONDS))
    return { cut: endRemaining() }
  }

  return {
    port: typeof address === 'object' && address !== null ? address.port : listen.port,
    count: () => callers.size,
    pendingHandshakes: () => handshakingSockets.size,
    drain,
    close: () => {
      clearInterval(timer)
      server.close()
      endRemaining()
      for (const socket of handshakingSockets.keys()) socket.destroy()
    }
  }
}
