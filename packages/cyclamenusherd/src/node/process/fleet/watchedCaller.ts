/** Calls to one instance on a stream that is replaced when it goes silent while another connection is answered. */

import { NEW_STREAM_WATCH, isStreamAnswering, mayCallOnStream, recordSecondStream, recordStreamCall, recordStreamEnd, recordStreamMessage, recordStreamOpen, recordStreamOpening, recordStreamSearch, watchStream } from '@cyclamenusher/decisions'
import { StreamCallError, createStreamCaller, startAnswerTimeout } from '@cyclamenusher/protocol'
import type { StreamAction, StreamWatch } from '@cyclamenusher/decisions'
import type { PeerLink, StreamCaller } from '@cyclamenusher/protocol'
import type { DescService } from '@bufbuild/protobuf'
import type { Clock } from '../clock.js'

/** Attempts to connect that the instances of a fleet start together within a second when their streams to one instance go silent: each costs it a fraction of a millisecond when it wakes. */
const FIRST_ATTEMPTS_PER_SECOND = 4_000
const MILLISECONDS_PER_SECOND = 1_000

export interface WatchedCaller<Request, Reply> extends StreamCaller<Request, Reply> {
  /** Looks whether the instance answers, and tries to reach it for a few seconds if it does not. */
  search: () => void
  /** Whether the stream is open and has not gone silent. */
  isAnswering: () => boolean
  /** Whether the instance is known to answer pings, so that a silent stream is noticed and replaced here. */
  isWatched: () => boolean
}

export interface WatchedCallerOptions {
  link: Pick<PeerLink<DescService>, 'openStream'>
  name: string
  clock: Clock
  /** Number of instances that call the same one. */
  callers: () => number
  /** Called when the instance answers on another stream than before, or again. */
  onAnswering: () => void
  onReplaced: () => void
}

export function createWatchedCaller<Request, Reply> ({ link, name, clock, callers, onAnswering, onReplaced }: WatchedCallerOptions): WatchedCaller<Request, Reply> {
  let watch: StreamWatch = NEW_STREAM_WATCH
  let current = createCaller()
  let second: StreamCaller<Request, Reply> | undefined
  let calls = 0
  let closed = false
  let cancelTimer = (): void => {}
  /** Calls that are not sent because the stream is silent. */
  const withheld = new Set<() => void>()

  function createCaller (): StreamCaller<Request, Reply> {
    const record = (change: (now: number) => StreamWatch, isChange = true): void => {
      if (closed) return
      if (isChange) watch = change(clock.now())
      decide()
    }
    const caller: StreamCaller<Request, Reply> = createStreamCaller(link, name, {
      opening: () => { if (caller === current) record(now => recordStreamOpening(watch, now)) },
      open: () => { record(now => caller === current ? recordStreamOpen(watch, calls, now) : recordSecondStream(watch, 'established', now), caller === current || caller === second) },
      ended: () => {
        const isSecond = caller === second
        if (isSecond) second = undefined
        if (isSecond || caller === current) record(now => isSecond ? recordSecondStream(watch, 'ended', now) : recordStreamEnd(watch, now))
      },
      alive: () => { hear(caller, 'alive') },
      replied: () => { hear(caller, 'reply') }
    })
    return caller
  }

  function hear (caller: StreamCaller<Request, Reply>, kind: 'alive' | 'reply'): void {
    if (closed || (caller !== current && caller !== second)) return
    const now = clock.now()
    const isNews = caller === current && (watch.silent || (kind === 'alive' && !watch.confirmed))
    watch = caller === current ? recordStreamMessage(watch, kind, calls, now) : recordSecondStream(watch, 'heard', now)
    decide()
    if (isNews) announce()
  }

  function announce (): void {
    for (const release of [...withheld]) release()
    onAnswering()
  }

  const ACTIONS: Record<StreamAction, () => void> = {
    ping: () => { current.ping() },
    open: () => { current.warm() },
    'open second': () => {
      second = createCaller()
      second.warm()
    },
    'close second': () => {
      const abandoned = second
      second = undefined
      abandoned?.close()
    },
    'adopt second': () => {
      const silentCaller = current
      if (second !== undefined) current = second
      second = undefined
      onReplaced()
      announce()
      silentCaller.close()
    }
  }

  function decide (): void {
    cancelTimer()
    const spread = Math.random() * callers() * MILLISECONDS_PER_SECOND / FIRST_ATTEMPTS_PER_SECOND
    const now = clock.now()
    const { watch: next, actions, dueAt } = watchStream(watch, spread, now)
    watch = next
    // A timer that is late fires before what the sockets hold is read.
    cancelTimer = dueAt === Infinity ? () => {} : startAnswerTimeout(dueAt - now, decide)
    for (const action of actions) ACTIONS[action]()
  }

  /** Waits until the stream is no longer silent, for the time of the call at most. */
  async function withhold (timeoutMilliseconds: number, signal: AbortSignal | undefined): Promise<never> {
    await new Promise<void>(resolve => {
      const release = (): void => {
        withheld.delete(release)
        cancelTimeout()
        signal?.removeEventListener('abort', release)
        resolve()
      }
      const cancelTimeout = startAnswerTimeout(timeoutMilliseconds, release)
      withheld.add(release)
      signal?.addEventListener('abort', release)
    })
    throw new StreamCallError('not sent', 'the stream is silent')
  }

  return {
    call: async (request, timeoutMilliseconds, signal) => {
      watch = recordStreamCall(watch, clock.now())
      if (!mayCallOnStream(watch)) {
        decide()
        return await withhold(timeoutMilliseconds, signal)
      }
      calls += 1
      decide()
      try {
        return await current.call(request, timeoutMilliseconds, signal)
      } finally {
        calls -= 1
      }
    },
    warm: () => { current.warm() },
    ping: () => { current.ping() },
    search: () => {
      if (closed) return
      watch = recordStreamSearch(watch, clock.now())
      decide()
    },
    isAnswering: () => isStreamAnswering(watch),
    isWatched: () => watch.answersPings,
    close: () => {
      closed = true
      cancelTimer()
      current.close()
      second?.close()
    }
  }
}
