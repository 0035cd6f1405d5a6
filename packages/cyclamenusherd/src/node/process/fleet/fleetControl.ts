/**
 * Control of a fleet that is configured by versioned documents. Every control
 * instance accepts declarations and announcements, and forwards them to the leader.
 */

import { FleetService, createPeerLink } from '@cyclamenusher/protocol'
import { Code, ConnectError } from '@connectrpc/connect'
import { INITIAL_FLEET_STATE, applyFleetCommand, decodeFleetState, encodeFleetState, isServerName } from '@cyclamenusher/decisions'
import { decodeBody, encodeBody } from './bodies.js'
import { createHeldRequests } from '../heldRequests.js'
import { checkFields, isFlag } from '../messageFields.js'
import { checkLoan, createFleetStreams } from './fleetStreams.js'
import { startLeadership } from './leadership.js'
import { createRenewalReader } from './renewalFields.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { BorrowReply, BorrowRequest, Declaration, DeclarationDocument, FleetCommand, FleetOutcome, FleetState, LogMember, RateTolerance, RenewReply, RenewRequest, ServerAnnouncement, WarmupTolerance } from '@cyclamenusher/decisions'
import type { PeerCredentials, PeerLink, StreamRoutes } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { ConsensusLog } from '../control/consensusLog.js'
import type { StateMachine } from '../control/replicatedLog.js'
import type { ScopedLogger } from '../logger.js'
import type { Leadership } from './leadership.js'
import type { PromotionPort, ServerAdministration } from './ports.js'

/** Timeout of a call that is forwarded to the leader, in milliseconds: less than the second that callers wait. */
const FORWARD_TIMEOUT_MILLISECONDS = 800
/** How long a renewal is held while no leader is known, in milliseconds: shorter than an entry instance waits for an answer. */
const LEADER_WAIT_MILLISECONDS = 200
/** Interval between two checks whether this instance leads, in milliseconds. */
const LEADERSHIP_CHECK_INTERVAL_MILLISECONDS = 50

/** Outcome of a declaration. */
export type DeclareOutcome =
  /** The declaration is in force, or replaced by a higher version. */
  | 'held'
  /** The outcome is not known; the declaration must be sent again. */
  | 'unknown'

/** Outcome of an order to drain or to restore a failure domain. */
export type DrainOutcome =
  /** The log holds the order. */
  | 'held'
  | 'no such failure domain'
  /** The outcome is not known; the order must be sent again. */
  | 'unknown'

export interface DrainOrder {
  failureDomain: string
  drained: boolean
}

export interface FailureDomainStatus {
  name: string
  drained: boolean
}

/** An announcement of a server, or the notice that a server is gone; `bornAt` is the start time of the server's process. */
export type ServerNotice =
  | { kind: 'announced', announcement: ServerAnnouncement }
  | { kind: 'gone', member: string, bornAt?: number }

export interface FleetControl {
  stateMachine: StateMachine<FleetCommand, FleetOutcome>
  /** Connects the log that replicates the state machine. */
  attach: (log: ConsensusLog<FleetCommand, FleetOutcome>) => void
  routes: (router: ConnectRouter) => void
  /** Message streams that this instance accepts. */
  streams: StreamRoutes
  declare: (document: DeclarationDocument) => Promise<DeclareOutcome>
  /** Drains a failure domain, or restores it. */
  drain: (order: DrainOrder) => Promise<DrainOutcome>
  /** Reads the newest declaration, confirmed with a majority after the call. Resolves with undefined if it can't be confirmed. */
  current: () => Promise<{ document: DeclarationDocument | undefined } | undefined>
  /** Delivers a notice to the leader, and resolves with whether the leader received it; that a server is gone, whether the log holds it. */
  notify: (notice: ServerNotice) => Promise<boolean>
  close: () => void
}

export interface FleetControlOptions {
  name: string
  administration: ServerAdministration
  promotion: PromotionPort
  announceIntervalMilliseconds: number
  drainMilliseconds: number
  /** Time after which no statement reaches the servers of a drained failure domain, in milliseconds from the acknowledgement of the order. @default DRAIN_BOUND_MILLISECONDS */
  domainDrainMilliseconds?: number
  /** Failure domains that can be drained before a server has announced itself there. @default none */
  failureDomains?: readonly string[]
  rateTolerance: RateTolerance
  /** How far the declared requests to a cold server may be exceeded. @default DEFAULT_WARMUP_TOLERANCE */
  warmupTolerance?: WarmupTolerance
  decodeDeclaration: (document: DeclarationDocument) => Declaration
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
}

interface LeaderLink {
  address: string
  link: PeerLink<typeof FleetService>
  /** Number of connections that were given up. */
  replaced: number
}

/** Builds the reply that instances of the build before understand. They borrow from control. */
function flattenGrant (reply: RenewReply): unknown {
  if (reply.kind !== 'granted') return reply
  const { shared: { lenders, holders, doubted, ...shared }, warmups, settled, ...own } = reply
  return { ...own, ...shared }
}

/** @throws Error */
function readDrainOrder (value: unknown): DrainOrder {
  return checkFields('drain order', value, { failureDomain: isServerName, drained: isFlag })
}

export function createFleetControl (options: FleetControlOptions): FleetControl {
  const { name, logger, credentials } = options
  let state: FleetState = INITIAL_FLEET_STATE
  let decodedDeclaration: Declaration | undefined
  let log: ConsensusLog<FleetCommand, FleetOutcome> | undefined
  let activeTerm: { term: number, leadership: Leadership } | undefined
  const waitingForLeader = createHeldRequests()
  const readRenewal = createRenewalReader(logger)
  let cachedLink: LeaderLink | undefined

  function adoptState (next: FleetState): void {
    const changed = next.document?.version !== state.document?.version
    logDrainChanges(next)
    state = next
    if (changed) logger.info('A declaration is in force.', { version: next.document?.version })
    activeTerm?.leadership.refresh()
  }

  function logDrainChanges ({ drains }: FleetState): void {
    for (const failureDomain of drains.keys()) if (!state.drains.has(failureDomain)) logger.info('An order to drain a failure domain was accepted.', { failureDomain })
    for (const failureDomain of state.drains.keys()) if (!drains.has(failureDomain)) logger.info('An order to restore a failure domain was accepted.', { failureDomain })
  }

  /** Decodes the document on first use, because a restart replays many versions that are already replaced. */
  function currentDeclaration (): Declaration | undefined {
    const { document } = state
    if (document !== undefined && decodedDeclaration?.version !== document.version) decodedDeclaration = options.decodeDeclaration(document)
    return document === undefined ? undefined : decodedDeclaration
  }

  const stateMachine: StateMachine<FleetCommand, FleetOutcome> = {
    apply: command => {
      const next = applyFleetCommand(state, command)
      if (next.state !== state) adoptState(next.state)
      return next.outcome
    },
    snapshot: () => encodeFleetState(state),
    restore: text => { adoptState(decodeFleetState(text)) }
  }

  function controlAddresses (): Array<{ host: string, port: number }> {
    return (log?.status().members ?? []).map(({ host, port }) => ({ host, port }))
  }

  /** Starts and stops the leader duties as this instance gains and loses leadership. */
  function watchLeadership (): void {
    if (log === undefined) return
    const hasLeaderLease = log.hasLeaderLease()
    const term = log.term()
    if (activeTerm !== undefined && (activeTerm.term !== term || !log.isLeader())) {
      activeTerm.leadership.close()
      activeTerm = undefined
      logger.info('This instance no longer leads the fleet.', { term })
    }
    if (!hasLeaderLease || activeTerm !== undefined) return
    logger.info('This instance leads the fleet.', { term })
    const currentLog = log
    activeTerm = {
      term,
      leadership: startLeadership({
        ...options,
        holder: name,
        term,
        state: () => state,
        declaration: currentDeclaration,
        hasLeaderLease: () => currentLog.hasLeaderLease() && currentLog.term() === term,
        confirmState: currentLog.confirmLeadership,
        controlAddresses,
        propose: currentLog.propose,
        resign: () => {
          logger.warn('Promotions can\'t be ordered from here: this instance gives up leadership.', { term })
          currentLog.resign()
        }
      })
    }
  }

  const timer = setInterval(() => {
    watchLeadership()
    if (knowsLeader()) waitingForLeader.release()
  }, LEADERSHIP_CHECK_INTERVAL_MILLISECONDS)

  function getLeaderLink (): LeaderLink | undefined {
    const leader = log?.leader()
    if (leader === undefined || log?.isLeader() === true) return undefined
    const address = `${leader.host}:${leader.port}`
    if (cachedLink?.address !== address) cachedLink = { address, link: createPeerLink(FleetService, leader.host, leader.port, credentials), replaced: 0 }
    return cachedLink
  }

  /** Calls the leader. Resolves with undefined if no leader is known, or if the call fails. */
  async function callLeader<Answer> (operation: string, call: (link: PeerLink<typeof FleetService>) => Promise<{ body: Uint8Array }>): Promise<Answer | undefined> {
    const leaderLink = getLeaderLink()
    if (leaderLink === undefined) return undefined
    const { replaced } = leaderLink
    try {
      const { body } = await call(leaderLink.link)
      return decodeBody<Answer>(body)
    } catch (error) {
      logger.warn('The leader did not answer.', { what: operation, reason: (error as Error).message })
      // Calls that were made before the connection was replaced say nothing of the next one.
      const isSilent = error instanceof ConnectError && error.code === Code.DeadlineExceeded && leaderLink.replaced === replaced
      if (isSilent) {
        leaderLink.replaced += 1
        leaderLink.link.reconnect()
      }
      return undefined
    }
  }

  async function declareLocally (document: DeclarationDocument): Promise<DeclareOutcome> {
    if (state.document !== undefined && document.version <= state.document.version) return 'held'
    const outcome = await log?.propose({ kind: 'declare', document })
    logger.info('A declaration was proposed.', { version: document.version, outcome: outcome?.kind })
    return outcome?.kind === 'applied' ? 'held' : 'unknown'
  }

  async function readCurrentLocally (): Promise<{ document: DeclarationDocument | undefined } | undefined> {
    return await log?.confirmLeadership() === true ? { document: state.document } : undefined
  }

  function knowsFailureDomain (name: string): boolean {
    const announced = [...state.servers.values()].some(({ failureDomain }) => failureDomain === name)
    return announced || options.failureDomains?.includes(name) === true || state.drains.has(name) || activeTerm?.leadership.knowsFailureDomain(name) === true
  }

  /** Orders are always proposed: the state of an instance that wrongly takes itself for the leader does not show what is in force. */
  async function drainLocally ({ failureDomain, drained }: DrainOrder): Promise<DrainOutcome> {
    if (!knowsFailureDomain(failureDomain)) {
      const isCurrent = activeTerm !== undefined && await log?.confirmLeadership() === true
      if (!isCurrent) return 'unknown'
      if (!knowsFailureDomain(failureDomain)) return 'no such failure domain'
    }
    const outcome = await log?.propose({ kind: 'drain', failureDomain, drained })
    if (outcome?.kind !== 'applied') logger.warn('An order for a failure domain was not confirmed by the log.', { failureDomain, drained, outcome: outcome?.kind })
    return outcome?.kind === 'applied' ? 'held' : 'unknown'
  }

  async function listDomainsLocally (): Promise<FailureDomainStatus[] | undefined> {
    if (await log?.confirmLeadership() !== true) return undefined
    const names = new Set([...options.failureDomains ?? [], ...state.drains.keys(), ...[...state.servers.values()].map(({ failureDomain }) => failureDomain)])
    return [...names].sort().map(name => ({ name, drained: state.drains.has(name) }))
  }

  async function notifyLocally (notice: ServerNotice): Promise<boolean> {
    if (activeTerm === undefined || log?.hasLeaderLease() !== true) return false
    if (notice.kind === 'gone') return await activeTerm.leadership.deregister(notice.member, notice.bornAt)
    return activeTerm.leadership.announce(notice.announcement) !== 'invalid'
  }

  function knowsLeader (): boolean {
    return activeTerm !== undefined || (log?.leader() !== undefined && !log.isLeader())
  }

  /**
   * Waits for a moment until this instance leads or knows who does.
   *
   * Load pattern: all instances return after a loss of power, before a leader is
   * elected, and ask again and again while the election needs the processor.
   */
  async function awaitLeader (): Promise<void> {
    const waitUntil = options.clock.now() + LEADER_WAIT_MILLISECONDS
    while (!knowsLeader() && options.clock.now() < waitUntil) await waitingForLeader.hold(waitUntil - options.clock.now())
  }

  async function renew (request: RenewRequest, signal: AbortSignal): Promise<RenewReply> {
    await awaitLeader()
    const granted = await activeTerm?.leadership.renew(request, signal)
    if (granted !== undefined) return granted
    const leader: LogMember | undefined = log?.leader()
    return { kind: 'not leader', ...(leader === undefined ? {} : { leader: { host: leader.host, port: leader.port } }) }
  }

  function lend (request: BorrowRequest): BorrowReply {
    return activeTerm?.leadership.lend(request) ?? { granted: 0 }
  }

  return {
    stateMachine,
    streams: createFleetStreams({ renew, borrow: lend }, logger),
    attach: attached => { log = attached },
    routes: router => {
      router.service(FleetService, {
        renew: async ({ body }, { signal }) => ({ body: encodeBody(flattenGrant(await renew(readRenewal(decodeBody(body)), signal))) }),
        borrow: ({ body }) => ({ body: encodeBody(lend(checkLoan(decodeBody(body)))) }),
        declare: async ({ body }) => ({ body: encodeBody(log?.isLeader() === true ? await declareLocally(decodeBody(body)) : 'unknown') }),
        drain: async ({ body }) => ({ body: encodeBody(log?.isLeader() === true ? await drainLocally(readDrainOrder(decodeBody(body))) : 'unknown') }),
        domains: async () => ({ body: encodeBody(await listDomainsLocally() ?? null) }),
        current: async () => ({ body: encodeBody(await readCurrentLocally() ?? null) }),
        announce: async ({ body }) => ({ body: encodeBody(await notifyLocally(decodeBody(body))) })
      })
    },
    declare: async document => {
      if (log?.isLeader() === true) return await declareLocally(document)
      return await callLeader<DeclareOutcome>('declare', async ({ client }) => await client.declare({ body: encodeBody(document) }, { timeoutMs: FORWARD_TIMEOUT_MILLISECONDS })) ?? 'unknown'
    },
    drain: async order => {
      if (log?.isLeader() === true) return await drainLocally(order)
      return await callLeader<DrainOutcome>('drain', async ({ client }) => await client.drain({ body: encodeBody(order) }, { timeoutMs: FORWARD_TIMEOUT_MILLISECONDS })) ?? 'unknown'
    },
    current: async () => {
      if (log?.isLeader() === true) return await readCurrentLocally()
      return await callLeader<{ document: DeclarationDocument | undefined } | null>('current', async ({ client }) => await client.current({}, { timeoutMs: FORWARD_TIMEOUT_MILLISECONDS })) ?? undefined
    },
    notify: async notice => {
      if (log?.isLeader() === true) return await notifyLocally(notice)
      return await callLeader<boolean>('announce', async ({ client }) => await client.announce({ body: encodeBody(notice) }, { timeoutMs: FORWARD_TIMEOUT_MILLISECONDS })) ?? false
    },
    close: () => {
      clearInterval(timer)
      waitingForLeader.release()
      activeTerm?.leadership.close()
      cachedLink?.link.reconnect()
    }
  }
}
