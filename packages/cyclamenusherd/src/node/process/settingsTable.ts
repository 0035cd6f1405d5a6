/** Renders the settings as a Markdown table, from the fields that also validate them. */

import { SETTINGS } from './settings.js'
import type { Field } from '@cyclamenusher/decisions'

type Describers = { [Kind in Field['kind']]: (field: Extract<Field, { kind: Kind }>) => string }

const DESCRIBERS: Describers = {
  number: ({ minimum, maximum, unit }) => `${minimum} to ${maximum} (${unit})`,
  text: ({ shape }) => shape ?? 'text',
  choice: ({ choices }) => choices.join(', '),
  flag: () => 'true, false',
  list: ({ choices, shape }) => choices === undefined ? `list of ${shape ?? 'texts'}` : `list of ${choices.join(', ')}`
}

function describeValues (field: Field): string {
  const describe = DESCRIBERS[field.kind] as (field: Field) => string
  return describe(field)
}

function describeDefault (field: Field): string {
  if (field.default !== undefined) return `\`${JSON.stringify(field.default)}\``
  return field.optional === true ? 'none' : 'must be set'
}

/** Returns a table with a row for each setting: name, permitted values, default and description. */
export function renderSettings (): string {
  const rows = Object.entries(SETTINGS).flatMap(([table, fields]) => Object.entries(fields).map(([name, field]) =>
    `| \`${table}.${name}\` | ${describeValues(field)} | ${describeDefault(field)} | ${field.description} |`))
  return ['| setting | values | default | what it is for |', '| --- | --- | --- | --- |', ...rows].join('\n')
}
