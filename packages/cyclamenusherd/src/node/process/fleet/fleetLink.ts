/**
 * The entry instance's side of its lease: it renews with the leader of control,
 * keeps what it was told, and says whether that may still be acted on.
 */

import { randomUUID } from 'node:crypto'
import { EventEmitter } from 'node:events'
import { inflateSync } from 'node:zlib'
import { RENEWAL_HOLD_MILLISECONDS, LEASE_MILLISECONDS, SHARE_VALIDITY_MILLISECONDS, indexDeclaration, mergeServer, listGroupServers } from '@cyclamenusher/decisions'
import { FleetService, createPeerLink } from '@cyclamenusher/protocol'
import { pause } from '../clock.js'
import { createSuspensionWatch } from '../suspension.js'
import { decodeBody, encodeBody } from './bodies.js'
import type { BorrowReply, BorrowRequest, Declaration, DeclarationDocument, DeclarationIndex, PrimaryAssignment, KnownServer, RenewGrant, RenewReply, RenewRequest } from '@cyclamenusher/decisions'
import type { PeerCredentials, PeerLink } from '@cyclamenusher/protocol'
import type { Address } from '../address.js'
import type { Clock } from '../clock.js'
import type { ScopedLogger } from '../logger.js'

/** Time that a renewal may take beyond its hold, in milliseconds: several ways between regions. */
const RENEWAL_MARGIN_MILLISECONDS = 300
/** Time that the leader has to lend, in milliseconds: less than a caller's patience. */
const BORROW_TIMEOUT_MILLISECONDS = 100
/** Age of a lease at which its renewal is overdue, in milliseconds: two holds and the way. */
const RENEWAL_OVERDUE_MILLISECONDS = 1_000
/** Pause between two looks at whether the lease still holds, in milliseconds. */
const LEASE_CHECK_INTERVAL_MILLISECONDS = 100
/** Pause after a control instance that gave no lease, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 40

export interface FleetLinkOptions {
  name: string
  failureDomain: string
  /** Control instances that the settings name, read at each turn. */
  seeds: () => readonly Address[]
  decodeDeclaration: (document: DeclarationDocument) => Declaration
  /** What the instance reports with each renewal. */
  report: () => Pick<RenewRequest, 'demand' | 'sightings' | 'busy'>
  credentials: PeerCredentials
  clock: Clock
  logger: ScopedLogger
}

export interface FleetLink {
  /** Begins to renew. */
  start: () => void
  declaration: () => DeclarationIndex | undefined
  primaryAssignment: (group: string) => PrimaryAssignment | undefined
  servers: (group: string) => KnownServer[]
  /** Whether beliefs may be acted on at this moment. */
  isLeased: () => boolean
  /** Whether renewals come as usual: callers are better off elsewhere when they do not. */
  isConnected: () => boolean
  /** When the lease ended or will end. */
  leasedUntil: () => number
  /** When a suspension last ended, on the steady clock: times from before it are older than they look. */
  resumedAt: () => number
  /** This instance's part of the rates, by account. */
  rateShare: (account: string) => number
  /** Borrows operations of an account from the leader's pool; 0: it has none, or does not answer. */
  borrow: (account: string, wanted: number) => Promise<number>
  entryCount: () => number
  /** Reports now instead of with the next renewal. */
  reportNow: () => void
  /** Calls the listener when anything that was told has changed. */
  onChange: (listener: () => void) => void
  close: () => void
}

export function createFleetLink (options: FleetLinkOptions): FleetLink {
  const { name, failureDomain, seeds, credentials, clock, logger } = options
  const incarnation = randomUUID()
  const suspension = createSuspensionWatch(clock)
  const emitter = new EventEmitter()
  emitter.setMaxListeners(0)
  const links = new Map<string, PeerLink<typeof FleetService>>()
  let controlAddresses: Address[] = []
  let leader: Address | undefined
  let rotation = Math.floor(Math.random() * 1_000)
  let applied = { term: 0, change: 0 }
  /** The control instance that gave the lease last, and did not stop leading since: it knows what this one knows. */
  let grantedBy = ''
  let assignments = new Map<string, PrimaryAssignment>()
  const servers = new Map<string, KnownServer>()
  let shares: Record<string, number> = {}
  let declarationIndex: DeclarationIndex | undefined
  let entryCount = 1
  /** When the request was sent that the lease counts from. */
  let leaseStartedAt = -Infinity
  let wasLeased = false
  let currentRenewal: AbortController | undefined
  let reportRequested = false
  let closed = false

  /** When something ends that control gave for a time; time in a suspension is not known. */
  function validUntil (milliseconds: number): number {
    return leaseStartedAt <= suspension.lastAt() ? -Infinity : leaseStartedAt + milliseconds
  }

  function leasedUntil (): number {
    return validUntil(LEASE_MILLISECONDS)
  }

  function isLeased (): boolean {
    return clock.now() < leasedUntil()
  }

  function linkTo ({ host, port }: Address): PeerLink<typeof FleetService> {
    const key = `${host}:${port}`
    const link = links.get(key) ?? createPeerLink(FleetService, host, port, credentials)
    links.set(key, link)
    return link
  }

  /** The leader, or else each control instance in turn. */
  function nextTarget (): Address | undefined {
    if (leader !== undefined) return leader
    const candidates = [...new Map([...controlAddresses, ...seeds()].map(address => [`${address.host}:${address.port}`, address])).values()]
    rotation += 1
    return candidates[rotation % Math.max(1, candidates.length)]
  }

  function buildRequest ({ host, port }: Address): RenewRequest {
    return {
      name,
      incarnation,
      failureDomain,
      knows: applied,
      version: declarationIndex?.version ?? -1,
      ...options.report(),
      // One that may not lead is not waited for.
      holdMilliseconds: reportRequested || leader === undefined || !isLeased() ? 0 : RENEWAL_HOLD_MILLISECONDS,
      // Another leader learns what this instance knows and holds.
      ...(grantedBy === `${host}:${port}` ? {} : { servers: [...servers.values()], parts: shares })
    }
  }

  function adoptDeclaration ({ version, deflated }: NonNullable<RenewGrant['declaration']>): void {
    if (version <= (declarationIndex?.version ?? -1)) return
    const text = inflateSync(Buffer.from(deflated, 'base64')).toString('utf8')
    declarationIndex = indexDeclaration(options.decodeDeclaration({ version, text }))
    logger.info('A declaration is in force here.', { version })
  }

  function adoptAssignments (received: readonly PrimaryAssignment[], whole: boolean): void {
    const next = whole ? new Map<string, PrimaryAssignment>() : new Map(assignments)
    for (const assignment of received) {
      const previous = assignments.get(assignment.group)
      next.set(assignment.group, assignment)
      if (previous?.use === assignment.use && previous.designation === assignment.designation) continue
      logger.info('The belief in a primary changed.', { group: assignment.group, member: assignment.member, designation: assignment.designation, use: assignment.use, term: assignment.term })
    }
    assignments = next
  }

  function adoptGrant (grant: RenewGrant, sentAt: number): void {
    if (grant.term < applied.term) return
    const changed = grant.term !== applied.term || grant.change !== applied.change || grant.declaration !== undefined
    if (grant.declaration !== undefined) adoptDeclaration(grant.declaration)
    adoptAssignments(grant.groups, grant.whole)
    for (const server of grant.servers) mergeServer(servers, server)
    if (grant.parts !== undefined) shares = grant.parts
    applied = { term: grant.term, change: grant.change }
    controlAddresses = grant.control.length > 0 ? grant.control : controlAddresses
    entryCount = grant.entries
    leaseStartedAt = Math.max(leaseStartedAt, sentAt)
    if (changed || !wasLeased) emitter.emit('change')
    if (!wasLeased) logger.info('The lease is held.', { term: grant.term, change: grant.change })
    wasLeased = true
  }

  function detectLeaseLoss (): void {
    if (!wasLeased || isLeased()) return
    wasLeased = false
    logger.warn('The lease is over.', { ago: Math.round(clock.now() - leaseStartedAt), leaseMilliseconds: LEASE_MILLISECONDS })
    emitter.emit('change')
  }

  async function renewOnce (target: Address): Promise<boolean> {
    const link = linkTo(target)
    const request = buildRequest(target)
    reportRequested = false
    const sentAt = clock.now()
    currentRenewal = new AbortController()
    try {
      const { body } = await link.client.renew({ body: encodeBody(request) }, { timeoutMs: request.holdMilliseconds + RENEWAL_MARGIN_MILLISECONDS, signal: currentRenewal.signal })
      const reply = decodeBody<RenewReply>(body)
      if (reply.kind === 'granted') {
        leader = target
        grantedBy = `${target.host}:${target.port}`
        adoptGrant(reply, sentAt)
        return true
      }
      grantedBy = ''
      leader = reply.leader === undefined || (reply.leader.host === target.host && reply.leader.port === target.port) ? undefined : reply.leader
      return false
    } catch (error) {
      if (currentRenewal.signal.aborted) return true
      grantedBy = ''
      leader = undefined
      link.reconnect()
      logger.debug('A control instance did not renew the lease.', { address: `${target.host}:${target.port}`, reason: (error as Error).message })
      return false
    }
  }

  async function renewUntilClosed (): Promise<void> {
    while (!closed) {
      const target = nextTarget()
      const renewed = target !== undefined && await renewOnce(target)
      detectLeaseLoss()
      if (!renewed) await pause(RETRY_DELAY_MILLISECONDS)
    }
  }

  async function borrow (account: string, wanted: number): Promise<number> {
    if (leader === undefined) return 0
    const request: BorrowRequest = { account, wanted }
    try {
      const { body } = await linkTo(leader).client.borrow({ body: encodeBody(request) }, { timeoutMs: BORROW_TIMEOUT_MILLISECONDS })
      return decodeBody<BorrowReply>(body).granted
    } catch (error) {
      logger.debug('Control lent nothing.', { account, reason: (error as Error).message })
      return 0
    }
  }

  const timer = setInterval(detectLeaseLoss, LEASE_CHECK_INTERVAL_MILLISECONDS)
  return {
    start: () => { void renewUntilClosed() },
    declaration: () => declarationIndex,
    primaryAssignment: group => assignments.get(group),
    servers: group => listGroupServers(servers, group),
    isLeased,
    isConnected: () => isLeased() && clock.now() - leaseStartedAt < RENEWAL_OVERDUE_MILLISECONDS,
    leasedUntil,
    resumedAt: suspension.lastAt,
    rateShare: account => clock.now() < validUntil(SHARE_VALIDITY_MILLISECONDS) ? shares[account] ?? 0 : 0,
    borrow,
    entryCount: () => entryCount,
    reportNow: () => {
      if (reportRequested) return
      reportRequested = true
      currentRenewal?.abort()
    },
    onChange: listener => { emitter.on('change', listener) },
    close: () => {
      closed = true
      clearInterval(timer)
      currentRenewal?.abort()
      for (const link of links.values()) link.reconnect()
    }
  }
}
