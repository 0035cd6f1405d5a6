/** What an entry instance knows of cold backend servers, and its shares of what they may receive. */

import { NO_WARMUP_SHARE, refillBucket, takeFromBucket } from '@cyclamenusher/decisions'
import type { Bucket, KnownServer, RenewGrant, RenewRequest, SharedGrant, WarmupShare } from '@cyclamenusher/decisions'
import type { Clock } from '../clock.js'

export interface WarmupLedger {
  isCold: (member: string) => boolean
  /** Has a server count as cold until it announces itself: a connection to it was lost, and it may have restarted. Returns whether it did not before. */
  doubt: (member: string) => boolean
  /** Statements that may be sent to a cold server now; 0 without a valid share. */
  tokens: (member: string) => number
  /** Takes a token for one statement to a cold server, if there is one. */
  take: (member: string) => boolean
  /** How long until the share has that many tokens, in milliseconds; infinite if it never will. */
  timeUntil: (member: string, tokens: number) => number
  /** Remaining time of the announced cold phase, in milliseconds. */
  remaining: (member: string) => number
  /** The part of a renewal. */
  report: () => Pick<RenewRequest, 'doubted'>
  /** Takes over a newer state of a server. */
  adoptServer: (server: KnownServer) => void
  /** Takes over the part of a grant; `sentAt` is when its renewal was sent. */
  adoptGrant: (grant: Pick<RenewGrant, 'warmups' | 'settled'> & Pick<SharedGrant, 'doubted'>, sentAt: number) => void
}

export interface WarmupLedgerOptions {
  clock: Pick<Clock, 'now'>
  /** When the lease ends with which the shares were granted; -Infinity after a suspension. */
  leasedUntil: () => number
}

interface HeldShare {
  limits: WarmupShare
  bucket: Bucket
}

export function createWarmupLedger ({ clock, leasedUntil }: WarmupLedgerOptions): WarmupLedger {
  const warmUntil = new Map<string, number>()
  const doubted = new Map<string, number>()
  let shares = new Map<string, HeldShare>()

  function findShare (member: string): HeldShare | undefined {
    return clock.now() < leasedUntil() ? shares.get(member) : undefined
  }

  /** Without a valid share nothing accrues: a share that ended starts empty when it is granted again. */
  function continueBucket (member: string, limits: WarmupShare, now: number, wasValid: boolean): Bucket {
    const held = wasValid ? shares.get(member) : undefined
    if (held === undefined) return { tokens: 0, refilledAt: now }
    const { tokens, refilledAt } = refillBucket(held.bucket, held.limits, now)
    return { tokens: Math.min(tokens, limits.burst), refilledAt }
  }

  function addDoubt (member: string, since: number): void {
    doubted.set(member, Math.max(since, doubted.get(member) ?? -Infinity))
  }

  return {
    isCold: member => doubted.has(member) || (warmUntil.get(member) ?? -Infinity) > clock.now(),
    doubt: member => {
      const isNew = !doubted.has(member)
      addDoubt(member, clock.now())
      return isNew
    },
    tokens: member => {
      const share = findShare(member)
      return share === undefined ? 0 : refillBucket(share.bucket, share.limits, clock.now()).tokens
    },
    take: member => {
      const share = findShare(member)
      if (share === undefined) return false
      const { bucket, taken } = takeFromBucket(share.bucket, share.limits, clock.now())
      share.bucket = bucket
      return taken
    },
    timeUntil: (member, wanted) => {
      const share = findShare(member)
      const { rate } = share?.limits ?? NO_WARMUP_SHARE
      if (share === undefined || rate <= 0) return Infinity
      return Math.max(0, wanted - refillBucket(share.bucket, share.limits, clock.now()).tokens) * 1000 / rate
    },
    remaining: member => Math.max(0, Math.round((warmUntil.get(member) ?? -Infinity) - clock.now())),
    report: () => {
      const now = clock.now()
      return doubted.size === 0 ? {} : { doubted: Object.fromEntries([...doubted].map(([member, since]) => [member, Math.round(now - since)])) }
    },
    adoptServer: ({ member, warmupMilliseconds = 0, gone }) => {
      if (gone) doubted.delete(member)
      if (gone || warmupMilliseconds === 0) warmUntil.delete(member)
      else warmUntil.set(member, clock.now() + warmupMilliseconds)
    },
    adoptGrant: ({ warmups = {}, settled = [], doubted: doubtedByAll = {} }, sentAt) => {
      const now = clock.now()
      const wasValid = now < leasedUntil()
      shares = new Map(Object.entries(warmups).map(([member, limits]) => [member, { limits, bucket: continueBucket(member, limits, now, wasValid) }]))
      for (const member of settled) if ((doubted.get(member) ?? Infinity) <= sentAt) doubted.delete(member)
      for (const [member, ago] of Object.entries(doubtedByAll)) if (!settled.includes(member)) addDoubt(member, now - ago)
    }
  }
}
