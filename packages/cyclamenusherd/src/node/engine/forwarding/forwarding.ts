/**
 * Runs each operation at the instance that holds the connections to the group's servers
 * for the operation's account: at another one over a stream, or here.
 *
 * What a refusal or a lost answer means stays as it is without the hop: an answer lost
 * between two instances is as unknown as one lost at a server, and only what was not
 * sent, or was refused by the holder before it ran, is sent again. Reads may run twice.
 */

import { isAllowedDomain, orderHolders, selectHolder } from '@cyclamenusher/decisions'
import { confirmDesignation, isLeaseOverdue } from '../confirmation.js'
import { StatementFailure } from '../errors.js'
import { findKeyFailure } from '../operationAdmission.js'
import { requireNotEnded } from '../transactions.js'
import { CONFIRM_GRACE_MILLISECONDS } from '../writes.js'
import { createHolderLink } from './holderLink.js'
import { roundTime } from './messages.js'
import type { HolderExplanation, HolderOption, HolderReadiness, HolderSelection, NamedInstance, OwnAbility } from '@cyclamenusher/decisions'
import type { MessageStream } from '@cyclamenusher/protocol'
import type { ScopedLogger } from '../../process/logger.js'
import type { Peers } from '../../process/peers.js'
import type { LocalServices, OperationRunner } from '../operations.js'
import type { AdmittedOperation, Session, StatementContext, StatementResult, Transaction } from '../session.js'
import type { ForwardedStatement, HolderReply } from './messages.js'
import type { ForwardOutcome, HolderLink } from './holderLink.js'

/** Interval at which holders are watched, in milliseconds. */
const TICK_INTERVAL_MILLISECONDS = 25
/** Time by which a holder's own answer to a statement without an answer may be later than the deadline, in milliseconds. */
const REPLY_GRACE_MILLISECONDS = 60

/** Holders that go silent during a read before it runs on this instance's own connections as well: each takes the time in which silence is noticed. */
const MAXIMUM_SILENT_HOLDERS = 2
/** Streams that are opened before they are needed; further holders are reached with the first operation for them. */
const MAXIMUM_WARM_STREAMS = 256
/** Mean interval between two such openings, in milliseconds: each takes 1 ms of processor at both ends. */
const WARM_INTERVAL_MILLISECONDS = 50
/** Streams that are opened together at most. */
const MAXIMUM_WARMED_AT_ONCE = 4

/** Reason of refusals without a lease: no later primary can be ruled out when the answer arrives. */
const NO_LEASE_FOR_WRITES = 'this instance has no word from control and could not acknowledge a commit'

/** A transaction that runs at a holder, over one stream. */
export interface ForwardedTransaction {
  number: number
  link: HolderLink
  stream: MessageStream
}

export interface ForwardingRunner extends OperationRunner {
  /** Opens a stream that may be needed; called every few tens of milliseconds or less often. */
  tick: () => void
  /** Number of published holders, by what is known of them here. */
  countHolders: () => Record<HolderReadiness, number>
  /** Explains which holder an operation would be sent to, and tries to reach none. */
  explain: (operation: AdmittedOperation, access: 'read' | 'write') => { holders: HolderExplanation[], selection: HolderSelection }
  close: () => void
}

export interface ForwardingOptions {
  services: LocalServices
  local: OperationRunner
  peers: Peers
  logger: ScopedLogger
}

type ReadEvent =
  | { kind: 'silent' }
  | { kind: 'outcome', outcome: ForwardOutcome, attempt: Promise<ReadEvent> }
  /** What became of the read on this instance's own connections. */
  | { kind: 'ran here', result: StatementResult }
  | { kind: 'failed here', error: Error }

export function createForwardingRunner ({ services, local, peers, logger }: ForwardingOptions): ForwardingRunner {
  const { link, regions, clock, log } = services
  const holderLinks = new Map<string, HolderLink>()
  /** Holders in order of preference, by group and account; valid for the list from which they were ordered. */
  const orders = new Map<string, { list: readonly NamedInstance[], ordered: NamedInstance[] }>()
  let lastTransaction = 0
  let warmedAt = -Infinity
  let watchedAt = -Infinity
  let watchTimer: NodeJS.Timeout | undefined

  function listHolders ({ route, account }: AdmittedOperation): NamedInstance[] {
    const list = link.holders(route.group)
    const key = `${route.group}\0${account}`
    const known = orders.get(key)
    if (known?.list === list) return known.ordered
    const ordered = orderHolders(account, list)
    orders.set(key, { list, ordered })
    return ordered
  }

  function buildHolderKey ({ name, host, port }: NamedInstance): string {
    return `${name} ${host}:${port}`
  }

  function ensureHolderLink (listed: NamedInstance): HolderLink {
    const { name, host, port } = listed
    const key = buildHolderKey(listed)
    const existing = holderLinks.get(key)
    if (existing !== undefined) return existing
    const created = createHolderLink({ name, link: peers.link({ host, port }), clock, logger, onRequest: startWatching })
    holderLinks.set(key, created)
    return created
  }

  /** Whether this instance can run an operation itself. Without a lease another holder may run a read; a write that runs elsewhere could not be acknowledged here. */
  function assessOwnAbility (access: 'read' | 'write'): OwnAbility {
    if (isLeaseOverdue(link, clock)) return 'not'
    return link.isLeased() || access === 'write' ? 'now' : 'soon'
  }

  /** The link to the holder that is to run the operation; undefined: this instance runs it. */
  function chooseHolder (operation: AdmittedOperation, excluded: ReadonlySet<HolderLink>, access: 'read' | 'write'): HolderLink | undefined {
    const ability = assessOwnAbility(access)
    const options: Array<HolderOption<HolderLink | undefined>> = []
    for (const listed of listHolders(operation)) {
      if (listed.name === link.name) {
        options.push({ holder: undefined, readiness: 'here' })
        if (ability === 'now') break
        continue
      }
      // A region limits which instances receive the text; this one has it from the caller.
      if (!isAllowedDomain(operation.allowedRegions, listed.failureDomain, regions)) continue
      const holder = ensureHolderLink(listed)
      if (excluded.has(holder)) continue
      const readiness = holder.readiness()
      if (readiness === 'unreachable' && holder.isAttemptDue()) holder.attempt()
      options.push({ holder, readiness })
      // Usually the first one; the others need not be looked at for each operation.
      if (readiness === 'ready' || readiness === 'untried') break
    }
    const choice = selectHolder(options, ability)
    return choice.kind === 'run here' ? undefined : choice.holder
  }

  function explain (operation: AdmittedOperation, access: 'read' | 'write'): { holders: HolderExplanation[], selection: HolderSelection } {
    const holders = orderHolders(operation.account, link.holders(operation.route.group)).map((listed): HolderExplanation => {
      const { name, host, port, failureDomain } = listed
      const isHere = name === link.name
      const readiness = isHere ? 'here' : holderLinks.get(buildHolderKey(listed))?.readiness() ?? 'untried'
      return { name, failureDomain, address: `${host}:${port}`, readiness, isAllowed: isHere || isAllowedDomain(operation.allowedRegions, failureDomain, regions) }
    })
    const options = holders.filter(({ isAllowed }) => isAllowed).map((holder): HolderOption<HolderExplanation> => ({ holder, readiness: holder.readiness }))
    const choice = selectHolder(options, assessOwnAbility(access))
    return { holders, selection: choice.kind === 'run here' ? choice : { kind: choice.kind, name: choice.holder.name, address: choice.holder.address } }
  }

  function buildStatement ({ session, request, startedAt, deadline }: StatementContext): ForwardedStatement {
    const now = clock.now()
    const { id, text, statement } = request
    const definition = statement.kind === 'execute' ? session.prepared.get(statement.name) : undefined
    return {
      id,
      text,
      ...(statement.kind === 'execute' && definition !== undefined ? { execution: { parameters: statement.parameters, definition } } : {}),
      values: [...session.values],
      ...(session.lastCommit === undefined ? {} : { lastCommit: { position: session.lastCommit.position, agoMilliseconds: roundTime(now - session.lastCommit.at) } }),
      sentAt: roundTime(now),
      epoch: roundTime(Math.max(0, link.resumedAt())),
      elapsedMilliseconds: roundTime(now - startedAt),
      remainingMilliseconds: roundTime(Math.max(0, deadline - now))
    }
  }

  /** Takes over what the holder answered. @throws StatementFailure */
  function adoptReply ({ session, timing }: StatementContext, reply: Extract<HolderReply, { kind: 'result' | 'failure' }>): StatementResult {
    if (reply.kind === 'failure') throw new StatementFailure(reply.failure, reply.explanation)
    if (reply.lastCommit !== undefined) session.lastCommit = { position: reply.lastCommit.position, at: clock.now() - reply.lastCommit.agoMilliseconds }
    Object.assign(timing, reply.timing)
    const { rows, digest, position } = reply
    return { rows, digest, position }
  }

  /** Takes over the answer to a commit or a single write, if no later primary is designated. @throws StatementFailure */
  async function adoptCommit (context: StatementContext, { route }: AdmittedOperation, reply: Extract<HolderReply, { kind: 'result' | 'failure' }>): Promise<StatementResult> {
    if (reply.kind === 'result' && reply.primary !== undefined && !await confirmDesignation(link, clock, route.group, reply.primary, context.deadline + CONFIRM_GRACE_MILLISECONDS)) {
      throw new StatementFailure('in doubt', `primary ${reply.primary.member} may have been replaced before its answer arrived`)
    }
    return adoptReply(context, reply)
  }

  /** Why another holder is to try, although this one was chosen; undefined: its reply is final. */
  function findReasonToTryAnother (outcome: ForwardOutcome): string | undefined {
    if (outcome.kind === 'not sent') return outcome.reason
    if (outcome.kind !== 'reply' || outcome.reply.kind !== 'failure') return undefined
    return outcome.reply.failure === 'busy' && !outcome.reply.canServe ? outcome.reply.explanation : undefined
  }

  async function send (holder: HolderLink, context: StatementContext, operation: AdmittedOperation, access: 'read' | 'write', onSilent?: () => void): Promise<ForwardOutcome> {
    const stream = await holder.open()
    if (stream === undefined) return { kind: 'not sent', reason: 'the holder was not reached' }
    const grace = access === 'write' ? CONFIRM_GRACE_MILLISECONDS : 0
    const outcome = await holder.request(stream, number => ({ kind: 'run', number, access, operation: describeOperation(operation), statement: buildStatement(context) }), context.deadline + grace + REPLY_GRACE_MILLISECONDS, { onSilent })
    recordHolder(context, holder, outcome)
    if (findReasonToTryAnother(outcome) !== undefined) holder.recordRefusal()
    return outcome
  }

  function recordHolder (context: StatementContext, { name }: HolderLink, outcome: ForwardOutcome): void {
    context.holder = { name, ...(outcome.kind === 'reply' ? { version: outcome.reply.version } : {}) }
  }

  function describeOperation ({ route, account, allowedRegions, admission }: AdmittedOperation): AdmittedOperation {
    const { group, readPolicy, maximumStalenessMilliseconds, objectiveMilliseconds, priority } = route
    return { route: { group, readPolicy, maximumStalenessMilliseconds, objectiveMilliseconds, priority }, account, ...(allowedRegions === undefined ? {} : { allowedRegions }), ...(admission === undefined ? {} : { admission }) }
  }

  /** Requires, before an operation is sent to a holder, that its key still stands: it may have waited for others. @throws StatementFailure */
  function requireKeyToSend (context: StatementContext, operation: AdmittedOperation): void {
    const failure = findKeyFailure(services, context, operation)
    if (failure !== undefined) throw failure
  }

  async function runWriteElsewhere (context: StatementContext, operation: AdmittedOperation): Promise<StatementResult> {
    const excluded = new Set<HolderLink>()
    for (;;) {
      requireKeyToSend(context, operation)
      if (isLeaseOverdue(link, clock)) throw new StatementFailure('busy', `${NO_LEASE_FOR_WRITES}; the write did not run: try another one`)
      const holder = chooseHolder(operation, excluded, 'write')
      if (holder === undefined) return await local.run(context, operation, 'write')
      const outcome = await send(holder, context, operation, 'write')
      const reason = findReasonToTryAnother(outcome)
      if (reason === undefined) {
        if (outcome.kind === 'reply') return await adoptCommit(context, operation, outcome.reply)
        throw new StatementFailure('in doubt', outcome.kind === 'lost' ? `the holder of the connections was lost: ${outcome.reason}` : 'the holder of the connections did not answer in time')
      }
      excluded.add(holder)
      logRetry(context, reason)
      if (clock.now() >= context.deadline) throw new StatementFailure('busy', `the write did not run: ${reason}`)
    }
  }

  function logRetry ({ request, deadline }: StatementContext, reason: string): void {
    log.logDecision('An operation is sent to another holder.', { id: request.id, reason, left: Math.round(deadline - clock.now()) })
  }

  /** Starts a read at a holder. `silent` settles when the holder has stopped answering; its answer still counts if it comes. */
  function startRead (holder: HolderLink, context: StatementContext, operation: AdmittedOperation): { attempt: Promise<ReadEvent>, silent: Promise<ReadEvent> } {
    let reportSilence: () => void = () => {}
    const silent = new Promise<ReadEvent>(resolve => { reportSilence = () => { resolve({ kind: 'silent' }) } })
    const attempt: Promise<ReadEvent> = send(holder, context, operation, 'read', reportSilence).then(outcome => ({ kind: 'outcome', outcome, attempt }))
    return { attempt, silent }
  }

  /** Runs a read on this instance's own connections, while earlier attempts at holders may still be answered; the first answer counts. */
  async function runReadHere (context: StatementContext, operation: AdmittedOperation, attempts: Set<Promise<ReadEvent>>): Promise<StatementResult> {
    if (attempts.size === 0) return await local.run(context, operation, 'read')
    const here = local.run(context, operation, 'read').then((result): ReadEvent => ({ kind: 'ran here', result }), (error: Error): ReadEvent => ({ kind: 'failed here', error }))
    const pending = new Set([here, ...attempts])
    for (;;) {
      const event = await Promise.race(pending)
      if (event.kind === 'ran here') return event.result
      if (event.kind === 'outcome' && event.outcome.kind === 'reply' && findReasonToTryAnother(event.outcome) === undefined) return adoptReply(context, event.outcome.reply)
      // A refusal is not put off until silent holders have missed the deadline.
      if (event.kind === 'failed here') throw event.error
      if (event.kind === 'outcome') pending.delete(event.attempt)
    }
  }

  /** Runs a read at a holder, and at another one as well when that one stops answering; the first answer counts. */
  async function runReadElsewhere (context: StatementContext, operation: AdmittedOperation): Promise<StatementResult> {
    const excluded = new Set<HolderLink>()
    const attempts = new Set<Promise<ReadEvent>>()
    let silentHolders = 0
    for (;;) {
      requireKeyToSend(context, operation)
      const holder = silentHolders < MAXIMUM_SILENT_HOLDERS ? chooseHolder(operation, excluded, 'read') : undefined
      if (holder === undefined) return await runReadHere(context, operation, attempts)
      excluded.add(holder)
      const { attempt, silent } = startRead(holder, context, operation)
      attempts.add(attempt)
      let event = await Promise.race([...attempts, silent])
      while (event.kind === 'outcome') {
        const { outcome } = event
        attempts.delete(event.attempt)
        const reason = outcome.kind === 'lost' ? outcome.reason : findReasonToTryAnother(outcome)
        if (outcome.kind === 'reply' && reason === undefined) return adoptReply(context, outcome.reply)
        if (outcome.kind === 'late' || clock.now() >= context.deadline) throw new StatementFailure('timeout', 'no holder of the connections answered in time')
        logRetry(context, reason ?? '')
        // An earlier attempt may still be answered, while the newest is over.
        if (event.attempt === attempt || attempts.size === 0) break
        event = await Promise.race([...attempts, silent])
      }
      if (event.kind === 'silent') silentHolders += 1
    }
  }

  /** Opens the transaction at a holder that is not excluded, and excludes that one; undefined: this instance runs it. */
  async function openTransaction (context: StatementContext, transaction: Transaction, excluded: Set<HolderLink>): Promise<ForwardedTransaction | undefined> {
    const access = transaction.readOnly ? 'read' : 'write'
    for (let holder = chooseHolder(transaction, excluded, access); holder !== undefined; holder = chooseHolder(transaction, excluded, access)) {
      excluded.add(holder)
      const stream = await holder.open()
      if (stream === undefined) continue
      lastTransaction += 1
      const { beginId, readOnly } = transaction
      const statement = { ...buildStatement(context), id: beginId }
      holder.post(stream, { kind: 'begin', transaction: lastTransaction, readOnly, operation: describeOperation(transaction), statement })
      return { number: lastTransaction, link: holder, stream }
    }
    return undefined
  }

  function rollBack (transaction: Transaction, id?: string): void {
    if (transaction.forwarded === undefined) return local.rollBack(transaction, id)
    void transaction.forwarded.then(forwarded => {
      if (forwarded === undefined) return local.rollBack(transaction, id)
      forwarded.link.post(forwarded.stream, { kind: 'roll back', transaction: forwarded.number, ...(id === undefined ? {} : { id }) })
    })
  }

  /** Rolls the transaction back if its commit could not be acknowledged. @throws StatementFailure */
  function requireLeaseForWrites (session: Session, transaction: Transaction): void {
    if (!isLeaseOverdue(link, clock)) return
    if (session.transaction !== undefined) session.state = 'failed transaction'
    rollBack(transaction)
    throw new StatementFailure('aborted', `${NO_LEASE_FOR_WRITES}; the transaction was rolled back`)
  }

  /**
   * Ends the transaction if neither this instance nor its holder can tell whether its key
   * still stands: this one has not known the newest declaration lately, and the holder,
   * of an earlier build, does not decide again.
   */
  function endUndecided ({ admission }: StatementContext, transaction: Transaction, forwarded: ForwardedTransaction): void {
    if (admission === undefined || link.isDeclarationTrusted() || forwarded.link.reviewsTransactions(forwarded.stream)) return
    transaction.endReason ??= 'this instance has no word from control and can not tell whether the key still stands; the transaction was rolled back'
    rollBack(transaction)
  }

  async function continueTransaction (context: StatementContext, transaction: Transaction, isWrite: boolean): Promise<StatementResult> {
    const { session } = context
    const excluded = new Set<HolderLink>()
    let forwarded = await transaction.forwarded
    for (;;) {
      if (forwarded === undefined) return await local.continue(context, transaction, isWrite)
      endUndecided(context, transaction, forwarded)
      requireNotEnded(session, transaction)
      if (isWrite) requireLeaseForWrites(session, transaction)
      const outcome = await sendInTransaction(context, forwarded, isWrite)
      const reason = transaction.hasRun === true ? undefined : findReasonToTryAnother(outcome)
      if (reason === undefined || clock.now() >= context.deadline) return adoptTransactionOutcome(context, transaction, outcome, isWrite)
      // The holder has not begun the transaction.
      rollBack(transaction)
      forwarded.link.recordRefusal()
      logRetry(context, reason)
      excluded.add(forwarded.link)
      transaction.forwarded = openTransaction(context, transaction, excluded)
      forwarded = await transaction.forwarded
    }
  }

  /** By what a statement of a transaction was admitted, as a part of its request. */
  function includeAdmission ({ admission }: StatementContext): Pick<StatementContext, 'admission'> {
    return admission === undefined ? {} : { admission }
  }

  async function sendInTransaction (context: StatementContext, forwarded: ForwardedTransaction, isWrite: boolean): Promise<ForwardOutcome> {
    const outcome = await forwarded.link.request(forwarded.stream, number => ({ kind: 'continue', number, transaction: forwarded.number, isWrite, statement: buildStatement(context), ...includeAdmission(context) }), context.deadline + REPLY_GRACE_MILLISECONDS, { endsWithStream: true })
    recordHolder(context, forwarded.link, outcome)
    return outcome
  }

  /** @throws StatementFailure */
  function adoptTransactionOutcome (context: StatementContext, transaction: Transaction, outcome: ForwardOutcome, isWrite: boolean): StatementResult {
    const { session } = context
    transaction.hasRun = true
    if (outcome.kind !== 'reply') {
      // Without its commit, which is not sent any more, the transaction keeps nothing.
      session.state = 'failed transaction'
      rollBack(transaction)
      throw new StatementFailure('aborted', `the holder of the transaction's connection ${outcome.kind === 'late' ? 'did not answer in time' : `was lost: ${outcome.reason}`}`)
    }
    if (outcome.reply.kind === 'failure') session.state = 'failed transaction'
    const result = adoptReply(context, outcome.reply)
    transaction.wrote ||= isWrite
    return result
  }

  async function commitTransaction (context: StatementContext, transaction: Transaction): Promise<StatementResult> {
    const { session } = context
    const forwarded = await transaction.forwarded
    if (forwarded === undefined) return await local.commit(context, transaction)
    session.transaction = undefined
    session.state = 'idle'
    endUndecided(context, transaction, forwarded)
    if (transaction.endReason !== undefined) throw new StatementFailure('aborted', transaction.endReason)
    if (transaction.wrote) requireLeaseForWrites(session, transaction)
    const outcome = await forwarded.link.request(forwarded.stream, number => ({ kind: 'commit', number, transaction: forwarded.number, statement: buildStatement(context), ...includeAdmission(context) }), context.deadline + CONFIRM_GRACE_MILLISECONDS + REPLY_GRACE_MILLISECONDS)
    recordHolder(context, forwarded.link, outcome)
    if (outcome.kind === 'reply') return await adoptCommit(context, transaction, outcome.reply)
    if (outcome.kind === 'not sent') throw new StatementFailure('aborted', `the commit was not sent: ${outcome.reason}`)
    throw new StatementFailure(transaction.wrote ? 'in doubt' : 'aborted', `the answer to the commit ${outcome.kind === 'late' ? 'did not come in time' : `was lost: ${outcome.reason}`}`)
  }

  /**
   * Opens streams to the next holders that have none, to those that were never tried first.
   *
   * Load pattern: few operations at each of many instances, so that nearly every one
   * would be the first for its holder, and wait until a connection is open.
   */
  function warmStreams (now: number): void {
    const due = Math.min(MAXIMUM_WARMED_AT_ONCE, Math.floor((now - warmedAt) / WARM_INTERVAL_MILLISECONDS))
    if (due < 1) return
    warmedAt = now
    const cold = link.allHolders().slice(0, MAXIMUM_WARM_STREAMS).filter(({ name }) => name !== link.name).map(ensureHolderLink).filter(holder => holder.isAttemptDue())
    const isUntried = (holder: HolderLink): boolean => holder.readiness() === 'untried'
    for (const holder of [...cold.filter(isUntried), ...cold.filter(holder => !isUntried(holder))].slice(0, due)) holder.attempt()
  }

  /** Watches the holders while operations are outstanding or a holder is silent; an instance at rest has no timer. */
  function watchHolders (): void {
    const now = clock.now()
    const stalledMilliseconds = Math.max(0, now - watchedAt - TICK_INTERVAL_MILLISECONDS)
    watchedAt = now
    const watched = [...holderLinks.values()].filter(holder => holder.isWatched())
    const wereReady = watched.filter(holder => holder.readiness() === 'ready')
    for (const holder of watched) holder.tick(stalledMilliseconds)
    // Whatever cut one holder off may have cut off others, at each of which the next operation would find that out by itself.
    if (wereReady.some(holder => holder.readiness() === 'unusable')) for (const holder of holderLinks.values()) holder.probe()
    if (watched.length > 0) return
    clearInterval(watchTimer)
    watchTimer = undefined
  }

  function startWatching (): void {
    if (watchTimer !== undefined) return
    watchedAt = clock.now()
    watchTimer = setInterval(watchHolders, TICK_INTERVAL_MILLISECONDS)
  }

  return {
    run: async (context, operation, access) => access === 'read' ? await runReadElsewhere(context, operation) : await runWriteElsewhere(context, operation),
    begin: (context, transaction) => {
      if (chooseHolder(transaction, new Set(), transaction.readOnly ? 'read' : 'write') === undefined) return local.begin(context, transaction)
      transaction.forwarded = openTransaction(context, transaction, new Set())
    },
    continue: continueTransaction,
    commit: commitTransaction,
    rollBack,
    explain,
    tick: () => { warmStreams(clock.now()) },
    countHolders: () => {
      const counts: Record<HolderReadiness, number> = { ready: 0, untried: 0, unreachable: 0, unusable: 0 }
      for (const holder of link.allHolders()) if (holder.name !== link.name) counts[ensureHolderLink(holder).readiness()] += 1
      return counts
    },
    close: () => { clearInterval(watchTimer) }
  }
}
