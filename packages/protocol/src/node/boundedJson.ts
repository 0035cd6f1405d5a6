/** Parses JSON that comes from outside. */

/** Deepest nesting of objects and lists that is read; a document of this project has five levels. */
export const MAXIMUM_JSON_NESTING = 64

const QUOTE = 0x22
const BACKSLASH = 0x5c
/** Change of the nesting by character code: the brackets of objects and lists. */
const NESTING_CHANGES = new Map([[0x7b, 1], [0x5b, 1], [0x7d, -1], [0x5d, -1]])

/** Index after the string that begins at `start`; the length of the text if the string does not end. */
function skipString (text: string, start: number): number {
  let index = start + 1
  while (index < text.length && text.charCodeAt(index) !== QUOTE) index += text.charCodeAt(index) === BACKSLASH ? 2 : 1
  return index + 1
}

function isNestedTooDeeply (text: string): boolean {
  let nesting = 0
  let index = 0
  while (index < text.length) {
    const code = text.charCodeAt(index)
    nesting += NESTING_CHANGES.get(code) ?? 0
    if (nesting > MAXIMUM_JSON_NESTING) return true
    index = code === QUOTE ? skipString(text, index) : index + 1
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
