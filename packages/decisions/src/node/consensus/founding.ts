/**
 * Decides when a set of empty control instances founds the log. Only the instance
 * that the settings list first founds it, and only once every other one reports
 * an empty disk, so that an instance with a lost disk never founds a second log.
 */

import type { Introduction } from './repair.js'
import type { LogMember } from './types.js'

/** An instance's report on its own disk. */
export interface DiskReport extends Introduction {
  /** True if the disk holds no entry and no membership. */
  empty: boolean
}

export type FoundingDecision =
  | { kind: 'found', members: LogMember[] }
  /** Another instance holds a log or is to found it: wait to be added. */
  | { kind: 'join' }
  /** Some instances did not answer. */
  | { kind: 'wait', missing: number }
  /** Two instances have the same name. */
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
