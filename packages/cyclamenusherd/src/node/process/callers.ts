/** All callers of this instance: accepts them, and ends those whose key is gone. */

import { createServer } from 'node:net'
import { randomInt } from 'node:crypto'
import { createCallerConnection } from '../connection/callerConnection.js'
import { createInputBudget } from '../connection/callerInput.js'
import { createCallerContext, shakeHands } from '../connection/callerHandshake.js'
import { REFUSAL_CODES, RefusalError, buildRefusalResponse } from '../request/refusal.js'
import { OPEN_ACCOUNT } from './admission.js'
import type { Server, Socket } from 'node:net'
import type { CallerConnection, CallerServices } from '../connection/callerConnection.js'
import type { CallerStartup } from '../connection/callerHandshake.js'
import type { Identity, RulesStore } from '../version/rulesStore.js'
import type { Config } from './config.js'
import type { ScopedLogger } from './logger.js'
import type { Metrics } from './metrics.js'

/** How often keys of connected callers are looked at, in milliseconds. */
const KEY_CHECK_MILLISECONDS = 250
/** How often a shutdown looks whether all callers are gone, in milliseconds. */
const DRAIN_CHECK_MILLISECONDS = 20

export interface Callers {
  port: number
  count: () => number
  /** Connections that have not shown their key yet. */
  greeting: () => number
  /** Ends idle callers, and busy ones as they finish; resolves when all are gone. */
  drain: (milliseconds: number) => Promise<{ cut: number }>
  close: () => void
}

export interface CallersOptions {
  config: Config
  store: RulesStore
  services: CallerServices
  logger: ScopedLogger
  metrics: Metrics
}

interface Accepted {
  identity: Identity
  group: string
}

export async function listenForCallers (options: CallersOptions): Promise<Callers> {
  const { config, store, services, logger, metrics } = options
  const { tlsCertificate, tlsKey, listen, maximumConnections } = config.callers
  const context = createCallerContext(tlsCertificate === undefined || tlsKey === undefined ? undefined : { certificate: tlsCertificate, key: tlsKey })
  const callers = new Map<number, { caller: CallerConnection, secret: number }>()
  const inputBudget = createInputBudget(config.callers.maximumInputBytes)
  const greeting = new Set<Socket>()
  let nextProcessNumber = 1
  let draining = false

  function identify ({ user, database }: CallerStartup, key: string | undefined): Accepted {
    const rule = store.rules().databases.get(database)
    if (key === undefined) {
      if (rule === undefined || store.open(database) === undefined) throw new RefusalError('database unknown', `database ${database} is not open to all`, 'not run', 'Connect with an account and its key.')
      return { identity: { account: OPEN_ACCOUNT }, group: rule.group }
    }
    if (!store.isFresh()) throw new RefusalError('rules not fresh', 'this instance can\'t tell whether the key stands', 'not run', 'Connect through another instance, or try again.')
    const identity = store.identify(user, key)
    // One answer for an unknown account and a wrong key: neither is given away.
    if (identity === undefined) throw new RefusalError('key refused', `the key does not stand for client account ${user}`, 'not run', 'Check the account (user) and its key (password).')
    if (rule === undefined || store.access(user, database) === undefined) throw new RefusalError('database unknown', `client account ${user} reaches no database ${database}`, 'not run', 'Check the database\'s name, or ask the operators for an access rule.')
    return { identity, group: rule.group }
  }

  function recordRefusal (error: RefusalError, account?: string, database?: string): void {
    const code = REFUSAL_CODES[error.kind]
    metrics.refusals.inc({ code })
    logger.info('A request was refused.', { account, database, code, reason: error.message, ran: error.runState })
  }

  async function accept (plain: Socket): Promise<void> {
    plain.setNoDelay(true)
    plain.on('error', () => { plain.destroy() })
    if (callers.size + greeting.size >= maximumConnections) {
      // Whoever floods is not waited for.
      plain.resume()
      plain.write(buildRefusalResponse(new RefusalError('too many connections', `this instance serves ${maximumConnections} callers already`, 'not run', 'Connect again: the balancer may choose another instance.'), 'FATAL'))
      plain.destroySoon()
      return
    }
    greeting.add(plain)
    const shaken = await shakeHands(plain, context, {
      milliseconds: config.callers.handshakeMilliseconds,
      refused: error => { recordRefusal(error) },
      needsKey: ({ user }) => user !== OPEN_ACCOUNT,
      accept: identify,
      cancel: (processNumber, secret) => {
        const target = callers.get(processNumber)
        if (target !== undefined && target.secret === secret) target.caller.cancel()
      }
    })
    greeting.delete(plain)
    if (shaken === undefined) return
    const { socket, startup, accepted, rest } = shaken
    const processNumber = nextProcessNumber
    nextProcessNumber += 1
    const secret = randomInt(0xffffffff)
    let closed = false
    const caller = createCallerConnection({
      socket,
      identity: accepted.identity,
      database: startup.database,
      group: accepted.group,
      parameters: startup.parameters,
      processNumber,
      secret,
      rest,
      services,
      inputBudget,
      idleTransactionMilliseconds: config.callers.idleTransactionMilliseconds,
      onRefused: error => { recordRefusal(error, accepted.identity.account, startup.database) },
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
    logger.debug('A caller connected.', { account: accepted.identity.account, database: startup.database })
  }

  /** Why a caller must go now, if it must. */
  function keyProblem (caller: CallerConnection, fresh: boolean): RefusalError | undefined {
    const { identity } = caller
    if (identity.key === undefined) return undefined
    if (!store.isValid(identity)) return new RefusalError('key refused', `the key of client account ${identity.account} is no longer valid`, 'stopped')
    // An idle caller may stay: its next request is refused, or served once the rules are fresh again.
    if (fresh || !caller.isBusy()) return undefined
    return new RefusalError('rules not fresh', 'this instance can no longer tell whether the key stands', 'stopped', 'Connect through another failure domain, or try again.')
  }

  /** Ends callers whose key was withdrawn, or can no longer be vouched for. */
  function checkKeys (): void {
    const fresh = store.isFresh()
    for (const { caller } of callers.values()) {
      const problem = keyProblem(caller, fresh)
      if (problem === undefined) continue
      logger.info('A caller was disconnected.', { account: caller.identity.account, key: caller.identity.key, reason: problem.message })
      caller.end(problem)
    }
  }

  const server: Server = createServer(socket => {
    accept(socket).catch((error: Error) => {
      logger.error('A caller could not be taken.', { error: error.message })
      socket.destroy()
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, 1024, resolve)
  })
  const subscription = store.versions.observe(checkKeys)
  subscription.catch(() => {})
  const timer = setInterval(checkKeys, KEY_CHECK_MILLISECONDS)
  const address = server.address()

  /** Ends every caller that is left, and says which. */
  function cutAll (): number {
    const left = [...callers.values()]
    for (const { caller } of left) {
      logger.warn('A caller was cut off by the shutdown.', { account: caller.identity.account, busy: caller.isBusy() })
      caller.end(new RefusalError('shutting down', 'this instance is shutting down and can wait no longer', 'stopped'))
    }
    return left.length
  }

  async function drain (milliseconds: number): Promise<{ cut: number }> {
    draining = true
    server.close()
    for (const { caller } of callers.values()) caller.drain()
    const until = services.now() + milliseconds
    while (callers.size + greeting.size > 0 && services.now() < until) await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MILLISECONDS))
    return { cut: cutAll() }
  }

  return {
    port: typeof address === 'object' && address !== null ? address.port : listen.port,
    count: () => callers.size,
    greeting: () => greeting.size,
    drain,
    close: () => {
      clearInterval(timer)
      server.close()
      cutAll()
      for (const socket of greeting) socket.destroy()
    }
  }
}
