/** Formats output as text, or as JSON for scripts. */

/** Returns the value as JSON with --json, otherwise the text. */
export function formatValue (flags: { json?: boolean }, value: unknown, text: string): string {
  return flags.json === true ? JSON.stringify(value) : text
}

/** Formats rows as columns of text, each as wide as its widest value. */
export function formatRows (header: string[], rows: Array<Array<string | number>>): string {
  const table = [header, ...rows].map(row => row.map(String))
  const widths = header.map((_name, column) => Math.max(...table.map(row => row[column].length)))
  return table.map(row => row.map((value, column) => value.padEnd(widths[column])).join('  ').trimEnd()).join('\n')
}
