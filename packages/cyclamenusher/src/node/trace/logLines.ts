/** Reads log lines of any number of instances for `trace`. */

export type LogFacts = Readonly<Record<string, unknown>>

export interface LogLine {
  /** When the line was written, in milliseconds since 1970. */
  at: number
  /** The process that wrote it. */
  process: string
  message: string
  facts: LogFacts
}

export interface ParsedLog {
  /** In order of time after a merge, else in order of the text. */
  lines: LogLine[]
  /** Number of lines that are not a complete log line of an instance. */
  skipped: number
}

/** Returns the last word before the JSON, in which log collectors name the process, or `source` if there is none. */
function readProcessName (prefix: string, source: string): string {
  return prefix.trim().split(/\s+/).at(-1) || source
}

function parseLine (text: string, source: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start === -1) return undefined
  try {
    const { message, timestamp, facts } = JSON.parse(text.slice(start)) as { message?: unknown, timestamp?: unknown, facts?: unknown }
    const at = Date.parse(String(timestamp))
    if (typeof message !== 'string' || Number.isNaN(at)) return undefined
    return { at, process: readProcessName(text.slice(0, start), source), message, facts: (facts ?? {}) as LogFacts }
  } catch {
    // A line is cut off where a process was killed. The caller counts it as skipped.
    return undefined
  }
}

/** Parses a log. `source`, such as the name of the file, names the process of lines without a prefix. */
export function parseLog (text: string, source: string): ParsedLog {
  const lines: LogLine[] = []
  let skipped = 0
  for (const lineText of text.split('\n')) {
    if (lineText.trim() === '') continue
    const line = parseLine(lineText, source)
    if (line === undefined) skipped += 1
    else lines.push(line)
  }
  return { lines, skipped }
}

export function mergeLogs (logs: readonly ParsedLog[]): ParsedLog {
  const lines = logs.flatMap(log => log.lines).sort((left, right) => left.at - right.at)
  return { lines, skipped: logs.reduce((sum, { skipped }) => sum + skipped, 0) }
}
