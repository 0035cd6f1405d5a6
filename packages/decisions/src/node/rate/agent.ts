/**
 * Rate limiting of client accounts at one entry instance. The agent takes tokens
 * for the instance's requests, borrows tokens from the account's home in each
 * failure domain, and lends tokens of the accounts that it is home to. It does no
 * I/O: messages to send and verdicts on requests are returned as effects.
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

/** What the agent bases its decisions on; read again at each step. */
export interface RateView {
  /** Live entry instances, including this one. */
  entries: ReadonlyArray<{ name: string, failureDomain: string }>
  /** Failure domains that the rules name. */
  domains: readonly string[]
  /** Returns the fleet-wide rate and burst of an account; undefined if there is no such account. */
  limitsOf: (kind: AccountKind, account: string) => BucketLimits | undefined
  /** Whether this instance's rules are recent enough to lend tokens of this kind of account. */
  mayLend: (kind: AccountKind) => boolean
  /** Voters that promise seats of this kind. */
  voters: (kind: AccountKind) => readonly string[]
  /**
   * Number of voters in the fleet. Each voter that promises a seat of open routes
   * adds an equal share of their limits, so that the shares never exceed the whole,
   * even while instances know rules with different failure domains. Undefined: open
   * routes are split over the failure domains, as keyed accounts are.
   */
  openShares?: number
}

export interface RateAgentOptions {
  name: string
  failureDomain: string
  /** Unique to each start of the process. */
  incarnation: string
  policy: RatePolicy
  view: () => RateView
}

/** What the process carries out for the agent. */
export type RateEffect =
  | { kind: 'admit', ticket: number }
  | { kind: 'refuse', ticket: number }
  /** Requests a loan of tokens from a lender. */
  | { kind: 'ask', lender: string, account: string, accountKind: AccountKind, request: LoanRequest }
  /** Requests, renews or releases mandates on seats at a voter. */
  | { kind: 'seek', voter: string, round: number, request: MandateRequest }

export interface RateAgent {
  /** Requests a token. The verdict on the ticket is an effect of this call or of a later one. */
  requestToken: (kind: AccountKind, account: string, ticket: number, now: number) => RateEffect[]
  /** Removes the ticket's request if it is still waiting. */
  cancel: (ticket: number) => void
  /** Lends tokens to another instance; undefined if this instance is not home to the account. */
  lend: (kind: AccountKind, account: string, request: LoanRequest, now: number) => number | undefined
  receiveLoan: (kind: AccountKind, account: string, lender: string, number: number, tokens: number | undefined, now: number) => RateEffect[]
  receivePromise: (voter: string, round: number, seats: readonly string[], now: number) => void
  /** Renews mandates and serves waiting requests; to be called every few milliseconds. */
  tick: (now: number) => RateEffect[]
  /** Releases all seats before the process ends, so that other instances need not wait until its mandates expire. */
  release: (now: number) => RateEffect[]
  /** Seats whose tokens this instance may lend now. */
  seats: (now: number) => string[]
  /** Whether this instance has requested its seats and may lend the tokens of each. */
  holdsWantedSeats: (now: number) => boolean
  /** Number of waiting requests. */
  waiting: () => number
}

interface Account {
  kind: AccountKind
  name: string
  borrower: Borrower
  waiters: Array<{ ticket: number, deadline: number }>
  lender?: Lender
  /** Instances that answered that they are not home, and until when others are preferred to them. */
  notHomeUntil: Map<string, number>
  usedAt: number
}

/** Most accounts whose state is kept. */
const MAXIMUM_ACCOUNTS = 20_000
/** How long other instances are preferred to one that answered that it is not home, in milliseconds. */
const NOT_HOME_MILLISECONDS = 200

export function createRateAgent ({ name, failureDomain, incarnation, policy, view }: RateAgentOptions): RateAgent {
  const incarnationId = policy.mutation === 'restart keeps its name' ? name : `${name}#${incarnation}`
  const accounts = new Map<string, Account>()
  const active = new Set<Account>()
  const mandates = createMandates()
  let requestedAt = -Infinity
  let requestedSeats = new Set<string>()
  let startedAt: number | undefined
  /** When an account was last evicted; tokens of a lender that is created later accrue only from here on. */
  let evictedAt = -Infinity
  let split = ''
  let shuttingDown = false
  /** Ranked instances of each seat, cached for the view that they were computed from. */
  let rankings = new Map<string, string[]>()
  let rankedView: Pick<RateView, 'entries' | 'domains'> | undefined

  /** Ranks the entry instances of the failure domain for a seat; the preferred home comes first. */
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

  function accountOf (kind: AccountKind, accountName: string, now: number): Account {
    const key = `${kind} ${accountName}`
    const account = accounts.get(key) ?? { kind, name: accountName, borrower: createBorrower(now), waiters: [], notHomeUntil: new Map(), usedAt: now }
    account.usedAt = now
    // Keeps the least recently used accounts first.
    accounts.delete(key)
    accounts.set(key, account)
    if (accounts.size > MAXIMUM_ACCOUNTS) evictAccount(now)
    return account
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

  /** The account's tokens at this instance, if it is home to the account now. */
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

  /** The share of an account's limits that this instance holds as home of the seat. */
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

  /** Borrows from this instance's own lender: a share below one token is lent only in fractions, which add up to a token at the borrower. */
  function borrowFromSelf (account: Account, own: { lender: Lender, share: BucketLimits }, now: number): void {
    if (!mayAsk(account.borrower, name, now, policy)) return
    const request = buildLoanRequest(account.borrower, name, incarnationId, 1, now)
    receiveLoan(account.borrower, name, request.number, lendTokens(own.lender, own.share, request, now, policy), now, policy)
  }

  /** The instance that is most likely home to the account in a failure domain. */
  function likelyHome (domain: string, account: Account, now: number): string | undefined {
    const ranked = rankInstances(seatOf(account.kind, domain, account.name), domain)
    return ranked.find(candidate => (account.notHomeUntil.get(candidate) ?? -Infinity) <= now) ?? ranked[0]
  }

  /** Tokens to borrow for waiting requests and expected demand, less those that are held or on their way. */
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
    const domain = ownDomain()
    const home = ownersOf(account.name, domains).includes(domain) ? likelyHome(domain, account, now) : undefined
    if (home !== undefined && home !== name && !lenderFellShort(account.borrower, home)) {
      const ready = mayAsk(account.borrower, home, now, policy)
      if (!lenderFellShort(account.borrower, home)) return ready ? [requestLoan(account, home, missing, now)] : []
    }
    // The home itself borrows only for waiting requests, not ahead of demand.
    if (home === name && account.waiters.length === 0) return []
    return borrowFromOwners(account, missing, now)
  }

  /** Spreads the request over the account's homes in all failure domains, when the nearest home has too few tokens. */
  function borrowFromOwners (account: Account, missing: number, now: number): RateEffect[] {
    const { domains } = view()
    const lenders = ownersOf(account.name, domains)
      .map(domain => likelyHome(domain, account, now))
      .filter((lender): lender is string => lender !== undefined && lender !== name && mayAsk(account.borrower, lender, now, policy))
    const responsive = lenders.filter(lender => !isUnresponsive(account.borrower, lender))
    // Requests no more than is missing: borrowed tokens that are not spent expire.
    const chosen = rotate(responsive, account.borrower.rotation).slice(0, missing)
    account.borrower.rotation += 1
    const wanted = Math.ceil(missing / Math.max(1, chosen.length))
    // A request for one token probes whether an unresponsive lender answers again.
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

  /** Seats whose preferred home is this instance, by its own view. */
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
    // A promise from before its seat was released must not count afterwards.
    if (released.length > 0) mandates.rounds.clear()
    requestedSeats = wanted
    const { domains, voters } = view()
    if (splitName(domains) !== split) {
      // Tokens must not be lent under two splits at once: together they could exceed the limits.
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
    holdsWantedSeats: now => requestedAt > -Infinity && [...requestedSeats].every(seat => lendingSince(mandates, seat, now) !== undefined),
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
