/**
 * Chooses the entry instances that hold the connections to a group's servers. All other
 * instances send the group's operations to them. Each account of a group has one holder
 * as long as that one answers.
 *
 * Load patterns:
 * - More instances than connections, and more client accounts than connections. If
 *   every instance connects itself, nearly every statement opens a connection, which
 *   occupies a slot of the server longer than the statement does.
 * - Few statements at each of many instances. None of them knows how busy a server is
 *   or which position the primary has reached; a few holders see enough to know.
 */

import { rankManyNodes } from '../group/rendezvous.js'
import { computeSilenceTimeout, recordRoundTrip } from './roundTrip.js'
import type { RoundTrips } from './roundTrip.js'

/** Holders in each failure domain that has a server of the group: one can be lost, and the other one still shares the domain's fate with its servers only. */
const HOLDERS_PER_FAILURE_DOMAIN = 2

export interface HolderCandidate {
  name: string
  failureDomain: string
}

/**
 * Chooses the holders of a group: instances of the failure domains of its servers,
 * and others where these are too few.
 */
export function chooseHolders<Candidate extends HolderCandidate> (group: string, serverDomains: readonly string[], candidates: readonly Candidate[]): Candidate[] {
  const domains = new Set(serverDomains)
  const byName = new Map(candidates.map(candidate => [candidate.name, candidate]))
  const ranked = rankManyNodes(group, [...byName.keys()]).flatMap(name => byName.get(name) ?? [])
  const near = [...domains].flatMap(domain => ranked.filter(({ failureDomain }) => failureDomain === domain).slice(0, HOLDERS_PER_FAILURE_DOMAIN))
  const missing = HOLDERS_PER_FAILURE_DOMAIN * Math.max(1, domains.size) - near.length
  return [...near, ...ranked.filter(candidate => !near.includes(candidate)).slice(0, Math.max(0, missing))]
}

/** Orders the holders of a group by preference for an account: the first one is used while it answers. */
export function orderHolders<Holder extends { name: string }> (account: string, holders: readonly Holder[]): Holder[] {
  const byName = new Map(holders.map(holder => [holder.name, holder]))
  return rankManyNodes(account, [...byName.keys()]).flatMap(name => byName.get(name) ?? [])
}

/** Time without a word from a holder with work outstanding after which it is asked whether it still answers, in milliseconds: longer than most statements. */
const PROBE_AFTER_MILLISECONDS = 60
/** Interval between two such questions to a silent holder, in milliseconds. */
const PROBE_INTERVAL_MILLISECONDS = 250
/** How long a holder is not used after it refused because it can't serve, in milliseconds. */
const REFUSAL_PAUSE_MILLISECONDS = 300
/** Interval between the first two attempts to reach a holder, in milliseconds; it grows with each further one. */
const FIRST_ATTEMPT_INTERVAL_MILLISECONDS = 300
const ATTEMPT_INTERVAL_FACTOR = 1.5
const LONGEST_ATTEMPT_INTERVAL_MILLISECONDS = 1_000
/** Fraction by which an interval is shortened at most, at random: all instances lose their streams to a holder together. */
const ATTEMPT_INTERVAL_SPREAD = 0.2

/** What an instance has noticed of a holder. */
export interface HolderHealth {
  /** When the holder last sent anything. */
  heardAt: number
  /** When it was last asked whether it answers; -Infinity: never. */
  probedAt: number
  /** Until when it is not used, because it refused. */
  pausedUntil: number
  /** Whether it has said that it stops. */
  leaving: boolean
  /** Whether it owes an answer to a probe for too long. */
  silent: boolean
  /** `untried`: no attempt to open a stream has ended yet. `lost`: the last attempt failed, or the stream has ended, and no answer has come on another one. */
  connection: 'untried' | 'open' | 'lost'
  /** Attempts since the holder last answered. */
  attempts: number
  /** From when the next attempt to open a stream is allowed. */
  attemptFrom: number
  /** When the present stream was opened, and the round trips measured on it; undefined before the first one. */
  openedAt: number
  roundTrips?: RoundTrips
}

export const UNKNOWN_HOLDER: HolderHealth = { heardAt: -Infinity, probedAt: -Infinity, pausedUntil: -Infinity, leaving: false, silent: false, connection: 'untried', attempts: 0, attemptFrom: -Infinity, openedAt: -Infinity }

export function recordHolderAnswer (health: HolderHealth, now: number): HolderHealth {
  return { ...health, heardAt: now, silent: false, connection: 'open', attempts: 0, attemptFrom: -Infinity }
}

/** Records how long the holder took to answer, apart from its work. */
export function recordHolderRoundTrip (health: HolderHealth, milliseconds: number): HolderHealth {
  return { ...health, roundTrips: recordRoundTrip(health.roundTrips, milliseconds) }
}

/** Records that the holder refused because it can't serve at present. */
export function recordHolderRefusal (health: HolderHealth, now: number): HolderHealth {
  return { ...health, pausedUntil: now + REFUSAL_PAUSE_MILLISECONDS }
}

/** Records that an attempt to open a stream begins, which may last until the next one is allowed. */
export function recordHolderAttempt (health: HolderHealth, now: number, random: () => number): HolderHealth {
  const interval = Math.min(LONGEST_ATTEMPT_INTERVAL_MILLISECONDS, FIRST_ATTEMPT_INTERVAL_MILLISECONDS * ATTEMPT_INTERVAL_FACTOR ** health.attempts)
  return { ...health, attempts: health.attempts + 1, attemptFrom: now + interval * (1 - ATTEMPT_INTERVAL_SPREAD * random()) }
}

/** Records that a stream was opened, with a probe on it. A holder whose last stream was lost is used again once it answers, because a frozen instance accepts connections too. */
export function recordHolderOpened (health: HolderHealth, now: number): HolderHealth {
  return { ...health, connection: health.connection === 'untried' ? 'open' : health.connection, probedAt: now, openedAt: now, roundTrips: undefined }
}

/** Records that the stream has ended, or could not be opened. Another process may answer at the address by now. */
export function recordHolderLost (health: HolderHealth): HolderHealth {
  return { ...health, connection: 'lost', leaving: false, silent: false, probedAt: -Infinity }
}

/** `ready`: operations may be sent. `untried`: the first attempt to reach it has yet to end. `unreachable`: no stream to it is open. `unusable`: it stops, is silent, or refused a moment ago. */
export type HolderReadiness = 'ready' | 'untried' | 'unreachable' | 'unusable'

const READINESS: Record<HolderHealth['connection'], HolderReadiness> = { untried: 'untried', open: 'ready', lost: 'unreachable' }

export function assessHolder ({ pausedUntil, leaving, silent, connection }: HolderHealth, now: number): HolderReadiness {
  return leaving || silent || now < pausedUntil ? 'unusable' : READINESS[connection]
}

/** A holder of an account, in the order of preference; `here` is the instance that chooses. */
export interface HolderOption<Holder> {
  holder: Holder
  readiness: HolderReadiness | 'here'
}

/** What an operation does: it is sent to a holder, runs on this instance's own connections, or waits for an attempt to reach a holder. */
export type HolderChoice<Holder> =
  | { kind: 'send', holder: Holder }
  | { kind: 'run here' }
  | { kind: 'await attempt', holder: Holder }

/** Whether the instance that chooses can run the operation itself: now, probably once a lease that has just ended is back, or not. */
export type OwnAbility = 'now' | 'soon' | 'not'

/**
 * Chooses the holder that is to run an operation. A holder that can't be reached is passed
 * over; its attempt is awaited only by an operation that nothing else can run.
 *
 * Load pattern: an instance has lost control, and others have not. What it would run itself
 * waits for its lease up to the deadline, while another holder could answer.
 *
 * Load pattern: half of the instances are cut off, and the streams to them have ended. If
 * each operation tried to reach its holder, it would wait for the timeout of an attempt
 * for each of the holders beyond the cut.
 */
export function selectHolder<Holder> (options: ReadonlyArray<HolderOption<Holder>>, here: OwnAbility): HolderChoice<Holder> {
  const chosen = options.find(({ readiness }) => readiness === 'here' ? here === 'now' : readiness === 'ready' || readiness === 'untried')
  if (chosen?.readiness === 'here') return { kind: 'run here' }
  if (chosen !== undefined) return { kind: 'send', holder: chosen.holder }
  const unreachable = here !== 'not' ? undefined : options.find(({ readiness }) => readiness === 'unreachable')
  return unreachable === undefined ? { kind: 'run here' } : { kind: 'await attempt', holder: unreachable.holder }
}

/**
 * Decides whether to probe a holder, and whether it counts as silent; `oldestSentAt` is
 * when the oldest operation without an answer was sent, undefined if there is none. The
 * last `stalledMilliseconds` don't count, as this instance did nothing then and has not
 * read the answers that came.
 *
 * Load patterns:
 * - Instances that freeze or turn slow for seconds while their connections stay open.
 * - An instance that is busy itself, for instance after its start. If it took all its
 *   holders for silent, it would send the same reads to others and add to the load.
 */
export function watchHolder (known: HolderHealth, oldestSentAt: number | undefined, now: number, stalledMilliseconds = 0): { health: HolderHealth, probe: boolean } {
  const owesAnswer = known.probedAt > known.heardAt
  const health = owesAnswer ? { ...known, probedAt: Math.min(now, known.probedAt + stalledMilliseconds) } : known
  const silent = owesAnswer && now - health.probedAt >= computeSilenceTimeout(health.roundTrips, now - health.openedAt)
  if (health.silent || silent) {
    const probe = now - health.probedAt >= PROBE_INTERVAL_MILLISECONDS
    // The time of the first unanswered probe says since when the holder is silent; later ones only look for its return.
    return { health: { ...health, silent: true, probedAt: probe ? now : health.probedAt }, probe }
  }
  if (owesAnswer || oldestSentAt === undefined) return { health, probe: false }
  const probe = now - Math.max(health.heardAt, oldestSentAt) >= PROBE_AFTER_MILLISECONDS
  return { health: probe ? { ...health, probedAt: now } : health, probe }
}

/** When a message was sent, on the steady clock of its sender; the epoch changes when that clock has stood still. */
export interface SendTime {
  sentAt: number
  epoch: number
}

/** Smallest difference seen between the receiver's clock at arrival and the sender's at sending, in milliseconds. */
export interface ClockOffset {
  epoch: number
  least: number
}

/**
 * Returns how much longer than the fastest message of the stream a message took, in
 * milliseconds. The clocks of two instances have nothing in common, but their difference
 * stays the same.
 *
 * Load pattern: an instance that wakes after seconds finds operations in its sockets
 * whose callers have long been told that the outcome is unknown.
 */
export function measureDelay (offset: ClockOffset | undefined, { sentAt, epoch }: SendTime, now: number): { offset: ClockOffset, delayMilliseconds: number } {
  const difference = now - sentAt
  const least = offset === undefined || offset.epoch !== epoch ? difference : Math.min(offset.least, difference)
  return { offset: { epoch, least }, delayMilliseconds: difference - least }
}
