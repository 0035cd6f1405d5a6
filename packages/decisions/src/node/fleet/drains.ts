/**
 * Drains of failure domains: an operator orders that nothing more is sent to the backend
 * servers there. Some time after the order was acknowledged, no statement may reach them.
 *
 * Load pattern: a failure domain that is about to be switched off serves at full load, and
 * its servers' open transactions and primaries must be gone within seconds.
 */

import { isServerName } from './serverFields.js'
import type { KnownServer } from './directory.js'

/** By drained failure domain, the number of the change that drained it. */
export type Drains = ReadonlyMap<string, number>

export interface DrainState {
  drains: Drains
  /** Number of changes so far; it does not start again when a drain is withdrawn. */
  drainChanges: number
}

export const NO_DRAIN_STATE: DrainState = { drains: new Map(), drainChanges: 0 }

/** Default time from the acknowledgement of an order after which no statement reaches the failure domain, in milliseconds. */
export const DRAIN_BOUND_MILLISECONDS = 5_000
/** Shortest bound that is used, in milliseconds: renewals take up to a second, and an instance sends nothing while its last one is older than the bound. */
const MINIMUM_BOUND_MILLISECONDS = 2_000
/** How long before the end of the bound the last statement may be sent, in milliseconds: several round trips and a late timer. */
const DRAIN_MARGIN_MILLISECONDS = 250
/** Longest time for which open transactions may continue after their instance has learned of the drain, in milliseconds. */
const TRANSACTION_LIMIT_MILLISECONDS = 1_500
/** Fraction of the bound that a leader allows which was elected after the order, and does not know the order's age. */
const INHERITED_FRACTION = 0.5

/** The bound to use where the settings name one, or none. */
export function limitDrainBound (milliseconds = DRAIN_BOUND_MILLISECONDS): number {
  return Math.max(MINIMUM_BOUND_MILLISECONDS, milliseconds)
}

/** Drains or restores a failure domain. Returns the same state if nothing changes. */
export function applyDrain (state: DrainState, failureDomain: string, drained: boolean): DrainState {
  if (state.drains.has(failureDomain) === drained) return state
  const drainChanges = state.drainChanges + 1
  const drains = new Map(state.drains)
  if (drained) drains.set(failureDomain, drainChanges)
  else drains.delete(failureDomain)
  return { drains, drainChanges }
}

export interface WrittenDrains {
  domains: Array<[string, number]>
  changes: number
}

export function encodeDrains ({ drains, drainChanges }: DrainState): WrittenDrains {
  return { domains: [...drains], changes: drainChanges }
}

/** Reads the drains of a snapshot; one of an earlier build has none. */
export function decodeDrains (written: Partial<WrittenDrains> | undefined): DrainState {
  if (!Array.isArray(written?.domains) || !Number.isSafeInteger(written.changes)) return NO_DRAIN_STATE
  const domains = written.domains.filter(entry => Array.isArray(entry) && isServerName(entry[0]) && Number.isSafeInteger(entry[1]))
  return { drains: new Map(domains), drainChanges: Number(written.changes) }
}

/** By drained failure domain, the number of the change and the time after which no statement may reach its servers, on the leader's clock. */
export type DrainDeadlines = ReadonlyMap<string, { number: number, until: number }>

/** Deadlines of the drains in force. Those already known are kept; `isInherited`: the order came before this leader was elected. */
export function updateDrainDeadlines (known: DrainDeadlines, drains: Drains, { now, boundMilliseconds, isInherited }: { now: number, boundMilliseconds: number, isInherited: boolean }): DrainDeadlines {
  const allowed = isInherited ? boundMilliseconds * INHERITED_FRACTION : boundMilliseconds
  return new Map([...drains].map(([failureDomain, number]) => {
    const existing = known.get(failureDomain)
    return [failureDomain, existing?.number === number ? existing : { number, until: now + allowed }]
  }))
}

/** What an entry instance may still send to the servers of a drained failure domain. */
export interface DomainDrain {
  /** When open transactions are ended. */
  transactionsUntil: number
  /** When the last statement may be sent. */
  statementsUntil: number
}

/**
 * What may still be sent by an instance that has just learned of a drain. The order was
 * acknowledged after `notBefore`, when the instance asked for the last grant that did not
 * name it; -Infinity if that time is not known.
 */
export function planDomainDrain (notBefore: number, now: number, boundMilliseconds: number): DomainDrain {
  const statementsUntil = notBefore + boundMilliseconds - DRAIN_MARGIN_MILLISECONDS
  return { statementsUntil, transactionsUntil: Math.min(now + TRANSACTION_LIMIT_MILLISECONDS, statementsUntil) }
}

/** Takes over a complete list of drained failure domains. What may be sent to those that are known already does not change. */
export function updateDomainDrains (known: ReadonlyMap<string, DomainDrain>, failureDomains: readonly string[], notBefore: number, now: number, boundMilliseconds: number): ReadonlyMap<string, DomainDrain> {
  return new Map(failureDomains.map(name => [name, known.get(name) ?? planDomainDrain(notBefore, now, boundMilliseconds)]))
}

/** Until when an instance knows of every drain whose bound may end: a drain that was acknowledged after it asked for its last grant, at `askedAt`, ends later. */
export function drainsKnownUntil (askedAt: number, boundMilliseconds: number): number {
  return askedAt + boundMilliseconds - DRAIN_MARGIN_MILLISECONDS
}

/** Whether a group has servers, and all that could take work are in drained failure domains. */
export function hasOnlyDrainedServers (servers: ReadonlyArray<Pick<KnownServer, 'failureDomain' | 'leaving'>>, isDrained: (failureDomain: string) => boolean): boolean {
  return servers.some(({ failureDomain }) => isDrained(failureDomain)) && servers.every(({ failureDomain, leaving }) => leaving || isDrained(failureDomain))
}
