/**
 * Runs a caller's batches one after another: admits each batch, leases a backend
 * connection, applies the session's settings to it, runs the request, and reports
 * failures. Owns the connection that is pinned by a transaction.
 */

import { SESSION_TOKEN_SETTING } from '@cyclamenusher/decisions'
import { buildReadyForQuery } from '@cyclamenusher/protocol'
import { mayCommit, mayChangeSession, determineNeed } from './batch.js'
import { buildLocalReply } from './localReply.js'
import { createLeasing } from './leasing.js'
import { INTERNAL_STATEMENT_TIMEOUT_MILLISECONDS, runInternalStatement } from './ownStatement.js'
import { RefusalError, buildRefusalResponse } from './refusal.js'
import { ConnectionLostError, CopyError, createBatchRequest } from './statementRequest.js'
import type { Socket } from 'node:net'
import type { CallerSession } from '../connection/callerSession.js'
import type { CallerServices, ConnectionLease } from '../connection/callerConnection.js'
import type { Identity } from '../version/rulesStore.js'
import type { Batch, BatchNeed } from './batch.js'
import type { RequestResult, BatchRequest } from './statementRequest.js'

/** Maximum number of retries of a read whose server was lost. */
const MAXIMUM_READ_RETRIES = 2
/** How long after its start a request that a server refused as not being the primary may be sent again, in milliseconds. */
const PRIMARY_SEARCH_TIMEOUT_MILLISECONDS = 7_000
/** Delay before such a request is sent again, in milliseconds. */
const PRIMARY_RETRY_DELAY_MILLISECONDS = 20

export interface RequestRunner {
  /** Runs a batch, or a further part of one. Resolves with false if the connection's write buffer is full. @throws RefusalError */
  run: (batch: Batch) => Promise<boolean>
  /** Rolls back the session's transaction, because one of its requests was refused. */
  failTransaction: () => Promise<void>
  /** Whether a batch has started whose Sync has not been sent yet. */
  isBatchOpen: () => boolean
  /** Whether a transaction or an open batch holds a connection. */
  holdsConnection: () => boolean
  /** Whether work may have been committed whose outcome the caller has not received yet. */
  mayHaveCommitted: () => boolean
  cancel: () => void
  /** Cancels the running batch and releases all connections, because the caller has disconnected. */
  stop: () => void
  /** Calls the listener when the server's connection can be written to again. */
  onDrain: (listener: () => void) => void
}

export interface RequestRunnerOptions {
  caller: Socket
  session: CallerSession
  identity: Identity
  database: string
  services: CallerServices
  /** Called when a batch fails whose Sync has not been sent yet. */
  onOpenBatchFailed: (error: RefusalError) => void
}

/** A batch that was sent to a server and has not completed. */
interface RunningBatch {
  need: BatchNeed
  batch: Batch
  lease: ConnectionLease
  request: BatchRequest
  wasInTransaction: boolean
  mayCommit: boolean
  timedOut: boolean
  /** Number of times that the batch was started before. */
  attempt: number
  startedAt: number
  deadlineTimer: NodeJS.Timeout
}

export function createRequestRunner (options: RequestRunnerOptions): RequestRunner {
  const { caller, session, identity, database, services } = options
  const leasing = createLeasing({ ...options, moveRead })
  let pinned: ConnectionLease | undefined
  let current: RunningBatch | undefined
  let batchOpen = false
  let acknowledging = false
  let stopped = false
  /** The group that runs the current batch, and the transaction if there is one. */
  let group = ''

  function writeToCaller (bytes: Buffer): void {
    if (!caller.destroyed) caller.write(bytes)
  }

  function releaseLease (lease: ConnectionLease, clean: boolean): void {
    if (pinned === lease) pinned = undefined
    lease.release(clean)
  }

  function startBatch (batch: Batch, need: BatchNeed, lease: ConnectionLease, deadline: number, startedAt: number, attempt: number): RunningBatch {
    const wasInTransaction = session.transaction !== 'idle'
    const requestMayCommit = need !== 'setting' && (mayCommit(batch, wasInTransaction) || (!batch.complete && need === 'write' && !wasInTransaction))
    if (mayChangeSession(batch)) lease.backend.mayHaveChangedSession = true
    const request = createBatchRequest({ caller, backend: lease.backend, prepared: session.prepared, mayCommit: requestMayCommit, inTransaction: wasInTransaction })
    const running: RunningBatch = {
      need,
      batch,
      lease,
      request,
      wasInTransaction,
      mayCommit: requestMayCommit,
      timedOut: false,
      attempt,
      startedAt,
      deadlineTimer: setTimeout(() => {
        running.timedOut = true
        lease.backend.cancel()
        request.abort(new ConnectionLostError())
      }, Math.max(1, deadline - services.now()))
    }
    current = running
    return running
  }

  function endBatch (running: RunningBatch): void {
    clearTimeout(running.deadlineTimer)
    if (current === running) current = undefined
    batchOpen = false
  }

  /** Releases the connection of a failed request, updates the session, and returns the error for the caller. */
  function handleFailure (error: unknown, running: RunningBatch): RefusalError {
    const { request, need, wasInTransaction } = running
    releaseLease(running.lease, false)
    const commitPosition = request.commitPosition()
    const isOutcomeUnknown = running.mayCommit || commitPosition !== undefined
    // Work that was not to be committed is rolled back with the connection.
    session.transaction = wasInTransaction && !isOutcomeUnknown ? 'failed' : 'idle'
    session.portals.clear()
    if (commitPosition !== undefined) session.advance(group, commitPosition)
    else if (isOutcomeUnknown) session.removePosition(group)
    services.recordRequest(need, isOutcomeUnknown ? 'unknown' : 'failed', services.now() - running.startedAt)
    if (error instanceof CopyError) return new RefusalError('not supported', error.message, isOutcomeUnknown && commitPosition !== undefined ? 'unknown' : 'stopped', 'Connect to the backend server itself for it.')
    if (isOutcomeUnknown) return new RefusalError('outcome unknown', running.timedOut ? 'the time for the request was over before the server said whether the work was committed' : 'the backend server was lost before it said whether the work was committed', 'unknown')
    if (running.timedOut) return new RefusalError('timeout', 'the time for the request was over', 'stopped')
    return new RefusalError('server lost', 'the backend server was lost before it had answered', 'stopped')
  }

  async function deliverResult (running: RunningBatch, result: RequestResult): Promise<string> {
    const { request, lease } = running
    const { commitPosition } = result
    session.transaction = result.transaction
    if (result.transaction === 'idle') {
      session.portals.clear()
      releaseLease(lease, true)
    } else {
      pinned = lease
    }
    if (commitPosition === undefined) {
      request.releaseReply(undefined)
      return result.errorCode === undefined ? 'done' : 'failed'
    }
    session.advance(group, commitPosition)
    acknowledging = true
    const outcome = await services.acknowledge(group, commitPosition)
    acknowledging = false
    if (outcome === 'held') {
      request.releaseReply(session.tokenText())
      return 'done'
    }
    const message = outcome === 'replaced'
      ? 'the primary was replaced before a majority held the commit'
      : 'no majority confirmed the commit in time'
    request.replaceReply(buildRefusalResponse(new RefusalError('outcome unknown', message, 'unknown')), session.transaction, session.tokenText())
    return 'unknown'
  }

  /** Whether the batch is a read of which the caller has received nothing, so that another server may run it. */
  function isRepeatable ({ request, need, batch, wasInTransaction, timedOut }: RunningBatch): boolean {
    return need === 'read' && !wasInTransaction && !timedOut && !stopped && batch.complete && !request.hasAnswered()
  }

  function moveRead (): boolean {
    if (current === undefined || current.attempt >= MAXIMUM_READ_RETRIES || !isRepeatable(current)) return false
    current.lease.backend.cancel()
    current.request.abort(new ConnectionLostError())
    return true
  }

  /** Waits until a request completes. `lost` and `not primary`: another server may run it. */
  async function finishBatch (running: RunningBatch): Promise<'finished' | 'lost' | 'not primary'> {
    const { request, need, batch, lease } = running
    let result: RequestResult
    try {
      result = await request.done
    } catch (error) {
      endBatch(running)
      if (!isRepeatable(running) || !(error instanceof ConnectionLostError)) throw handleFailure(error, running)
      releaseLease(lease, false)
      return 'lost'
    }
    endBatch(running)
    if (result.notPrimary) {
      releaseLease(lease, result.transaction === 'idle')
      return 'not primary'
    }
    if (need === 'setting' && result.errorCode === undefined) {
      const [{ setting, values }] = batch.statements
      session.recordSetting(setting ?? '', values ?? [])
      lease.backend.settings = session.settings()
    }
    const outcome = await deliverResult(running, result)
    services.recordRequest(need, outcome, services.now() - running.startedAt)
    return 'finished'
  }

  /** Handles the loss of a transaction's connection between two requests, and returns the error for the caller. */
  function handlePinnedLost (lease: ConnectionLease): RefusalError {
    releaseLease(lease, false)
    session.transaction = 'failed'
    session.portals.clear()
    return new RefusalError('server lost', 'the backend server was lost, and the transaction with it', 'stopped', 'Begin the transaction again.')
  }

  /** Acquires a connection for a batch that may run now; resolves to undefined if another one must be acquired. @throws RefusalError */
  async function prepareLease (need: BatchNeed, deadline: number, mayHaveRun: boolean): Promise<ConnectionLease | undefined> {
    const lease = pinned ?? await leasing.acquire(need, group, deadline)
    if (!lease.backend.isOpen()) {
      if (lease === pinned) throw handlePinnedLost(lease)
      lease.release(false)
      return undefined
    }
    if (lease !== pinned && !await leasing.applySettings(lease)) return undefined
    if (stopped) {
      releaseLease(lease, lease !== pinned)
      throw new RefusalError('timeout', 'the caller is gone')
    }
    try {
      requireAccess(need)
      if (findGroup() === group) return lease
      if (lease === pinned) throw createMovedRefusal()
    } catch (error) {
      if (lease !== pinned) lease.release(true)
      throw mayHaveRun && error instanceof RefusalError ? new RefusalError(error.kind, error.message, 'stopped', error.hint) : error
    }
    lease.release(true)
    group = findGroup()
    return undefined
  }

  async function executeBatch (batch: Batch, firstNeed: BatchNeed): Promise<boolean> {
    const startedAt = services.now()
    const deadline = startedAt + services.requestMilliseconds
    const primaryDeadline = startedAt + Math.min(PRIMARY_SEARCH_TIMEOUT_MILLISECONDS, services.requestMilliseconds)
    let need = firstNeed
    let mayHaveRun = false
    if (pinned === undefined) group = findGroup()
    for (let attempt = 0; ; attempt += 1) {
      const lease = await prepareLease(need, deadline, mayHaveRun)
      if (lease === undefined) continue
      const running = startBatch(batch, need, lease, deadline, startedAt, attempt)
      const canSendMore = running.request.send(batch)
      if (!batch.complete) {
        keepBatchOpen(running)
        return canSendMore
      }
      const outcome = await finishBatch(running)
      if (outcome === 'finished') return true
      const lost = outcome === 'lost'
      mayHaveRun ||= lost
      if (!lost && need === 'read') {
        // The server treats the batch as a write, so the caller needs the right to write.
        await services.admit(identity, database, 'write')
        need = 'write'
      }
      if (lost ? attempt >= MAXIMUM_READ_RETRIES : services.now() >= primaryDeadline) {
        throw new RefusalError('no server', 'no backend server could run the request in time', lost ? 'stopped' : 'not run', 'Try again.')
      }
      if (!lost) await new Promise(resolve => setTimeout(resolve, PRIMARY_RETRY_DELAY_MILLISECONDS))
    }
  }

  function requireAccess (need: BatchNeed): void {
    services.requireAccess(identity, database, need === 'setting' ? 'read' : need)
  }

  /** The group that holds the database now. @throws RefusalError if the rules no longer name the database */
  function findGroup (): string {
    const found = services.findGroup(database)
    if (found === undefined) throw new RefusalError('database unknown', `database ${database} is gone`)
    return found
  }

  function createMovedRefusal (): RefusalError {
    return new RefusalError('server lost', `database ${database} moved to another group, and the transaction was rolled back`, 'stopped', 'Begin the transaction again.')
  }

  function keepBatchOpen (running: RunningBatch): void {
    batchOpen = true
    running.request.done.catch((error: unknown) => {
      // A part with Sync reports the failure itself; it is reported here only while no such part was sent.
      if (stopped || current !== running || !batchOpen) return
      endBatch(running)
      options.onOpenBatchFailed(handleFailure(error, running))
    })
  }

  /** Sends a further part of a batch. */
  async function continueBatch (running: RunningBatch, batch: Batch): Promise<boolean> {
    const need = determineNeed(batch)
    if (need === 'local' || need === 'setting') throw new RefusalError('not supported', 'session settings must come in a batch of their own', 'not run', 'Send Sync first.')
    if (need === 'write' && running.need === 'read' && session.transaction === 'idle') throw new RefusalError('not supported', 'a write came behind reads in one batch with Flush', 'not run', 'Send Sync between them.')
    requireAccess(need)
    if (findGroup() !== group) throw createMovedRefusal()
    if (mayChangeSession(batch)) running.lease.backend.mayHaveChangedSession = true
    if (!batch.complete) return running.request.send(batch)
    batchOpen = false
    running.request.send(batch)
    await finishBatch(running)
    return true
  }

  /** Answers a batch in a failed transaction that no longer holds a connection. */
  function answerInFailedTransaction (batch: Batch): void {
    const considered = batch.statements.length > 0 ? batch.statements : batch.referenced
    const endsTransaction = considered.length === 1 && (considered[0].kind === 'commit' || considered[0].kind === 'rollback')
    if (!endsTransaction) throw new RefusalError('transaction failed', 'current transaction is aborted, commands ignored until end of transaction block')
    if (batch.statements.length > 0) session.transaction = 'idle'
    writeToCaller(buildLocalReply(batch, { tag: 'ROLLBACK' }, session.transaction, session.prepared))
  }

  function answerLocally (batch: Batch): void {
    const [statement] = batch.statements
    const inTransaction = session.transaction !== 'idle'
    if (inTransaction && (statement?.kind === 'discard' || statement?.kind === 'reset' || statement?.kind === 'setting')) {
      throw new RefusalError('not supported', 'session settings can\'t change within a transaction', 'not run', 'Use SET LOCAL, or change them outside.')
    }
    const localStatement = statement ?? batch.referenced.find(({ kind }) => kind === 'show session')
    const result = localStatement === undefined ? { tag: '' } : session.executeLocally(localStatement)
    writeToCaller(buildLocalReply(batch, result, session.transaction, session.prepared))
  }

  async function run (batch: Batch): Promise<boolean> {
    if (batchOpen && current !== undefined) return await continueBatch(current, batch)
    const need = determineNeed(batch)
    if (need === 'empty') {
      if (batch.complete) writeToCaller(buildReadyForQuery(session.transaction))
      return true
    }
    if (session.transaction === 'failed' && pinned === undefined) {
      answerInFailedTransaction(batch)
      return true
    }
    if (need === 'local' || batch.statements[0]?.setting === SESSION_TOKEN_SETTING) {
      answerLocally(batch)
      return true
    }
    if (need === 'setting' && session.transaction !== 'idle') throw new RefusalError('not supported', 'SET within a transaction would outlive it on a shared connection', 'not run', 'Use SET LOCAL.')
    await services.admit(identity, database, need === 'setting' ? 'read' : need)
    return await executeBatch(batch, need)
  }

  async function failTransaction (): Promise<void> {
    const hadOpenBatch = batchOpen && current !== undefined
    const lease = hadOpenBatch ? current?.lease : pinned
    // The caller has an error for the batch, so nothing more of its reply may follow.
    if (hadOpenBatch) current?.request.abort(new ConnectionLostError())
    if (current !== undefined) endBatch(current)
    if (lease === undefined) return
    if (session.transaction !== 'idle') session.transaction = 'failed'
    session.portals.clear()
    // Replies to the unfinished batch may still arrive, so its connection can't be reused.
    if (hadOpenBatch) return releaseLease(lease, false)
    pinned = undefined
    try {
      await runInternalStatement(lease.backend, 'ROLLBACK', INTERNAL_STATEMENT_TIMEOUT_MILLISECONDS)
      lease.release(true)
    } catch {
      lease.release(false)
    }
  }

  return {
    run,
    failTransaction,
    isBatchOpen: () => batchOpen,
    holdsConnection: () => batchOpen || pinned !== undefined,
    mayHaveCommitted: () => acknowledging || current?.mayCommit === true,
    cancel: () => {
      leasing.interruptWait(new RefusalError('timeout', 'canceling statement due to user request'))
      current?.lease.backend.cancel()
    },
    stop: () => {
      stopped = true
      leasing.stop()
      // The running statement must not affect the connection's next caller.
      if (current !== undefined) {
        clearTimeout(current.deadlineTimer)
        current.lease.backend.cancel()
        current.request.abort(new ConnectionLostError())
        releaseLease(current.lease, false)
      }
      if (pinned !== undefined) releaseLease(pinned, false)
    },
    onDrain: listener => { (current?.lease ?? pinned)?.backend.onDrain(listener) }
  }
}
