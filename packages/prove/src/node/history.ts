/**
 * What callers did and heard: the record that checkers judge. Times are
 * milliseconds of one clock, that of the proving process.
 */

/** What a caller may conclude from the answer. */
export type Outcome =
  /** The whole answer came. */
  | 'done'
  /** Refused, and said not to have run. */
  | 'not run'
  /** Stopped or failed, and said to have had no effect that lasts. */
  | 'failed'
  /** Nobody can tell, by the system's word or by a lost connection. */
  | 'unknown'

export type OperationKind = 'append' | 'transaction' | 'put' | 'get' | 'read' | 'connect'

export interface Operation {
  id: number
  kind: OperationKind
  /** The caller's session, which roams between instances. */
  session: string
  /** Client account that the caller names, and the key that it shows. */
  account: string
  key: string
  database: string
  instance: string
  invokedAt: number
  answeredAt: number
  outcome: Outcome
  /** SQLSTATE or the socket's error. */
  code?: string
  message?: string
  /** Unique values that the operation appends, in order. */
  values?: string[]
  /** For `put` and `get`: the register, and the number put or read; 0: no row. */
  register?: string
  number?: number
  /** For `read`: the rows expected and given, and the member that answered where known. */
  expected?: string
  given?: string
  /** What another's work left on the connection. */
  leaked?: string
  member?: string
}

export type Call = Omit<Operation, 'id' | 'invokedAt' | 'answeredAt' | 'outcome'>

export interface History {
  operations: Operation[]
  now: () => number
  /** Records `call` around `run`, which settles what came of it. */
  record: (call: Call, run: (call: Call) => Promise<OperationResult>) => Promise<Operation>
}

export interface OperationResult {
  outcome: Outcome
  code?: string
  message?: string
}

/** A broken promise: which operations show it, in words. */
export interface Violation {
  problem: string
  operations: Operation[]
}

export function createHistory (now: () => number = () => performance.now()): History {
  const operations: Operation[] = []
  let nextId = 1

  async function record (call: Call, run: (call: Call) => Promise<OperationResult>): Promise<Operation> {
    const id = nextId
    nextId += 1
    const invokedAt = now()
    // The call is handed on so that what the answer shows lands in the record.
    const recordedCall = { ...call }
    const result = await run(recordedCall)
    const operation = { ...recordedCall, id, invokedAt, answeredAt: now(), ...result }
    operations.push(operation)
    return operation
  }

  return { operations, now, record }
}
