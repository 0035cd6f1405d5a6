/** Logs: short sentences with a fixed prefix for each part of the process. */

import { createLogger as createWinston, format, transports } from 'winston'
import type { Logger as WinstonLogger } from 'winston'
import type { Config } from './config.js'

/** A part of the process, as its log lines name it. */
export type LogScope = 'process' | 'control' | 'rules' | 'directory' | 'monitor' | 'failover' | 'route' | 'pool' | 'caller' | 'rate'

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
  lines: () => format.combine(format.timestamp(), format.printf(info => formatLine(info as Line))),
  json: () => format.combine(format.timestamp(), format.json())
}

function createScope (winston: WinstonLogger, scope: LogScope): ScopedLogger {
  const write = (level: string) => (sentence: string, facts?: LogFacts): void => { winston.log(level, sentence, { scope, facts }) }
  return { error: write('error'), warn: write('warn'), info: write('info'), debug: write('debug') }
}

export function createLogger (options: Config['log']): Logger {
  const winston = createWinston({
    level: options.level,
    format: FORMATS[options.format](),
    transports: [new transports.Console({ stderrLevels: [] })]
  })
  return { scope: scope => createScope(winston, scope), close: () => { winston.close() } }
}
