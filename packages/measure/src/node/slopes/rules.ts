/** Measures what rules cost an instance: to parse them all, to keep them in memory, and to apply one change. */

import { applyDelta, parseRules } from '@cyclamenusher/decisions'
import type { HeldRules } from '@cyclamenusher/decisions'
import { fitLine } from './processUsage.js'
import type { Figures } from '../scenario.js'

const RULE_COUNTS = [100, 1_000, 10_000, 50_000]
/** Changes that are timed for each number of rules. */
const CHANGE_COUNT = 5

function buildRulesText (count: number): string {
  const lines = ['databases.padron = { group = "padron" } # asked for by the measurement']
  // A quarter of the rules are accounts and the rest their keys, the rules that a large fleet changes most.
  const accounts = Math.ceil(count / 4)
  for (let index = 0; index < accounts; index += 1) lines.push(`accounts.account-${index} = { rate = 100, burst = 100 } # asked for by the measurement`)
  for (let index = 0; lines.length < count; index += 1) {
    const digest = index.toString(16).padStart(64, '0')
    lines.push(`keys.key-${index} = { account = "account-${index % accounts}", digest = "sha256:${digest}" } # asked for by the measurement`)
  }
  return lines.join('\n')
}

export async function measureRules (): Promise<Figures> {
  const figures: Figures = {}
  const parsePoints: Array<{ x: number, y: number }> = []
  const changePoints: Array<{ x: number, y: number }> = []
  const memoryPoints: Array<{ x: number, y: number }> = []
  for (const count of RULE_COUNTS) {
    const text = buildRulesText(count)
    global.gc?.()
    const heapBefore = process.memoryUsage().heapUsed
    const startedAt = performance.now()
    const { rules, lines } = parseRules('rules', text)
    let currentRules: HeldRules = { rules, lines: new Map(lines.map(line => [line.identity, line.text])) }
    const parseMilliseconds = performance.now() - startedAt
    global.gc?.()
    const heapBytes = process.memoryUsage().heapUsed - heapBefore
    const changesStartedAt = performance.now()
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      currentRules = applyDelta(currentRules, { removed: [], addedTexts: [`accounts."account-0" = { rate = ${200 + index}, burst = 100, weight = 1 } # asked for by the measurement`] })
    }
    const changeMilliseconds = (performance.now() - changesStartedAt) / CHANGE_COUNT
    parsePoints.push({ x: count, y: parseMilliseconds })
    changePoints.push({ x: count, y: changeMilliseconds })
    memoryPoints.push({ x: count, y: heapBytes })
    figures[`rules ${count}`] = { parseMilliseconds: Math.round(parseMilliseconds), changeMilliseconds: Number(changeMilliseconds.toFixed(2)), heapBytes, textBytes: text.length }
  }
  figures['parse, microseconds a rule'] = Number((fitLine(parsePoints).slope * 1000).toFixed(2))
  figures['one change, microseconds a rule held'] = Number((fitLine(changePoints).slope * 1000).toFixed(3))
  figures['memory, bytes a rule'] = Math.round(fitLine(memoryPoints).slope)
  return figures
}
