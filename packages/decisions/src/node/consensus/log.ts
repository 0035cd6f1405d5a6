/** Queries on a member's state: log indexes, terms, members and majorities. */

import type { ConsensusState, LogEntry, LogMember, LogSnapshot } from './types.js'

export function lastIndex ({ log, snapshot }: ConsensusState): number {
  return log.at(-1)?.index ?? snapshot.index
}

/** Term of the entry at `index`; undefined if this member does not hold the entry. */
export function termAt ({ log, snapshot }: ConsensusState, index: number): number | undefined {
  if (index === snapshot.index) return snapshot.term
  return log[index - snapshot.index - 1]?.term
}

export function lastTerm (state: ConsensusState): number {
  return termAt(state, lastIndex(state)) ?? 0
}

export function entriesFrom ({ log, snapshot }: ConsensusState, index: number, limit = Infinity): LogEntry[] {
  const start = index - snapshot.index - 1
  return log.slice(start, start + limit)
}

/** Members according to the latest membership entry up to `index`. */
export function membersAt (snapshot: LogSnapshot, log: readonly LogEntry[], index = Infinity): readonly LogMember[] {
  for (let offset = log.length - 1; offset >= 0; offset -= 1) {
    const entry = log[offset]
    if (entry.kind === 'membership' && entry.index <= index) return entry.members
  }
  return snapshot.members
}

/** Index of the latest membership entry, or of the snapshot if the log has none. */
export function membershipIndex ({ log, snapshot }: ConsensusState): number {
  for (let offset = log.length - 1; offset >= 0; offset -= 1) {
    if (log[offset].kind === 'membership') return log[offset].index
  }
  return snapshot.index
}

export function votersOf (state: ConsensusState): string[] {
  return state.members.filter(({ role }) => role === 'voter').map(({ identity }) => identity)
}

export function isVoter (state: ConsensusState): boolean {
  return votersOf(state).includes(state.self)
}

export function othersOf (state: ConsensusState): string[] {
  return state.members.map(({ identity }) => identity).filter(identity => identity !== state.self)
}

/** Highest value that a majority of the voters has reached; -Infinity without voters. */
export function highestReachedByMajority (state: ConsensusState, valueOf: (identity: string) => number): number {
  const values = votersOf(state).map(valueOf).sort((left, right) => right - left)
  if (values.length === 0) return -Infinity
  return values[Math.floor(values.length / 2)]
}

export function isMajority (state: ConsensusState, identities: readonly string[]): boolean {
  return highestReachedByMajority(state, identity => identities.includes(identity) ? 1 : 0) === 1
}
