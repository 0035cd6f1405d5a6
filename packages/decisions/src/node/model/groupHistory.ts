/** Checks the history of a simulated group: what sessions requested and saw, and the logs at the end. */

import type { MemberStatus } from '../group/view.js'

export type HistoryItem =
  | { kind: 'write', session: string, value: string, invokedAt: number, answeredAt?: number, outcome: 'acknowledged' | 'unknown' | 'not run' }
  | { kind: 'read', session: string, values: string[], invokedAt: number, answeredAt: number }
  | { kind: 'aged read', values: string[], decidedAt: number, maximumAgeMilliseconds: number }

type WriteItem = Extract<HistoryItem, { kind: 'write' }>

/** A member that became primary, with the values in its log at that time. */
export interface Promotion {
  term: number
  member: string
  values: string[]
}

/** Status and log of a member at the end of the run. */
export interface FinalLog {
  status: MemberStatus
  values: string[]
}

export interface GroupHistory {
  history: readonly HistoryItem[]
  promotions: readonly Promotion[]
  logs: readonly FinalLog[]
  /** When each value was written to a primary's log, in milliseconds of virtual time. */
  committedAt: ReadonlyMap<string, number>
}

function checkPromotions (promotions: readonly Promotion[]): string[] {
  const terms = promotions.map(({ term }) => term)
  return [...new Set(terms.filter((term, index) => terms.indexOf(term) !== index))].map(term => `two members were promoted in term ${term}`)
}

function checkFinalLogs (writes: readonly WriteItem[], logs: readonly FinalLog[]): string[] {
  const primaries = logs.filter(({ status }) => status.role === 'primary')
  const term = Math.max(...logs.map(({ status }) => status.adoptedTerm))
  const finalPrimary = primaries.find(({ status }) => status.adoptedTerm === term)
  if (finalPrimary === undefined) return ['the group has no primary after all faults ended']
  const held = new Set(finalPrimary.values)
  return writes.flatMap(({ value, outcome }) => {
    if (outcome === 'acknowledged' && !held.has(value)) return [`acknowledged write "${value}" is lost`]
    return outcome === 'not run' && held.has(value) ? [`write "${value}" was reported as not run but is in the final log`] : []
  })
}

/**
 * Checks that every session sees its own writes: those that were acknowledged,
 * and those of unknown outcome that are in the final log and were in a primary's
 * log when the session got its answer. A write that reaches a primary after that
 * counts as a write of another session.
 */
function checkSessions ({ history, committedAt }: GroupHistory, writes: readonly WriteItem[], durableValues: ReadonlySet<string>): string[] {
  return history.flatMap(item => {
    if (item.kind !== 'read') return []
    const seen = new Set(item.values)
    return writes
      .filter(({ session, answeredAt }) => session === item.session && answeredAt !== undefined && answeredAt <= item.invokedAt)
      .filter(({ value, answeredAt }) => durableValues.has(value) && (committedAt.get(value) ?? Infinity) <= (answeredAt ?? 0) && !seen.has(value))
      .map(({ value, outcome }) => `${item.session} read at ${item.invokedAt} without its own write "${value}" (${outcome})`)
  })
}

function checkAges (history: readonly HistoryItem[], writes: readonly WriteItem[]): string[] {
  return history.flatMap(item => {
    if (item.kind !== 'aged read') return []
    const seen = new Set(item.values)
    return writes
      .filter(({ answeredAt, outcome }) => outcome === 'acknowledged' && answeredAt !== undefined && answeredAt < item.decidedAt - item.maximumAgeMilliseconds)
      .filter(({ value }) => !seen.has(value))
      .map(({ value }) => `a read at ${item.decidedAt} was older than ${item.maximumAgeMilliseconds} ms: it lacks "${value}"`)
  })
}

/** Returns the violations in a history; empty if there are none. */
export function checkHistory (run: GroupHistory): string[] {
  const { history, promotions, logs } = run
  const writes = history.filter(item => item.kind === 'write')
  const durableValues = new Set(logs.find(({ status }) => status.role === 'primary')?.values)
  return [...checkPromotions(promotions), ...checkFinalLogs(writes, logs), ...checkSessions(run, writes, durableValues), ...checkAges(history, writes)]
}
