/** Reads lines of the wire, which end with CR LF. */

export function createLineReader () {
  let rest = ''
  return chunk => {
    const lines = (rest + chunk.toString('latin1')).split('\r\n')
    rest = lines.pop()
    return lines
  }
}

/** Splits a text at its first blank. */
export function splitWord (text) {
  const at = text.indexOf(' ')
  return at === -1 ? [text, ''] : [text.slice(0, at), text.slice(at + 1)]
}
