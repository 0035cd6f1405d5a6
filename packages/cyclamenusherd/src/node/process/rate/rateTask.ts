/**
 * Enforces the rate and burst of accounts at this instance: runs the rate agent,
 * and calls other entry instances and the voters for it. A request waits no longer
 * than the settings allow.
 */

import { randomUUID } from 'node:crypto'
import { MandateService, RateService, createPeerClient } from '@cyclamenusher/protocol'
import { DEFAULT_RATE_POLICY, createRateAgent } from '@cyclamenusher/decisions'
import type { Client, ConnectRouter } from '@connectrpc/connect'
import type { AccountKind, BucketLimits, RateEffect, RatePolicy, RateView } from '@cyclamenusher/decisions'
import type { GrantRequest, PeerCredentials } from '@cyclamenusher/protocol'
import type { RulesStore } from '../../version/rulesStore.js'
import type { Clock } from '../clock.js'
import type { Address } from '../address.js'
import type { Config } from '../config.js'
import type { ScopedLogger } from '../logger.js'
import type { Peer } from '../rulesWatcher.js'

/** Interval at which the agent handles waiting requests, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 10
/** Time limit for a request to a voter, in milliseconds. */
const MANDATE_CALL_TIMEOUT_MILLISECONDS = 1_000
/** Longest name in a call, in characters. */
const MAXIMUM_NAME_CHARACTERS = 256
/** Time after which an instance is ready even without its seats, in milliseconds. */
const READY_TIMEOUT_MILLISECONDS = 5_000

export interface RateTask {
  /** Takes a token of the account; resolves to false if the account is over its rate. */
  takeToken: (kind: AccountKind, account: string) => Promise<boolean>
  routes: (connect: ConnectRouter) => void
  /** Whether this instance holds the seats that it should hold, or has waited long enough for them. */
  isReady: () => boolean
  /** Releases the seats of this instance; resolves when each voter has answered or its call has failed. */
  release: () => Promise<void>
  close: () => void
}

export interface RateTaskOptions {
  config: Config
  store: RulesStore
  /** Instances that recently contacted control; the same array as long as nothing changes. */
  peers: () => readonly Peer[]
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
}

export function createRateTask (options: RateTaskOptions): RateTask {
  const { config, store, peers, credentials, clock, logger } = options
  const { name, failureDomain } = config.instance
  const policy: RatePolicy = { ...DEFAULT_RATE_POLICY, waitMilliseconds: config.rates.waitMilliseconds, mandateMilliseconds: config.rates.mandateMilliseconds }
  const voters = config.control.addresses.map(({ host, port }) => `${host}:${port}`)
  const domainVoter = config.control.domainAddress
  const openVoters = domainVoter === undefined ? voters : [`${domainVoter.host}:${domainVoter.port}`]
  const viewLists = createViewCache(name, failureDomain, peers, store)
  const agent = createRateAgent({
    name,
    failureDomain,
    incarnation: randomUUID(),
    policy,
    view: (): RateView => {
      const { entries, domains } = viewLists()
      return {
        entries,
        domains,
        limitsOf: (kind, account) => findLimits(store, kind, account),
        // Open routes keep working in an isolated failure domain, where the rules are not fresh.
        mayLend: kind => kind === 'open' || store.isFresh(),
        voters: kind => kind === 'open' && domains.length > 0 ? openVoters : voters,
        // If this failure domain has no voter of its own, a majority promises every share.
        openShares: domainVoter === undefined ? undefined : voters.length
      }
    }
  })
  const clients = new Map<string, Client<typeof RateService>>()
  const voterClients = new Map(config.control.addresses.map(address => [`${address.host}:${address.port}`, createVoterClient(address)]))
  const pendingRequests = new Map<number, (admitted: boolean) => void>()
  const startedAt = clock.now()
  let nextTicket = 1
  let reportedSeats = ''

  function createVoterClient ({ host, port }: Address): Client<typeof MandateService> {
    return createPeerClient(MandateService, host, port, credentials)
  }

  function getLenderClient (lender: string): Client<typeof RateService> | undefined {
    const peer = peers().find(candidate => candidate.name === lender && candidate.role === 'entry')
    if (peer === undefined) return undefined
    const address = `${peer.host}:${peer.port}`
    const client = clients.get(address) ?? createPeerClient(RateService, peer.host, peer.port, credentials)
    clients.set(address, client)
    return client
  }

  function removeStaleClients (): void {
    const currentAddresses = new Set(peers().map(({ host, port }) => `${host}:${port}`))
    for (const address of clients.keys()) if (!currentAddresses.has(address)) clients.delete(address)
  }

  function resolveRequest (ticket: number, admitted: boolean): void {
    pendingRequests.get(ticket)?.(admitted)
    pendingRequests.delete(ticket)
  }

  type EffectHandlers = { [Kind in RateEffect['kind']]: (effect: Extract<RateEffect, { kind: Kind }>) => void }
  const EFFECT_HANDLERS: EffectHandlers = {
    admit: ({ ticket }) => { resolveRequest(ticket, true) },
    refuse: ({ ticket }) => { resolveRequest(ticket, false) },
    ask: effect => { void requestLoan(effect) },
    seek: effect => { void requestSeats(effect) }
  }

  function performEffects (effects: readonly RateEffect[]): void {
    for (const effect of effects) {
      const handle = EFFECT_HANDLERS[effect.kind] as (effect: RateEffect) => void
      handle(effect)
    }
  }

  async function requestLoan ({ lender, account, accountKind, request }: Extract<RateEffect, { kind: 'ask' }>): Promise<void> {
    const { borrower, number, settled, wanted } = request
    try {
      const reply = await getLenderClient(lender)?.grant(
        { account, borrower, requestNumber: BigInt(number), settled: BigInt(settled), wanted, open: accountKind === 'open' },
        // A late answer still brings tokens, as long as the loan has not expired.
        { timeoutMs: policy.loanMilliseconds }
      )
      if (reply === undefined) return
      performEffects(agent.receiveLoan(accountKind, account, lender, number, reply.home ? reply.granted : undefined, clock.now()))
    } catch (error) {
      // If an answer was lost, its tokens are lost too; the agent asks again.
      logger.debug('A request for tokens failed.', { lender, account, error: (error as Error).message })
    }
  }

  async function requestSeats ({ voter, round, request }: Extract<RateEffect, { kind: 'seek' }>): Promise<void> {
    try {
      const reply = await voterClients.get(voter)?.mandate({ ...request, seats: [...request.seats], released: [...request.released] }, { timeoutMs: MANDATE_CALL_TIMEOUT_MILLISECONDS })
      if (reply !== undefined) agent.receivePromise(voter, round, reply.promised, clock.now())
    } catch (error) {
      logger.debug('A request for seats failed.', { voter, error: (error as Error).message })
    }
  }

  function tick (): void {
    performEffects(agent.tick(clock.now()))
    const seatCount = agent.seats(clock.now()).length
    if (String(seatCount) === reportedSeats) return
    reportedSeats = String(seatCount)
    removeStaleClients()
    logger.info('The number of seats that this instance holds changed.', { seats: seatCount })
  }

  const timer = setInterval(tick, TICK_INTERVAL_MILLISECONDS)

  async function takeToken (kind: AccountKind, account: string): Promise<boolean> {
    const ticket = nextTicket
    nextTicket += 1
    return await new Promise<boolean>(resolve => {
      pendingRequests.set(ticket, resolve)
      performEffects(agent.requestToken(kind, account, ticket, clock.now()))
    })
  }

  function grant (request: GrantRequest): { granted: number, validMilliseconds: number, home: boolean } {
    const { account, borrower, requestNumber, settled, wanted, open } = request
    const valid = account.length <= MAXIMUM_NAME_CHARACTERS && borrower.length <= MAXIMUM_NAME_CHARACTERS && Number.isFinite(wanted)
    const kind = open ? 'open' : 'keyed'
    if (!valid || findLimits(store, kind, account) === undefined) return { granted: 0, validMilliseconds: 0, home: false }
    const tokens = agent.lend(kind, account, { borrower, number: Number(requestNumber), settled: Number(settled), wanted }, clock.now())
    return { granted: tokens ?? 0, validMilliseconds: policy.loanMilliseconds, home: tokens !== undefined }
  }

  return {
    takeToken,
    routes: connect => { connect.service(RateService, { grant }) },
    isReady: () => agent.holdsWantedSeats(clock.now()) || clock.now() - startedAt > READY_TIMEOUT_MILLISECONDS,
    release: async () => {
      clearInterval(timer)
      await Promise.all(agent.release(clock.now()).map(async effect => { if (effect.kind === 'seek') await requestSeats(effect) }))
    },
    close: () => {
      clearInterval(timer)
      for (const ticket of [...pendingRequests.keys()]) resolveRequest(ticket, false)
    }
  }
}

function findLimits (store: RulesStore, kind: AccountKind, account: string): BucketLimits | undefined {
  return kind === 'open' ? store.open(account) : store.rules().accounts.get(account)
}

/** Caches the lists of the view; rebuilds them only if the peers or the rules have changed. */
function createViewCache (name: string, failureDomain: string, peers: () => readonly Peer[], store: RulesStore): () => Pick<RateView, 'entries' | 'domains'> {
  let source: { peers: readonly Peer[], number: number } | undefined
  let cached: Pick<RateView, 'entries' | 'domains'> = { entries: [], domains: [] }
  return () => {
    const current = { peers: peers(), number: store.number() }
    if (source?.peers === current.peers && source.number === current.number) return cached
    source = current
    const others = current.peers.filter(peer => peer.role === 'entry' && peer.name !== name)
    cached = {
      entries: [{ name, failureDomain }, ...others.map(peer => ({ name: peer.name, failureDomain: peer.failureDomain }))],
      domains: [...store.rules().failure_domains.keys()].sort()
    }
    return cached
  }
}
