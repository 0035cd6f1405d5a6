/**
 * The rules that operators declare: a TOML text with one line for each rule,
 * each line with a trailing comment that says who asked for it.
 */

import { createHash } from 'node:crypto'
import { FaultyFileError, readToml } from '../settings/toml.js'
import { resolveFields } from '../settings/fields.js'
import type { Field } from '../settings/fields.js'
import type { Fault, TomlEntry, TomlValue } from '../settings/toml.js'

/** A client account and its limits. */
export interface AccountRule {
  /** Requests a second, over all instances together. */
  rate: number
  /** Requests that may arrive at once, over all instances together. */
  burst: number
  /** Weight of the account, relative to others, when connections are scarce. */
  weight: number
}

/** A valid key; only its digest is stored. */
export interface KeyRule {
  account: string
  /** SHA-256 of the key, as "sha256:" and 64 hexadecimal digits. */
  digest: string
}

/** A database that callers can name, and the group that serves it. */
export interface DatabaseRule {
  group: string
  /** Number of members in the group. */
  members: number
}

/** What an account may do with a database. */
export interface AccessRule {
  account: string
  database: string
  write: boolean
  /** Largest age of the data that a read may return; 0: no age limit, only the session's position is required. */
  maximum_age_milliseconds: number
}

/** A route that is open to all callers, for reads without a key. */
export interface OpenRule {
  database: string
  maximum_age_milliseconds: number
  rate: number
  burst: number
}

/** A failure domain that owns a share of each account's rate and burst. */
export type FailureDomainRule = Record<string, never>

export interface Rules {
  /** Failure domains that each account's rate and burst are split over; if there are none, the whole fleet has one share. */
  failure_domains: ReadonlyMap<string, FailureDomainRule>
  accounts: ReadonlyMap<string, AccountRule>
  keys: ReadonlyMap<string, KeyRule>
  databases: ReadonlyMap<string, DatabaseRule>
  access: ReadonlyMap<string, AccessRule>
  open: ReadonlyMap<string, OpenRule>
}

export type RuleTable = keyof Rules

/** One rule as a line of text; deltas consist of such lines. */
export interface RuleLine {
  /** Table and name, as "keys.clinic-1". */
  identity: string
  /** The whole line in its normal form. */
  text: string
}

export interface ParsedRules {
  rules: Rules
  lines: RuleLine[]
  /** SHA-256 of the lines in order of identity, so that equal rules have equal digests. */
  digest: string
}

/** Longest rules text, in bytes. */
export const MAXIMUM_RULES_BYTES = 8 * 1024 * 1024
/** Most rules in one text. */
export const MAXIMUM_RULES = 100_000

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/
const NAME_SHAPE = 'a name of letters, digits, ".", "_" and "-", at most 63 long'
const AGE_FIELD: Field = { kind: 'number', minimum: 0, maximum: 3_600_000, unit: 'milliseconds', default: 0, description: 'largest age of the data that reads may return' }

const FIELDS: Record<RuleTable, Record<string, Field>> = {
  failure_domains: {},
  accounts: {
    rate: { kind: 'number', minimum: 0, maximum: 1_000_000, unit: 'requests a second', description: 'requests a second over all instances' },
    burst: { kind: 'number', minimum: 1, maximum: 1_000_000, unit: 'requests', description: 'requests that may arrive at once over all instances' },
    weight: { kind: 'number', minimum: 0.1, maximum: 100, unit: 'weight', default: 1, description: 'weight of the account when connections are scarce' }
  },
  keys: {
    account: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'the account that the key belongs to' },
    digest: { kind: 'text', pattern: /^sha256:[0-9a-f]{64}$/, shape: '"sha256:" and 64 hexadecimal digits (printf %s KEY | sha256sum)', description: 'SHA-256 of the key' }
  },
  databases: {
    group: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'the group of backend servers' },
    members: { kind: 'number', minimum: 1, maximum: 9, unit: 'members', default: 3, description: 'number of members in the group' }
  },
  access: {
    account: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'the account' },
    database: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'the database that the account may use' },
    write: { kind: 'flag', default: false, description: 'whether the account may write to the database' },
    maximum_age_milliseconds: AGE_FIELD
  },
  open: {
    database: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'the database whose reads are open to all' },
    maximum_age_milliseconds: { ...AGE_FIELD, minimum: 1, default: undefined },
    rate: { kind: 'number', minimum: 0, maximum: 1_000_000, unit: 'requests a second', description: 'requests a second over all instances' },
    burst: { kind: 'number', minimum: 1, maximum: 1_000_000, unit: 'requests', description: 'requests that may arrive at once over all instances' }
  }
}

const TABLES = Object.keys(FIELDS) as RuleTable[]

function isTable (value: TomlValue): value is { [key: string]: TomlValue } {
  return typeof value === 'object' && !Array.isArray(value)
}

function checkShape (file: string, entry: TomlEntry): Fault[] {
  const { path, value, line, endLine, comment } = entry
  const [table, ...rest] = path
  const name = rest.join('.')
  if (!TABLES.includes(table as RuleTable)) {
    return [{ file, line, problem: `there is no rule table ${table}`, remedy: `Use one of ${TABLES.join(', ')}` }]
  }
  const faults: Fault[] = []
  if (!NAME_PATTERN.test(name)) faults.push({ file, line, problem: `${table} has a rule with the invalid name "${name}"`, remedy: `Use ${NAME_SHAPE}` })
  if (!isTable(value)) {
    return [...faults, { file, line, problem: `${table}.${name} is not a rule`, remedy: `Write ${name || 'name'} = { ... } on one line` }]
  }
  if (endLine !== line) faults.push({ file, line, problem: `${table}.${name} takes more than one line`, remedy: 'Write each rule on one line' })
  if (comment === '') faults.push({ file, line, problem: `${table}.${name} does not say who asked for it`, remedy: 'Add a comment at the end of the line, as # asked for by NAME' })
  return faults
}

function isNumberOrFlag (value: TomlValue): boolean {
  return typeof value === 'number' || typeof value === 'boolean'
}

function normalizeLine ({ path, value, comment }: TomlEntry): RuleLine {
  const identity = `${path[0]}.${path.slice(1).join('.')}`
  const fields = Object.entries(value as { [key: string]: TomlValue })
    .map(([name, field]) => `${name} = ${isNumberOrFlag(field) ? String(field) : JSON.stringify(field)}`)
  return { identity, text: `${path[0]}.${JSON.stringify(path.slice(1).join('.'))} = { ${fields.join(', ')} } # ${comment}` }
}

/** Reports references to accounts and databases that do not exist, and duplicate rules. */
function checkReferences (file: string, rules: Rules, lineNumbers: Map<string, number>): Fault[] {
  const faults: Fault[] = []
  const requireRule = (identity: string, table: 'accounts' | 'databases', name: string): void => {
    if (rules[table].has(name)) return
    faults.push({ file, line: lineNumbers.get(identity) ?? 1, problem: `${identity} names ${name}, which is not in ${table}`, remedy: `Add ${table}.${name}, or remove the rule` })
  }
  for (const [name, rule] of rules.keys) requireRule(`keys.${name}`, 'accounts', rule.account)
  for (const [name, rule] of rules.access) {
    requireRule(`access.${name}`, 'accounts', rule.account)
    requireRule(`access.${name}`, 'databases', rule.database)
  }
  for (const [name, rule] of rules.open) requireRule(`open.${name}`, 'databases', rule.database)
  return [...faults, ...checkUnique(file, rules, lineNumbers)]
}

function checkUnique (file: string, rules: Rules, lineNumbers: Map<string, number>): Fault[] {
  const faults: Fault[] = []
  const seen = new Map<string, string>()
  const requireUnique = (identity: string, subject: string): void => {
    const earlier = seen.get(subject)
    if (earlier !== undefined) faults.push({ file, line: lineNumbers.get(identity) ?? 1, problem: `${identity} duplicates ${earlier}`, remedy: 'Remove one of them' })
    seen.set(subject, identity)
  }
  for (const [name, rule] of rules.keys) requireUnique(`keys.${name}`, rule.digest)
  for (const [name, rule] of rules.access) requireUnique(`access.${name}`, `${rule.account} ${rule.database}`)
  for (const [name, rule] of rules.open) requireUnique(`open.${name}`, `open ${rule.database}`)
  return faults
}

/** Digest of rule lines, independent of their order. */
export function digestLines (lines: readonly RuleLine[]): string {
  const hash = createHash('sha256')
  for (const { text } of [...lines].sort((left, right) => left.identity < right.identity ? -1 : 1)) hash.update(`${text}\n`)
  return hash.digest('hex')
}

interface UncheckedRules {
  rules: Rules
  lines: RuleLine[]
  lineNumbers: Map<string, number>
}

/**
 * Parses rule lines one by one, without checking references between them.
 *
 * @throws FaultyFileError with every fault, each with its line and remedy
 */
export function readRuleLines (file: string, text: string): UncheckedRules {
  if (Buffer.byteLength(text) > MAXIMUM_RULES_BYTES) {
    throw new FaultyFileError([{ file, line: 1, problem: `the file has more than ${MAXIMUM_RULES_BYTES} bytes`, remedy: 'Remove rules that are no longer needed' }])
  }
  const entries = readToml(file, text)
  const faults: Fault[] = []
  const rules = { failure_domains: new Map(), accounts: new Map(), keys: new Map(), databases: new Map(), access: new Map(), open: new Map() }
  const lineNumbers = new Map<string, number>()
  if (entries.length > MAXIMUM_RULES) faults.push({ file, line: entries[MAXIMUM_RULES].line, problem: `the file has more than ${MAXIMUM_RULES} rules`, remedy: 'Remove rules that are no longer needed' })
  for (const entry of entries) {
    const shapeFaults = checkShape(file, entry)
    faults.push(...shapeFaults)
    const table = entry.path[0] as RuleTable
    if (!TABLES.includes(table) || !isTable(entry.value)) continue
    const name = entry.path.slice(1).join('.')
    const fields = Object.entries(entry.value).map(([field, value]) => ({ name: field, value, line: entry.line }))
    const resolved = resolveFields(file, `${table}.${name}`, FIELDS[table], fields, entry.line)
    faults.push(...resolved.faults)
    lineNumbers.set(`${table}.${name}`, entry.line)
    rules[table].set(name, resolved.values)
  }
  if (faults.length > 0) throw new FaultyFileError(faults)
  return { rules, lines: entries.map(normalizeLine), lineNumbers }
}

/**
 * Parses a rules text and checks references between its rules.
 *
 * @throws FaultyFileError with every fault, each with its line and remedy
 */
export function parseRules (file: string, text: string): ParsedRules {
  const { rules, lines, lineNumbers } = readRuleLines(file, text)
  const referenceFaults = checkReferences(file, rules, lineNumbers)
  if (referenceFaults.length > 0) throw new FaultyFileError(referenceFaults)
  return { rules, lines, digest: digestLines(lines) }
}

export const EMPTY_RULES: Rules = { failure_domains: new Map(), accounts: new Map(), keys: new Map(), databases: new Map(), access: new Map(), open: new Map() }
