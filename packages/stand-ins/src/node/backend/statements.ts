/**
 * The subset of SQL that a stand-in backend server supports: a table of
 * patterns, each with its handler.
 */

import { applyOperation } from './store.js'
import type { Operation, Table } from './store.js'
import type { BackendServer, ServerStatus } from './server.js'

/** State that a connection keeps between statements. */
export interface SessionState {
  user: string
  /** Operations of the open transaction, in order. */
  pending: Operation[]
  transaction: 'idle' | 'transaction' | 'failed'
  /** Whether a statement is running. */
  busy: boolean
  settings: Map<string, string>
  /** Settings that apply until the open transaction ends. */
  localSettings: Map<string, string>
  temporaryTables: Map<string, Table>
}

export interface StatementResult {
  /** Tag of the CommandComplete message. */
  tag: string
  columns?: string[]
  rows?: Iterable<Array<string | null>>
  /** Operations that the statement adds to its transaction. */
  operations?: Operation[]
  /** Duration of the statement, in milliseconds. */
  sleepMilliseconds?: number
}

/** An error that is sent as the answer to a statement. */
export class StatementError extends Error {
  override readonly name = 'StatementError'
  constructor (readonly code: string, message: string) {
    super(message)
  }
}

type Handler = (match: RegExpExecArray, session: SessionState, server: BackendServer) => StatementResult | Promise<StatementResult>

const LITERAL = "'((?:[^']|'')*)'"

function unquote (text: string): string {
  return text.replaceAll("''", "'")
}

/** Returns a table as the session sees it: its temporary table, or the committed rows with its own pending changes applied. */
function visibleTable (name: string, session: SessionState, server: BackendServer): Table {
  const temporary = session.temporaryTables.get(name)
  if (temporary !== undefined) return temporary
  const committed = server.store.table(name)
  const uncommitted = session.pending.filter(operation => operation.table === name)
  if (uncommitted.length === 0) return committed ?? new Map()
  const view = new Map(committed)
  for (const operation of uncommitted) applyOperation(view, operation)
  return view
}

function runWrite (tag: string, operation: Operation, session: SessionState, returning?: string[]): StatementResult {
  const temporary = session.temporaryTables.get(operation.table)
  if (temporary !== undefined) {
    applyOperation(temporary, operation)
    return { tag }
  }
  return { tag, operations: [operation], ...(returning === undefined ? {} : { columns: ['value'], rows: [returning] }) }
}

function * generateSeries (count: number, width: number): Iterable<string[]> {
  const padding = 'x'.repeat(width)
  for (let index = 1; index <= count; index += 1) yield [`${index}${padding}`]
}

function readSetting (name: string, session: SessionState): string {
  return session.localSettings.get(name.toLowerCase()) ?? session.settings.get(name.toLowerCase()) ?? ''
}

/** Columns of a status row in order, each with the function that reads its value. */
const STATUS_COLUMNS: ReadonlyArray<[name: string, read: (status: ServerStatus, server: BackendServer) => string | number | boolean]> = [
  ['group_name', (_status, server) => server.options.group],
  ['member', ({ member }) => member],
  ['role', ({ role }) => role],
  ['adopted_term', ({ adoptedTerm }) => adoptedTerm],
  ['log_term', ({ logTerm }) => logTerm],
  ['position', ({ position }) => position],
  ['applied_term', ({ appliedTerm }) => appliedTerm],
  ['applied_position', ({ appliedPosition }) => appliedPosition],
  ['primary_member', ({ primaryMember }) => primaryMember],
  ['heard_milliseconds', ({ heardMilliseconds }) => heardMilliseconds],
  ['primary_refused', ({ primaryRefused }) => primaryRefused],
  ['voting', ({ voting }) => voting],
  ['incarnation', ({ incarnation }) => incarnation],
  ['leaving', ({ leaving }) => leaving],
  ['open_transactions', ({ openTransactions }) => openTransactions],
  ['granted', ({ granted }) => granted]
]

function statusResult (status: ServerStatus, server: BackendServer): StatementResult {
  return {
    tag: 'SELECT 1',
    columns: STATUS_COLUMNS.map(([name]) => name),
    rows: [STATUS_COLUMNS.map(([, read]) => String(read(status, server)))]
  }
}

const HANDLERS: Array<[pattern: RegExp, handler: Handler]> = [
  [/^select \* from cyclamenusher\.status\(\)$/i, (_match, _session, server) => statusResult(server.status(), server)],
  [/^select \* from cyclamenusher\.wait\('(held|applied)', *(\d+), *(\d+), *(\d+)\)$/i, async ([, kind, term, position, milliseconds], _session, server) =>
    statusResult(await server.wait(kind as 'held' | 'applied', Number(term), Number(position), Number(milliseconds)), server)],
  [/^select \* from cyclamenusher\.adopt\((\d+)\)$/i, ([, term], _session, server) => statusResult(server.adopt(Number(term)), server)],
  [/^select \* from cyclamenusher\.promote\((\d+)\)$/i, ([, term], _session, server) => statusResult(server.promote(Number(term)), server)],
  [/^select \* from cyclamenusher\.follow\((\d+), *'([^']*)', *(\d+)\)$/i, ([, term, host, port], _session, server) =>
    statusResult(server.follow(Number(term), host, Number(port)), server)],
  [/^select \* from cyclamenusher\.leave\((true|false)\)$/i, ([, leaving], _session, server) => {
    server.setFaults({ leaving: leaving === 'true' })
    return statusResult(server.status(), server)
  }],
  [/^select \* from cyclamenusher\.admit\((\d+), *(\d+), *'([^']*)'\)$/i, ([, term, position, incarnation], _session, server) =>
    statusResult(server.admit(Number(term), Number(position), incarnation), server)],
  [new RegExp(`^insert into (\\w+) *\\(id, *value\\) *values *\\(${LITERAL}, *${LITERAL}\\)( on conflict \\(id\\) do update set value *= *excluded\\.value)?( returning value)?$`, 'i'), ([, table, id, value, upsert, returning], session, server) => {
    if (upsert === undefined && visibleTable(table, session, server).has(unquote(id))) {
      throw new StatementError('23505', `duplicate key value violates unique constraint "${table}_pkey"`)
    }
    return runWrite('INSERT 0 1', { kind: 'put', table, id: unquote(id), value: unquote(value) }, session, returning === undefined ? undefined : [unquote(value)])
  }],
  [new RegExp(`^insert into (\\w+) *\\(value\\) *values *\\(${LITERAL}\\)( returning value)?$`, 'i'), ([, table, value, returning], session) =>
    runWrite('INSERT 0 1', { kind: 'append', table, value: unquote(value) }, session, returning === undefined ? undefined : [unquote(value)])],
  [new RegExp(`^update (\\w+) set value *= *value *([+-]) *'?(\\d+)'? where id *= *${LITERAL}$`, 'i'), ([, table, sign, amount, id], session) =>
    runWrite('UPDATE 1', { kind: 'add', table, id: unquote(id), amount: Number(sign + amount) }, session)],
  [new RegExp(`^update (\\w+) set value *= *${LITERAL} where id *= *${LITERAL}$`, 'i'), ([, table, value, id], session) =>
    runWrite('UPDATE 1', { kind: 'put', table, id: unquote(id), value: unquote(value) }, session)],
  [new RegExp(`^delete from (\\w+) where id *= *${LITERAL}$`, 'i'), ([, table, id], session) =>
    runWrite('DELETE 1', { kind: 'remove', table, id: unquote(id) }, session)],
  [/^create (temp|temporary) table (\w+)\b/i, ([, , table], session) => {
    session.temporaryTables.set(table, new Map())
    return { tag: 'CREATE TABLE' }
  }],
  [/^create table (\w+)\b/i, ([, table], session) => runWrite('CREATE TABLE', { kind: 'create', table }, session)],
  [new RegExp(`^select value from (\\w+) where id *= *${LITERAL}( for update)?$`, 'i'), ([, table, id], session, server) => {
    const value = visibleTable(table, session, server).get(unquote(id))
    const rows = value === undefined ? [] : [[value]]
    return { tag: `SELECT ${rows.length}`, columns: ['value'], rows }
  }],
  [/^select id, *value from (\w+)$/i, ([, table], session, server) => {
    const rows = [...visibleTable(table, session, server)]
    return { tag: `SELECT ${rows.length}`, columns: ['id', 'value'], rows }
  }],
  [/^select count\(\*\) from (\w+)$/i, ([, table], session, server) =>
    ({ tag: 'SELECT 1', columns: ['count'], rows: [[String(visibleTable(table, session, server).size)]] })],
  [/^select generate_series\(1, *(\d+)\)(?: as n)?$/i, ([, count]) =>
    ({ tag: `SELECT ${count}`, columns: ['generate_series'], rows: generateSeries(Number(count), 0) })],
  [/^select repeat\('x', *(\d+)\) from generate_series\(1, *(\d+)\)$/i, ([, width, count]) =>
    ({ tag: `SELECT ${count}`, columns: ['repeat'], rows: generateSeries(Number(count), Number(width)) })],
  [/^select pg_sleep\(([\d.]+)\)$/i, ([, seconds]) =>
    ({ tag: 'SELECT 1', columns: ['pg_sleep'], rows: [['']], sleepMilliseconds: Number(seconds) * 1000 })],
  [/^select current_user$/i, (_match, session) => ({ tag: 'SELECT 1', columns: ['current_user'], rows: [[session.user]] })],
  [/^select member_name\(\)$/i, (_match, _session, server) => ({ tag: 'SELECT 1', columns: ['member'], rows: [[server.options.member]] })],
  [/^select current_setting\('([\w.]+)'\)$/i, ([, name], session) =>
    ({ tag: 'SELECT 1', columns: ['current_setting'], rows: [[readSetting(name, session)]] })],
  [/^show ([\w.]+)$/i, ([, name], session) => ({ tag: 'SHOW', columns: [name], rows: [[readSetting(name, session)]] })],
  [new RegExp(`^select (?:(-?\\d+)|${LITERAL})(?:::\\w+)?(?: as \\w+)?$`, 'i'), ([, number, text]) =>
    ({ tag: 'SELECT 1', columns: ['?column?'], rows: [[number ?? unquote(text)]] })],
  [/^set (local )?(?:session )?([\w.]+) *(?:=|to) *'?([^']*)'?$/i, ([, local, name, value], session) => {
    const settings = local === undefined ? session.settings : session.localSettings
    settings.set(name.toLowerCase(), value)
    return { tag: 'SET' }
  }],
  [/^reset (?!all$)([\w.]+)$/i, ([, name], session) => {
    session.settings.delete(name.toLowerCase())
    return { tag: 'RESET' }
  }],
  [/^reset all$/i, (_match, session) => {
    session.settings.clear()
    return { tag: 'RESET' }
  }],
  [/^discard all$/i, (_match, session) => {
    session.settings.clear()
    session.temporaryTables.clear()
    return { tag: 'DISCARD ALL' }
  }]
]

/** Replaces `$1`, `$2` and so on with text values. */
export function bindParameters (statement: string, values: Array<string | null>): string {
  return statement.replace(/\$(\d+)(?:::\w+)?/g, (_whole, number: string) => {
    const value = values[Number(number) - 1]
    return value === null || value === undefined ? 'null' : `'${value.replaceAll("'", "''")}'`
  })
}

/** Runs one statement that is not transaction control. */
export async function runStatement (statement: string, session: SessionState, server: BackendServer): Promise<StatementResult> {
  const text = statement.trim().replace(/^(?:\/\*.*?\*\/\s*)+/, '').replace(/\s+/g, ' ')
  for (const [pattern, handler] of HANDLERS) {
    const match = pattern.exec(text)
    if (match !== null) return await handler(match, session, server)
  }
  throw new StatementError('42601', `the stand-in does not understand: ${text.slice(0, 120)}`)
}
