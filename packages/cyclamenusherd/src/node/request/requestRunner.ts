/**
 * Runs a caller's batches one after another: admission, the backend connection,
 * the session's settings on it, the request itself, and what is said when it
 * fails. It owns the connection that a transaction holds.
 */

import { SESSION_TOKEN_SETTING } from '@cyclamenusher/decisions'
import { buildReadyForQuery } from '@cyclamenusher/protocol'
import { mayCommit, mayMark, needOf } from './batch.js'
import { buildLocalReply } from './localReply.js'
import { createLeasing } from './leasing.js'
import { OWN_STATEMENT_MILLISECONDS, runOwnStatement } from './ownStatement.js'
import { RefusalError, refusalResponse } from './refusal.js'
import { ConnectionLostError, CopyError, createStatementRequest } from './statementRequest.js'
import type { Socket } from 'node:net'
import type { CallerSession } from '../connection/callerSession.js'
import type { CallerServices, ConnectionLease } from '../connection/callerConnection.js'
import type { Identity } from '../version/rulesStore.js'
import type { Batch, BatchNeed } from './batch.js'
import type { RequestResult, StatementRequest } from './statementRequest.js'

/** Times that a read is sent again after its server was lost. */
const MAXIMUM_READ_RETRIES = 2
/** Time in which a request looks for the primary after a server that was not, in milliseconds. */
const PRIMARY_MILLISECONDS = 7_000
/** Pause before such a request is sent again, in milliseconds. */
const PRIMARY_PAUSE_MILLISECONDS = 20

export interface RequestRunner {
  /** Runs a batch, or a further part of one. False: the server takes no more for now. @throws RefusalError */
  run: (batch: Batch) => Promise<boolean>
  /** Takes the session's transaction back, because one of its requests was refused. */
  failTransaction: () => Promise<void>
  /** A batch has begun whose Sync is still to come. */
  isOpen: () => boolean
  /** A transaction or an open batch keeps a connection. */
  holdsConnection: () => boolean
  /** Whether stopping now leaves it open if work is committed. */
  mayHaveCommitted: () => boolean
  cancel: () => void
  /** Drops every connection that is held. */
  stop: () => void
  /** Calls back when the server takes more again. */
  onDrain: (listener: () => void) => void
}

export interface RequestRunnerOptions {
  caller: Socket
  session: CallerSession
  identity: Identity
  database: string
  group: string
  services: CallerServices
  /** A batch whose Sync is still to come has failed. */
  onOpenFailed: (error: RefusalError) => void
}

/** One batch on its way. */
interface Running {
  need: BatchNeed
  batch: Batch
  lease: ConnectionLease
  request: StatementRequest
  wasInTransaction: boolean
  mayCommit: boolean
  timedOut: boolean
  startedAt: number
  deadline: NodeJS.Timeout
}

export function createRequestRunner (options: RequestRunnerOptions): RequestRunner {
  const { caller, session, identity, database, group, services } = options
  const leasing = createLeasing(options)
  let pinned: ConnectionLease | undefined
  let current: Running | undefined
  let open = false
  let acknowledging = false
  let stopped = false

  function reply (bytes: Buffer): void {
    if (!caller.destroyed) caller.write(bytes)
  }

  function drop (lease: ConnectionLease, clean: boolean): void {
    if (pinned === lease) pinned = undefined
    lease.release(clean)
  }

  function start (batch: Batch, need: BatchNeed, lease: ConnectionLease, until: number, startedAt: number): Running {
    const wasInTransaction = session.transaction !== 'idle'
    const commits = need !== 'setting' && (mayCommit(batch, wasInTransaction) || (!batch.complete && need === 'write' && !wasInTransaction))
    if (mayMark(batch)) lease.backend.mayHaveChangedSession = true
    const request = createStatementRequest({ caller, backend: lease.backend, prepared: session.prepared, mayCommit: commits, inTransaction: wasInTransaction })
    const running: Running = {
      need,
      batch,
      lease,
      request,
      wasInTransaction,
      mayCommit: commits,
      timedOut: false,
      startedAt,
      deadline: setTimeout(() => {
        running.timedOut = true
        lease.backend.cancel()
        request.abandon(new ConnectionLostError())
      }, Math.max(1, until - services.now()))
    }
    current = running
    return running
  }

  function end (running: Running): void {
    clearTimeout(running.deadline)
    if (current === running) current = undefined
    open = false
  }

  /** What a failed request means to the caller. */
  function translate (error: unknown, running: Running): RefusalError {
    const { request, need, wasInTransaction } = running
    drop(running.lease, false)
    const committed = request.committedAt()
    const unknown = running.mayCommit || committed !== undefined
    // Work that was not asked to commit is gone with its connection.
    session.transaction = wasInTransaction && !unknown ? 'failed' : 'idle'
    session.portals.clear()
    if (committed !== undefined) session.advance(group, committed)
    else if (unknown) session.removePosition(group)
    services.recordRequest(need, unknown ? 'unknown' : 'failed', services.now() - running.startedAt)
    if (error instanceof CopyError) return new RefusalError('not supported', error.message, unknown && committed !== undefined ? 'unknown' : 'stopped', 'Connect to the backend server itself for it.')
    if (unknown) return new RefusalError('outcome unknown', running.timedOut ? 'the time for the request was over before the server said whether the work was committed' : 'the backend server was lost before it said whether the work was committed', 'unknown')
    if (running.timedOut) return new RefusalError('timeout', 'the time for the request was over', 'stopped')
    return new RefusalError('server lost', 'the backend server was lost before it had answered', 'stopped')
  }

  async function acknowledge (running: Running, result: RequestResult): Promise<string> {
    const { request, lease } = running
    const { committed } = result
    session.transaction = result.transaction
    if (result.transaction === 'idle') {
      session.portals.clear()
      drop(lease, true)
    } else {
      pinned = lease
    }
    if (committed === undefined) {
      request.flush(undefined)
      return result.errorCode === undefined ? 'done' : 'failed'
    }
    session.advance(group, committed)
    acknowledging = true
    const outcome = await services.acknowledge(group, committed)
    acknowledging = false
    if (outcome === 'held') {
      request.flush(session.tokenText())
      return 'done'
    }
    const message = outcome === 'replaced'
      ? 'the primary was replaced before a majority held the commit'
      : 'no majority confirmed the commit in time'
    request.replace(refusalResponse(new RefusalError('outcome unknown', message, 'unknown')), session.transaction, session.tokenText())
    return 'unknown'
  }

  /** Waits for the end of a request. False: it did not run, and another server may run it. */
  async function finish (running: Running): Promise<boolean> {
    const { request, need, batch, lease } = running
    let result: RequestResult
    try {
      result = await request.done
    } catch (error) {
      end(running)
      const again = need === 'read' && !running.wasInTransaction && !running.timedOut && !stopped && batch.complete && !request.hasAnswered() && error instanceof ConnectionLostError
      if (!again) throw translate(error, running)
      drop(lease, false)
      return false
    }
    end(running)
    if (result.notPrimary) {
      drop(lease, result.transaction === 'idle')
      return false
    }
    if (need === 'setting' && result.errorCode === undefined) {
      const [{ setting, values }] = batch.statements
      session.recordSetting(setting ?? '', values ?? [])
      lease.backend.settings = session.settings()
    }
    const outcome = await acknowledge(running, result)
    services.recordRequest(need, outcome, services.now() - running.startedAt)
    return true
  }

  /** A transaction's connection ended while the transaction waited for its next request. */
  function pinnedLost (lease: ConnectionLease): RefusalError {
    drop(lease, false)
    session.transaction = 'failed'
    session.portals.clear()
    return new RefusalError('server lost', 'the backend server was lost, and the transaction with it', 'stopped', 'Begin the transaction again.')
  }

  async function execute (batch: Batch, firstNeed: BatchNeed): Promise<boolean> {
    const startedAt = services.now()
    const until = startedAt + services.requestMilliseconds
    const primaryUntil = startedAt + Math.min(PRIMARY_MILLISECONDS, services.requestMilliseconds)
    let need = firstNeed
    for (let attempt = 0; ; attempt += 1) {
      const lease = pinned ?? await leasing.find(need, until)
      if (!lease.backend.isOpen()) {
        if (lease === pinned) throw pinnedLost(lease)
        lease.release(false)
        continue
      }
      if (lease !== pinned && !await leasing.takeOver(lease)) continue
      if (stopped) {
        drop(lease, lease !== pinned)
        throw new RefusalError('timeout', 'the caller is gone')
      }
      const running = start(batch, need, lease, until, startedAt)
      const flowing = running.request.send(batch)
      if (!batch.complete) {
        leaveOpen(running)
        return flowing
      }
      if (await finish(running)) return true
      const lost = need === 'read' && !lease.backend.isOpen()
      if (!lost && need === 'read') {
        // The replica says that it writes after all, which takes the right to write.
        await services.admit(identity, database, 'write')
        need = 'write'
      }
      if (lost ? attempt >= MAXIMUM_READ_RETRIES : services.now() >= primaryUntil) {
        throw new RefusalError('no server', 'no backend server could run the request in time', lost ? 'stopped' : 'not run', 'Try again.')
      }
      if (!lost) await new Promise(resolve => setTimeout(resolve, PRIMARY_PAUSE_MILLISECONDS))
    }
  }

  function leaveOpen (running: Running): void {
    open = true
    running.request.done.catch((error: unknown) => {
      // A part that waits for the end says what happened; without one it is said here.
      if (stopped || current !== running || !open) return
      end(running)
      options.onOpenFailed(translate(error, running))
    })
  }

  /** Sends a further part of a batch. */
  async function goOn (running: Running, batch: Batch): Promise<boolean> {
    const need = needOf(batch)
    if (need === 'local' || need === 'setting') throw new RefusalError('not supported', 'session settings must come in a batch of their own', 'not run', 'Send Sync first.')
    if (need === 'write' && running.need === 'read' && session.transaction === 'idle') throw new RefusalError('not supported', 'a write came behind reads in one batch with Flush', 'not run', 'Send Sync between them.')
    if (mayMark(batch)) running.lease.backend.mayHaveChangedSession = true
    if (!batch.complete) return running.request.send(batch)
    open = false
    running.request.send(batch)
    await finish(running)
    return true
  }

  /** Answers in a transaction that failed and holds no connection any more. */
  function answerFailed (batch: Batch): void {
    const considered = batch.statements.length > 0 ? batch.statements : batch.mentioned
    const ends = considered.length === 1 && (considered[0].kind === 'commit' || considered[0].kind === 'rollback')
    if (!ends) throw new RefusalError('transaction failed', 'current transaction is aborted, commands ignored until end of transaction block')
    if (batch.statements.length > 0) session.transaction = 'idle'
    reply(buildLocalReply(batch, { tag: 'ROLLBACK' }, session.transaction, session.prepared))
  }

  function answerLocally (batch: Batch): void {
    const [statement] = batch.statements
    const inTransaction = session.transaction !== 'idle'
    if (inTransaction && (statement?.kind === 'discard' || statement?.kind === 'reset' || statement?.kind === 'setting')) {
      throw new RefusalError('not supported', 'session settings can\'t change within a transaction', 'not run', 'Use SET LOCAL, or change them outside.')
    }
    const shown = statement ?? batch.mentioned.find(({ kind }) => kind === 'show session')
    const result = shown === undefined ? { tag: '' } : session.executeLocally(shown)
    reply(buildLocalReply(batch, result, session.transaction, session.prepared))
  }

  async function run (batch: Batch): Promise<boolean> {
    if (open && current !== undefined) return await goOn(current, batch)
    const need = needOf(batch)
    if (need === 'empty') {
      if (batch.complete) reply(buildReadyForQuery(session.transaction))
      return true
    }
    if (session.transaction === 'failed' && pinned === undefined) {
      answerFailed(batch)
      return true
    }
    if (need === 'local' || batch.statements[0]?.setting === SESSION_TOKEN_SETTING) {
      answerLocally(batch)
      return true
    }
    if (need === 'setting' && session.transaction !== 'idle') throw new RefusalError('not supported', 'SET within a transaction would outlive it on a shared connection', 'not run', 'Use SET LOCAL.')
    await services.admit(identity, database, need === 'setting' ? 'read' : need)
    return await execute(batch, need)
  }

  async function failTransaction (): Promise<void> {
    const wasOpen = open && current !== undefined
    const lease = wasOpen ? current?.lease : pinned
    if (current !== undefined) end(current)
    if (lease === undefined) return
    if (session.transaction !== 'idle') session.transaction = 'failed'
    session.portals.clear()
    // A batch that has not ended leaves replies behind: that connection can't be used again.
    if (wasOpen) return drop(lease, false)
    pinned = undefined
    try {
      await runOwnStatement(lease.backend, 'ROLLBACK', OWN_STATEMENT_MILLISECONDS)
      lease.release(true)
    } catch {
      lease.release(false)
    }
  }

  return {
    run,
    failTransaction,
    isOpen: () => open,
    holdsConnection: () => open || pinned !== undefined,
    mayHaveCommitted: () => acknowledging || current?.mayCommit === true,
    cancel: () => {
      leasing.interrupt(new RefusalError('timeout', 'canceling statement due to user request'))
      current?.lease.backend.cancel()
    },
    stop: () => {
      stopped = true
      leasing.stop()
      // Whatever runs for a caller that is gone must not reach the next one.
      if (current !== undefined) {
        clearTimeout(current.deadline)
        current.lease.backend.cancel()
        current.request.abandon(new ConnectionLostError())
        drop(current.lease, false)
      }
      if (pinned !== undefined) drop(pinned, false)
    },
    onDrain: listener => { (current?.lease ?? pinned)?.backend.onDrain(listener) }
  }
}
