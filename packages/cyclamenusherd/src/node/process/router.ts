/** Chooses a member for each request of this instance, and lends a connection to it. */

import { computeConnectionShare, currentPrimary, decideRoute, mayRun } from '@cyclamenusher/decisions'
import { RefusalError } from '../request/refusal.js'
import { PoolWaitError, createPool } from './pool.js'
import { createCoordinator } from './group/coordinator.js'
import { createGroupMonitor } from './group/groupMonitor.js'
import { createLeaseWatch } from './group/leaseWatch.js'
import { createSilentReads } from './group/silentReads.js'
import type { GroupView, LogPosition, MemberLoad, RouteDecision, RouteNeed } from '@cyclamenusher/decisions'
import type { ConnectionLease, ConnectionLeaseRequest } from '../connection/callerConnection.js'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { Config } from './config.js'
import type { Directory } from './directory.js'
import type { Coordinator, CoordinatorInstance } from './group/coordinator.js'
import type { GroupMonitor } from './group/groupMonitor.js'
import type { LeaseWatch } from './group/leaseWatch.js'
import type { SilentReads } from './group/silentReads.js'
import type { Logger } from './logger.js'
import type { Metrics } from './metrics.js'
import type { Pool } from './pool.js'

/** Time that a request may wait for a member that can serve it, in milliseconds. */
const ROUTE_TIMEOUT_MILLISECONDS = 7_000
/** Time that a session without a token may wait for a confirmed position, in milliseconds. */
const POSITION_TIMEOUT_MILLISECONDS = 7_000
/** Age up to which a member's answer counts for a failover decision, in milliseconds. */
const MAXIMUM_ANSWER_AGE_MILLISECONDS = 1_000
/** Connections that are opened in advance to a new primary. */
const WARM_UP_CONNECTIONS = 2
/** Time limit for opening them, in milliseconds. */
const WARM_UP_TIMEOUT_MILLISECONDS = 2_000
/** Members of a group if no rule configures a number. */
const DEFAULT_MEMBER_COUNT = 3

/** What decides where a request runs. */
export type RoutedRequest = Omit<ConnectionLeaseRequest, 'move'>

export interface Router {
  /** Lends a connection to a member that can serve the request. @throws RefusalError */
  lease: (request: ConnectionLeaseRequest) => Promise<ConnectionLease>
  /** The position of the group's primary, confirmed by a majority. @throws RefusalError */
  confirmPosition: (group: string) => Promise<LogPosition>
  /** Waits until a majority holds the log up to `at`, the primary is replaced, or time is up. */
  acknowledge: (group: string, at: LogPosition) => Promise<'held' | 'replaced' | 'timeout'>
  /** Returns the routing decision for a request without running it. */
  explain: (request: RoutedRequest) => RouteDecision
  /** Returns what this instance knows of a group. */
  view: (group: string) => GroupView
  /** Asks a backend server to accept no new transactions, or to accept them again; resolves to whether it agreed. */
  setLeaving: (group: string, member: string, leaving: boolean) => Promise<boolean>
  /** Updates a group's members from the directory, and asks them for their state now. */
  refresh: (group: string) => void
  close: () => void
}

export interface RouterOptions {
  config: Config
  store: RulesStore
  directory: Directory
  /** Entry instances that recently contacted control. */
  instances: () => readonly CoordinatorInstance[]
  clock: Clock
  logger: Logger
  metrics: Metrics
}

interface Group {
  monitor: GroupMonitor
  coordinator: Coordinator
  leases: LeaseWatch
  silentReads: SilentReads
  /** Member, incarnation and term of the primary that connections were last opened to in advance. */
  warmedPrimary: string
}

/** Whether `server` names the incarnation of the member that the view knows. */
function isSameServer (view: GroupView, member: string, server: string): boolean {
  const known = view.members.get(member)
  return known !== undefined && server === `${view.group}/${member}/${known.status.incarnation}`
}

export function createRouter (options: RouterOptions): Router {
  const { config, store, directory, clock, logger, metrics } = options
  const routeLog = logger.scope('route')
  const groups = new Map<string, Group>()
  const pools = new Map<string, { pool: Pool, address: string }>()

  /** Returns the number of members that the rules configure for a group; undefined if no database of the rules uses it. */
  function findMemberCount (group: string): number | undefined {
    return [...store.rules().databases.values()].find(database => database.group === group)?.members
  }

  function ensureGroup (group: string): Group {
    const existing = groups.get(group)
    if (existing !== undefined) return existing
    const leases = createLeaseWatch()
    const silentReads = createSilentReads(clock)
    const monitor = createGroupMonitor({
      group,
      size: findMemberCount(group) ?? DEFAULT_MEMBER_COUNT,
      config,
      clock,
      logger: logger.scope('monitor'),
      onChange: ({ view }) => {
        leases.check(view())
        const moved = silentReads.check(view())
        if (moved > 0) routeLog.warn('Reads were sent to another server because theirs went silent.', { group, reads: moved })
        warmUp(created, view())
      }
    })
    const coordinator = createCoordinator({
      monitor,
      self: { name: config.instance.name, failureDomain: config.instance.failureDomain },
      instances: options.instances,
      isConfigured: () => findMemberCount(group) !== undefined,
      limits: { silenceMilliseconds: config.failover.silenceMilliseconds, answerMilliseconds: MAXIMUM_ANSWER_AGE_MILLISECONDS },
      clock,
      logger: logger.scope('failover'),
      metrics
    })
    const created: Group = { monitor, coordinator, leases, silentReads, warmedPrimary: '' }
    groups.set(group, created)
    monitor.setMembers(directory.members(group))
    return created
  }

  /** Opens connections to a new primary before requests come for it. */
  function warmUp (group: Group, view: GroupView): void {
    const primary = currentPrimary(view)
    if (primary === undefined || !primary.reachable) return
    const { member, adoptedTerm, incarnation } = primary.status
    const primaryKey = `${member} ${incarnation} ${adoptedTerm}`
    if (group.warmedPrimary === primaryKey) return
    group.warmedPrimary = primaryKey
    const pool = ensurePool(view.group, member)
    if (pool === undefined || pool.size() >= WARM_UP_CONNECTIONS) return
    const count = Math.min(WARM_UP_CONNECTIONS, config.backend.connectionsPerServer)
    for (let index = 0; index < count; index += 1) {
      pool.acquire('', WARM_UP_TIMEOUT_MILLISECONDS).then(backend => { pool.release(backend, true) }, () => {})
    }
  }

  function updateGroupSizes (): void {
    for (const [group, { monitor }] of groups) {
      const memberCount = findMemberCount(group)
      if (memberCount !== undefined) monitor.setSize(memberCount)
    }
  }

  const subscription = store.versions.subscribe({ next: updateGroupSizes, error: () => {}, complete: () => {} })

  function refresh (group: string): void {
    const { monitor } = ensureGroup(group)
    monitor.setMembers(directory.members(group))
    monitor.refresh()
  }

  function ensurePool (group: string, member: string): Pool | undefined {
    const announcement = ensureGroup(group).monitor.member(member)
    if (announcement === undefined) return undefined
    const key = `${group}/${member}`
    const address = `${announcement.host}:${announcement.port}`
    const existing = pools.get(key)
    if (existing?.address === address) return existing.pool
    existing?.pool.close()
    const pool = createPool({
      target: { member, host: announcement.host, port: announcement.port, user: config.backend.user, password: config.backend.password, database: group },
      limit: () => config.backend.connectionsOfInstance ?? computeConnectionShare(config.backend.connectionsPerServer, config.instance.name, options.instances().map(({ name }) => name)),
      weightOf: account => store.rules().accounts.get(account)?.weight ?? 1,
      clock,
      logger: logger.scope('pool'),
      onSizeChange: size => { metrics.backendConnections.set({ member }, size) }
    })
    pools.set(key, { pool, address })
    return pool
  }

  function collectLoads (group: string): Map<string, MemberLoad> {
    const loads = new Map<string, MemberLoad>()
    for (const { member, failureDomain } of directory.members(group)) {
      loads.set(member, { busy: pools.get(`${group}/${member}`)?.pool.busy() ?? 0, sameFailureDomain: failureDomain === config.instance.failureDomain })
    }
    return loads
  }

  function resolveNeed ({ identity, database, need, position: requiredPosition }: RoutedRequest): RouteNeed {
    if (need !== 'read') return { kind: 'write' }
    const maximumAgeMilliseconds = identity.key === undefined
      ? store.open(database)?.maximum_age_milliseconds
      : store.access(identity.account, database)?.maximum_age_milliseconds
    if (identity.key === undefined) return { kind: 'aged-read', maximumAgeMilliseconds: maximumAgeMilliseconds ?? 0 }
    if (maximumAgeMilliseconds !== undefined && maximumAgeMilliseconds > 0) return { kind: 'aged-read', maximumAgeMilliseconds, requiredPosition }
    return { kind: 'session-read', requiredPosition: requiredPosition ?? { term: 0, position: 0 } }
  }

  function decide (request: RoutedRequest): RouteDecision {
    const view = ensureGroup(request.group).monitor.view()
    return decideRoute(view, resolveNeed(request), collectLoads(request.group), clock.now())
  }

  async function lease (request: ConnectionLeaseRequest): Promise<ConnectionLease> {
    const deadline = clock.now() + ROUTE_TIMEOUT_MILLISECONDS
    let lastReason = 'no backend server of the group has announced itself'
    while (clock.now() < deadline) {
      const decision = decide(request)
      if (decision.kind === 'member') {
        const pool = ensurePool(request.group, decision.member)
        try {
          const acquired = await acquireLease(pool, request, decision)
          if (acquired !== undefined) return acquired
        } catch (error) {
          if (error instanceof PoolWaitError) throw new RefusalError('too many connections', error.message, 'not run', 'Try again, or ask the operators for more connections.')
          lastReason = (error as Error).message
        }
      } else {
        lastReason = decision.reason
      }
      await ensureGroup(request.group).monitor.waitForChange(100)
    }
    throw new RefusalError('no server', `no backend server of ${request.group} can serve the request: ${lastReason}`, 'not run', 'Try again; if it lasts, look at the failover lines of the log.')
  }

  /** Acquires a connection from the pool; resolves to undefined if the member can no longer serve the request. */
  async function acquireLease (pool: Pool | undefined, request: ConnectionLeaseRequest, decision: Extract<RouteDecision, { kind: 'member' }>): Promise<ConnectionLease | undefined> {
    if (pool === undefined) return undefined
    const askedAt = clock.now()
    const backend = await pool.acquire(request.identity.account, config.backend.waitMilliseconds)
    metrics.recordLatency('connection_wait', clock.now() - askedAt)
    const { monitor, leases, silentReads } = ensureGroup(request.group)
    // During the wait the group may have changed, or another server may have taken over the address.
    const sameServer = isSameServer(monitor.view(), decision.member, backend.serverIdentity)
    if (!sameServer || !mayRun(monitor.view(), resolveNeed(request), decision.member, clock.now())) {
      pool.release(backend, sameServer)
      return undefined
    }
    metrics.routes.inc({ role: request.need, reason: decision.reason })
    if (decision.reason === 'primary holds the session') monitor.refreshSoon()
    if (config.log.decisions) {
      routeLog.info('A request was routed.', { account: request.identity.account, database: request.database, need: request.need, member: decision.member, reason: decision.reason, term: decision.term })
    }
    const unwatch = request.need === 'read'
      ? silentReads.add(decision.member, { hasAlternative: () => decide(request).kind === 'member', move: request.move })
      : leases.add(decision.term, backend)
    return {
      backend,
      release: clean => {
        unwatch()
        pool.release(backend, clean)
      }
    }
  }

  async function confirmPosition (group: string): Promise<LogPosition> {
    const sample = await ensureGroup(group).monitor.confirmPosition(POSITION_TIMEOUT_MILLISECONDS)
    if (sample === undefined) {
      throw new RefusalError('no server', `no majority of ${group} confirms its primary`, 'not run', 'Try again; if it lasts, look at the failover lines of the log.')
    }
    return { term: sample.term, position: sample.position }
  }

  async function acknowledge (group: string, at: LogPosition): Promise<'held' | 'replaced' | 'timeout'> {
    const askedAt = clock.now()
    const { monitor } = ensureGroup(group)
    const outcome = await monitor.acknowledge(at, config.backend.acknowledgeMilliseconds)
    metrics.recordLatency('acknowledge', clock.now() - askedAt)
    // The session's next read can run at a replica as soon as one is known to have applied the commit.
    monitor.refreshSoon()
    return outcome
  }

  return {
    lease,
    confirmPosition,
    acknowledge,
    explain: decide,
    view: group => ensureGroup(group).monitor.view(),
    setLeaving: async (group, member, leaving) => (await ensureGroup(group).monitor.sendCommand(member, `SELECT * FROM cyclamenusher.leave(${leaving})`)).granted,
    refresh,
    close: () => {
      subscription.unsubscribe()
      for (const { monitor, coordinator } of groups.values()) {
        coordinator.close()
        monitor.close()
      }
      for (const { pool } of pools.values()) pool.close()
    }
  }
}
