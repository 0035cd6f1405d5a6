/** Sends operations to one instance that holds a group's connections, and notices when it does not answer. */

import { randomUUID } from 'node:crypto'
import { UNKNOWN_HOLDER, assessHolder, recordHolderAnswer, recordHolderAttempt, recordHolderLost, recordHolderOpened, recordHolderRefusal, recordHolderRoundTrip, watchHolder } from '@cyclamenusher/decisions'
import { startAnswerTimeout } from '@cyclamenusher/protocol'
import { COMPACT_FORMAT, HOLDER_STREAM, decodeHolderReply, encodeHolderRequest } from './messages.js'
import type { HolderHealth, HolderReadiness } from '@cyclamenusher/decisions'
import type { FleetService, MessageStream, MessageStreamHandlers, PeerLink } from '@cyclamenusher/protocol'
import type { Clock } from '../../process/clock.js'
import type { ScopedLogger } from '../../process/logger.js'
import type { HolderReply, HolderRequest } from './messages.js'

/** Longest time for which an operation waits for an attempt to open the stream, in milliseconds: a connection between regions and its first round trip, also where this instance has just started. The attempt itself goes on. */
const OPEN_WAIT_MILLISECONDS = 150
/** Delay after a first attempt to reach a silent holder on another connection, in milliseconds; it doubles with each further one that was established, as a frozen instance has to take them all when it wakes. */
const REPLACEMENT_DELAY_MILLISECONDS = 500
/** Time within which a second connection to a silent holder must be established, in milliseconds. */
const REPLACEMENT_OPEN_MILLISECONDS = 500
/** How long a silent holder may take to answer on an established second connection before that is replaced, in milliseconds: its path may have been cut after it was established. */
const REPLACEMENT_PATIENCE_MILLISECONDS = 2_000
/** How long a silent stream may still answer after the holder has answered on another one, in milliseconds: an instance that wakes reads both. */
const REPLACEMENT_GRACE_MILLISECONDS = 75

/**
 * How long after the start of the process requests are sent as JSON, in milliseconds.
 *
 * Load pattern: all instances start again after a loss of power. The codec of the compact
 * format is not compiled yet, while the runtime's own code reads and writes JSON.
 */
const JSON_AFTER_START_MILLISECONDS = 10_000

export type ForwardOutcome =
  | { kind: 'reply', reply: Extract<HolderReply, { kind: 'result' | 'failure' }> }
  /** The request was not sent. */
  | { kind: 'not sent', reason: string }
  /** The stream ended before the reply. */
  | { kind: 'lost', reason: string }
  /** No reply by the deadline. */
  | { kind: 'late' }

export interface HolderLink {
  /** Name of the holder. */
  name: string
  /** Whether new operations may be sent to the holder. */
  readiness: () => HolderReadiness
  /** Whether no stream to the holder is open, and an attempt to open one is due. */
  isAttemptDue: () => boolean
  /** Starts an attempt to open the stream in the background, unless there is one. */
  attempt: () => void
  /** The stream to the holder, opened on demand; undefined if it can't be opened within the time. The attempt to open it goes on. */
  open: () => Promise<MessageStream | undefined>
  /** Sends a request on the stream. */
  request: (stream: MessageStream, build: (number: number) => HolderRequest, deadline: number, options?: RequestOptions) => Promise<ForwardOutcome>
  /** Sends a message that has no reply. */
  post: (stream: MessageStream, request: HolderRequest) => void
  /** Whether the holder decides again about the statements of a transaction, as it says with its first answer on a stream; true until then, as it decides about the begin. */
  reviewsTransactions: (stream: MessageStream) => boolean
  /** Notes that the holder refused because it can't serve at present. */
  recordRefusal: () => void
  /** Asks whether the holder answers, although nothing is outstanding; called when another one has gone silent. */
  probe: () => void
  /** Whether operations are outstanding, or the holder is silent and its return is looked for. */
  isWatched: () => boolean
  /** Gives up what is late, and probes the holder when it owes an answer; called every few tens of milliseconds while `isWatched`, later by `stalledMilliseconds` this time. */
  tick: (stalledMilliseconds: number) => void
}

export interface RequestOptions {
  /** Called when the holder seems to have stopped answering, which it may still do. */
  onSilent?: () => void
  /** Whether the request is lost with a stream that is replaced because it went silent: it keeps nothing without a later one. Otherwise its answer may still come. @default false */
  endsWithStream?: boolean
}

interface OutstandingRequest extends RequestOptions {
  sentAt: number
  deadline: number
  stream: MessageStream
  finish: (outcome: ForwardOutcome) => void
}

export interface HolderLinkOptions {
  name: string
  link: Pick<PeerLink<typeof FleetService>, 'openStream'>
  clock: Clock
  logger: ScopedLogger
  /** @default Math.random */
  random?: () => number
  /** Called with each request, as it has to be watched. */
  onRequest: () => void
}

export function createHolderLink ({ name, link, clock, logger, random = Math.random, onRequest }: HolderLinkOptions): HolderLink {
  let health: HolderHealth = UNKNOWN_HOLDER
  let current: MessageStream | undefined
  let attempted: Promise<MessageStream | undefined> | undefined
  let lastNumber = 0
  const outstanding = new Map<number, OutstandingRequest>()
  /** A second stream to a silent holder, and when it was answered there first. */
  let replacement: { stream: MessageStream, openedAt: number, answeredAt?: number } | undefined
  let isReplacing = false
  let replacementDueAt = -Infinity
  let replacementDelay = REPLACEMENT_DELAY_MILLISECONDS
  /** Replaced streams on which answers are still outstanding. */
  const replaced = new Set<MessageStream>()
  const tokens = new WeakMap<MessageStream, string>()
  /** Until then requests are sent as JSON. */
  const compactFrom = (clock.startedAt ?? -Infinity) + JSON_AFTER_START_MILLISECONDS
  /** Streams on which the holder has listed the compact format. */
  const compactStreams = new WeakSet<MessageStream>()
  /** By stream, whether the holder has said that it decides again about the statements of a transaction. */
  const reviewingStreams = new WeakMap<MessageStream, boolean>()
  /** When the probes were sent that have no answer yet, by stream, the oldest first. */
  const probes = new WeakMap<MessageStream, number[]>()

  function write (stream: MessageStream, request: HolderRequest): void {
    if (request.kind === 'probe') probes.set(stream, [...probes.get(stream) ?? [], clock.now()])
    stream.send(encodeHolderRequest(request, compactStreams.has(stream) && clock.now() >= compactFrom ? COMPACT_FORMAT : 'json'))
  }

  function finish (number: number, outcome: ForwardOutcome): void {
    const request = outstanding.get(number)
    outstanding.delete(number)
    request?.finish(outcome)
  }

  /** How long an answer took, apart from the work at the holder; undefined if it does not tell. */
  function measureRoundTrip (stream: MessageStream, reply: HolderReply): number | undefined {
    if (reply.kind === 'alive') {
      const sentAt = probes.get(stream)?.shift()
      return sentAt === undefined ? undefined : clock.now() - sentAt
    }
    const sentAt = reply.kind === 'result' ? outstanding.get(reply.number)?.sentAt : undefined
    if (reply.kind !== 'result' || sentAt === undefined || reply.timing.atHolder === undefined) return undefined
    return clock.now() - sentAt - reply.timing.atHolder
  }

  type ReplyHandlers = { [Kind in HolderReply['kind']]: (reply: Extract<HolderReply, { kind: Kind }>) => void }
  const REPLY_HANDLERS: ReplyHandlers = {
    result: reply => { finish(reply.number, { kind: 'reply', reply }) },
    failure: reply => { finish(reply.number, { kind: 'reply', reply }) },
    alive: () => {},
    leaving: () => { health = { ...health, leaving: true } }
  }

  function attach (stream: MessageStream): MessageStreamHandlers {
    return {
      message: body => {
        const reply = decodeHolderReply(body)
        if (reply.kind === 'alive' && reply.formats?.includes(COMPACT_FORMAT) === true) compactStreams.add(stream)
        if (reply.kind === 'alive' && !reviewingStreams.has(stream)) reviewingStreams.set(stream, reply.reviewsTransactions === true)
        if (stream === replacement?.stream) {
          replacement.answeredAt ??= clock.now()
          if (reply.kind === 'alive') probes.get(stream)?.shift()
          if (reply.kind === 'leaving') REPLY_HANDLERS.leaving(reply)
          return
        }
        if (replaced.has(stream)) {
          if (reply.kind === 'result' || reply.kind === 'failure') finish(reply.number, { kind: 'reply', reply })
          return
        }
        if (health.silent) logger.info('A holder answers again.', { holder: name })
        if (health.connection === 'lost') logger.info('A holder is reached again.', { holder: name, attempts: health.attempts })
        health = recordHolderAnswer(health, clock.now())
        const roundTrip = measureRoundTrip(stream, reply)
        if (roundTrip !== undefined) health = recordHolderRoundTrip(health, roundTrip)
        const handle = REPLY_HANDLERS[reply.kind] as (reply: HolderReply) => void
        handle(reply)
      },
      closed: reason => {
        if (stream === replacement?.stream) replacement = undefined
        if (current === stream) {
          current = undefined
          health = recordHolderLost(health)
        }
        replaced.delete(stream)
        logger.info('The stream to a holder ended.', { holder: name, reason, outstanding: outstanding.size })
        for (const [number, request] of [...outstanding]) if (request.stream === stream) finish(number, { kind: 'lost', reason })
      }
    }
  }

  /** Opens a second stream to a silent holder: if it answers there, just the connection went silent. */
  async function openReplacement (): Promise<void> {
    isReplacing = true
    const startedAt = clock.now()
    replacementDueAt = startedAt + replacementDelay
    const stream = await openStream(REPLACEMENT_OPEN_MILLISECONDS)
    isReplacing = false
    // A path that is cut costs the other end nothing, so it is tried again without a longer delay.
    if (stream === undefined) return
    replacementDelay *= 2
    replacementDueAt = startedAt + replacementDelay
    if (!health.silent) return stream.close('the holder answers again')
    replacement = { stream, openedAt: clock.now() }
    write(stream, { kind: 'probe' })
  }

  /** Uses the second stream for new operations if the first one stays silent. */
  function adoptReplacement (now: number): void {
    if (replacement === undefined) return
    const { stream, openedAt, answeredAt } = replacement
    if (!health.silent) {
      replacement = undefined
      return stream.close('the holder answers again')
    }
    if (answeredAt === undefined && now - openedAt >= REPLACEMENT_PATIENCE_MILLISECONDS) {
      replacement = undefined
      return stream.close('the holder did not answer on it')
    }
    if (answeredAt === undefined || now - answeredAt < REPLACEMENT_GRACE_MILLISECONDS) return
    const silentStream = current
    replacement = undefined
    current = stream
    health = recordHolderAnswer(health, now)
    logger.warn('A connection to a holder went silent, and another one is used.', { holder: name, outstanding: outstanding.size })
    if (silentStream === undefined) return
    replaced.add(silentStream)
    for (const [number, request] of [...outstanding]) {
      if (request.stream === silentStream && request.endsWithStream === true) finish(number, { kind: 'lost', reason: 'its connection went silent' })
    }
  }

  /** Ends replaced streams on which nothing is outstanding; the holder, which may not notice the end, is told on the present one. */
  function endReplacedStreams (): void {
    for (const stream of [...replaced]) {
      if ([...outstanding.values()].some(request => request.stream === stream)) continue
      const token = tokens.get(stream)
      if (current !== undefined && token !== undefined) write(current, { kind: 'probe', replaces: token })
      stream.close('its connection went silent')
    }
  }

  /** Opens a stream, and gives up the attempt after the time. */
  async function openStream (milliseconds: number): Promise<MessageStream | undefined> {
    const abandonment = new AbortController()
    let cancelTimeout = (): void => {}
    const late = new Promise<undefined>(resolve => {
      cancelTimeout = startAnswerTimeout(milliseconds, () => {
        abandonment.abort()
        resolve(undefined)
      })
    })
    const stream = await Promise.race([late, link.openStream(HOLDER_STREAM, attach, abandonment.signal).then(opened => {
      // Nobody waits for it any more.
      if (abandonment.signal.aborted) opened.close('it was opened too late')
      return opened
    }).catch((error: Error) => {
      logger.debug('A holder was not reached.', { holder: name, reason: error.message })
      return undefined
    })])
    cancelTimeout()
    if (stream === undefined) return undefined
    const token = randomUUID()
    tokens.set(stream, token)
    write(stream, { kind: 'probe', stream: token })
    return stream
  }

  async function openFirst (): Promise<MessageStream | undefined> {
    const startedAt = clock.now()
    health = recordHolderAttempt(health, startedAt, random)
    const stream = await openStream(health.attemptFrom - startedAt)
    if (stream?.isOpen() === true) {
      current = stream
      health = recordHolderOpened(health, clock.now())
      // The answer to the probe on it is watched for.
      onRequest()
      return stream
    }
    if (health.connection !== 'lost') logger.warn('A holder is not reached.', { holder: name })
    health = recordHolderLost(health)
    return undefined
  }

  async function attempt (): Promise<MessageStream | undefined> {
    attempted ??= openFirst().finally(() => { attempted = undefined })
    return await attempted
  }

  async function open (): Promise<MessageStream | undefined> {
    if (current?.isOpen() === true) return current
    let cancelWait = (): void => {}
    const waited = new Promise<undefined>(resolve => { cancelWait = startAnswerTimeout(OPEN_WAIT_MILLISECONDS, () => { resolve(undefined) }) })
    const stream = await Promise.race([waited, attempt()])
    cancelWait()
    return stream
  }

  function isAttemptDue (): boolean {
    return current === undefined && attempted === undefined && clock.now() >= health.attemptFrom
  }

  function tick (stalledMilliseconds: number): void {
    const now = clock.now()
    let oldestSentAt: number | undefined
    for (const [number, request] of [...outstanding]) {
      if (now >= request.deadline) finish(number, { kind: 'late' })
      else if (!replaced.has(request.stream)) oldestSentAt = Math.min(oldestSentAt ?? Infinity, request.sentAt)
    }
    adoptReplacement(now)
    endReplacedStreams()
    const wasSilent = health.silent
    const watched = watchHolder(health, oldestSentAt, now, stalledMilliseconds)
    health = watched.health
    if (watched.probe && current !== undefined) write(current, { kind: 'probe' })
    const mayReplace = health.silent && current !== undefined && replacement === undefined && !isReplacing
    if (mayReplace && now >= replacementDueAt) void openReplacement()
    if (!health.silent) replacementDelay = REPLACEMENT_DELAY_MILLISECONDS
    if (wasSilent || !health.silent) return
    logger.warn('A holder does not answer.', { holder: name, outstanding: outstanding.size })
    for (const { onSilent } of [...outstanding.values()]) onSilent?.()
  }

  function probe (): void {
    if (current?.isOpen() !== true || health.silent || health.probedAt > health.heardAt) return
    health = { ...health, probedAt: clock.now() }
    write(current, { kind: 'probe' })
    onRequest()
  }

  return {
    name,
    readiness: () => assessHolder(health, clock.now()),
    isAttemptDue,
    attempt: () => { void attempt() },
    open,
    request: async (stream, build, deadline, options = {}) => await new Promise<ForwardOutcome>(resolve => {
      if (!stream.isOpen() || replaced.has(stream)) return resolve({ kind: 'not sent', reason: 'the stream to the holder has ended' })
      lastNumber += 1
      const number = lastNumber
      outstanding.set(number, { sentAt: clock.now(), deadline, stream, ...options, finish: resolve })
      write(stream, build(number))
      onRequest()
    }),
    post: write,
    reviewsTransactions: stream => reviewingStreams.get(stream) ?? true,
    recordRefusal: () => { health = recordHolderRefusal(health, clock.now()) },
    probe,
    isWatched: () => outstanding.size > 0 || (current !== undefined && health.probedAt > health.heardAt) || health.silent || replacement !== undefined || replaced.size > 0,
    tick
  }
}
