/**
 * Control of a fleet that is declared by versioned documents: every control
 * instance takes declarations and announcements, and hands them to the one that
 * leads.
 */

import { FleetService, createPeerLink } from '@cyclamenusher/protocol'
import { Code, ConnectError } from '@connectrpc/connect'
import { INITIAL_FLEET_STATE, applyFleetCommand, decodeFleetState, encodeFleetState } from '@cyclamenusher/decisions'
import { decodeBody, encodeBody } from './bodies.js'
import { startLeadership } from './leadership.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Declaration, DeclarationDocument, FleetCommand, FleetOutcome, FleetState, LogMember, RateTolerance, RenewReply, RenewRequest, ServerAnnouncement } from '@cyclamenusher/decisions'
import type { PeerCredentials, PeerLink } from '@cyclamenusher/protocol'
import type { Clock } from '../clock.js'
import type { ConsensusLog } from '../control/consensusLog.js'
import type { StateMachine } from '../control/replicatedLog.js'
import type { ScopedLogger } from '../logger.js'
import type { Leadership } from './leadership.js'
import type { PromotionPort, ServerAdministration } from './ports.js'

/** Time that the leader has to answer another control instance, in milliseconds: below the second that callers wait. */
const FORWARD_MILLISECONDS = 800
/** Pause between two looks at who leads, in milliseconds. */
const WATCH_MILLISECONDS = 50

/** What became of a declaration. */
export type DeclareOutcome =
  /** In force, or overtaken by a higher version. */
  | 'held'
  /** Nobody can tell yet: it is to be sent again. */
  | 'unknown'

/** An announcement, or the word that a server is gone. */
export type ServerNotice =
  | { kind: 'announced', announcement: ServerAnnouncement }
  | { kind: 'gone', member: string, bornAt?: number }

export interface FleetControl {
  machine: StateMachine<FleetCommand, FleetOutcome>
  attach: (log: ConsensusLog<FleetCommand, FleetOutcome>) => void
  routes: (router: ConnectRouter) => void
  declare: (document: DeclarationDocument) => Promise<DeclareOutcome>
  /** The newest declaration, confirmed after the call; undefined: it can't be confirmed now. */
  current: () => Promise<{ document: DeclarationDocument | undefined } | undefined>
  /** True once the leader has taken the notice. */
  notify: (notice: ServerNotice) => Promise<boolean>
  close: () => void
}

export interface FleetControlOptions {
  name: string
  administration: ServerAdministration
  promotion: PromotionPort
  announceMilliseconds: number
  drainMilliseconds: number
  rateTolerance: RateTolerance
  decodeDeclaration: (document: DeclarationDocument) => Declaration
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
}

export function createFleetControl (options: FleetControlOptions): FleetControl {
  const { name, logger, credentials } = options
  let state: FleetState = INITIAL_FLEET_STATE
  let decoded: Declaration | undefined
  let log: ConsensusLog<FleetCommand, FleetOutcome> | undefined
  let leadership: { term: number, leads: Leadership } | undefined
  let link: { address: string, link: PeerLink<typeof FleetService> } | undefined

  function adopt (next: FleetState): void {
    const changed = next.document?.version !== state.document?.version
    state = next
    if (changed) logger.info('A declaration is in force.', { version: next.document?.version })
    leadership?.leads.refresh()
  }

  /** Decoded once it is asked for: a start passes through many that are overtaken. */
  function currentDeclaration (): Declaration | undefined {
    const { document } = state
    if (document !== undefined && decoded?.version !== document.version) decoded = options.decodeDeclaration(document)
    return document === undefined ? undefined : decoded
  }

  const machine: StateMachine<FleetCommand, FleetOutcome> = {
    apply: command => {
      const next = applyFleetCommand(state, command)
      if (next.state !== state) adopt(next.state)
      return next.outcome
    },
    snapshot: () => encodeFleetState(state),
    restore: text => { adopt(decodeFleetState(text)) }
  }

  function controlAddresses (): Array<{ host: string, port: number }> {
    return (log?.status().members ?? []).map(({ host, port }) => ({ host, port }))
  }

  /** Starts and ends what belongs to one term of leading. */
  function watchLeadership (): void {
    if (log === undefined) return
    const leads = log.hasLeaderLease()
    const term = log.term()
    if (leadership !== undefined && (leadership.term !== term || !log.isLeader())) {
      leadership.leads.close()
      leadership = undefined
      logger.info('This instance no longer leads the fleet.', { term })
    }
    if (!leads || leadership !== undefined) return
    logger.info('This instance leads the fleet.', { term })
    const current = log
    leadership = {
      term,
      leads: startLeadership({
        ...options,
        holder: name,
        term,
        state: () => state,
        declaration: currentDeclaration,
        isLeading: () => current.hasLeaderLease() && current.term() === term,
        control: controlAddresses,
        propose: current.propose,
        resign: () => {
          logger.warn('Promotions can\'t be ordered from here: another instance is to lead.', { term })
          current.resign()
        }
      })
    }
  }

  const timer = setInterval(watchLeadership, WATCH_MILLISECONDS)

  function leaderLink (): PeerLink<typeof FleetService> | undefined {
    const leader = log?.leader()
    if (leader === undefined || log?.isLeader() === true) return undefined
    const address = `${leader.host}:${leader.port}`
    if (link?.address !== address) link = { address, link: createPeerLink(FleetService, leader.host, leader.port, credentials) }
    return link.link
  }

  /** Asks the leader; undefined: none is known, or it did not answer in time. */
  async function askLeader<Answer> (what: string, call: (link: PeerLink<typeof FleetService>) => Promise<{ body: Uint8Array }>): Promise<Answer | undefined> {
    const leader = leaderLink()
    if (leader === undefined) return undefined
    try {
      const { body } = await call(leader)
      return decodeBody<Answer>(body)
    } catch (error) {
      logger.warn('The leader did not answer.', { what, reason: (error as Error).message })
      if (error instanceof ConnectError && error.code === Code.DeadlineExceeded) leader.reconnect()
      return undefined
    }
  }

  async function declareHere (document: DeclarationDocument): Promise<DeclareOutcome> {
    if (state.document !== undefined && document.version <= state.document.version) return 'held'
    const outcome = await log?.propose({ kind: 'declare', document })
    logger.info('A declaration was proposed.', { version: document.version, outcome: outcome?.kind })
    return outcome?.kind === 'applied' ? 'held' : 'unknown'
  }

  async function currentHere (): Promise<{ document: DeclarationDocument | undefined } | undefined> {
    return await log?.confirmCurrent() === true ? { document: state.document } : undefined
  }

  function notifyHere (notice: ServerNotice): boolean {
    if (leadership === undefined || log?.hasLeaderLease() !== true) return false
    if (notice.kind === 'announced') leadership.leads.announce(notice.announcement)
    else leadership.leads.signOff(notice.member, notice.bornAt)
    return true
  }

  async function renew (request: RenewRequest): Promise<RenewReply> {
    const granted = await leadership?.leads.renew(request)
    if (granted !== undefined) return granted
    const leader: LogMember | undefined = log?.leader()
    return { kind: 'not leader', ...(leader === undefined ? {} : { leader: { host: leader.host, port: leader.port } }) }
  }

  return {
    machine,
    attach: attached => { log = attached },
    routes: router => {
      router.service(FleetService, {
        renew: async ({ body }) => ({ body: encodeBody(await renew(decodeBody(body))) }),
        borrow: ({ body }) => ({ body: encodeBody(leadership?.leads.lend(decodeBody(body)) ?? { granted: 0 }) }),
        declare: async ({ body }) => ({ body: encodeBody(log?.isLeader() === true ? await declareHere(decodeBody(body)) : 'unknown') }),
        current: async () => ({ body: encodeBody(await currentHere() ?? null) }),
        announce: ({ body }) => ({ body: encodeBody(notifyHere(decodeBody(body))) })
      })
    },
    declare: async document => {
      if (log?.isLeader() === true) return await declareHere(document)
      return await askLeader<DeclareOutcome>('declare', async ({ client }) => await client.declare({ body: encodeBody(document) }, { timeoutMs: FORWARD_MILLISECONDS })) ?? 'unknown'
    },
    current: async () => {
      if (log?.isLeader() === true) return await currentHere()
      return await askLeader<{ document: DeclarationDocument | undefined } | null>('current', async ({ client }) => await client.current({}, { timeoutMs: FORWARD_MILLISECONDS })) ?? undefined
    },
    notify: async notice => {
      if (log?.isLeader() === true) return notifyHere(notice)
      return await askLeader<boolean>('announce', async ({ client }) => await client.announce({ body: encodeBody(notice) }, { timeoutMs: FORWARD_MILLISECONDS })) ?? false
    },
    close: () => {
      clearInterval(timer)
      leadership?.leads.close()
      link?.link.reconnect()
    }
  }
}
