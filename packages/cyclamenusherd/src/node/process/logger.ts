/** Structured log of the process, with a scope for each of its parts. */

import { Writable } from 'node:stream'
import { createLogger as createWinston, format, transports } from 'winston'
import type { Logger as WinstonLogger } from 'winston'
import type { Config } from './config.js'

/** Part of the process that writes a log line. */
export type LogScope = 'process' | 'control' | 'rules' | 'directory' | 'monitor' | 'failover' | 'route' | 'pool' | 'caller' | 'rate' | 'fleet' | 'request' | 'platform'

/** Fields of a log line: written as `name=value` after the message, or as a JSON object. */
export type LogFacts = Record<string, string | number | boolean | undefined>

export interface ScopedLogger {
  error: (message: string, facts?: LogFacts) => void
  warn: (message: string, facts?: LogFacts) => void
  info: (message: string, facts?: LogFacts) => void
  debug: (message: string, facts?: LogFacts) => void
}

export interface Logger {
  scope: (scope: LogScope) => ScopedLogger
  /** Writes out what is buffered, and closes the log. */
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

/** Returns the current time in ISO format; the text is cached for the same millisecond. */
function timestamp (): string {
  const now = Date.now()
  if (now !== timestampMilliseconds) {
    timestampMilliseconds = now
    cachedTimestamp = new Date(now).toISOString()
  }
  return cachedTimestamp
}

/** Time for which lines are collected before they are written together, in milliseconds. */
const BATCH_DELAY_MILLISECONDS = 10
/** Collected characters that are written without further delay. */
const MAXIMUM_BATCH_CHARACTERS = 64 * 1024

interface BatchedOutput {
  stream: Writable
  flush: () => void
}

/** Collects lines and writes them in batches: one write per line costs more than formatting the line. */
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
  // Without this the last lines, which say why a process ended, would be lost.
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
