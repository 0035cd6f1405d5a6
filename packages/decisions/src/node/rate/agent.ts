/**
 * Rate and burst at one instance: takes tokens for its requests, borrows from
 * the homes of each failure domain, and lends where it is home itself. It sends
 * nothing: what is to be sent comes back as effects.
 */

import { rankNodes } from '../group/rendezvous.js'
import { buildLoanRequest, createBorrower, demandOf, heldTokens, isUnresponsive, lenderFellShort, mayAsk, pendingTokens, receiveLoan, recordDemand, spendToken } from './borrower.js'
import { createLender, lendTokens, takeFromLender } from './lender.js'
import { countPromises, countVote, createMandates, lendingSince, startRound } from './mandate.js'
import { WHOLE_FLEET, ownerShare, ownersOf, seatOf, seatsOf, splitName } from './share.js'
import type { BucketLimits } from './bucket.js'
import type { Borrower } from './borrower.js'
import type { Lender, LoanRequest } from './lender.js'
import type { MandateRequest, VoteOptions } from './mandate.js'
import type { RatePolicy } from './policy.js'
import type { AccountKind } from './share.js'

/** What the agent goes by; read anew at each step. */
export interface RateView {
  /** Live entry instances, this one among them. */
  entries: ReadonlyArray<{ name: string, failureDomain: string }>
  /** Failure domains that the rules name. */
  domains: readonly string[]
  /** Limits of an account over the whole fleet; undefined: there is no such account. */
  limitsOf: (kind: AccountKind, account: string) => BucketLimits | undefined
  /** Whether rules are current enough to lend by, for this kind of account. */
  mayLend: (kind: AccountKind) => boolean
  /** Voters for seats of this kind. */
  voters: (kind: AccountKind) => readonly string[]
  /**
   * Voters of the fleet, each of which brings an equal part of the tokens of open
   * routes: so the parts never make more than the whole, whatever failure domains
   * the rules name here and elsewhere. Undefined: the parts are those of the
   * failure domains.
   */
  openShares?: number
}

export interface RateAgentOptions {
  name: string
  failureDomain: string
  /** Differs each time that the process starts. */
  incarnation: string
  policy: RatePolicy
  view: () => RateView
}

export type RateEffect =
  | { kind: 'admit', ticket: number }
  | { kind: 'refuse', ticket: number }
  | { kind: 'ask', lender: string, account: string, accountKind: AccountKind, request: LoanRequest }
  | { kind: 'seek', voter: string, round: number, request: MandateRequest }

export interface RateAgent {
  /** A request wants a token; the ticket comes back with the verdict, at once or later. */
  requestToken: (kind: AccountKind, account: string, ticket: number, now: number) => RateEffect[]
  /** The request behind the ticket is gone. */
  cancel: (ticket: number) => void
  /** Another instance asks for tokens; undefined: this instance is not home. */
  lend: (kind: AccountKind, account: string, request: LoanRequest, now: number) => number | undefined
  receiveLoan: (kind: AccountKind, account: string, lender: string, number: number, tokens: number | undefined, now: number) => RateEffect[]
  receivePromise: (voter: string, round: number, seats: readonly string[], now: number) => void
  /** To be called every few milliseconds. */
  tick: (now: number) => RateEffect[]
  /** Gives all seats back before the process ends: others need not wait for the mandate to run out. */
  release: (now: number) => RateEffect[]
  /** Seats that this instance holds and mints for now. */
  seats: (now: number) => string[]
  /** Whether every seat that should be here is held and minted for. */
  settled: (now: number) => boolean
  /** Requests that wait. */
  waiting: () => number
}

interface Account {
  kind: AccountKind
  name: string
  borrower: Borrower
  waiters: Array<{ ticket: number, deadline: number }>
  lender?: Lender
  /** Instances that turned out not to be home lately, with when that is forgotten. */
  notHomeUntil: Map<string, number>
  usedAt: number
}

/** Accounts whose state is kept. */
const MAXIMUM_ACCOUNTS = 20_000
/** How long an instance that is not home is passed over, in milliseconds. */
const NOT_HOME_MILLISECONDS = 200

export function createRateAgent ({ name, failureDomain, incarnation, policy, view }: RateAgentOptions): RateAgent {
  const incarnationId = policy.mutation === 'restart keeps its name' ? name : `${name}#${incarnation}`
  const accounts = new Map<string, Account>()
  const active = new Set<Account>()
  const mandates = createMandates()
  let requestedAt = -Infinity
  let requestedSeats = new Set<string>()
  let startedAt: number | undefined
  /** Lenders that are opened again count from here: some were forgotten. */
  let evictedAt = -Infinity
  let split = ''
  let shuttingDown = false
  /** Instances by rank for each seat, and the view that they come from. */
  let rankings = new Map<string, string[]>()
  let rankedView: Pick<RateView, 'entries' | 'domains'> | undefined

  /** The entry instances of the failure domain, the likeliest home of the seat first. */
  function rankInstances (seat: string, domain: string): string[] {
    const { entries, domains } = view()
    if (rankedView?.entries !== entries || rankedView.domains !== domains) {
      rankings = new Map()
      rankedView = { entries, domains }
    }
    const known = rankings.get(seat)
    if (known !== undefined) return known
    const candidates = entries.filter(entry => domains.length === 0 || entry.failureDomain === domain).map(entry => entry.name)
    const ranked = rankNodes(seat, candidates)
    rankings.set(seat, ranked)
    return ranked
  }

  function accountOf (kind: AccountKind, account: string, now: number): Account {
    const key = `${kind} ${account}`
    const known = accounts.get(key) ?? { kind, name: account, borrower: createBorrower(now), waiters: [], notHomeUntil: new Map(), usedAt: now }
    known.usedAt = now
    // The least recently used accounts come first.
    accounts.delete(key)
    accounts.set(key, known)
    if (accounts.size > MAXIMUM_ACCOUNTS) evictAccount(now)
    return known
  }

  function evictAccount (now: number): void {
    for (const [key, { waiters, lender }] of accounts) {
      if (waiters.length > 0 || (lender !== undefined && lender.loans.length > 0)) continue
      accounts.delete(key)
      evictedAt = now
      return
    }
  }

  function ownDomain (): string {
    const { domains } = view()
    return domains.length === 0 ? WHOLE_FLEET : failureDomain
  }

  /** This instance's tokens of the account, if it is home to it now. */
  function ownLender (account: Account, now: number): { lender: Lender, share: BucketLimits } | undefined {
    const { domains, limitsOf, mayLend } = view()
    const limits = limitsOf(account.kind, account.name)
    if (limits === undefined || !mayLend(account.kind)) return undefined
    if (domains.length > 0 && !domains.includes(failureDomain)) return undefined
    const seat = seatOf(account.kind, ownDomain(), account.name)
    const since = seatLendingSince(seat, now)
    if (since === undefined) {
      account.lender = undefined
      return undefined
    }
    const share = ownShare(account.kind, limits, seat, now)
    account.lender ??= createLender(share, now, now - Math.max(since, evictedAt), policy)
    return { lender: account.lender, share }
  }

  /** The part of an account's limits that this instance mints as home of the seat. */
  function ownShare (kind: AccountKind, limits: BucketLimits, seat: string, now: number): BucketLimits {
    const { domains, openShares } = view()
    const byDomain = kind === 'keyed' || openShares === undefined || policy.mutation === 'open parts by domain'
    if (byDomain) return ownerShare(limits, Math.max(1, domains.length))
    const { rate, burst } = ownerShare(limits, openShares)
    const voters = countPromises(mandates, seat, now)
    return { rate: rate * voters, burst: burst * voters }
  }

  function seatLendingSince (seat: string, now: number): number | undefined {
    if (policy.mutation === 'home without mandate') return wantedSeats().has(seat) ? startedAt : undefined
    return lendingSince(mandates, seat, now)
  }

  function takeToken (account: Account, now: number): boolean {
    if (spendToken(account.borrower, now, policy)) return true
    const own = ownLender(account, now)
    if (own === undefined) return false
    if (takeFromLender(own.lender, own.share, now, policy)) return true
    if (own.share.burst >= 1) return false
    borrowFromSelf(account, own, now)
    return spendToken(account.borrower, now, policy)
  }

  /** A share below one token is lent in parts, also to requests at the home. */
  function borrowFromSelf (account: Account, own: { lender: Lender, share: BucketLimits }, now: number): void {
    if (!mayAsk(account.borrower, name, now, policy)) return
    const request = buildLoanRequest(account.borrower, name, incarnationId, 1, now)
    receiveLoan(account.borrower, name, request.number, lendTokens(own.lender, own.share, request, now, policy), now, policy)
  }

  /** Who is likely to be home to the account in a failure domain. */
  function likelyHome (domain: string, account: Account, now: number): string | undefined {
    const ranked = rankInstances(seatOf(account.kind, domain, account.name), domain)
    return ranked.find(candidate => (account.notHomeUntil.get(candidate) ?? -Infinity) <= now) ?? ranked[0]
  }

  /** Tokens that the account lacks here, those on their way counted in. */
  function missingTokens (account: Account, now: number): number {
    const expected = Math.floor(demandOf(account.borrower, now) * policy.borrowAheadMilliseconds / 1000)
    const held = heldTokens(account.borrower, now, policy) + pendingTokens(account.borrower, now, policy)
    return Math.ceil(account.waiters.length + expected - held)
  }

  function borrow (account: Account, now: number): RateEffect[] {
    const missing = missingTokens(account, now)
    if (missing <= 0) return []
    const { domains, limitsOf } = view()
    if (limitsOf(account.kind, account.name) === undefined) return []
    const own = ownDomain()
    const home = ownersOf(account.name, domains).includes(own) ? likelyHome(own, account, now) : undefined
    if (home !== undefined && home !== name && !lenderFellShort(account.borrower, home)) {
      const ready = mayAsk(account.borrower, home, now, policy)
      if (!lenderFellShort(account.borrower, home)) return ready ? [requestLoan(account, home, missing, now)] : []
    }
    // The home itself borrows for requests that wait, and nothing ahead.
    if (home === name && account.waiters.length === 0) return []
    return borrowFromOwners(account, missing, now)
  }

  /** The home falls short: every owner is asked for a part. */
  function borrowFromOwners (account: Account, missing: number, now: number): RateEffect[] {
    const { domains } = view()
    const lenders = ownersOf(account.name, domains)
      .map(domain => likelyHome(domain, account, now))
      .filter((lender): lender is string => lender !== undefined && lender !== name && mayAsk(account.borrower, lender, now, policy))
    const responsive = lenders.filter(lender => !isUnresponsive(account.borrower, lender))
    // No more than is missing is asked for: what is not spent expires here.
    const chosen = rotate(responsive, account.borrower.rotation).slice(0, missing)
    account.borrower.rotation += 1
    const wanted = Math.ceil(missing / Math.max(1, chosen.length))
    // One token shows whether a silent lender answers again.
    const unresponsive = lenders.filter(lender => isUnresponsive(account.borrower, lender))
    return [...chosen.map(lender => requestLoan(account, lender, wanted, now)), ...unresponsive.map(lender => requestLoan(account, lender, 1, now))]
  }

  function requestLoan (account: Account, lender: string, wanted: number, now: number): RateEffect {
    return { kind: 'ask', lender, account: account.name, accountKind: account.kind, request: buildLoanRequest(account.borrower, lender, incarnationId, wanted, now) }
  }

  function serveWaiters (account: Account, now: number): RateEffect[] {
    const effects: RateEffect[] = []
    while (account.waiters.length > 0 && takeToken(account, now)) {
      const [{ ticket }] = account.waiters.splice(0, 1)
      effects.push({ kind: 'admit', ticket })
    }
    while (account.waiters.length > 0 && account.waiters[0].deadline <= now) {
      const [{ ticket }] = account.waiters.splice(0, 1)
      effects.push({ kind: 'refuse', ticket })
    }
    if (account.waiters.length === 0) active.delete(account)
    return effects
  }

  function requestToken (kind: AccountKind, accountName: string, ticket: number, now: number): RateEffect[] {
    const account = accountOf(kind, accountName, now)
    recordDemand(account.borrower, now)
    if (account.waiters.length === 0 && takeToken(account, now)) return [{ kind: 'admit', ticket }, ...borrow(account, now)]
    if (account.waiters.length >= policy.maximumWaiting) return [{ kind: 'refuse', ticket }]
    account.waiters.push({ ticket, deadline: now + policy.waitMilliseconds })
    active.add(account)
    return borrow(account, now)
  }

  function cancel (ticket: number): void {
    for (const account of active) account.waiters = account.waiters.filter(waiter => waiter.ticket !== ticket)
  }

  function lend (kind: AccountKind, accountName: string, request: LoanRequest, now: number): number | undefined {
    const account = accountOf(kind, accountName, now)
    const own = ownLender(account, now)
    return own === undefined ? undefined : lendTokens(own.lender, own.share, request, now, policy)
  }

  function handleLoan (kind: AccountKind, accountName: string, lender: string, number: number, tokens: number | undefined, now: number): RateEffect[] {
    const account = accounts.get(`${kind} ${accountName}`)
    if (account === undefined) return []
    if (tokens === undefined) account.notHomeUntil.set(lender, now + NOT_HOME_MILLISECONDS)
    else account.notHomeUntil.delete(lender)
    receiveLoan(account.borrower, lender, number, tokens ?? 0, now, policy)
    const served = serveWaiters(account, now)
    return account.waiters.length === 0 ? served : [...served, ...borrow(account, now)]
  }

  /** Seats for which this instance comes first by its own view. */
  function wantedSeats (): Set<string> {
    const { domains } = view()
    const domain = ownDomain()
    if (domains.length > 0 && !domains.includes(domain)) return new Set()
    return new Set(seatsOf(domain).map(({ seat }) => seat).filter(seat => rankInstances(seat, domain)[0] === name))
  }

  function requestMandates (now: number): RateEffect[] {
    if (shuttingDown || now - requestedAt < policy.renewMilliseconds) return []
    requestedAt = now
    const wanted = wantedSeats()
    const released = [...requestedSeats].filter(seat => !wanted.has(seat))
    for (const seat of released) mandates.held.delete(seat)
    // A promise given before its seat was released must not count after it.
    if (released.length > 0) mandates.rounds.clear()
    requestedSeats = wanted
    const { domains, voters } = view()
    if (splitName(domains) !== split) {
      // Tokens of another split must not be lent beside those of this one.
      mandates.held.clear()
      mandates.rounds.clear()
      split = splitName(domains)
    }
    const round = startRound(mandates, now)
    const allVoters = new Set([...voters('keyed'), ...voters('open')])
    return [...allVoters].map(voter => ({
      kind: 'seek',
      voter,
      round,
      request: { holder: incarnationId, split, released, seats: [...wanted].filter(seat => voters(kindOf(seat)).includes(voter)) }
    }))
  }

  function release (now: number): RateEffect[] {
    shuttingDown = true
    const released = [...requestedSeats]
    requestedSeats = new Set()
    mandates.held.clear()
    mandates.rounds.clear()
    const { voters } = view()
    const round = startRound(mandates, now)
    return [...new Set([...voters('keyed'), ...voters('open')])].map(voter => ({ kind: 'seek', voter, round, request: { holder: incarnationId, split, released, seats: [] } }))
  }

  function receivePromise (voter: string, round: number, seats: readonly string[], now: number): void {
    const { voters, openShares } = view()
    const options: VoteOptions = {
      majorityOf: seat => Math.floor(voters(kindOf(seat)).length / 2) + 1,
      hasSharePerVoter: seat => openShares !== undefined && kindOf(seat) === 'open'
    }
    const gained = countVote(mandates, { voter, round, seats: seats.filter(seat => requestedSeats.has(seat) && voters(kindOf(seat)).includes(voter)) }, options, now, policy)
    if (gained.length === 0) return
    const gainedSeats = new Set(gained)
    for (const account of accounts.values()) {
      if (gainedSeats.has(seatOf(account.kind, ownDomain(), account.name))) account.lender = undefined
    }
  }

  function tick (now: number): RateEffect[] {
    startedAt ??= now
    const effects = requestMandates(now)
    for (const account of active) {
      effects.push(...serveWaiters(account, now))
      if (account.waiters.length > 0) effects.push(...borrow(account, now))
    }
    return effects
  }

  return {
    requestToken,
    cancel,
    lend,
    receiveLoan: handleLoan,
    receivePromise,
    tick,
    release,
    seats: now => [...mandates.held.keys()].filter(seat => lendingSince(mandates, seat, now) !== undefined),
    settled: now => requestedAt > -Infinity && [...requestedSeats].every(seat => lendingSince(mandates, seat, now) !== undefined),
    waiting: () => [...active].reduce((sum, { waiters }) => sum + waiters.length, 0)
  }
}

function rotate<Item> (items: readonly Item[], by: number): Item[] {
  const start = items.length === 0 ? 0 : by % items.length
  return [...items.slice(start), ...items.slice(0, start)]
}

function kindOf (seat: string): AccountKind {
  return seat.startsWith('open/') ? 'open' : 'keyed'
}
