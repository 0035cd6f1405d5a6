/** Charges each operation to its client account's rate: to this instance's share, or else to a loan from control's pool. */

import { INITIAL_PREFETCH_CREDIT, PREFETCHED_TOKEN_MILLISECONDS, chargeUnusedToken, computeShareLimits, earnPrefetchCredit, pausePrefetch, refillBucket, shortenPauses, shouldPrefetchToken, takeFromBucket, timeUntilToken } from '@cyclamenusher/decisions'
import { pause } from '../process/clock.js'
import type { BorrowReply, Bucket, BucketLimits, ClientAccount, PrefetchPauses, PreparationKind, RateExplanation, RateTolerance, TokenSource } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Time constant of the demand average, in milliseconds: several renewals of the shares. */
const DEMAND_AVERAGING_MILLISECONDS = 2_000
/** Demand below which an account is not reported, in operations per second. */
const MINIMUM_REPORTED_DEMAND = 0.01
/** How long no loan is requested at first after there were too few tokens, in milliseconds: longer than a round trip to control, and shorter than callers wait. */
const INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS = 100
/** Requests per second that all instances together send for an account without tokens. The pause doubles at each repetition until it keeps them to this. */
const REQUESTS_PER_EMPTY_POOL = 100
/** Longest pause that a pool without tokens may ask for, in milliseconds: another leader may have tokens sooner. */
const MAXIMUM_EMPTY_POOL_PAUSE_MILLISECONDS = 1_000
/** Longest time for which an operation waits for the next token, in milliseconds: a fraction of an objective, and shorter than an operation that is refused takes to come back. */
const MAXIMUM_TOKEN_WAIT_MILLISECONDS = 100
/** Most operations that are lent at once, so that one request can't queue without limit. */
const MAXIMUM_LOAN = 1_000
/** Period whose expected demand is borrowed ahead, in milliseconds: a lender asks control once or twice a second, whatever its demand. */
const BORROW_AHEAD_MILLISECONDS = 750

export interface RateGate {
  /** Whether the operation may run. */
  admit: (account: ClientAccount) => Promise<boolean>
  /** Borrows the token of an operation that a caller prepares, if it would have to be borrowed. */
  prefetch: (account: ClientAccount, kind: PreparationKind) => void
  /** Lends operations of this instance's share to another instance, and borrows from control what is missing. Resolves with the number lent, which counts as demand here. */
  lend: (account: ClientAccount, wanted: number) => Promise<number>
  /** Operations per second that were requested, by account; refused ones count too. Only accounts of which this instance holds a share: shares are divided by the demand at those that hold them, and others borrow from these. */
  demand: () => Record<string, number>
  /** Explains where the token of the account's next operation would come from, and takes none. */
  explain: (account: ClientAccount) => RateExplanation
}

interface WaitingOperation {
  since: number
  admit: (admitted: boolean) => void
}

interface AccountState {
  bucket: Bucket
  demand: number
  demandAt: number
  /** Operations that wait for a loan, the oldest first. */
  waiting: WaitingOperation[]
  /** Until when there are taken to be no tokens to borrow, and the length of that pause in milliseconds; 0: the last loan was granted in full. */
  poolEmptyUntil: number
  emptyPoolPause: number
  prefetchPauses: PrefetchPauses
  /** Tokens that were borrowed ahead, the oldest first, until when they may be used. */
  prefetched: Array<{ kind: PreparationKind, until: number }>
  /** Number of tokens that are being borrowed ahead. */
  prefetching: number
  /** Operations that wait for those, one for each at most. */
  awaitingPrefetch: WaitingOperation[]
}

export type PrefetchOutcome = 'used' | 'unused' | 'not granted'

export interface RateGateOptions {
  clock: Clock
  /** This instance's share of an account's limits, from 0 to 1. */
  shareOf: (account: string) => number
  /** Borrows tokens, one for each operation. None are granted if there are none, or if nobody answers. */
  borrow: (account: string, wanted: number) => Promise<BorrowReply>
  /** Number of entry instances that may ask for the same tokens. */
  instances: () => number
  tolerance: RateTolerance
  /** Called with what became of each token that was requested ahead. */
  onPrefetch?: (outcome: PrefetchOutcome) => void
  /** @default pause */
  wait?: (milliseconds: number) => Promise<void>
}

export function createRateGate ({ clock, shareOf, borrow, instances, tolerance, onPrefetch = () => {}, wait = pause }: RateGateOptions): RateGate {
  const startedAt = clock.startedAt ?? clock.now()
  const accounts = new Map<string, AccountState>()
  let prefetchCredit = INITIAL_PREFETCH_CREDIT
  /** Tokens of all accounts that are borrowed ahead or being borrowed, and not used yet, by kind of preparation. */
  const prefetchesOutstanding: Record<PreparationKind, number> = { start: 0, set: 0, prepare: 0 }
  /** Accounts with tokens that were borrowed ahead. */
  const holding = new Set<AccountState>()

  function ensureState (name: string, now: number): AccountState {
    // The bucket starts empty when the process starts, so that a restart grants no new burst.
    const state = accounts.get(name) ?? { bucket: { tokens: 0, refilledAt: startedAt }, demand: 0, demandAt: now, waiting: [], poolEmptyUntil: -Infinity, emptyPoolPause: 0, prefetchPauses: {}, prefetched: [], prefetching: 0, awaitingPrefetch: [] }
    accounts.set(name, state)
    return state
  }

  function decayDemand ({ demand, demandAt }: AccountState, now: number): number {
    return demand * Math.exp((demandAt - now) / DEMAND_AVERAGING_MILLISECONDS)
  }

  function computeLimits ({ name, ratePerSecond, burst }: ClientAccount): BucketLimits {
    return computeShareLimits({ rate: ratePerSecond, burst }, shareOf(name), tolerance)
  }

  /** Admits as many waiting operations as there are tokens, and adds the remaining tokens to the bucket. */
  function admitWaiting (account: ClientAccount, state: AccountState, tokens: number): void {
    const admitted = state.waiting.splice(0, tokens)
    for (const { admit } of admitted) admit(true)
    const limits = computeLimits(account)
    const refilled = refillBucket(state.bucket, limits, clock.now())
    const remaining = tokens - admitted.length
    state.bucket = { ...refilled, tokens: Math.min(Math.max(limits.burst, refilled.tokens), refilled.tokens + remaining) }
  }

  /** Tokens to borrow for the operations to come: no more than the bucket can keep, because the rest would be lost to all instances. */
  function countTokensAhead (account: ClientAccount, { demand }: AccountState): number {
    return Math.min(Math.floor(computeLimits(account).burst), Math.ceil(demand * BORROW_AHEAD_MILLISECONDS / 1000))
  }

  /**
   * Keeps the oldest operation if the next token, here or in the pool, comes in time for it, and refuses
   * the others. Resolves with whether an operation still waits.
   *
   * Load pattern: a small account within its rate, whose operations come in twos and
   * threes. The next token is due a few tens of milliseconds after the one that was taken.
   */
  async function awaitNextToken (account: ClientAccount, state: AccountState, emptyMilliseconds: number): Promise<boolean> {
    const now = clock.now()
    const tokenMilliseconds = Math.min(emptyMilliseconds, timeUntilToken(state.bucket, computeLimits(account), now))
    const [oldest] = state.waiting
    const isInTime = oldest !== undefined && now + tokenMilliseconds <= oldest.since + MAXIMUM_TOKEN_WAIT_MILLISECONDS
    for (const { admit } of state.waiting.splice(isInTime ? 1 : 0)) admit(false)
    if (!isInTime) return false
    await wait(tokenMilliseconds)
    const { bucket, taken } = takeFromBucket(state.bucket, computeLimits(account), clock.now())
    state.bucket = bucket
    if (taken) state.waiting.shift()?.admit(true)
    return state.waiting.length > 0
  }

  /** Borrows until no operation waits. When the pool lends less than requested, the operations that still wait are refused, unless the next token is due soon. `firstReply` is that to a loan for the first one, if it was requested before. */
  async function borrowForWaiting (account: ClientAccount, state: AccountState, firstReply?: BorrowReply): Promise<void> {
    let known = firstReply
    while (state.waiting.length > 0) {
      const waiting = state.waiting.length
      const { granted: tokens, emptyMilliseconds = Infinity } = known ?? await borrow(account.name, waiting + countTokensAhead(account, state))
      known = undefined
      admitWaiting(account, state, tokens)
      if (tokens >= waiting) {
        state.emptyPoolPause = 0
        continue
      }
      const maximumPause = Math.max(INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS, instances() * 1000 / REQUESTS_PER_EMPTY_POOL)
      state.emptyPoolPause = Math.min(maximumPause, Math.max(INITIAL_EMPTY_POOL_PAUSE_MILLISECONDS, state.emptyPoolPause * 2))
      state.poolEmptyUntil = clock.now() + Math.max(state.emptyPoolPause, emptyMilliseconds === Infinity ? 0 : Math.min(emptyMilliseconds, MAXIMUM_EMPTY_POOL_PAUSE_MILLISECONDS))
      if (!await awaitNextToken(account, state, emptyMilliseconds)) return
    }
  }

  function waitForLoan (account: ClientAccount, state: AccountState, operation: WaitingOperation, firstReply?: BorrowReply): void {
    state.waiting.push(operation)
    if (state.waiting.length === 1) void borrowForWaiting(account, state, firstReply)
  }

  function endPrefetch (kind: PreparationKind, outcome: PrefetchOutcome): void {
    prefetchesOutstanding[kind] -= 1
    onPrefetch(outcome)
  }

  /** Drops the prefetched tokens whose time is over: they count as used. */
  function dropUnusedTokens (state: AccountState, now: number): void {
    const unused = state.prefetched.filter(({ until }) => until <= now)
    if (unused.length === 0) return
    state.prefetched = state.prefetched.filter(({ until }) => until > now)
    if (state.prefetched.length === 0) holding.delete(state)
    for (const { kind } of unused) {
      prefetchCredit = chargeUnusedToken(prefetchCredit, kind)
      state.prefetchPauses = pausePrefetch(state.prefetchPauses, kind)
      endPrefetch(kind, 'unused')
    }
  }

  function prefetch (account: ClientAccount, kind: PreparationKind): void {
    const now = clock.now()
    const state = ensureState(account.name, now)
    for (const holder of [...holding]) dropUnusedTokens(holder, now)
    const unclaimed = state.prefetched.length + state.prefetching - state.awaitingPrefetch.length
    const isPoolEmpty = now < state.poolEmptyUntil
    const tokenMilliseconds = timeUntilToken(state.bucket, computeLimits(account), now)
    if (shouldPrefetchToken({ kind, pauses: state.prefetchPauses, unclaimed, credit: prefetchCredit, outstanding: prefetchesOutstanding[kind], tokenMilliseconds, isPoolEmpty })) void borrowAhead(account, state, kind)
  }

  async function borrowAhead (account: ClientAccount, state: AccountState, kind: PreparationKind): Promise<void> {
    const until = clock.now() + PREFETCHED_TOKEN_MILLISECONDS
    state.prefetching += 1
    prefetchesOutstanding[kind] += 1
    const reply = await borrow(account.name, 1)
    state.prefetching -= 1
    const operation = state.awaitingPrefetch.shift()
    if (reply.granted < 1) {
      endPrefetch(kind, 'not granted')
      // The operation has waited for the answer to a loan, as one without a prefetched token does.
      if (operation !== undefined) waitForLoan(account, state, operation, reply)
      return
    }
    if (operation === undefined) {
      state.prefetched.push({ kind, until })
      holding.add(state)
      return
    }
    endPrefetch(kind, 'used')
    operation.admit(true)
  }

  async function admit (account: ClientAccount): Promise<boolean> {
    const now = clock.now()
    const state = ensureState(account.name, now)
    Object.assign(state, { demand: decayDemand(state, now) + 1000 / DEMAND_AVERAGING_MILLISECONDS, demandAt: now })
    const { bucket, taken } = takeFromBucket(state.bucket, computeLimits(account), now)
    state.bucket = bucket
    prefetchCredit = earnPrefetchCredit(prefetchCredit)
    state.prefetchPauses = shortenPauses(state.prefetchPauses)
    if (taken) return true
    dropUnusedTokens(state, now)
    const token = state.prefetched.shift()
    if (token !== undefined) {
      if (state.prefetched.length === 0) holding.delete(state)
      endPrefetch(token.kind, 'used')
      return true
    }
    if (state.awaitingPrefetch.length < state.prefetching) return await new Promise<boolean>(resolve => { state.awaitingPrefetch.push({ since: now, admit: resolve }) })
    if (now < state.poolEmptyUntil) return false
    return await new Promise<boolean>(resolve => { waitForLoan(account, state, { since: now, admit: resolve }) })
  }

  /** The source of the next operation's token, in the order in which `admit` tries them. */
  function findTokenSource (state: AccountState | undefined, tokens: number, prefetched: number, now: number): TokenSource {
    if (tokens >= 1) return 'this instance'
    if (state === undefined) return 'loan'
    if (prefetched > 0 || state.awaitingPrefetch.length < state.prefetching) return 'prefetched'
    return now < state.poolEmptyUntil ? 'none' : 'loan'
  }

  function explain (account: ClientAccount): RateExplanation {
    const now = clock.now()
    const state = accounts.get(account.name)
    const { tokens } = refillBucket(state?.bucket ?? { tokens: 0, refilledAt: startedAt }, computeLimits(account), now)
    const prefetched = state?.prefetched.filter(({ until }) => until > now).length ?? 0
    return { ratePerSecond: account.ratePerSecond, share: shareOf(account.name), tokens: Math.floor(tokens), prefetched, source: findTokenSource(state, tokens, prefetched, now) }
  }

  return {
    admit,
    prefetch,
    explain,
    lend: async (account, wanted) => {
      const admitted = await Promise.all(Array.from({ length: Math.min(wanted, MAXIMUM_LOAN) }, async () => await admit(account)))
      return admitted.filter(Boolean).length
    },
    demand: () => {
      const now = clock.now()
      return Object.fromEntries([...accounts].flatMap(([name, state]) => {
        const demand = decayDemand(state, now)
        return demand < MINIMUM_REPORTED_DEMAND || shareOf(name) === 0 ? [] : [[name, Math.round(demand * 100) / 100]]
      }))
    }
  }
}
