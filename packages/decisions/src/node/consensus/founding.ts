/**
 * When a set of empty control instances becomes one log. Only the instance that
 * the settings list first founds it, and only when every other one answers that
 * it holds nothing: so a lost disk never founds a second log beside the first.
 */

import type { Introduction } from './repair.js'
import type { LogMember } from './types.js'

/** What an instance says of its own disk. */
export interface DiskReport extends Introduction {
  /** No entry and no membership is held. */
  empty: boolean
}

export type FoundingDecision =
  | { kind: 'found', members: LogMember[] }
  /** Another instance holds a log, or leads the way: wait to be added. */
  | { kind: 'join' }
  /** Some did not answer. */
  | { kind: 'wait', missing: number }
  | { kind: 'clash', name: string }

export function decideFounding (self: Introduction, isFirst: boolean, reports: ReadonlyArray<DiskReport | undefined>): FoundingDecision {
  const answered = reports.filter(report => report !== undefined)
  if (!isFirst || answered.some(({ empty }) => !empty)) return { kind: 'join' }
  if (answered.length < reports.length) return { kind: 'wait', missing: reports.length - answered.length }
  const all = [self, ...answered]
  const clash = all.find(({ name }, index) => all.findIndex(other => other.name === name) !== index)
  if (clash !== undefined) return { kind: 'clash', name: clash.name }
  return { kind: 'found', members: all.map(({ identity, name, failureDomain, host, port }) => ({ identity, name, failureDomain, host, port, role: 'voter' })) }
}
