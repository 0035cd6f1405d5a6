/** Reads TOML and keeps the line of every entry, so that faults can be reported with their line. */

import { parseTOML } from 'toml-eslint-parser'
import type { AST } from 'toml-eslint-parser'

/** One fault in a file: where it is, what is wrong and what to do. */
export interface Fault {
  file: string
  line: number
  problem: string
  remedy: string
}

export function formatFault ({ file, line, problem, remedy }: Fault): string {
  return `${file}:${line}: ${problem}. ${remedy}.`
}

/** Reports every fault of a file in one message. */
export class FaultyFileError extends Error {
  override readonly name = 'FaultyFileError'
  constructor (readonly faults: Fault[]) {
    super(faults.map(formatFault).join('\n'))
  }
}

export type TomlScalar = string | number | boolean
export type TomlValue = TomlScalar | TomlValue[] | { [key: string]: TomlValue }

/** One `key = value` of a file, with its full path and its lines. */
export interface TomlEntry {
  path: string[]
  value: TomlValue
  line: number
  endLine: number
  /** Comment after the value on its last line, without the hash sign; empty if there is none. */
  comment: string
}

function convertValue (node: AST.TOMLContentNode): TomlValue {
  if (node.type === 'TOMLArray') return node.elements.map(convertValue)
  if (node.type === 'TOMLInlineTable') {
    return Object.fromEntries(node.body.map(pair => [keyPath(pair.key).join('.'), convertValue(pair.value)]))
  }
  if (node.kind === 'integer') return Number(node.value)
  if (node.kind === 'float' || node.kind === 'boolean' || node.kind === 'string') return node.value
  return String(node.datetime)
}

function keyPath (key: AST.TOMLKey): string[] {
  return key.keys.map(part => part.type === 'TOMLBare' ? part.name : String(part.value))
}

/**
 * Reads every entry of a TOML text, in order.
 *
 * @throws FaultyFileError when the text is not TOML
 */
export function readToml (file: string, text: string): TomlEntry[] {
  let program: AST.TOMLProgram
  try {
    program = parseTOML(text)
  } catch (error) {
    const { lineNumber = 1, message } = error as { lineNumber?: number, message: string }
    throw new FaultyFileError([{ file, line: lineNumber, problem: `the file is not valid TOML: ${message.replace(/\.$/, '')}`, remedy: 'Correct the line, then check the file again' }])
  }
  const comments = new Map(program.comments.map(comment => [comment.loc.start.line, comment.value.trim()]))
  const entries: TomlEntry[] = []
  const addEntry = (prefix: string[], pair: AST.TOMLKeyValue): void => {
    entries.push({
      path: [...prefix, ...keyPath(pair.key)],
      value: convertValue(pair.value),
      line: pair.loc.start.line,
      endLine: pair.loc.end.line,
      comment: comments.get(pair.loc.end.line) ?? ''
    })
  }
  for (const node of program.body[0].body) {
    if (node.type === 'TOMLKeyValue') {
      addEntry([], node)
      continue
    }
    const prefix = node.resolvedKey.map(String)
    for (const pair of node.body) addEntry(prefix, pair)
  }
  return entries
}
