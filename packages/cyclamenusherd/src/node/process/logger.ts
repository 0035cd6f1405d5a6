/** Logs: short sentences with a fixed prefix for each part of the process. */

import { Writable } from 'node:stream'
import { createLogger as createWinston, format, transports } from 'winston'
import type { Logger as WinstonLogger } from 'winston'
import type { Config } from './config.js'

/** A part of the process, as its log lines name it. */
export type LogScope = 'process' | 'control' | 'rules' | 'directory' | 'monitor' | 'failover' | 'route' | 'pool' | 'caller' | 'rate' | 'fleet' | 'request' | 'platform'

/** Facts of a line: they stand behind the sentence, or as fields of the JSON. */
export type LogFacts = Record<string, string | number | boolean | undefined>

export interface ScopedLogger {
  error: (message: string, facts?: LogFacts) => void
  warn: (message: string, facts?: LogFacts) => void
  info: (message: string, facts?: LogFacts) => void
  debug: (message: string, facts?: LogFacts) => void
}

export interface Logger {
  scope: (scope: LogScope) => ScopedLogger
  /** Flushes and closes. */
  close: () => void
}

function formatFacts (facts: LogFacts): string {
  return Object.entries(facts)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${typeof value === 'string' && /[\s"]/.test(value) ? JSON.stringify(value) : String(value)}`)
    .join('')
}

interface LogLine {
  level: string
  message: unknown
  timestamp?: unknown
  scope?: LogScope
  facts?: LogFacts
}

function formatLine (line: LogLine): string {
  return `${String(line.timestamp)} ${line.level} [${line.scope ?? 'process'}] ${String(line.message)}${formatFacts(line.facts ?? {})}`
}

const FORMATS = {
  lines: () => format.printf(info => formatLine({ ...info as LogLine, timestamp: timestamp() })),
  json: () => format.combine(format.timestamp(), format.json())
}

let timestampMilliseconds = 0
let cachedTimestamp = ''

/** The time as a line shows it, written out once a millisecond. */
function timestamp (): string {
  const now = Date.now()
  if (now !== timestampMilliseconds) {
    timestampMilliseconds = now
    cachedTimestamp = new Date(now).toISOString()
  }
  return cachedTimestamp
}

/** Time that lines may wait to be written together, in milliseconds. */
const BATCH_DELAY_MILLISECONDS = 10
/** Characters that are written without waiting longer. */
const MAXIMUM_BATCH_CHARACTERS = 64 * 1024

interface BatchedOutput {
  stream: Writable
  flush: () => void
}

/** Gathers lines, because a write of each line costs more than the line. */
function createBatchedOutput (output: NodeJS.WritableStream): BatchedOutput {
  let pending = ''
  let timer: NodeJS.Timeout | undefined

  function flush (): void {
    clearTimeout(timer)
    timer = undefined
    if (pending === '') return
    const lines = pending
    pending = ''
    output.write(lines)
  }

  const stream = new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      pending += line
      if (pending.length >= MAXIMUM_BATCH_CHARACTERS) flush()
      else timer ??= setTimeout(flush, BATCH_DELAY_MILLISECONDS)
      done()
    }
  })
  return { stream, flush }
}

function createScopedLogger (winston: WinstonLogger, scope: LogScope): ScopedLogger {
  const createLogFunction = (level: string) => (message: string, facts?: LogFacts): void => { winston.log(level, message, { scope, facts }) }
  return { error: createLogFunction('error'), warn: createLogFunction('warn'), info: createLogFunction('info'), debug: createLogFunction('debug') }
}

export function createLogger (options: Config['log']): Logger {
  const { stream, flush } = createBatchedOutput(process.stdout)
  const winston = createWinston({
    level: options.level,
    format: FORMATS[options.format](),
    transports: [new transports.Stream({ stream })]
  })
  // The last lines say why a process ended.
  process.once('exit', flush)
  return {
    scope: scope => createScopedLogger(winston, scope),
    close: () => {
      flush()
      process.off('exit', flush)
      winston.close()
    }
  }
}
