/** Cold backend servers as the leader knows them, and the shares of what they may receive that it has granted to holders. */

import { LEASE_MILLISECONDS, computeWarmupLimit, isAnnouncedSince, joinWarmupShares, listGroupServers, lookUp, planWarmupShares } from '@cyclamenusher/decisions'
import type { Declaration, KnownServer, RenewGrant, RenewRequest, ServerGroup, SharedGrant, WarmupShare, WarmupTolerance } from '@cyclamenusher/decisions'
import type { LeaderDirectory } from './leaderDirectory.js'
import type { ScopedLogger } from '../logger.js'

export interface WarmupSharesOptions {
  /** When this leader was elected. */
  startedAt: number
  tolerance: WarmupTolerance
  declaration: () => Declaration | undefined
  directory: Pick<LeaderDirectory, 'servers' | 'announcedAt' | 'warmUntil' | 'recordUrgentChange'>
  /** Names of the holders of a group. */
  listHolders: (group: string) => string[]
  logger: ScopedLogger
}

export interface WarmupShares {
  /** Takes over what an instance says of servers that may have restarted. */
  renew: (request: Pick<RenewRequest, 'name' | 'doubted'>, now: number) => void
  /** Plans the shares of the cold servers; called at each tick. */
  plan: (now: number) => void
  /** The part of a grant for one instance. What it names counts as held until the lease ends that is granted with it. */
  grant: (name: string) => Pick<RenewGrant, 'warmups' | 'settled'>
  /** The part of a grant for all instances. */
  share: (now: number) => Pick<SharedGrant, 'doubted'>
  /** Has the servers of a failure domain count as cold until they announce themselves: nothing was sent to them for a time. */
  doubtFailureDomain: (failureDomain: string, now: number) => void
  /** Cold servers of a group; none where the group has no warm-up. */
  listCold: (group: string, now: number) => Set<string>
}

interface Instance {
  /** When its last renewal arrived. */
  renewedAt: number
  /** When the connections to the servers were lost that it doubts. */
  doubted: Map<string, number>
  /** Shares that were sent, each until the lease ends with which it was sent. */
  sent: Array<{ shares: Record<string, WarmupShare>, until: number }>
}

export function createWarmupShares ({ startedAt, tolerance, declaration, directory, listHolders, logger }: WarmupSharesOptions): WarmupShares {
  const instances = new Map<string, Instance>()
  /** Since when servers count as cold although they have not announced that. */
  const doubted = new Map<string, number>()
  /** By server, the planned shares by instance. */
  let planned = new Map<string, Map<string, WarmupShare>>()

  function findWarmup (server: KnownServer): ServerGroup['warmup'] {
    return declaration()?.groups.find(({ name }) => name === server.group)?.warmup
  }

  function doubt (member: string, since: number): void {
    const server = directory.servers.get(member)
    if (server === undefined || server.gone || findWarmup(server) === undefined || isAnnouncedSince(since, directory.announcedAt.get(member))) return
    const known = doubted.get(member)
    if (known !== undefined && known >= since) return
    doubted.set(member, since)
    if (known === undefined) directory.recordUrgentChange()
  }

  function isCold (member: string, now: number): boolean {
    return doubted.has(member) || (directory.warmUntil.get(member) ?? -Infinity) > now
  }

  function listCold ({ name, warmup }: ServerGroup, now: number): KnownServer[] {
    if (warmup === undefined || (doubted.size === 0 && directory.warmUntil.size === 0)) return []
    return listGroupServers(directory.servers, name).filter(({ member }) => isCold(member, now))
  }

  /** What each instance may still use of a server's shares. */
  function listHeld (member: string, now: number): Map<string, WarmupShare> {
    const held = new Map<string, WarmupShare>()
    for (const [name, { sent }] of instances) {
      const shares = sent.filter(({ until }) => until > now).flatMap(grant => lookUp(grant.shares, member) ?? [])
      if (shares.length > 0) held.set(name, shares.reduce(joinWarmupShares))
    }
    return held
  }

  function dropSettled (): void {
    for (const [member, since] of doubted) {
      if (directory.servers.get(member)?.gone !== false || isAnnouncedSince(since, directory.announcedAt.get(member))) doubted.delete(member)
    }
  }

  function forgetExpired (now: number): void {
    for (const [name, instance] of instances) {
      instance.sent = instance.sent.filter(({ until }) => until > now)
      if (instance.sent.length === 0 && instance.renewedAt + LEASE_MILLISECONDS < now) instances.delete(name)
    }
  }

  function logChanges (next: typeof planned): void {
    for (const member of next.keys()) if (!planned.has(member)) logger.info('A backend server is cold.', { member, announced: !doubted.has(member) })
    for (const member of planned.keys()) if (!next.has(member)) logger.info('A backend server is warm or gone.', { member })
  }

  return {
    renew: ({ name, doubted: reported = {} }, now) => {
      const lost = new Map(Object.entries(reported).map(([member, ago]) => [member, now - ago]))
      instances.set(name, { sent: instances.get(name)?.sent ?? [], renewedAt: now, doubted: lost })
      for (const [member, since] of lost) doubt(member, since)
    },
    plan: now => {
      forgetExpired(now)
      dropSettled()
      const next: typeof planned = new Map()
      // Until then, instances may hold shares of the leader before.
      const mayGrant = now >= startedAt + LEASE_MILLISECONDS
      for (const group of declaration()?.groups ?? []) {
        for (const { member } of listCold(group, now)) {
          const limit = computeWarmupLimit(group.warmup?.requestsPerSecond ?? 0, tolerance)
          next.set(member, mayGrant ? planWarmupShares(member, limit, listHolders(group.name), listHeld(member, now)) : new Map())
        }
      }
      logChanges(next)
      planned = next
    },
    grant: name => {
      const instance = instances.get(name)
      if (instance === undefined) return {}
      const shares = Object.fromEntries([...planned].flatMap(([member, byName]) => {
        const share = byName.get(name)
        return share === undefined ? [] : [[member, share]]
      }))
      const hasShares = Object.keys(shares).length > 0
      // The instance counts its lease from when it sent the request, so the share ends there first.
      if (hasShares) instance.sent.push({ shares, until: instance.renewedAt + LEASE_MILLISECONDS })
      const settled = [...instance.doubted].filter(([member, since]) => directory.servers.get(member)?.gone !== false || isAnnouncedSince(since, directory.announcedAt.get(member))).map(([member]) => member)
      return { ...(hasShares ? { warmups: shares } : {}), ...(settled.length === 0 ? {} : { settled }) }
    },
    share: now => doubted.size === 0 ? {} : { doubted: Object.fromEntries([...doubted].map(([member, since]) => [member, Math.round(now - since)])) },
    doubtFailureDomain: (failureDomain, now) => {
      for (const server of directory.servers.values()) if (server.failureDomain === failureDomain) doubt(server.member, now)
    },
    listCold: (group, now) => {
      const declared = declaration()?.groups.find(({ name }) => name === group)
      return new Set(declared === undefined ? [] : listCold(declared, now).map(({ member }) => member))
    }
  }
}
