/**
 * Decides whether a stream of calls has gone silent, and when to try another connection
 * beside it. A connection whose bytes a kernel retransmits at doubling intervals, or whose
 * other end no longer knows it, carries nothing while a new one works.
 *
 * Load patterns:
 * - A busy or frozen instance. Its answers are late, and each further connection adds to
 *   its work: at most one is tried at a time, for longer each time, and only where not even
 *   a ping is answered.
 * - A path that is cut. Connections are not established, which costs the other end
 *   nothing, so these attempts follow one another without a pause.
 * - All processes of control start again. Attempts to connect that were refused are not
 *   repeated here, or each of them would get a connection from every instance at once.
 */

/** Time without an answer after which the other end is pinged, in milliseconds: longer than control holds a renewal. */
const PING_AFTER_MILLISECONDS = 500
/** Time without an answer to a ping after which a stream counts as silent, in milliseconds: longer than a busy instance takes to read what has come. It doubles when the answer comes after all. */
const SILENT_AFTER_PING_MILLISECONDS = 600
const LONGEST_SILENT_AFTER_PING_MILLISECONDS = 4_800
/** Factor by which that time returns to the shortest one with each message that needed no ping. */
const RECOVERY_FACTOR = 0.9
/** How long a silent stream may still answer after the other end has answered on a second one, in milliseconds: an instance that wakes reads both. */
const GRACE_MILLISECONDS = 75
/** How long the other end may take to answer on a first established second stream, in milliseconds; it doubles with each further one. */
const FIRST_PATIENCE_MILLISECONDS = 2_000
const LONGEST_PATIENCE_MILLISECONDS = 4_000
/** Minimum interval between two attempts to connect, in milliseconds: a refusal comes at once. */
const ATTEMPT_INTERVAL_MILLISECONDS = 250
/** How long connections are tried after the last call or search, in milliseconds: longer than the longest renewal. */
const WANTED_MILLISECONDS = 3_000

export interface StreamWatch {
  state: 'closed' | 'opening' | 'open'
  /** Whether the other end answers pings; an instance of the build before does not. */
  answersPings: boolean
  /** Whether the other end has answered a ping on the present stream, the first of which goes with its opening. */
  confirmed: boolean
  /** Since when the other end owes an answer; Infinity if it owes none. */
  owedSince: number
  /** When a ping was sent that has not been answered; Infinity if there is none. */
  pingedAt: number
  /** How long a ping may take, in milliseconds. */
  pingTimeout: number
  silent: boolean
  wantedUntil: number
  /** Whether the last attempt to connect was not answered; one that is refused is left to the next call. */
  unanswered: boolean
  /** From when the next attempt to connect is allowed. */
  attemptFrom: number
  patience: number
  second?: { startedAt: number, establishedAt?: number, heardAt?: number }
}

export type StreamAction = 'ping' | 'open' | 'open second' | 'close second' | 'adopt second'

export interface StreamDecision {
  watch: StreamWatch
  actions: readonly StreamAction[]
  /** When to decide again, unless something happens before; Infinity if there is nothing to wait for. */
  dueAt: number
}

export const NEW_STREAM_WATCH: StreamWatch = { state: 'closed', answersPings: false, confirmed: false, owedSince: Infinity, pingedAt: Infinity, pingTimeout: SILENT_AFTER_PING_MILLISECONDS, silent: false, wantedUntil: -Infinity, unanswered: false, attemptFrom: -Infinity, patience: FIRST_PATIENCE_MILLISECONDS }

/** Records that a call is made. */
export function recordStreamCall (watch: StreamWatch, now: number): StreamWatch {
  return { ...watch, wantedUntil: now + WANTED_MILLISECONDS, owedSince: watch.state === 'open' ? Math.min(watch.owedSince, now) : watch.owedSince }
}

/** Records that it is wanted to know soon whether the other end answers. */
export function recordStreamSearch (watch: StreamWatch, now: number): StreamWatch {
  const owedSince = watch.confirmed ? now - PING_AFTER_MILLISECONDS : now
  return { ...watch, wantedUntil: now + WANTED_MILLISECONDS, owedSince: watch.state === 'open' ? Math.min(watch.owedSince, owedSince) : watch.owedSince }
}

export function recordStreamOpening (watch: StreamWatch, now: number): StreamWatch {
  return { ...watch, state: 'opening', attemptFrom: now + ATTEMPT_INTERVAL_MILLISECONDS }
}

/** Records that the present stream is open; `outstanding` calls wait for it. */
export function recordStreamOpen (watch: StreamWatch, outstanding: number, now: number): StreamWatch {
  return { ...watch, state: 'open', confirmed: false, owedSince: outstanding > 0 ? now : Infinity, pingedAt: Infinity, silent: false }
}

/** Records that the present stream has ended, or could not be opened. */
export function recordStreamEnd (watch: StreamWatch, now: number): StreamWatch {
  return { ...watch, state: 'closed', unanswered: watch.state === 'opening' && now >= watch.attemptFrom, confirmed: false, owedSince: Infinity, pingedAt: Infinity, silent: false }
}

/** A stream that was taken for silent and answers was late. */
function adaptPingTimeout ({ pingTimeout, pingedAt, silent }: StreamWatch): number {
  if (silent) return Math.min(LONGEST_SILENT_AFTER_PING_MILLISECONDS, pingTimeout * 2)
  return pingedAt === Infinity ? Math.max(SILENT_AFTER_PING_MILLISECONDS, pingTimeout * RECOVERY_FACTOR) : pingTimeout
}

/** Records a message on the present stream: the answer to a ping, or the reply to a call. `outstanding` is the number of calls that still wait. */
export function recordStreamMessage (watch: StreamWatch, kind: 'alive' | 'reply', outstanding: number, now: number): StreamWatch {
  const confirmed = watch.confirmed || kind === 'alive'
  return { ...watch, confirmed, answersPings: confirmed, owedSince: outstanding > 0 ? now : Infinity, pingedAt: Infinity, pingTimeout: adaptPingTimeout(watch), silent: false, patience: FIRST_PATIENCE_MILLISECONDS }
}

/** Records what became of the attempt at a second stream. */
export function recordSecondStream (watch: StreamWatch, event: 'established' | 'heard' | 'ended', now: number): StreamWatch {
  const { second } = watch
  if (second === undefined) return watch
  if (event === 'established') return { ...watch, second: { ...second, establishedAt: now } }
  if (event === 'heard') return { ...watch, second: { ...second, heardAt: second.heardAt ?? now } }
  // Nothing was established, so the other end has had no work with it.
  const patience = second.establishedAt === undefined ? FIRST_PATIENCE_MILLISECONDS : watch.patience
  return { ...watch, second: undefined, patience, attemptFrom: Math.max(now, second.startedAt + ATTEMPT_INTERVAL_MILLISECONDS) }
}

/** Whether the stream is open and not silent. */
export function isStreamAnswering ({ state, silent }: StreamWatch): boolean {
  return state === 'open' && !silent
}

/** Whether a call may be sent on the stream. A silent one would deliver it after it has been given up; one that has not been confirmed may lead to an instance of the build before. */
export function mayCallOnStream ({ silent, confirmed }: StreamWatch): boolean {
  return !(silent && confirmed)
}

function watchSilent (watch: StreamWatch, now: number): StreamDecision {
  const { second } = watch
  if (second?.heardAt !== undefined) {
    const adoptAt = second.heardAt + GRACE_MILLISECONDS
    if (now < adoptAt) return { watch, actions: [], dueAt: adoptAt }
    const adopted: StreamWatch = { ...watch, confirmed: true, answersPings: true, owedSince: Infinity, pingedAt: Infinity, pingTimeout: SILENT_AFTER_PING_MILLISECONDS, silent: false, second: undefined, patience: FIRST_PATIENCE_MILLISECONDS }
    return { watch: adopted, actions: ['adopt second'], dueAt: Infinity }
  }
  if (second?.establishedAt !== undefined && now >= second.establishedAt + watch.patience) {
    const closed: StreamWatch = { ...watch, second: undefined, patience: Math.min(LONGEST_PATIENCE_MILLISECONDS, watch.patience * 2), attemptFrom: now }
    const next = watchSilent(closed, now)
    return { ...next, actions: ['close second', ...next.actions] }
  }
  if (second !== undefined) return { watch, actions: [], dueAt: second.establishedAt === undefined ? Infinity : second.establishedAt + watch.patience }
  if (now >= watch.wantedUntil) return { watch, actions: [], dueAt: Infinity }
  if (now < watch.attemptFrom) return { watch, actions: [], dueAt: watch.attemptFrom }
  return { watch: { ...watch, second: { startedAt: now } }, actions: ['open second'], dueAt: Infinity }
}

/** Decides what to do now; `spread` delays a first attempt beside a stream that has just gone silent, in milliseconds. */
export function watchStream (watch: StreamWatch, spread: number, now: number): StreamDecision {
  if (watch.second !== undefined && !(watch.state === 'open' && watch.silent)) {
    const next = watchStream({ ...watch, second: undefined }, spread, now)
    return { ...next, actions: ['close second', ...next.actions] }
  }
  if (watch.state === 'opening') return { watch, actions: [], dueAt: Infinity }
  if (watch.state === 'closed') {
    return { watch, actions: watch.unanswered && now < watch.wantedUntil ? ['open'] : [], dueAt: Infinity }
  }
  if (watch.silent) return watchSilent(watch, now)
  if (watch.owedSince === Infinity || !watch.answersPings) return { watch, actions: [], dueAt: Infinity }
  if (watch.confirmed && watch.pingedAt === Infinity) {
    const pingAt = watch.owedSince + PING_AFTER_MILLISECONDS
    if (now < pingAt) return { watch, actions: [], dueAt: pingAt }
    return { watch: { ...watch, pingedAt: now }, actions: ['ping'], dueAt: now + watch.pingTimeout }
  }
  const silentAt = watch.confirmed ? watch.pingedAt + watch.pingTimeout : watch.owedSince + PING_AFTER_MILLISECONDS + watch.pingTimeout
  if (now < silentAt) return { watch, actions: [], dueAt: silentAt }
  return watchSilent({ ...watch, silent: true, attemptFrom: now + spread, patience: FIRST_PATIENCE_MILLISECONDS }, now)
}
