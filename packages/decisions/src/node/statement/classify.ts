/**
 * Classifies statements by what they need: a read can go to a replica, a write
 * needs the primary, and a change of session state is handled by itself.
 * PostgreSQL's own parser reads the text; results are cached by text.
 */

import { loadModule, parseSync } from 'libpg-query'
import { lookUp } from '../lookUp.js'
import { SIDE_EFFECT_FREE_FUNCTIONS } from './constants.js'
import { SESSION_TOKEN_SETTING, isSessionSetting } from './settings.js'

export type StatementKind =
  | 'read'
  | 'write'
  | 'begin'
  | 'begin read only'
  | 'commit'
  | 'rollback'
  | 'savepoint'
  | 'setting'
  | 'reset'
  | 'local setting'
  | 'show session'
  | 'discard'
  | 'deallocate'
  | 'empty'
  | 'unsupported'

export interface StatementClass {
  kind: StatementKind
  /** For a setting: its name in lower case. */
  setting?: string
  /** For a setting: its values; a list setting may have several. */
  values?: readonly string[]
  /** For DEALLOCATE: the statement's name; undefined means all. */
  statementName?: string
  /** Whether the statement may change the server's session in ways that its text does not show. */
  mayChangeSession?: boolean
  /** For an unsupported statement: the name of the feature, for messages. */
  feature?: string
}

/** Classes of the statements in one text. */
export interface TextClass {
  statements: StatementClass[]
  /** The parser's message, if the text can't be parsed. */
  syntaxError?: string
}

type Node = Record<string, unknown>

/** Most texts whose result is cached. */
const MAXIMUM_CACHE_ENTRIES = 10_000
/** Longest text whose result is cached, in characters. */
const MAXIMUM_CACHED_TEXT_CHARACTERS = 4_096

const READ: StatementClass = { kind: 'read' }
const WRITE: StatementClass = { kind: 'write' }
const SESSION_CHANGING_WRITE: StatementClass = { kind: 'write', mayChangeSession: true }

function unsupported (feature: string): StatementClass {
  return { kind: 'unsupported', feature }
}

function functionName (call: Node): string {
  const names = (call.funcname as Node[] | undefined) ?? []
  return names.map(name => String((name.String as Node).sval)).filter(name => name !== 'pg_catalog').join('.')
}

/** Whether `matches` holds for any property at or below `node`. */
function someProperty (node: unknown, matches: (key: string, value: unknown) => boolean): boolean {
  if (Array.isArray(node)) return node.some(item => someProperty(item, matches))
  if (typeof node !== 'object' || node === null) return false
  return Object.entries(node).some(([key, value]) => matches(key, value) || someProperty(value, matches))
}

function isUnknownCall (key: string, value: unknown): boolean {
  return key === 'FuncCall' && !SIDE_EFFECT_FREE_FUNCTIONS.has(functionName(value as Node))
}

/** Whether anything at or below `node` can change data or lock rows. */
function canChangeData (node: unknown): boolean {
  return someProperty(node, (key, value) => DATA_CHANGE_KEYS.has(key) || isUnknownCall(key, value))
}

/** Classifies a write; a call of an unknown function may change the session. */
function classifyWrite (node: unknown): StatementClass {
  return someProperty(node, isUnknownCall) ? SESSION_CHANGING_WRITE : WRITE
}

function usesTemporaryObjects (node: unknown): boolean {
  return someProperty(node, (key, value) => (key === 'relpersistence' && value === 't') || (key === 'schemaname' && value === 'pg_temp'))
}

const DATA_CHANGE_KEYS = new Set(['InsertStmt', 'UpdateStmt', 'DeleteStmt', 'MergeStmt', 'lockingClause', 'intoClause'])

/** Functions whose effect lasts beyond the transaction on a pooled connection. */
const SESSION_FUNCTIONS = /^(pg_(try_)?advisory_lock(_shared)?|pg_advisory_unlock.*|set_config|setseed|pg_backend_pid|lo_\w+|dblink_connect\w*)$/

function findSessionFunction (node: unknown): string | undefined {
  if (Array.isArray(node)) {
    for (const item of node) {
      const found = findSessionFunction(item)
      if (found !== undefined) return found
    }
    return undefined
  }
  if (typeof node !== 'object' || node === null) return undefined
  for (const [key, value] of Object.entries(node)) {
    if (key === 'FuncCall' && SESSION_FUNCTIONS.test(functionName(value as Node))) return functionName(value as Node)
    const found = findSessionFunction(value)
    if (found !== undefined) return found
  }
  return undefined
}

function classifyTransaction (node: Node): StatementClass {
  const options = (node.options as Node[] | undefined) ?? []
  const readOnly = options.some(option => {
    const element = option.DefElem as Node
    const value = ((element.arg as Node | undefined)?.A_Const as Node | undefined)?.ival as Node | undefined
    return element.defname === 'transaction_read_only' && value?.ival === 1
  })
  const kinds: Record<string, StatementClass> = {
    TRANS_STMT_BEGIN: { kind: readOnly ? 'begin read only' : 'begin' },
    TRANS_STMT_START: { kind: readOnly ? 'begin read only' : 'begin' },
    TRANS_STMT_COMMIT: node.chain === true ? unsupported('COMMIT AND CHAIN') : { kind: 'commit' },
    TRANS_STMT_ROLLBACK: node.chain === true ? unsupported('ROLLBACK AND CHAIN') : { kind: 'rollback' },
    TRANS_STMT_SAVEPOINT: { kind: 'savepoint' },
    TRANS_STMT_RELEASE: { kind: 'savepoint' },
    TRANS_STMT_ROLLBACK_TO: { kind: 'savepoint' }
  }
  return lookUp(kinds, String(node.kind)) ?? unsupported('two-phase commit')
}

function settingValues (node: Node): string[] | undefined {
  const values = ((node.args as Node[] | undefined) ?? []).map(argument => {
    const constant = argument.A_Const as Node | undefined
    if (constant?.sval !== undefined) return String((constant.sval as Node).sval ?? '')
    if (constant?.ival !== undefined) return String((constant.ival as Node).ival ?? 0)
    if (constant?.fval !== undefined) return String((constant.fval as Node).fval)
    if (constant?.boolval !== undefined) return (constant.boolval as Node).boolval === true ? 'on' : 'off'
    return undefined
  })
  return values.every(value => value !== undefined) ? values : undefined
}

function classifySet (node: Node): StatementClass {
  const setting = String(node.name ?? '').toLowerCase()
  if (node.kind === 'VAR_SET_MULTI') {
    return setting === 'transaction' ? { kind: 'local setting', setting } : unsupported('SET SESSION CHARACTERISTICS')
  }
  if (node.is_local === true) return { kind: 'local setting', setting }
  if (node.kind === 'VAR_RESET_ALL') return { kind: 'reset' }
  if (node.kind === 'VAR_RESET' || node.kind === 'VAR_SET_DEFAULT') return isSessionSetting(setting) ? { kind: 'reset', setting } : unsupported(`RESET ${setting}`)
  const values = settingValues(node)
  if (!isSessionSetting(setting) || values === undefined || node.kind !== 'VAR_SET_VALUE') return unsupported(`SET ${setting}`)
  return { kind: 'setting', setting, values }
}

const DISCARD_CLASSES: Record<string, StatementClass> = {
  DISCARD_ALL: { kind: 'discard' },
  // Plans belong to the pooled connections, and there are no temporary tables to drop.
  DISCARD_PLANS: { kind: 'reset', setting: 'plans' },
  DISCARD_TEMP: { kind: 'reset', setting: 'temp' }
}

function classifyExplain (node: Node): StatementClass {
  const options = (node.options as Node[] | undefined) ?? []
  const analyzes = options.some(option => (option.DefElem as Node).defname === 'analyze')
  return analyzes && canChangeData(node.query) ? classifyWrite(node.query) : READ
}

const CLASSIFIERS: Record<string, (node: Node) => StatementClass> = {
  SelectStmt: node => canChangeData(node) ? classifyWrite(node) : READ,
  TransactionStmt: classifyTransaction,
  VariableSetStmt: classifySet,
  VariableShowStmt: node => String(node.name).toLowerCase() === SESSION_TOKEN_SETTING ? { kind: 'show session' } : READ,
  ExplainStmt: classifyExplain,
  CopyStmt: () => unsupported('COPY'),
  ListenStmt: () => unsupported('LISTEN'),
  UnlistenStmt: () => unsupported('UNLISTEN'),
  PrepareStmt: () => unsupported('PREPARE as a statement (use the extended protocol)'),
  ExecuteStmt: () => unsupported('EXECUTE as a statement (use the extended protocol)'),
  DeallocateStmt: node => ({ kind: 'deallocate', ...(node.name === undefined ? {} : { statementName: String(node.name) }) }),
  DeclareCursorStmt: node => (Number(node.options ?? 0) & CURSOR_WITH_HOLD) > 0 ? unsupported('cursors WITH HOLD') : WRITE,
  DiscardStmt: node => lookUp(DISCARD_CLASSES, String(node.target)) ?? unsupported('DISCARD SEQUENCES'),
  LoadStmt: () => unsupported('LOAD'),
  DoStmt: () => SESSION_CHANGING_WRITE,
  CallStmt: () => SESSION_CHANGING_WRITE
}

/** Bit of DECLARE's options that keeps a cursor beyond its transaction. */
const CURSOR_WITH_HOLD = 0x0020

function classifyNode (statement: Node): StatementClass {
  const [[tag, node]] = Object.entries(statement)
  const sessionFunction = findSessionFunction(node)
  if (sessionFunction !== undefined) return unsupported(`the function ${sessionFunction}`)
  if (usesTemporaryObjects(node)) return unsupported('temporary tables')
  return lookUp(CLASSIFIERS, tag)?.(node as Node) ?? classifyWrite(node)
}

function classifyText (text: string): TextClass {
  // The parser reports an empty text as an error.
  if (text.trim() === '') return { statements: [{ kind: 'empty' }] }
  try {
    const parsed = parseSync(text) as unknown as { stmts?: Array<{ stmt: Node }> }
    const statements = (parsed.stmts ?? []).map(({ stmt }) => classifyNode(stmt))
    return { statements: statements.length === 0 ? [{ kind: 'empty' }] : statements }
  } catch (error) {
    return { statements: [], syntaxError: (error as Error).message }
  }
}

const cache = new Map<string, TextClass>()

/** Loads the parser; call it once before `classify`. */
export async function loadParser (): Promise<void> {
  await loadModule()
}

/** Classifies each statement in `text`. */
export function classify (text: string): TextClass {
  const cached = cache.get(text)
  if (cached !== undefined) return cached
  const result = classifyText(text)
  if (text.length > MAXIMUM_CACHED_TEXT_CHARACTERS) return result
  if (cache.size >= MAXIMUM_CACHE_ENTRIES) {
    const [oldest] = cache.keys()
    cache.delete(oldest)
  }
  cache.set(text, result)
  return result
}
