/**
 * Records the operations of callers and their results, for the checkers. Times are
 * milliseconds of the monotonic clock of the process that runs the scenario.
 */

/** What a caller may conclude from the answer about its request. */
export type Outcome =
  /** The complete answer was received. */
  | 'done'
  /** Refused, and reported as not run. */
  | 'not run'
  /** Stopped or failed, and reported to have had no lasting effect. */
  | 'failed'
  /** The system reported that the outcome is unknown, or the connection was lost. */
  | 'unknown'

export type OperationKind = 'append' | 'transaction' | 'put' | 'get' | 'read' | 'connect'

export interface Operation {
  id: number
  kind: OperationKind
  /** The caller's session, which moves between instances. */
  session: string
  /** Client account and key that the caller presents. */
  account: string
  key: string
  database: string
  instance: string
  invokedAt: number
  answeredAt: number
  outcome: Outcome
  /** SQLSTATE, or the error code of the socket. */
  code?: string
  message?: string
  /** Unique values that the operation appends, in order. */
  values?: string[]
  /** For `put` and `get`: the register, and the number written or read; 0: no row. */
  register?: string
  number?: number
  /** For `read`: the expected and the received rows. */
  expected?: string
  given?: string
  /** Setting that another transaction left on the connection. */
  leaked?: string
  /** Member that served the operation, where known. */
  member?: string
}

export type Call = Omit<Operation, 'id' | 'invokedAt' | 'answeredAt' | 'outcome'>

export interface History {
  operations: Operation[]
  now: () => number
  /** Runs `run` and records `call` with its result and times. */
  record: (call: Call, run: (call: Call) => Promise<OperationResult>) => Promise<Operation>
}

export interface OperationResult {
  outcome: Outcome
  code?: string
  message?: string
}

/** A breach of a point, with the operations that show it. */
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
    // `run` receives the copy, so that it can add values of the answer to the record.
    const recordedCall = { ...call }
    const result = await run(recordedCall)
    const operation = { ...recordedCall, id, invokedAt, answeredAt: now(), ...result }
    operations.push(operation)
    return operation
  }

  return { operations, now, record }
}
