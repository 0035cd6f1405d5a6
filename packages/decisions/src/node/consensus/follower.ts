/** Follower side of replication: receives entries and snapshots from the leader. */

import { becomeFollower, resetElectionDeadline } from './election.js'
import { entriesFrom, lastIndex, membersAt, termAt } from './log.js'
import { applyCommitted } from './replication.js'
import type { Append, InstallSnapshot, LogEntry, LogSnapshot, Step } from './types.js'

/** Follows the sender and returns true; returns false if its term is outdated. */
function followSender (step: Step, from: string, term: number): boolean {
  const { state } = step
  if (term < state.term) return false
  if (term > state.term || state.role !== 'follower' || state.leader !== from) becomeFollower(step, term, from)
  state.lastLeaderContactAt = step.now
  resetElectionDeadline(step)
  return true
}

function replyToAppend (step: Step, to: string, success: boolean, index: number, round: number): void {
  step.effects.push({ kind: 'send', to, message: { kind: 'append reply', term: step.state.term, success, index, round } })
}

/** Offset in `entries` of the first one that this log lacks or holds with another term; -1 if there is none. */
function findDivergence (step: Step, entries: readonly LogEntry[]): number {
  const { state } = step
  return entries.findIndex(({ index, term }) => index > state.snapshot.index && termAt(state, index) !== term)
}

function storeEntries (step: Step, entries: readonly LogEntry[]): void {
  const { state } = step
  const divergence = findDivergence(step, entries)
  if (divergence === -1) return
  const newEntries = entries.slice(divergence)
  const from = newEntries[0].index
  if (from <= state.commitIndex) throw new RangeError(`the leader tried to replace the committed entry ${from}`)
  const truncates = from <= lastIndex(state)
  state.log = [...state.log.slice(0, from - state.snapshot.index - 1), ...newEntries]
  state.members = membersAt(state.snapshot, state.log)
  step.effects.push({ kind: 'persist', entries: newEntries, ...(truncates ? { truncateFrom: from } : {}) })
}

export function receiveAppend (step: Step, from: string, message: Append): void {
  const { state } = step
  const { previousIndex, previousTerm, entries, round } = message
  if (!followSender(step, from, message.term)) return replyToAppend(step, from, false, lastIndex(state), round)
  const previousMatches = previousIndex < state.snapshot.index || termAt(state, previousIndex) === previousTerm
  if (!previousMatches) return replyToAppend(step, from, false, previousIndex > lastIndex(state) ? lastIndex(state) : state.commitIndex, round)
  storeEntries(step, entries)
  const matched = previousIndex + entries.length
  state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matched))
  applyCommitted(step)
  replyToAppend(step, from, true, matched, round)
}

function installSnapshot (step: Step, snapshot: LogSnapshot): void {
  const { state } = step
  const matches = termAt(state, snapshot.index) === snapshot.term
  const log = matches ? entriesFrom(state, snapshot.index + 1) : []
  Object.assign(state, { snapshot, log, members: membersAt(snapshot, log), commitIndex: snapshot.index, appliedIndex: snapshot.index, incomingSnapshot: undefined })
  step.effects.push({ kind: 'persist', snapshot, entries: log }, { kind: 'restore', index: snapshot.index, data: snapshot.data })
}

export function receiveInstallSnapshot (step: Step, from: string, message: InstallSnapshot): void {
  const { state } = step
  const { index, snapshotTerm, members, offset, data, total, round } = message
  if (!followSender(step, from, message.term)) return replyToAppend(step, from, false, lastIndex(state), round)
  if (index <= state.commitIndex) return replyToAppend(step, from, true, state.commitIndex, round)
  const earlierData = state.incomingSnapshot?.index === index && state.incomingSnapshot.term === snapshotTerm ? state.incomingSnapshot.data : ''
  const receivedData = offset === earlierData.length ? earlierData + data : earlierData
  state.incomingSnapshot = { index, term: snapshotTerm, data: receivedData }
  if (receivedData.length === total) {
    installSnapshot(step, { index, term: snapshotTerm, members, data: receivedData })
    return replyToAppend(step, from, true, index, round)
  }
  step.effects.push({ kind: 'send', to: from, message: { kind: 'install snapshot reply', term: state.term, index, received: receivedData.length, round } })
}
