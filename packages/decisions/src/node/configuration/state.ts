/**
 * The replicated state of control instances: the current configuration, its
 * number and its history. Commands change it in the order of the log.
 */

import { digestLines } from '../rules/rules.js'
import type { RuleLine } from '../rules/rules.js'

/** One accepted configuration, without its text. */
export interface ConfigurationRecord {
  number: number
  /** Digest of all rule lines of the configuration. */
  digest: string
  operator: string
  /** Time on the clock of the instance that accepted it, in milliseconds since 1970. */
  acceptedAt: number
}

/** Submits configuration `number` as a change of the one before it. */
export interface SubmitCommand {
  kind: 'submit'
  number: number
  digest: string
  operator: string
  acceptedAt: number
  removed: string[]
  added: RuleLine[]
}

export type ConfigurationCommand = SubmitCommand

export type SubmitOutcome =
  | { kind: 'accepted', number: number }
  /** Another configuration, `winner`, was accepted under this number before. */
  | { kind: 'conflict', winner: ConfigurationRecord }
  /** The number skips some; `next` is the one to submit. */
  | { kind: 'out of order', next: number }
  /** The history no longer reaches back to the number; `oldest` is the first one that it holds. */
  | { kind: 'forgotten', oldest: number }

/** The difference between configuration `number` and the one before it. */
export interface ConfigurationDelta {
  number: number
  removed: string[]
  added: RuleLine[]
  /** Lines that were removed or replaced, so that the previous configuration can be rebuilt. */
  before: RuleLine[]
}

export interface ConfigurationState {
  number: number
  /** Text of each rule line, by identity. */
  lines: ReadonlyMap<string, string>
  /** Newest last. */
  history: readonly ConfigurationRecord[]
  /** Newest last; an instance that is behind catches up with them instead of the whole text. */
  deltas: readonly ConfigurationDelta[]
}

/** Number of configurations whose digests are kept, so that a resubmitted one gets the same answer. */
export const MAXIMUM_HISTORY = 100_000
/** Number of deltas kept besides the current lines. */
export const MAXIMUM_DELTAS = 1_000

export const INITIAL_CONFIGURATION: ConfigurationState = { number: 0, lines: new Map(), history: [], deltas: [] }

/** Checks a submission against the history; returns its outcome, or 'new' if it is the next configuration. */
export function checkSubmission (state: ConfigurationState, number: number, digest: string): SubmitOutcome | 'new' {
  if (number > state.number + 1) return { kind: 'out of order', next: state.number + 1 }
  if (number === state.number + 1) return 'new'
  const oldest = state.history[0]?.number ?? 1
  if (number < oldest) return { kind: 'forgotten', oldest }
  const winner = state.history[number - oldest]
  return winner.digest === digest ? { kind: 'accepted', number } : { kind: 'conflict', winner }
}

/** Applies one command of the log; returns the next state and the outcome for the submitter. */
export function applyConfigurationCommand (state: ConfigurationState, command: ConfigurationCommand): { state: ConfigurationState, outcome: SubmitOutcome } {
  const { number, digest, operator, acceptedAt, removed, added } = command
  const outcome = checkSubmission(state, number, digest)
  if (outcome !== 'new') return { state, outcome }
  const lines = new Map(state.lines)
  const changedIdentities = [...removed, ...added.map(({ identity }) => identity)]
  const before = changedIdentities.flatMap(identity => {
    const text = lines.get(identity)
    return text === undefined ? [] : [{ identity, text }]
  })
  for (const identity of removed) lines.delete(identity)
  for (const { identity, text } of added) lines.set(identity, text)
  return {
    state: {
      number,
      lines,
      history: [...state.history, { number, digest, operator, acceptedAt }].slice(-MAXIMUM_HISTORY),
      deltas: [...state.deltas, { number, removed, added, before }].slice(-MAXIMUM_DELTAS)
    },
    outcome: { kind: 'accepted', number }
  }
}

export function linesOf (state: ConfigurationState): RuleLine[] {
  return [...state.lines].map(([identity, text]) => ({ identity, text }))
}

/** Rule lines of configuration `number`; undefined if they can no longer be rebuilt. */
export function linesAt (state: ConfigurationState, number: number): RuleLine[] | undefined {
  const oldest = state.deltas[0]?.number ?? state.number + 1
  if (number > state.number || number < oldest - 1) return undefined
  const lines = new Map(state.lines)
  for (const { added, before } of state.deltas.slice(number + 1 - oldest).reverse()) {
    for (const { identity } of added) lines.delete(identity)
    for (const { identity, text } of before) lines.set(identity, text)
  }
  return [...lines].map(([identity, text]) => ({ identity, text }))
}

/** The change from `knownNumber` to the newest configuration; undefined if the whole text must be sent instead. */
export function changeSince (state: ConfigurationState, knownNumber: number): { removed: string[], added: RuleLine[] } | undefined {
  const oldest = state.deltas[0]?.number ?? state.number + 1
  if (knownNumber > state.number || knownNumber + 1 < oldest) return undefined
  const removed = new Set<string>()
  const added = new Map<string, string>()
  for (const delta of state.deltas.slice(knownNumber + 1 - oldest)) {
    for (const identity of delta.removed) {
      removed.add(identity)
      added.delete(identity)
    }
    for (const { identity, text } of delta.added) {
      removed.delete(identity)
      added.set(identity, text)
    }
  }
  return { removed: [...removed], added: [...added].map(([identity, text]) => ({ identity, text })) }
}

/** Digest of the newest configuration. */
export function latestDigest (state: ConfigurationState): string {
  return state.history.at(-1)?.digest ?? digestLines([])
}
