/** Differences between the rules of two configurations, line by line. */

import { EMPTY_RULES, readRuleLines } from './rules.js'
import type { RuleLine, RuleTable, Rules } from './rules.js'

export interface RulesDelta {
  /** Identities of the removed rules. */
  removed: string[]
  /** Rules that are new or changed. */
  added: RuleLine[]
}

export function diffRules (before: readonly RuleLine[], after: readonly RuleLine[]): RulesDelta {
  const textsBefore = new Map(before.map(line => [line.identity, line.text]))
  const identitiesAfter = new Set(after.map(line => line.identity))
  return {
    removed: [...textsBefore.keys()].filter(identity => !identitiesAfter.has(identity)),
    added: after.filter(line => textsBefore.get(line.identity) !== line.text)
  }
}

/** The rules of an instance, with the lines that the next delta applies to. */
export interface HeldRules {
  rules: Rules
  /** Lines in their normal form, by identity. */
  lines: ReadonlyMap<string, string>
}

export const NO_RULES: HeldRules = { rules: EMPTY_RULES, lines: new Map() }

/**
 * Applies `delta` to `before`. Only the lines of the delta are parsed; references
 * between rules were checked when the configuration was accepted.
 */
export function applyDelta (before: HeldRules, delta: { removed: readonly string[], addedTexts: readonly string[] }): HeldRules {
  const added = readRuleLines('configuration', delta.addedTexts.join('\n'))
  const lines = new Map(before.lines)
  const tables = new Map<RuleTable, Map<string, unknown>>()
  const mutableTable = (table: RuleTable): Map<string, unknown> => {
    const copy = tables.get(table) ?? new Map<string, unknown>(before.rules[table])
    tables.set(table, copy)
    return copy
  }
  for (const identity of delta.removed) {
    const dot = identity.indexOf('.')
    const table = identity.slice(0, dot)
    if (!lines.delete(identity) || !isRuleTable(table)) continue
    mutableTable(table).delete(identity.slice(dot + 1))
  }
  for (const { identity, text } of added.lines) lines.set(identity, text)
  for (const [table, rules] of Object.entries(added.rules) as Array<[RuleTable, Map<string, unknown>]>) {
    for (const [name, rule] of rules) mutableTable(table).set(name, rule)
  }
  return { rules: { ...before.rules, ...Object.fromEntries(tables) }, lines }
}

function isRuleTable (table: string): table is RuleTable {
  return Object.hasOwn(EMPTY_RULES, table)
}
