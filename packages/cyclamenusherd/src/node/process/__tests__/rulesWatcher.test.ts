import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { ControlService, listenForCalls } from '@cyclamenusher/protocol'
import { createLink } from '@cyclamenusher/stand-ins'
import { createRulesStore } from '../../version/rulesStore.js'
import { createRulesWatcher } from '../rulesWatcher.js'
import type { CallServer, WatchRequest } from '@cyclamenusher/protocol'
import type { Link } from '@cyclamenusher/stand-ins'
import type { RulesStore } from '../../version/rulesStore.js'
import type { Config } from '../config.js'

const HOST = '127.0.0.1'
const CREDENTIALS = { secret: 'a secret of the tests' }
const LEASE_MILLISECONDS = 3_000
const RELAY_ABOVE = 16
const SILENT_LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
/** Only bounds a test that would hang otherwise. */
const WAIT_TIMEOUT_MILLISECONDS = 10_000

function line (rate: number): string {
  return `accounts."clinic" = { rate = ${rate}, burst = 1, weight = 1 } # asked for by Ana`
}

function answerWith (number: number, changes: Record<string, unknown> = {}): Record<string, unknown> {
  return { number: BigInt(number), baseNumber: 0n, removed: [], added: [line(number)], fresh: true, ageMilliseconds: 0, instances: [], instancesRevision: 0n, ...changes }
}

type Answer = (request: WatchRequest) => Promise<Record<string, unknown>> | Record<string, unknown>

interface Fixture {
  store: RulesStore
  link: Link
  /** Sets how control answers from now on. */
  answer: (next: Answer) => void
  advance: (milliseconds: number) => void
  now: () => number
  /** Number of requests that control has received. */
  requests: () => number
}

/** Waits until `condition` holds. */
async function until (condition: () => boolean): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MILLISECONDS
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('the condition did not come about')
    await new Promise(resolve => setTimeout(resolve, 2))
  }
}

/** Serves watches, of which `answer` makes the answers. */
async function serveWatches (answer: Answer): Promise<CallServer> {
  return await listenForCalls(HOST, 0, CREDENTIALS, router => {
    router.service(ControlService, {
      watch: async request => {
        const reply = await answer(request)
        // Answers at once would keep the watcher and control busy.
        await new Promise(resolve => setTimeout(resolve, 5))
        return reply
      }
    })
  })
}

/** Runs a watcher that reaches control through a link; its clock is the test's. */
async function useWatcher (body: (fixture: Fixture) => Promise<void>): Promise<void> {
  let now = 50_000
  let requests = 0
  let answer: Answer = () => answerWith(1)
  const clock = { now: () => now }
  const calls = await serveWatches(async request => {
    requests += 1
    return await answer(request)
  })
  const link = await createLink({ listen: { host: HOST, port: 0 }, target: { host: HOST, port: calls.port } })
  const store = createRulesStore(clock, LEASE_MILLISECONDS, clock.now)
  const config = {
    instance: { name: 'entry-1', failureDomain: 'a' },
    calls: { advertise: { host: HOST, port: 1 } },
    control: { addresses: [{ host: HOST, port: link.port }], relayAbove: RELAY_ABOVE }
  } as unknown as Config
  const watcher = createRulesWatcher({ config, callsPort: 1, store, credentials: CREDENTIALS, clock, logger: SILENT_LOGGER, behind: () => [] })
  try {
    await body({ store, link, answer: next => { answer = next }, advance: milliseconds => { now += milliseconds }, now: () => now, requests: () => requests })
  } finally {
    watcher.close()
    await link.close()
    await calls.close()
  }
}

test('an answer that control held renews the lease from when the request left', async () => {
  await useWatcher(async ({ store, answer, advance, now }) => {
    let sentAt = 0
    answer(() => {
      sentAt = now()
      advance(2_000)
      answer(async () => await new Promise(() => {}))
      return answerWith(1)
    })
    await until(() => store.number() === 1)
    assert.is(store.lastFreshAt(), sentAt)
  })
})

test('an answer without proof brings a version and renews no lease', async () => {
  await useWatcher(async ({ store, answer }) => {
    answer(() => answerWith(2, { fresh: false }))
    await until(() => store.number() === 2)
    assert.is(store.isFresh(), false)
  })
})

test('an answer with an older version renews no lease', async () => {
  await useWatcher(async ({ store, answer, advance, requests }) => {
    answer(() => answerWith(5))
    await until(() => store.number() === 5)
    answer(() => answerWith(4))
    advance(LEASE_MILLISECONDS)
    const before = requests()
    await until(() => requests() > before + 2)
    assert.equal([store.number(), store.isFresh()], [5, false])
  })
})

test('an answer with a change of another version renews no lease', async () => {
  await useWatcher(async ({ store, answer, advance, requests }) => {
    await until(() => store.isFresh())
    answer(() => answerWith(7, { baseNumber: 6n }))
    advance(LEASE_MILLISECONDS)
    const before = requests()
    await until(() => requests() > before + 2)
    assert.equal([store.number(), store.isFresh()], [1, false])
    answer(({ knownNumber }) => answerWith(7, { baseNumber: knownNumber }))
    await until(() => store.isFresh())
    assert.is(store.number(), 7)
  })
})

test('an answer with a line that can\'t be read renews no lease', async () => {
  await useWatcher(async ({ store, answer, advance, requests }) => {
    await until(() => store.isFresh())
    answer(() => answerWith(2, { added: ['accounts."clinic" = { rate = '] }))
    advance(LEASE_MILLISECONDS)
    const before = requests()
    await until(() => requests() > before + 2)
    assert.equal([store.number(), store.isFresh()], [1, false])
  })
})

test('an answer that was given up renews no lease', async () => {
  await useWatcher(async ({ store, answer, advance, requests }) => {
    await until(() => store.isFresh())
    let release = (): void => {}
    answer(async () => {
      answer(async () => await new Promise(() => {}))
      await new Promise<void>(resolve => { release = resolve })
      return answerWith(1)
    })
    const before = requests()
    await until(() => requests() === before + 2)
    release()
    advance(LEASE_MILLISECONDS)
    await until(() => requests() === before + 3)
    assert.is(store.isFresh(), false)
  })
})

test('the lease returns over a new connection when the one before stays silent', async () => {
  await useWatcher(async ({ store, link, advance }) => {
    await until(() => store.isFresh())
    link.loseOpenConnections()
    advance(LEASE_MILLISECONDS)
    await until(() => store.isFresh())
  })
})

test('the lease returns when only the answers were held', async () => {
  await useWatcher(async ({ store, link, advance, requests }) => {
    await until(() => store.isFresh())
    link.setState('held', ['back'])
    advance(LEASE_MILLISECONDS)
    const before = requests()
    await until(() => requests() > before + 1)
    assert.is(store.isFresh(), false)
    link.setState('passing')
    await until(() => store.isFresh())
  })
})

/** Runs a watcher that asks a relay, which it reaches through a link. `answer` makes the relay's answers. */
async function useRelayedWatcher (answer: Answer, body: (fixture: Fixture, relayLink: Link) => Promise<void>): Promise<void> {
  const relayCalls = await serveWatches(answer)
  const relayLink = await createLink({ listen: { host: HOST, port: 0 }, target: { host: HOST, port: relayCalls.port } })
  const instances = ['entry-1', ...Array.from({ length: RELAY_ABOVE }, (_value, index) => `other-${index}`)]
    .map(name => ({ name, failureDomain: 'a', role: 'entry', host: HOST, port: relayLink.port }))
  try {
    await useWatcher(async fixture => {
      fixture.answer(() => answerWith(1, { instances, instancesRevision: 1n }))
      await body(fixture, relayLink)
    })
  } finally {
    await relayLink.close()
    await relayCalls.close()
  }
}

test('a relay that went silent is left for control', async () => {
  let relayed = 0
  const answerOfRelay: Answer = () => {
    relayed += 1
    return answerWith(1)
  }
  await useRelayedWatcher(answerOfRelay, async ({ store, advance }, relayLink) => {
    await until(() => relayed > 0)
    relayLink.setState('lost')
    advance(LEASE_MILLISECONDS)
    await until(() => store.isFresh())
  })
})

test('a relay with an old proof renews the lease by as much less, and one without proof not at all', async () => {
  let ageMilliseconds = 900
  let fresh = true
  let relayed = 0
  const answerOfRelay: Answer = () => {
    relayed += 1
    return answerWith(1, { fresh, ageMilliseconds })
  }
  await useRelayedWatcher(answerOfRelay, async ({ store, answer, advance, now }) => {
    await until(() => relayed > 1)
    advance(LEASE_MILLISECONDS)
    await until(() => store.isFresh())
    assert.is(store.lastFreshAt(), now() - ageMilliseconds)
    // A relay that was frozen and wakes, while control can't be reached.
    answer(() => answerWith(1, { fresh: false }))
    fresh = false
    ageMilliseconds = 10_000
    advance(LEASE_MILLISECONDS)
    const before = relayed
    await until(() => relayed > before)
    assert.is(store.isFresh(), false)
  })
})

test.run()
