/**
 * The data of a stand-in backend server: tables of text values by identity.
 * Only operations change them, so that replicas reach the same state.
 */

/** A change to a table; `append` adds a new row each time it is applied. */
export type Operation =
  | { kind: 'put', table: string, id: string, value: string }
  | { kind: 'append', table: string, value: string }
  | { kind: 'add', table: string, id: string, amount: number }
  | { kind: 'remove', table: string, id: string }
  | { kind: 'create', table: string }

export type Table = Map<string, string>

export interface Store {
  apply: (operation: Operation) => void
  /** Returns the table, or undefined if there is none with this name. */
  table: (name: string) => Table | undefined
  clear: () => void
}

type Handlers = { [Kind in Operation['kind']]: (table: Table, operation: Extract<Operation, { kind: Kind }>) => void }

const HANDLERS: Handlers = {
  put: (table, { id, value }) => { table.set(id, value) },
  append: (table, { value }) => { table.set(`#${table.size + 1}`, value) },
  add: (table, { id, amount }) => { table.set(id, String(Number(table.get(id) ?? '0') + amount)) },
  remove: (table, { id }) => { table.delete(id) },
  create: () => {}
}

export function applyOperation (table: Table, operation: Operation): void {
  const handler = HANDLERS[operation.kind] as (table: Table, operation: Operation) => void
  handler(table, operation)
}

export function createStore (): Store {
  const tables = new Map<string, Table>()
  return {
    apply: operation => {
      const table = tables.get(operation.table) ?? new Map<string, string>()
      tables.set(operation.table, table)
      applyOperation(table, operation)
    },
    table: name => tables.get(name),
    clear: () => { tables.clear() }
  }
}
