/** Formats a trace as text. */

import type { LogLine } from './logLines.js'
import type { Trace } from './traceRequest.js'

function formatFacts ({ facts }: LogLine): string {
  return Object.entries(facts).filter(([name]) => name !== 'id').map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

/** Formats one row per log line, with ">" at the deciding one, then the outcome of the request and its cause. */
export function formatTrace ({ id, cause, outcome, deciding, lines }: Trace): string {
  const rows = lines.map(line => `${line === deciding ? '>' : ' '} ${new Date(line.at).toISOString()} ${line.process} ${line.message} ${formatFacts(line)}`.trimEnd())
  return [...rows, `request ${id}: ${outcome}`, `cause: ${cause}`].join('\n')
}
