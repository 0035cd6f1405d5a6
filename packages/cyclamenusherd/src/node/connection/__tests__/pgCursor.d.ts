declare module 'pg-cursor' {
  import type { Submittable } from 'pg'

  /** A query whose rows are read in batches. */
  export default class Cursor implements Submittable {
    constructor (text: string, values?: unknown[])
    read: (rowCount: number) => Promise<unknown[]>
    close: () => Promise<void>
    submit: Submittable['submit']
  }
}
