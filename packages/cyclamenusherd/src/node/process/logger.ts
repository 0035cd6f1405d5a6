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
  error: (sentence: string, facts?: LogFacts) => void
  warn: (sentence: string, facts?: LogFacts) => void
  info: (sentence: string, facts?: LogFacts) => void
  debug: (sentence: string, facts?: LogFacts) => void
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

interface Line {
  level: string
  message: unknown
  timestamp?: unknown
  scope?: LogScope
  facts?: LogFacts
}

function formatLine (info: Line): string {
  return `${String(info.timestamp)} ${info.level} [${info.scope ?? 'process'}] ${String(info.message)}${formatFacts(info.facts ?? {})}`
}

const FORMATS = {
  lines: () => format.printf(info => formatLine({ ...info as Line, timestamp: timestamp() })),
  json: () => format.combine(format.timestamp(), format.json())
}

let stampedAt = 0
let stamp = ''

/** The time as a line shows it, written out once a millisecond. */
function timestamp (): string {
  const now = Date.now()
  if (now !== stampedAt) {
    stampedAt = now
    stamp = new Date(now).toISOString()
  }
  return stamp
}

/** Time that lines may wait to be written together, in milliseconds. */
const BATCH_MILLISECONDS = 10
/** Characters that are written without waiting longer. */
const BATCH_CHARACTERS = 64 * 1024

interface BatchedOutput {
  stream: Writable
  flush: () => void
}

/** Gathers lines, because a write of each line costs more than the line. */
function createBatchedOutput (output: NodeJS.WritableStream): BatchedOutput {
  let waiting = ''
  let timer: NodeJS.Timeout | undefined

  function flush (): void {
    clearTimeout(timer)
    timer = undefined
    if (waiting === '') return
    const lines = waiting
    waiting = ''
    output.write(lines)
  }

  const stream = new Writable({
    decodeStrings: false,
    write: (line: string, _encoding, done) => {
      waiting += line
      if (waiting.length >= BATCH_CHARACTERS) flush()
      else timer ??= setTimeout(flush, BATCH_MILLISECONDS)
      done()
    }
  })
  return { stream, flush }
}

function createScope (winston: WinstonLogger, scope: LogScope): ScopedLogger {
  const write = (level: string) => (sentence: string, facts?: LogFacts): void => { winston.log(level, sentence, { scope, facts }) }
  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') }
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
    scope: scope => createScope(winston, scope),
    close: () => {
      flush()
      process.off('exit', flush)
      winston.close()
    }
  }
}
