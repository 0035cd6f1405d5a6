/**
 * State of a caller's session that does not depend on a backend connection: its
 * positions in the groups' logs, its settings and its prepared statements.
 * Between transactions the session can move to any backend connection.
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
  /** Records a setting that a backend server accepted. */
  recordSetting: (name: string, values: readonly string[]) => void
  /** The session's position in a group's log, if known. */
  position: (group: string) => LogPosition | undefined
  /** Advances the session's position in a group's log. */
  advance: (group: string, position: LogPosition) => void
  /** Removes the position, so that the next read asks the primary for it. */
  removePosition: (group: string) => void
  /** The session token, encoded for the caller. */
  tokenText: () => string
  /**
   * Executes a statement that needs no backend server.
   *
   * @throws RefusalError
   */
  executeLocally: (statement: StatementClass) => LocalResult
}

/** Start-up parameters that are not settings. */
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
    // A server may ignore protocol extensions that it does not support.
    if (NON_SETTING_PARAMETERS.has(name) || name.startsWith('_pq_.')) continue
    const fault = settingFault(name, [value])
    if (fault !== undefined) throw new RefusalError('not supported', `start-up parameter: ${fault}`, 'not run', `Take it out of the connection string; kept are ${sessionSettingNames().join(', ')}.`)
    settings.set(name, name === 'search_path' || name === 'datestyle' ? value.split(',').map(item => item.trim().replace(/^"(.*)"$/, '$1')) : [value])
  }
  return settings
}

/** @throws RefusalError when a start-up parameter is not supported or holds an invalid session token */
export function createCallerSession (parameters: Record<string, string>, secret: string): CallerSession {
  const parsedSettings = readStartupSettings(parameters)
  let token = readToken(parsedSettings.get(SESSION_TOKEN_SETTING)?.join() ?? '', secret)
  parsedSettings.delete(SESSION_TOKEN_SETTING)
  // Connections to backend servers use UTF8 already.
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
