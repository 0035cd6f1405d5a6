/**
 * The data of a stand-in backend server: tables of text values by identity,
 * changed only by operations, so that replicas reach the same state.
 */

/** One change of one row; `append` makes a row of its own each time it runs. */
export type Operation =
  | { kind: 'put', table: string, id: string, value: string }
  | { kind: 'append', table: string, value: string }
  | { kind: 'add', table: string, id: string, amount: number }
  | { kind: 'remove', table: string, id: string }
  | { kind: 'create', table: string }

export type Table = Map<string, string>

export interface Store {
  apply: (operation: Operation) => void
  /** The table, or undefined if none has that name. */
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
