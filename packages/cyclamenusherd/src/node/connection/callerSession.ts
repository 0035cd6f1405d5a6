/**
 * What a caller's session is made of beyond its connection to a backend server:
 * its place in the groups' logs, its settings and its prepared statements. Any
 * backend connection can take it over between transactions.
 */

import { NO_SETTINGS, SESSION_TOKEN_SETTING, SessionTokenError, advanceToken, decodeToken, encodeToken, readStartupOptions, sessionSettingNames, settingFault } from '@cyclamenusher/decisions'
import { RefusalError } from '../request/refusal.js'
import type { LogPosition, SessionToken, SettingValues, StatementClass } from '@cyclamenusher/decisions'
import type { TransactionState } from '@cyclamenusher/protocol'
import type { Portals, PreparedStatements } from '../request/batch.js'
import type { LocalResult } from '../request/localReply.js'

export interface CallerSession {
  transaction: TransactionState
  readonly prepared: PreparedStatements
  readonly portals: Portals
  settings: () => SettingValues
  /** Remembers a setting that a server took. */
  recordSetting: (name: string, values: readonly string[]) => void
  /** The session's place in a group, if it is known. */
  position: (group: string) => LogPosition | undefined
  advance: (group: string, position: LogPosition) => void
  /** Forgets the place, so that the next read asks the primary for it. */
  removePosition: (group: string) => void
  /** The token as the caller gets it. */
  tokenText: () => string
  /** Does what a statement asks that needs no server. @throws RefusalError */
  executeLocally: (statement: StatementClass) => LocalResult
}

/** Startup parameters that are no settings. */
const NON_SETTING_PARAMETERS: ReadonlySet<string> = new Set(['user', 'database', 'options'])

function readToken (text: string, secret: string): SessionToken {
  try {
    return decodeToken(text, secret)
  } catch (error) {
    if (error instanceof SessionTokenError) throw new RefusalError('token refused', error.message)
    throw error
  }
}

function readStartupSettings (parameters: Record<string, string>): Map<string, readonly string[]> {
  const settings = new Map<string, readonly string[]>()
  const entries = [...Object.entries(parameters), ...readStartupOptions(parameters.options ?? '')]
  for (const [givenName, value] of entries) {
    const name = givenName.toLowerCase()
    // Protocol extensions may be left out by a server that does not know them.
    if (NON_SETTING_PARAMETERS.has(name) || name.startsWith('_pq_.')) continue
    const fault = settingFault(name, [value])
    if (fault !== undefined) throw new RefusalError('not supported', `start-up parameter: ${fault}`, 'not run', `Take it out of the connection string; kept are ${sessionSettingNames().join(', ')}.`)
    settings.set(name, name === 'search_path' || name === 'datestyle' ? value.split(',').map(item => item.trim().replace(/^"(.*)"$/, '$1')) : [value])
  }
  return settings
}

/** @throws RefusalError when the startup parameters ask for what can't be kept */
export function createCallerSession (parameters: Record<string, string>, secret: string): CallerSession {
  const parsedSettings = readStartupSettings(parameters)
  let token = readToken(parsedSettings.get(SESSION_TOKEN_SETTING)?.join() ?? '', secret)
  parsedSettings.delete(SESSION_TOKEN_SETTING)
  // Servers speak UTF8 to the system already.
  parsedSettings.delete('client_encoding')
  const startupSettings: SettingValues = parsedSettings.size === 0 ? NO_SETTINGS : parsedSettings
  let settings: SettingValues = startupSettings
  const prepared: PreparedStatements = new Map()

  function resetSettings (name: string | undefined): void {
    if (name === undefined) {
      settings = startupSettings
      return
    }
    const changed = new Map(settings)
    const startupValues = startupSettings.get(name)
    if (startupValues === undefined) changed.delete(name)
    else changed.set(name, startupValues)
    settings = changed
  }

  const statementHandlers: Partial<Record<StatementClass['kind'], (statement: StatementClass) => LocalResult>> = {
    setting: ({ values }) => {
      token = readToken(values?.join() ?? '', secret)
      return { tag: 'SET' }
    },
    reset: ({ setting }) => {
      if (setting === SESSION_TOKEN_SETTING) token = new Map()
      else resetSettings(setting)
      return { tag: 'RESET' }
    },
    'show session': () => ({ tag: 'SHOW', column: { name: SESSION_TOKEN_SETTING, value: encodeToken(token, secret) } }),
    discard: () => {
      resetSettings(undefined)
      prepared.clear()
      return { tag: 'DISCARD ALL' }
    },
    deallocate: ({ statementName }) => {
      if (statementName === undefined) {
        prepared.clear()
        return { tag: 'DEALLOCATE ALL' }
      }
      if (!prepared.delete(statementName)) throw new RefusalError('statement unknown', `prepared statement "${statementName}" does not exist`)
      return { tag: 'DEALLOCATE' }
    }
  }

  return {
    transaction: 'idle',
    prepared,
    portals: new Map(),
    settings: () => settings,
    recordSetting: (name, values) => { settings = new Map([...settings, [name, values]]) },
    position: group => token.get(group),
    advance: (group, position) => { token = advanceToken(token, group, position) },
    removePosition: group => {
      const remaining = new Map(token)
      remaining.delete(group)
      token = remaining
    },
    tokenText: () => encodeToken(token, secret),
    executeLocally: statement => statementHandlers[statement.kind]?.(statement) ?? { tag: 'SELECT 0' }
  }
}
