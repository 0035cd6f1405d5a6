import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NEW_STREAM_WATCH, isStreamAnswering, mayCallOnStream, recordSecondStream, recordStreamCall, recordStreamEnd, recordStreamMessage, recordStreamOpen, recordStreamOpening, recordStreamSearch, watchStream } from '../streamWatch.js'
import type { StreamAction, StreamWatch } from '../streamWatch.js'

/** How long an instance waits for an answer before it asks again, in milliseconds. */
const RENEWAL_TIMEOUT_MILLISECONDS = 700
const RETRY_MILLISECONDS = 340

interface OtherEnd {
  /** When an attempt that begins at `now` is established; Infinity if never. */
  establishes: (now: number) => number
  /** When the other end answers what reaches it at `now` on a connection; Infinity if never. */
  answers: (now: number, connection: number) => number
  answersPings?: boolean
}

/** Mulberry32, so that a seed gives the same draws everywhere. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Plays one instance in virtual time: it renews at the other end all the time. Connection 0 is open from the start. */
function play ({ establishes, answers, answersPings = true }: OtherEnd, until: number, { start = 0, spread = 0 } = {}) {
  const queue: Array<{ at: number, run: () => void }> = []
  const attempts: number[] = []
  const answered: Array<{ at: number, connection: number }> = []
  const pings: number[] = []
  let now = start
  let watch: StreamWatch = recordStreamMessage(recordStreamOpen(NEW_STREAM_WATCH, 0, now), answersPings ? 'alive' : 'reply', 0, now)
  let current = 0
  let connections = 0
  let second = -1
  let dueAt = Infinity
  let open = 1
  let mostOpen = 1
  let renewals = 0

  const after = (at: number, run: () => void): void => { if (at < Infinity) queue.push({ at, run }) }
  const establish = (isWanted: () => boolean, established: () => void, ended: () => void): void => {
    attempts.push(now)
    open += 1
    mostOpen = Math.max(mostOpen, open)
    const at = establishes(now)
    after(Math.min(at, now + 2_000), () => {
      if (!isWanted()) return
      if (now < at) {
        open -= 1
        return ended()
      }
      established()
    })
  }
  const ping = (connection: number): void => {
    pings.push(now)
    if (answersPings) after(answers(now, connection), () => { hear(connection, 'alive') })
  }
  const hear = (connection: number, kind: 'alive' | 'reply'): void => {
    if (connection === current) watch = recordStreamMessage(watch, kind, kind === 'alive' ? 1 : 0, now)
    else if (connection === second) watch = recordSecondStream(watch, 'heard', now)
    else return
    if (kind === 'reply') answered.push({ at: now, connection })
    decide()
  }
  const ACTIONS: Record<StreamAction, () => void> = {
    ping: () => { ping(current) },
    open: () => {
      connections += 1
      const connection = connections
      current = connection
      watch = recordStreamOpening(watch, now)
      establish(() => current === connection, () => {
        watch = recordStreamOpen(watch, 1, now)
        ping(connection)
        decide()
      }, () => {
        watch = recordStreamEnd(watch, now)
        decide()
      })
    },
    'open second': () => {
      connections += 1
      const connection = connections
      second = connection
      establish(() => second === connection, () => {
        watch = recordSecondStream(watch, 'established', now)
        ping(connection)
        decide()
      }, () => {
        watch = recordSecondStream(watch, 'ended', now)
        second = -1
        decide()
      })
    },
    'close second': () => {
      open -= 1
      second = -1
    },
    'adopt second': () => {
      open -= 1
      current = second
      second = -1
    }
  }
  const decide = (): void => {
    const decision = watchStream(watch, spread, now)
    watch = decision.watch
    dueAt = decision.dueAt
    for (const action of decision.actions) ACTIONS[action]()
  }
  const renew = (): void => {
    renewals += 1
    const renewal = renewals
    watch = recordStreamCall(watch, now)
    if (watch.state === 'open' && mayCallOnStream(watch)) {
      const connection = current
      after(answers(now, connection), () => {
        hear(connection, 'reply')
        if (renewal === renewals) renew()
      })
    }
    decide()
    after(now + (isStreamAnswering(watch) ? RENEWAL_TIMEOUT_MILLISECONDS : RETRY_MILLISECONDS), () => {
      if (renewal !== renewals) return
      watch = recordStreamSearch(watch, now)
      decide()
      renew()
    })
  }
  after(now, renew)
  while (true) {
    queue.sort((first, next) => first.at - next.at)
    const at = Math.min(queue[0]?.at ?? Infinity, dueAt)
    if (at > until) break
    now = Math.max(now, at)
    if (dueAt <= at) {
      dueAt = Infinity
      decide()
      continue
    }
    queue.shift()?.run()
  }
  return { attempts, answered, pings, mostOpen, watch, isAnswering: isStreamAnswering(watch) }
}

/** A kernel sends a SYN again after 1 s, and the attempt is given up after 2 s. */
function synThrough (returnsAt: number): (now: number) => number {
  return now => [now, now + 1_000].find(at => at >= returnsAt) ?? Infinity
}

const ROUND_TRIP_MILLISECONDS = 50

for (const cut of [2_500, 6_000, 10_000, 16_000, 32_000]) {
  for (const kind of ['silent for good', 'retransmitted']) {
    // After a cut the stream stayed silent, or the next SYN was a kernel's third, for seconds.
    test(`after a cut of ${cut} ms an instance is not answered for over 2 s, connections ${kind}`, () => {
      const random = createRandom(36)
      for (let run = 0; run < 100; run += 1) {
        const returnsAt = cut + random() * 2_000
        const { answered } = play({
          establishes: synThrough(returnsAt),
          answers: (now, connection) => {
            if (connection > 0 || now < 0) return now + ROUND_TRIP_MILLISECONDS
            if (kind === 'silent for good') return Infinity
            // What was sent first in the cut is sent again at doubling intervals.
            let at = 0
            for (let timeout = 200; at < returnsAt; timeout *= 2) at += timeout
            return Math.max(now, at) + ROUND_TRIP_MILLISECONDS
          }
        }, returnsAt + 4_000)
        const first = answered.find(({ at }) => at >= returnsAt)
        assert.ok(first !== undefined && first.at <= returnsAt + 2_000, `run ${run}: ${first?.at} after ${returnsAt}`)
      }
    })
  }
}

test('a silent stream ends the lease of an instance whose new connections are answered', () => {
  // The renewal before it was sent 400 ms earlier.
  const { answered } = play({ establishes: now => now + ROUND_TRIP_MILLISECONDS, answers: (now, connection) => connection === 0 ? Infinity : now + ROUND_TRIP_MILLISECONDS }, 3_000, { spread: 18 })
  assert.ok(answered[0].at <= 2_000, `answered at ${answered[0].at}`)
})

/** Connections that an instance opened in 10 s to a leader that did not answer, when it replaced its connection after three timeouts in a row. */
const FORMER_CONNECTIONS = 3

for (const instances of [9, 71, 200]) {
  // Instances whose renewals were late opened new connections to the overloaded leader.
  for (const lag of [250, 550, 900, 2_000]) {
    test(`a leader that answers ${lag} ms late is connected to again by ${instances} instances`, () => {
      const random = createRandom(instances)
      let attemptsInAll = 0
      for (let instance = 0; instance < instances; instance += 1) {
        const { attempts, mostOpen } = play({ establishes: now => now, answers: now => now + lag * (0.9 + 0.1 * random()) }, 10_000, { start: random() * 400 })
        attemptsInAll += attempts.length
        assert.ok(mostOpen <= 2)
      }
      assert.ok(attemptsInAll <= (lag < 600 ? 0 : FORMER_CONNECTIONS * instances), `${attemptsInAll} connections`)
    })
  }

  test(`a frozen leader gets several connections of each of ${instances} instances at a time, or more than before`, () => {
    const random = createRandom(instances)
    for (let instance = 0; instance < instances; instance += 1) {
      const { attempts, mostOpen } = play({ establishes: now => now, answers: () => Infinity }, 10_000, { start: random() * 400, spread: random() * instances * 0.25 })
      assert.ok(attempts.length <= FORMER_CONNECTIONS, `${attempts.length} connections`)
      assert.is(mostOpen, 2)
    }
  })
}

test('an instance at rest is pinged', () => {
  const { pings, attempts } = play({ establishes: now => now, answers: now => now + 400 + ROUND_TRIP_MILLISECONDS }, 20_000)
  assert.equal([pings, attempts], [[], []])
})

test('an instance of the build before is taken for silent', () => {
  const { attempts, pings, watch } = play({ establishes: now => now, answers: () => Infinity, answersPings: false }, 10_000)
  assert.equal([attempts, pings, watch.silent], [[], [], false])
})

test('a second stream stays open when the first one answers again', () => {
  const { mostOpen, isAnswering, watch, answered } = play({ establishes: now => now, answers: (now, connection) => connection === 0 && now < 5_000 ? 6_000 : connection === 0 ? now + ROUND_TRIP_MILLISECONDS : Infinity }, 8_000)
  assert.equal([mostOpen, isAnswering, watch.second], [2, true, undefined])
  assert.ok(answered.every(({ connection }) => connection === 0))
})

test('nothing is tried for an instance that nobody calls', () => {
  let watch = recordStreamMessage(recordStreamOpen(NEW_STREAM_WATCH, 0, 0), 'alive', 0, 0)
  assert.is(watchStream(watch, 0, 10_000).dueAt, Infinity)
  watch = recordStreamEnd(watch, 0)
  assert.equal(watchStream(watch, 0, 10_000), { watch, actions: [], dueAt: Infinity })
})

// When all processes of control started again, each got a connection from every instance at once.
test('an attempt that was refused is repeated without a call', () => {
  const opening = recordStreamOpening(recordStreamCall(NEW_STREAM_WATCH, 0), 0)
  assert.equal(watchStream(recordStreamSearch(recordStreamEnd(opening, 1), 1), 0, 300).actions, [])
  assert.equal(watchStream(recordStreamEnd(opening, 2_000), 0, 2_000).actions, ['open'])
})

test.run()
