/** Checks values against declared fields (kind, range, pattern) and fills in defaults. */

import { lookUp } from '../lookUp.js'
import type { Fault, TomlEntry, TomlValue } from './toml.js'

interface FieldBase<Value> {
  /** What the field is for, in one line; printed by the command line and in the docs. */
  description: string
  /** Value when the field is missing; without a default the field is required, unless it is optional. */
  default?: Value
  /** Whether the field may be missing; its value is undefined then. */
  optional?: boolean
}

export interface NumberField extends FieldBase<number> {
  kind: 'number'
  minimum: number
  maximum: number
  unit: string
}

export interface TextField extends FieldBase<string> {
  kind: 'text'
  pattern?: RegExp
  /** Checks what a pattern can't express. */
  accepts?: (text: string) => boolean
  /** Description of valid text, for messages and docs. */
  shape?: string
}

export interface ChoiceField extends FieldBase<string> {
  kind: 'choice'
  choices: readonly string[]
}

export interface FlagField extends FieldBase<boolean> {
  kind: 'flag'
}

export interface ListField extends FieldBase<string[]> {
  kind: 'list'
  choices?: readonly string[]
  pattern?: RegExp
  accepts?: (text: string) => boolean
  shape?: string
}

export type Field = NumberField | TextField | ChoiceField | FlagField | ListField

type Problem = { problem: string, remedy: string } | undefined
type Checks = { [Kind in Field['kind']]: (field: Extract<Field, { kind: Kind }>, value: TomlValue, name: string) => Problem }

function checkPattern (text: string, field: { pattern?: RegExp, accepts?: (text: string) => boolean, shape?: string }, name: string): Problem {
  const fits = field.pattern === undefined || field.pattern.test(text)
  if (fits && (field.accepts === undefined || field.accepts(text))) return undefined
  return { problem: `${name} is "${text}"`, remedy: `Write ${field.shape ?? `text that matches ${field.pattern}`}` }
}

const CHECKS: Checks = {
  number: (field, value, name) => {
    if (typeof value === 'number' && value >= field.minimum && value <= field.maximum) return undefined
    return { problem: `${name} is ${JSON.stringify(value)}`, remedy: `Write a number from ${field.minimum} to ${field.maximum} (${field.unit})` }
  },
  text: (field, value, name) => {
    if (typeof value !== 'string' || value === '') return { problem: `${name} is ${JSON.stringify(value)}`, remedy: `Write ${field.shape ?? 'text between quotes'}` }
    return checkPattern(value, field, name)
  },
  choice: (field, value, name) => {
    if (typeof value === 'string' && field.choices.includes(value)) return undefined
    return { problem: `${name} is ${JSON.stringify(value)}`, remedy: `Write one of ${field.choices.map(choice => `"${choice}"`).join(', ')}` }
  },
  flag: (_field, value, name) => {
    if (typeof value === 'boolean') return undefined
    return { problem: `${name} is ${JSON.stringify(value)}`, remedy: 'Write true or false' }
  },
  list: (field, value, name) => {
    if (!Array.isArray(value) || !value.every(item => typeof item === 'string')) return { problem: `${name} is ${JSON.stringify(value)}`, remedy: 'Write a list of strings, such as ["one", "two"]' }
    const unknown = value.find(item => field.choices !== undefined && !field.choices.includes(item as string))
    if (unknown !== undefined) return { problem: `${name} contains ${JSON.stringify(unknown)}`, remedy: `Use only ${field.choices?.map(choice => `"${choice}"`).join(', ')}` }
    for (const item of value) {
      const problem = checkPattern(item as string, field, name)
      if (problem !== undefined) return problem
    }
    return undefined
  }
}

/** Checks one value; undefined if it is valid. */
export function checkField (field: Field, value: TomlValue, name: string): Problem {
  const check = CHECKS[field.kind] as (field: Field, value: TomlValue, name: string) => Problem
  return check(field, value, name)
}

function suggestNames (name: string, known: string[]): string {
  const first = known.find(candidate => candidate.startsWith(name.slice(0, 3)))
  return first === undefined ? `The fields are ${known.join(', ')}` : `Did you mean ${first}? The fields are ${known.join(', ')}`
}

/**
 * Resolves the entries of one table against its fields. Returns the values, with
 * defaults filled in, and every fault.
 */
export function resolveFields (file: string, tableName: string, fields: Record<string, Field>, entries: Array<{ name: string, value: TomlValue, line: number }>, tableLine: number): { values: Record<string, TomlValue | undefined>, faults: Fault[] } {
  const faults: Fault[] = []
  const values = new Map<string, TomlValue | undefined>()
  for (const { name, value, line } of entries) {
    const field = lookUp(fields, name)
    if (field === undefined) {
      faults.push({ file, line, problem: `${tableName} has no field ${name}`, remedy: suggestNames(name, Object.keys(fields)) })
      continue
    }
    const problem = checkField(field, value, `${tableName}.${name}`)
    if (problem === undefined) values.set(name, value)
    else faults.push({ file, line, ...problem })
  }
  for (const [name, field] of Object.entries(fields)) {
    if (values.get(name) !== undefined) continue
    values.set(name, field.default)
    const missing = field.default === undefined && field.optional !== true && !entries.some(entry => entry.name === name)
    if (missing) faults.push({ file, line: tableLine, problem: `${tableName}.${name} is missing`, remedy: `Add it: ${field.description}` })
  }
  return { values: Object.fromEntries(values), faults }
}

/** The entries of one table, each named by the rest of its path. */
export function entriesBelow (entries: TomlEntry[], table: string): Array<{ name: string, value: TomlValue, line: number }> {
  return entries.filter(({ path }) => path[0] === table && path.length > 1)
    .map(({ path, value, line }) => ({ name: path.slice(1).join('.'), value, line }))
}
