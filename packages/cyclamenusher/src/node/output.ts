/** Output for people and for scripts. */

export function print (flags: { json?: boolean }, value: unknown, text: string): void {
  console.log(flags.json === true ? JSON.stringify(value) : text)
}

/** Columns of text, each as wide as its widest value. */
export function printRows (head: string[], rows: Array<Array<string | number>>): void {
  const table = [head, ...rows].map(row => row.map(String))
  const widths = head.map((_name, column) => Math.max(...table.map(row => row[column].length)))
  for (const row of table) console.log(row.map((value, column) => value.padEnd(widths[column])).join('  ').trimEnd())
}
