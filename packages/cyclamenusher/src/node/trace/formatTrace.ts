/** A trace as people read it. */

import type { LogLine } from './logLines.js'
import type { Trace } from './traceRequest.js'

function formatFacts ({ facts }: LogLine): string {
  return Object.entries(facts).filter(([name]) => name !== 'id').map(([name, value]) => `${name}=${String(value)}`).join(' ')
}

/** One line each, the deciding one marked, then what became of the request and why. */
export function formatTrace ({ id, cause, outcome, deciding, lines }: Trace): string {
  const rows = lines.map(line => `${line === deciding ? '>' : ' '} ${new Date(line.at).toISOString()} ${line.process} ${line.message} ${formatFacts(line)}`.trimEnd())
  return [...rows, `request ${id}: ${outcome}`, `cause: ${cause}`].join('\n')
}
