/** Checks the fields of messages that another instance sent as JSON. */

import { lookUp } from '@cyclamenusher/decisions'

export type Fields = Record<string, unknown>
export type FieldCheck = (value: unknown) => boolean

export const isText: FieldCheck = value => typeof value === 'string'
export const isNumber: FieldCheck = value => Number.isFinite(value)
export const isFlag: FieldCheck = value => typeof value === 'boolean'
export const isObject: FieldCheck = value => typeof value === 'object' && value !== null && !Array.isArray(value)

export function isOptional (check: FieldCheck): FieldCheck {
  return value => value === undefined || check(value)
}

export function isListOf (check: FieldCheck): FieldCheck {
  return value => Array.isArray(value) && value.every(check)
}

export function hasFields (checks: Record<string, FieldCheck>): FieldCheck {
  const entries = Object.entries(checks)
  return value => isObject(value) && entries.every(([field, check]) => check(lookUp(value as Fields, field)))
}

/** Longest part of a value that an error or a log line shows, in characters. */
const QUOTE_LENGTH = 80

/** A received value as an error or a log line shows it. */
export function quoteValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > QUOTE_LENGTH ? `${text.slice(0, QUOTE_LENGTH)}…` : text
}

/** Checks the fields of a request that another instance sent. @throws Error that names the field and its value */
export function checkFields<Request> (kind: string, value: unknown, checks: Record<string, FieldCheck>): Request {
  const fields = (isObject(value) ? value : {}) as Fields
  for (const [field, check] of Object.entries(checks)) {
    const received = lookUp(fields, field)
    if (!check(received)) throw new Error(`a ${kind} has no valid field ${field}: ${quoteValue(received)}`)
  }
  return value as Request
}
