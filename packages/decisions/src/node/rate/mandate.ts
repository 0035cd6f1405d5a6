/**
 * Mandates: which instance is home to the accounts of a seat. Voters, a fixed
 * set that everybody agrees on, each promise a seat to one holder at a time; a
 * majority makes a mandate, and any two majorities meet. Nothing is written to
 * disk: a voter that starts waits until all it may have promised is over.
 */

import { addDriftMargin } from './policy.js'
import type { RatePolicy } from './policy.js'

export interface MandateRequest {
  /** Name and incarnation of the instance that asks. */
  holder: string
  /** Split of accounts that the holder goes by; two never have mandates at once. */
  split: string
  seats: readonly string[]
  released: readonly string[]
}

interface SeatPromise {
  holder: string
  until: number
}

export interface Voter {
  /** Nothing is promised before. */
  promisesFrom: number
  promises: Map<string, SeatPromise>
  split: string
  splitUntil: number
}

/** Seats that one voter keeps promises for. */
const MAXIMUM_SEATS = 10_000

export function createVoter (now: number, policy: RatePolicy): Voter {
  const delay = policy.mutation === 'voter forgets its promises' ? 0 : addDriftMargin(policy.mandateMilliseconds, policy)
  return { promisesFrom: now + delay, promises: new Map(), split: '', splitUntil: -Infinity }
}

function dropExpired (voter: Voter, now: number): void {
  for (const [seat, { until }] of voter.promises) if (until <= now) voter.promises.delete(seat)
}

/** The seats that the voter promises to the holder for the length of a mandate. */
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

/** One seat as its holder sees it. */
interface HeldSeat {
  until: number
  /** Tokens are minted and lent from here on: earlier loans of other homes are over. */
  lendFrom: number
  /** When the promise of each voter ends. */
  promisedUntil: Map<string, number>
}

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

/** Rounds whose answers are still counted. */
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
  /** Votes that make a mandate. */
  majorityOf: (seat: string) => number
  /** Whether each voter's promise brings a part of the tokens of its own. */
  hasSharePerVoter: (seat: string) => boolean
}

/** Takes the promises of a round; true: a voter promises that did not before. */
function recordPromises (held: HeldSeat, voters: ReadonlySet<string>, until: number, now: number): boolean {
  const allKnown = [...voters].every(voter => (held.promisedUntil.get(voter) ?? -Infinity) > now)
  for (const voter of voters) held.promisedUntil.set(voter, Math.max(until, held.promisedUntil.get(voter) ?? -Infinity))
  return !allKnown
}

/**
 * Counts a voter's promises; gives the seats that are newly held, or hold more
 * than before: tokens of a voter that others may have lent are waited out.
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

/** Voters whose promise of the seat still holds. */
export function countPromises (mandates: Mandates, seat: string, now: number): number {
  return [...mandates.held.get(seat)?.promisedUntil.values() ?? []].filter(until => until > now).length
}

/** Since when the seat's tokens are minted here; undefined: this instance is not its home now. */
export function lendingSince (mandates: Mandates, seat: string, now: number): number | undefined {
  const held = mandates.held.get(seat)
  if (held === undefined || now >= held.until || now < held.lendFrom) return undefined
  return held.lendFrom
}
