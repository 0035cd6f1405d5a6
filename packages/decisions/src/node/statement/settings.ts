/**
 * Session settings that outlive a request: which ones a caller may set outside
 * transactions, and the statements that switch a pooled connection from one
 * session's settings to another's.
 */

/** Setting that carries the session token. */
export const SESSION_TOKEN_SETTING = 'cyclamenusher.session'

/** Settings that a session keeps across pooled connections, in lower case. */
const SESSION_SETTINGS: ReadonlySet<string> = new Set([
  SESSION_TOKEN_SETTING, 'application_name', 'bytea_output', 'client_encoding', 'client_min_messages', 'datestyle',
  'default_transaction_isolation', 'default_transaction_read_only', 'extra_float_digits',
  'idle_in_transaction_session_timeout', 'intervalstyle', 'lock_timeout', 'search_path', 'statement_timeout',
  'timezone', 'work_mem'
])

/** Longest value that a session keeps, in characters. */
const MAXIMUM_VALUE_CHARACTERS = 1_024

/** Values of settings, by the setting's name in lower case. */
export type SettingValues = ReadonlyMap<string, readonly string[]>

export const NO_SETTINGS: SettingValues = new Map()

export function isSessionSetting (name: string): boolean {
  return SESSION_SETTINGS.has(name)
}

/** Names of the settings that a session keeps, for messages and docs. */
export function sessionSettingNames (): string[] {
  return [...SESSION_SETTINGS]
}

function quote (value: string): string {
  const escaped = value.replaceAll("'", "''")
  // In a plain string, the meaning of a backslash depends on standard_conforming_strings.
  return escaped.includes('\\') ? ` E'${escaped.replaceAll('\\', '\\\\')}'` : `'${escaped}'`
}

function equalValues (left: readonly string[], right: readonly string[] | undefined): boolean {
  return right !== undefined && left.length === right.length && left.every((value, index) => value === right[index])
}

/** Statements that change a connection's settings from `current` to `wanted`; empty if they are equal. */
export function settingStatements (current: SettingValues, wanted: SettingValues): string {
  if (current === wanted) return ''
  const resets = [...current.keys()].filter(name => !wanted.has(name)).map(name => `RESET ${name}`)
  const sets = [...wanted]
    .filter(([name, values]) => !equalValues(values, current.get(name)))
    .map(([name, values]) => `SET ${name} TO ${values.map(quote).join(', ')}`)
  return [...resets, ...sets].join('; ')
}

/** Why a session can't keep the setting; undefined if it can. */
export function settingFault (name: string, values: readonly string[]): string | undefined {
  if (!isSessionSetting(name)) return `the setting ${name} can't be kept on shared connections`
  if (name === SESSION_TOKEN_SETTING) return undefined
  if (values.join().length > MAXIMUM_VALUE_CHARACTERS) return `the value of ${name} is longer than ${MAXIMUM_VALUE_CHARACTERS} characters`
  if (name === 'client_encoding' && !/^(utf-?8|unicode)$/i.test(values.join())) return 'only the client_encoding UTF8 is spoken here'
  return undefined
}

/** Settings in the startup parameter `options`, as "-c name=value" or "--name=value". */
export function readStartupOptions (text: string): Array<[name: string, value: string]> {
  const settings: Array<[string, string]> = []
  for (const [, name, value] of text.matchAll(/(?:^|\s)(?:-c\s*|--)([\w.-]+)=((?:\\.|[^\s\\])*)/g)) {
    settings.push([name.replaceAll('-', '_').toLowerCase(), value.replace(/\\(.)/g, '$1')])
  }
  return settings
}
