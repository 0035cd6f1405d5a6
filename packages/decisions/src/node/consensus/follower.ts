/** The follower's side: taking entries and snapshots from a leader. */

import { becomeFollower, resetElectionDeadline } from './election.js'
import { entriesFrom, lastIndex, membersAt, termAt } from './log.js'
import { applyCommitted } from './replication.js'
import type { Append, InstallSnapshot, LogEntry, LogSnapshot, Step } from './types.js'

/** Follows the sender, unless its term is over. */
function followSender (step: Step, from: string, term: number): boolean {
  const { state } = step
  if (term < state.term) return false
  if (term > state.term || state.role !== 'follower' || state.leader !== from) becomeFollower(step, term, from)
  state.heardLeaderAt = step.now
  resetElectionDeadline(step)
  return true
}

function answerAppend (step: Step, to: string, success: boolean, index: number, round: number): void {
  step.effects.push({ kind: 'send', to, message: { kind: 'append reply', term: step.state.term, success, index, round } })
}

/** Where the logs part: the first entry that is missing or of another term. */
function firstNew (step: Step, entries: readonly LogEntry[]): number {
  const { state } = step
  return entries.findIndex(({ index, term }) => index > state.snapshot.index && termAt(state, index) !== term)
}

function takeEntries (step: Step, entries: readonly LogEntry[]): void {
  const { state } = step
  const start = firstNew(step, entries)
  if (start === -1) return
  const fresh = entries.slice(start)
  const from = fresh[0].index
  if (from <= state.commitIndex) throw new RangeError(`a leader asks to replace the committed entry ${from}`)
  const truncates = from <= lastIndex(state)
  state.log = [...state.log.slice(0, from - state.snapshot.index - 1), ...fresh]
  state.members = membersAt(state.snapshot, state.log)
  step.effects.push({ kind: 'persist', entries: fresh, ...(truncates ? { truncateFrom: from } : {}) })
}

export function receiveAppend (step: Step, from: string, message: Append): void {
  const { state } = step
  const { previousIndex, previousTerm, entries, round } = message
  if (!followSender(step, from, message.term)) return answerAppend(step, from, false, lastIndex(state), round)
  const held = previousIndex < state.snapshot.index || termAt(state, previousIndex) === previousTerm
  if (!held) return answerAppend(step, from, false, previousIndex > lastIndex(state) ? lastIndex(state) : state.commitIndex, round)
  takeEntries(step, entries)
  const matched = previousIndex + entries.length
  state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matched))
  applyCommitted(step)
  answerAppend(step, from, true, matched, round)
}

function install (step: Step, snapshot: LogSnapshot): void {
  const { state } = step
  const keeps = termAt(state, snapshot.index) === snapshot.term
  const log = keeps ? entriesFrom(state, snapshot.index + 1) : []
  Object.assign(state, { snapshot, log, members: membersAt(snapshot, log), commitIndex: snapshot.index, appliedIndex: snapshot.index, incoming: undefined })
  step.effects.push({ kind: 'persist', snapshot, entries: log }, { kind: 'restore', data: snapshot.data })
}

export function receiveInstallSnapshot (step: Step, from: string, message: InstallSnapshot): void {
  const { state } = step
  const { index, snapshotTerm, members, offset, data, total, round } = message
  if (!followSender(step, from, message.term)) return answerAppend(step, from, false, lastIndex(state), round)
  if (index <= state.commitIndex) return answerAppend(step, from, true, state.commitIndex, round)
  const known = state.incoming?.index === index && state.incoming.term === snapshotTerm ? state.incoming.data : ''
  const text = offset === known.length ? known + data : known
  state.incoming = { index, term: snapshotTerm, data: text }
  if (text.length === total) {
    install(step, { index, term: snapshotTerm, members, data: text })
    return answerAppend(step, from, true, index, round)
  }
  step.effects.push({ kind: 'send', to: from, message: { kind: 'install snapshot reply', term: state.term, index, received: text.length, round } })
}
