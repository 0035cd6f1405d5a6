/**
 * Mandates decide which instance lends the tokens of an account in a failure
 * domain. The accounts are hashed into seats; the instance that holds a seat is the
 * home of its accounts, and only the home lends their tokens. A mandate is a lease
 * on a seat, promised by a majority of a fixed set of voters. Each voter promises a
 * seat to one holder at a time, and any two majorities have a voter in common, so a
 * seat has at most one home. Promises are not written to disk: a voter that starts
 * makes none until all that it may have made before have expired.
 */

import { addDriftMargin } from './policy.js'
import type { RatePolicy } from './policy.js'

export interface MandateRequest {
  /** Name and incarnation of the instance that asks. */
  holder: string
  /** The failure domains that the holder splits accounts' limits over, as `splitName` returns them; two splits never have mandates at once. */
  split: string
  /** Seats that the holder wants to hold or keep. */
  seats: readonly string[]
  /** Seats that it no longer wants to hold. */
  released: readonly string[]
}

interface SeatPromise {
  holder: string
  until: number
}

export interface Voter {
  /** Time from which on the voter makes promises: those from before its start have expired by then. */
  promisesFrom: number
  promises: Map<string, SeatPromise>
  /** Split of the newest promise; no other split gets promises until `splitUntil`. */
  split: string
  splitUntil: number
}

/** Most seats that one voter keeps promises for. */
const MAXIMUM_SEATS = 10_000

export function createVoter (now: number, policy: RatePolicy): Voter {
  const delay = policy.mutation === 'voter forgets its promises' ? 0 : addDriftMargin(policy.mandateMilliseconds, policy)
  return { promisesFrom: now + delay, promises: new Map(), split: '', splitUntil: -Infinity }
}

function dropExpired (voter: Voter, now: number): void {
  for (const [seat, { until }] of voter.promises) if (until <= now) voter.promises.delete(seat)
}

/** Promises the requested seats that no other holder has, for the duration of a mandate, and returns them; none while promises of another split are valid. */
export function promiseSeats (voter: Voter, request: MandateRequest, now: number, policy: RatePolicy): string[] {
  const { holder, split, seats, released } = request
  if (now < voter.promisesFrom) return []
  dropExpired(voter, now)
  for (const seat of released) if (voter.promises.get(seat)?.holder === holder) voter.promises.delete(seat)
  if (split !== voter.split && now < voter.splitUntil && policy.mutation !== 'splits overlap') return []
  const until = now + addDriftMargin(policy.mandateMilliseconds, policy)
  const promised = seats.filter(seat => {
    const known = voter.promises.get(seat)
    return known === undefined ? voter.promises.size < MAXIMUM_SEATS : known.holder === holder
  })
  for (const seat of promised) voter.promises.set(seat, { holder, until })
  if (promised.length === 0) return promised
  voter.split = split
  voter.splitUntil = until
  return promised
}

/** A seat for which this instance has the promises of a majority. */
interface HeldSeat {
  until: number
  /** When lending of the seat's tokens starts: loans of earlier homes have expired by then. */
  lendFrom: number
  /** When the promise of each voter expires. */
  promisedUntil: Map<string, number>
}

/** One round of requests to the voters, and the voters that promised each seat. */
interface Round {
  askedAt: number
  votes: Map<string, Set<string>>
}

/** An instance's mandates. */
export interface Mandates {
  round: number
  rounds: Map<number, Round>
  held: Map<string, HeldSeat>
}

/** Newest rounds whose answers are still counted. */
const MAXIMUM_ROUNDS = 4

export function createMandates (): Mandates {
  return { round: 0, rounds: new Map(), held: new Map() }
}

export function startRound (mandates: Mandates, now: number): number {
  mandates.round += 1
  mandates.rounds.set(mandates.round, { askedAt: now, votes: new Map() })
  mandates.rounds.delete(mandates.round - MAXIMUM_ROUNDS)
  return mandates.round
}

export interface SeatVote {
  voter: string
  round: number
  seats: readonly string[]
}

export interface VoteOptions {
  /** Number of promises that make a mandate. */
  majorityOf: (seat: string) => number
  /** Whether each voter's promise adds its own share of the tokens. */
  hasSharePerVoter: (seat: string) => boolean
}

/** Records the promises of a round; returns whether a voter has promised whose earlier promise is missing or expired. */
function recordPromises (held: HeldSeat, voters: ReadonlySet<string>, until: number, now: number): boolean {
  const allKnown = [...voters].every(voter => (held.promisedUntil.get(voter) ?? -Infinity) > now)
  for (const voter of voters) held.promisedUntil.set(voter, Math.max(until, held.promisedUntil.get(voter) ?? -Infinity))
  return !allKnown
}

/**
 * Counts a voter's promises. Returns the seats that are newly held or gained the
 * share of another voter; lending of their tokens starts once the loans that other
 * homes may have made from them have expired.
 */
export function countVote (mandates: Mandates, vote: SeatVote, { majorityOf, hasSharePerVoter }: VoteOptions, now: number, policy: RatePolicy): string[] {
  const round = mandates.rounds.get(vote.round)
  if (round === undefined) return []
  const gained: string[] = []
  for (const seat of vote.seats) {
    const voters = round.votes.get(seat) ?? new Set<string>()
    voters.add(vote.voter)
    round.votes.set(seat, voters)
    const until = round.askedAt + policy.mandateMilliseconds
    if (voters.size < majorityOf(seat) || until <= now) continue
    const wait = policy.mutation === 'no wait for earlier loans' ? 0 : addDriftMargin(policy.loanMilliseconds, policy)
    const held = mandates.held.get(seat)
    if (held !== undefined && now < held.until) {
      held.until = Math.max(held.until, until)
      const hasNewVoter = recordPromises(held, voters, until, now)
      if (!hasNewVoter || !hasSharePerVoter(seat)) continue
      held.lendFrom = now + wait
      gained.push(seat)
      continue
    }
    mandates.held.set(seat, { until, lendFrom: now + wait, promisedUntil: new Map([...voters].map(voter => [voter, until])) })
    gained.push(seat)
  }
  return gained
}

/** Number of voters whose promise of the seat has not expired. */
export function countPromises (mandates: Mandates, seat: string, now: number): number {
  return [...mandates.held.get(seat)?.promisedUntil.values() ?? []].filter(until => until > now).length
}

/** When this instance started to lend the seat's tokens; undefined if it is not the seat's home now. */
export function lendingSince (mandates: Mandates, seat: string, now: number): number | undefined {
  const held = mandates.held.get(seat)
  if (held === undefined || now >= held.until || now < held.lendFrom) return undefined
  return held.lendFrom
}
