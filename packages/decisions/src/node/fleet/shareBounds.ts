/**
 * Upper bounds of the rate shares that entry instances may hold. The leader writes them to
 * the log before it grants, so that the next leader knows how much an instance that has not
 * reported may still spend: the shares themselves are in the memory of the leader and of
 * their holders only.
 *
 * Load patterns:
 * - An instance is frozen, cut off or slow to return while the leader changes. Its share
 *   stays valid, and must not be given to others as well.
 * - All instances restart after a loss of power. Nobody reports a share, because nobody
 *   holds one, and what is held back would refuse operations within the rate.
 */

import { SHARE_VALIDITY_MILLISECONDS } from './rateShares.js'

/** By account and instance, the largest share that the instance may hold. */
export type ShareBounds = ReadonlyMap<string, ReadonlyMap<string, number>>

/** How far a new bound lies above the share, so that most changes of shares need no write. */
const BOUND_FACTOR = 1.5
/** Sum of an account's bounds above which they are lowered to what is held: twice the sum of new bounds of equal shares. */
const LOOSE_SUM = 2 * BOUND_FACTOR

/** A bound for a share of an account that is divided among a number of lenders. */
export function raiseBound (share: number, lenders: number): number {
  return Math.min(1, BOUND_FACTOR * Math.max(share, 1 / Math.max(1, lenders)))
}

/** The largest part of an account's rate that the instances may hold together. */
export function sumBounds (bounds: ShareBounds, account: string, instances: Iterable<string>): number {
  const boundsOfAccount = bounds.get(account)
  if (boundsOfAccount === undefined) return 0
  let sum = 0
  for (const name of instances) sum += boundsOfAccount.get(name) ?? 0
  return Math.min(1, sum)
}

/**
 * Lower bounds for the instances of an account whose bounds have grown loose; empty while
 * they are not. `held` gives the share that an instance may hold; undefined if that is not known.
 */
export function lowerBounds (bounds: ShareBounds, account: string, held: (instance: string) => number | undefined): Map<string, number> {
  const boundsOfAccount = bounds.get(account) ?? new Map<string, number>()
  const sum = [...boundsOfAccount.values()].reduce((total, bound) => total + bound, 0)
  const lowered = new Map<string, number>()
  if (sum <= LOOSE_SUM) return lowered
  const lenders = [...boundsOfAccount.keys()].filter(name => held(name) !== 0).length
  for (const [name, bound] of boundsOfAccount) {
    const share = held(name)
    if (share === undefined) continue
    const tight = share === 0 ? 0 : raiseBound(share, lenders)
    if (tight < bound) lowered.set(name, tight)
  }
  return lowered
}

/** Bounds as they are written to the log: instances with their bounds, by account; 0 removes a bound. */
export type WrittenBounds = Array<[account: string, bounds: Array<[instance: string, bound: number]>]>

export function isWrittenBounds (value: unknown): value is WrittenBounds {
  const isPair = (pair: unknown): pair is [unknown, unknown] => Array.isArray(pair) && pair.length === 2
  return Array.isArray(value) && value.every(row => isPair(row) && typeof row[0] === 'string' && Array.isArray(row[1]) &&
    row[1].every((entry: unknown) => isPair(entry) && typeof entry[0] === 'string' && typeof entry[1] === 'number' && entry[1] >= 0 && entry[1] <= 1))
}

/** How long instances use their shares, where that is shorter than `SHARE_VALIDITY_MILLISECONDS`. */
export interface ShareUse {
  /** Term of the leader that last wrote it. Another leader of an earlier build may have granted shares after it, to instances that use them for longer. */
  term: number
  /** By instance. */
  milliseconds: ReadonlyMap<string, number>
}

/** Share use as it is written to the log; a time of `SHARE_VALIDITY_MILLISECONDS` or more removes an entry. */
export interface WrittenShareUse {
  term: number
  milliseconds: Array<[instance: string, milliseconds: number]>
}

export function isWrittenShareUse (value: unknown): value is WrittenShareUse {
  const { term, milliseconds } = (value ?? {}) as Partial<WrittenShareUse>
  return typeof term === 'number' && Array.isArray(milliseconds) && milliseconds.every((entry: unknown) => Array.isArray(entry) && entry.length === 2 && typeof entry[0] === 'string' && typeof entry[1] === 'number')
}

/** Whether no leader can have been between the one that wrote the share use and the one of `term`. */
function isRecent (use: ShareUse | undefined, term: number): use is ShareUse {
  return use !== undefined && term - use.term <= 1
}

/** Applies written share use. Undefined if a leader of an earlier build wrote the command, as nothing of what it granted is known. */
export function applyShareUse (use: ShareUse | undefined, written: unknown, removed: readonly string[]): ShareUse | undefined {
  if (!isWrittenShareUse(written)) return undefined
  const next = new Map(isRecent(use, written.term) ? use.milliseconds : [])
  for (const name of removed) next.delete(name)
  for (const [name, milliseconds] of written.milliseconds) {
    if (milliseconds < SHARE_VALIDITY_MILLISECONDS) next.set(name, milliseconds)
    else next.delete(name)
  }
  return { term: written.term, milliseconds: next }
}

/** How long the leader of `term` takes an instance to use its shares, in milliseconds. */
export function findShareUse (use: ShareUse | undefined, term: number, instance: string): number {
  return (isRecent(use, term) ? use.milliseconds.get(instance) : undefined) ?? SHARE_VALIDITY_MILLISECONDS
}

/** Applies written bounds; an account without bounds is left out. */
export function applyBounds (bounds: ShareBounds, written: WrittenBounds): ShareBounds {
  const next = new Map(bounds)
  for (const [account, changes] of written) {
    const row = new Map(next.get(account))
    for (const [name, bound] of changes) {
      if (bound > 0) row.set(name, bound)
      else row.delete(name)
    }
    if (row.size > 0) next.set(account, row)
    else next.delete(account)
  }
  return next
}

/** Removes the bounds of instances that hold nothing any more. */
export function removeInstances (bounds: ShareBounds, removed: readonly string[]): ShareBounds {
  const names = new Set(removed)
  const rows = [...bounds].map(([account, row]): [string, ReadonlyMap<string, number>] => [account, new Map([...row].filter(([name]) => !names.has(name)))])
  return new Map(rows.filter(([, row]) => row.size > 0))
}

export function encodeBounds (bounds: ShareBounds): WrittenBounds {
  return [...bounds].map(([account, row]) => [account, [...row]])
}
