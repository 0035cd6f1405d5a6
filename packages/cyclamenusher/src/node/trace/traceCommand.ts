/** `cyclamenusher trace ID [FILE ...]`: finds the cause of a request's outcome in log files or standard input. */

import { readFileSync } from 'node:fs'
import { basename } from 'node:path'
import { CommandError, EXIT_CODES } from '../errors.js'
import { formatValue } from '../output.js'
import { formatTrace } from './formatTrace.js'
import { mergeLogs, parseLog } from './logLines.js'
import { traceRequest } from './traceRequest.js'
import type { CommonFlags, CommandEnvironment } from '../commands.js'

/** File descriptor of standard input. */
const STANDARD_INPUT = 0

function readLog (file: string | number): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new CommandError('usage', `${file === STANDARD_INPUT ? 'standard input' : file} can't be read (${(error as NodeJS.ErrnoException).code})`, 'Name log files of the instances, or pipe them to standard input')
  }
}

export async function trace ({ write, writeError }: CommandEnvironment, id: string, files: string[], flags: CommonFlags): Promise<number> {
  const sources = files.length === 0 ? [{ text: readLog(STANDARD_INPUT), source: 'standard input' }] : files.map(file => ({ text: readLog(file), source: basename(file) }))
  const { lines, skipped } = mergeLogs(sources.map(({ text, source }) => parseLog(text, source)))
  if (skipped > 0) writeError(`${skipped} lines were skipped: they are not complete log lines of an instance.`)
  if (lines.length === 0) throw new CommandError('usage', 'no log line of an instance was found', 'Set log.format = "json", and name files that hold such lines')
  const result = traceRequest(lines, id)
  if (result === undefined) {
    throw new CommandError('refused', `none of ${lines.length} lines names request ${id}`, 'Failures are logged up to 20 a second of each kind and one success in 50: look for "Lines were left out." near its time, and pass the logs of all entry instances')
  }
  write(formatValue(flags, result, formatTrace(result)))
  return EXIT_CODES.success
}
