/** Checks the fields of messages that another instance sent as JSON. */

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

export function isRecordOf (check: FieldCheck): FieldCheck {
  return value => isObject(value) && Object.values(value as Fields).every(check)
}

export function hasFields (checks: Record<string, FieldCheck>): FieldCheck {
  return value => isObject(value) && Object.entries(checks).every(([field, check]) => check((value as Fields)[field]))
}
