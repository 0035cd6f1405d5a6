/** What changes between two versions of the rules, line by line. */

import { parseRules } from './rules.js'
import type { ParsedRules, RuleLine } from './rules.js'

export interface RulesDelta {
  /** Identities of rules that are gone. */
  removed: string[]
  /** Rules that are new or differ. */
  added: RuleLine[]
}

export function diffRules (before: readonly RuleLine[], after: readonly RuleLine[]): RulesDelta {
  const old = new Map(before.map(line => [line.identity, line.text]))
  const current = new Set(after.map(line => line.identity))
  return {
    removed: [...old.keys()].filter(identity => !current.has(identity)),
    added: after.filter(line => old.get(line.identity) !== line.text)
  }
}

/** The version that `delta` makes of `before`. */
export function applyDelta (before: readonly RuleLine[], delta: { removed: readonly string[], addedTexts: readonly string[] }): ParsedRules {
  const lines = new Map(before.map(line => [line.identity, line.text]))
  for (const identity of delta.removed) lines.delete(identity)
  const texts = [...lines.values()]
  const replaced = new Set<string>()
  const added = delta.addedTexts.map(text => ({ identity: identityOf(text), text }))
  for (const { identity } of added) replaced.add(identity)
  const kept = [...lines].filter(([identity]) => !replaced.has(identity)).map(([, text]) => text)
  return parseRules('configuration', [...(replaced.size === 0 ? texts : kept), ...added.map(({ text }) => text)].join('\n'))
}

function identityOf (line: string): string {
  const match = /^(\w+)\.("(?:[^"\\]|\\.)*")/.exec(line)
  return match === null ? line : `${match[1]}.${String(JSON.parse(match[2]))}`
}
