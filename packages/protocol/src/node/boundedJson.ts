/** Parses JSON that comes from outside. */

/** Deepest nesting of objects and lists that is read; a document of this project has five levels. */
export const MAXIMUM_JSON_NESTING = 64

const QUOTE = 0x22
const BACKSLASH = 0x5c
/** Brackets come after this character code; most of what stands between strings comes before it. */
const LAST_DIGIT = 0x39
/** Character codes of the brackets of lists and objects. */
const OPENING_BRACKETS: ReadonlySet<number> = new Set([0x5b, 0x7b])
const CLOSING_BRACKETS: ReadonlySet<number> = new Set([0x5d, 0x7d])

function isEscaped (text: string, index: number): boolean {
  let backslashes = 0
  while (text.charCodeAt(index - 1 - backslashes) === BACKSLASH) backslashes += 1
  return backslashes % 2 === 1
}

/** Index of the quote that ends the string that begins at `start`; the length of the text if there is none. */
function findStringEnd (text: string, start: number): number {
  let end = text.indexOf('"', start + 1)
  while (end !== -1 && isEscaped(text, end)) end = text.indexOf('"', end + 1)
  return end === -1 ? text.length : end
}

function isNestedTooDeeply (text: string): boolean {
  let nesting = 0
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index)
    if (code === QUOTE) index = findStringEnd(text, index)
    else if (code <= LAST_DIGIT) continue
    else if (OPENING_BRACKETS.has(code)) nesting += 1
    else if (CLOSING_BRACKETS.has(code)) nesting -= 1
    if (nesting > MAXIMUM_JSON_NESTING) return true
  }
  return false
}

/**
 * Parses a text whose sender is not known to be one of this project's processes.
 *
 * Parsing takes about 50 times the memory of a text that is nested to the end, and
 * reading such a value again may exceed the stack.
 *
 * @throws SyntaxError if the text is not valid JSON or is nested too deeply
 */
export function parseBoundedJson (text: string): unknown {
  if (isNestedTooDeeply(text)) throw new SyntaxError(`the text is nested deeper than ${MAXIMUM_JSON_NESTING} levels`)
  return JSON.parse(text)
}
