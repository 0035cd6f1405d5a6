import { LEASE_MILLISECONDS, computeWarmupLimit } from '@cyclamenusher/decisions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeaderDirectory } from '../leaderDirectory.js'
import { createWarmupLedger } from '../warmupLedger.js'
import { createWarmupShares } from '../warmupShares.js'
import { createAnnouncement } from './fleetHarness.js'
import type { Declaration } from '@cyclamenusher/decisions'
import type { WarmupLedger } from '../warmupLedger.js'
import type { WarmupShares } from '../warmupShares.js'

const TOLERANCE = { overage: 1.5, requests: 5 }
const LOGGER = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const STEP_MILLISECONDS = 10

function createDeclaration (requestsPerSecond: number): Declaration {
  return { version: 1, routes: [], groups: [{ name: 'g', connectionsPerServer: 10, synchronousReplicas: 0, warmup: { milliseconds: 30_000, requestsPerSecond } }], accounts: [], idleTransactionMilliseconds: 1_000 }
}

/** A generator of numbers from 0 to 1 (mulberry32). */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

function startLeader (startedAt: number, requestsPerSecond: number, listHolders: () => string[]) {
  const directory = createLeaderDirectory(() => {})
  const shares = createWarmupShares({ startedAt, tolerance: TOLERANCE, declaration: () => createDeclaration(requestsPerSecond), directory, listHolders, logger: LOGGER })
  return { directory, shares }
}

interface ModelInstance {
  name: string
  ledger: WarmupLedger
  leaseStartedAt: number
  renewal?: { sentAt: number, arrivesAt: number, leader: WarmupShares, grant?: ReturnType<WarmupShares['grant']>, answersAt: number }
  frozenUntil: number
  cutUntil: number
}

/** Plays holders that send what they may to one cold server while leaders change, instances freeze or are cut off, and holders change. Returns when each statement was sent. */
function playFleet (seed: number, requestsPerSecond: number): number[] {
  const random = createRandom(seed)
  const sent: number[] = []
  const names = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6']
  let now = 0
  let holders = names.slice(0, 3)
  const start = (): ReturnType<typeof startLeader> => {
    const leader = startLeader(now, requestsPerSecond, () => holders)
    leader.directory.announce(createAnnouncement('s', { warmupMilliseconds: 1_000_000 }), now)
    return leader
  }
  let leader = start()
  const instances = names.map((name): ModelInstance => {
    const instance: ModelInstance = { name, leaseStartedAt: -Infinity, frozenUntil: 0, cutUntil: 0, ledger: createWarmupLedger({ clock: { now: () => now }, leasedUntil: () => instance.leaseStartedAt + LEASE_MILLISECONDS }) }
    instance.ledger.adoptServer({ ...createAnnouncement('s', { warmupMilliseconds: 1_000_000 }), gone: false })
    return instance
  })

  function renew (instance: ModelInstance): void {
    const { renewal } = instance
    if (renewal === undefined) {
      const arrivesAt = now + 5 + random() * 40
      instance.renewal = { sentAt: now, arrivesAt, leader: leader.shares, answersAt: arrivesAt + random() * 450 }
      return
    }
    if (renewal.grant === undefined && now >= renewal.arrivesAt && renewal.arrivesAt !== -Infinity) {
      renewal.leader.renew({ name: instance.name }, now)
      renewal.arrivesAt = -Infinity
    }
    if (renewal.grant === undefined && now >= renewal.answersAt) {
      // A leader that has been replaced grants nothing.
      if (renewal.leader !== leader.shares) {
        instance.renewal = undefined
        return
      }
      renewal.grant = renewal.leader.grant(instance.name)
      renewal.answersAt = now + 5 + random() * 40
      return
    }
    if (renewal.grant === undefined || now < renewal.answersAt) return
    // Some answers are lost, although the leader has counted them.
    if (random() < 0.9) {
      instance.ledger.adoptGrant(renewal.grant, renewal.sentAt)
      instance.leaseStartedAt = Math.max(instance.leaseStartedAt, renewal.sentAt)
    }
    instance.renewal = undefined
  }

  for (; now < 60_000; now += STEP_MILLISECONDS) {
    // Several faults at once: the set of holders changes while some instances keep what they have.
    if (random() < 0.002) {
      const affected = random() < 0.5 ? holders : names.filter(() => random() < 0.5)
      for (const instance of instances) {
        if (affected.includes(instance.name)) instance[random() < 0.7 ? 'cutUntil' : 'frozenUntil'] = now + random() * 3_000
      }
      holders = names.filter(name => holders.includes(name) ? random() < 0.2 : random() < 0.8)
      if (random() < 0.5) leader = start()
    }
    leader.shares.plan(now)
    for (const instance of instances) {
      if (now < instance.frozenUntil) continue
      if (now >= instance.cutUntil) renew(instance)
      // Pauses let the buckets fill.
      if ((now / 1_000 + seed) % 7 < 2) continue
      while (instance.ledger.take('s')) sent.push(now)
    }
  }
  return sent
}

for (const requestsPerSecond of [2, 10, 60]) {
  test(`all instances together send a cold server more than the rule of ${requestsPerSecond} a second`, () => {
    const limit = computeWarmupLimit(requestsPerSecond, TOLERANCE)
    for (let seed = 1; seed <= 8; seed += 1) {
      const sent = playFleet(seed, requestsPerSecond)
      let first = 0
      for (let last = 0; last < sent.length; last += 1) {
        while (sent[first] <= sent[last] - 1_000) first += 1
        assert.ok(last - first + 1 <= limit, `seed ${seed}: ${last - first + 1} of ${limit} until ${sent[last]}`)
      }
      assert.ok(sent.length > requestsPerSecond * 5, `seed ${seed}: only ${sent.length} were sent`)
    }
  })
}

test('an instance without a valid share sends to a cold server', () => {
  let now = 0
  let leasedUntil = 1_500
  const ledger = createWarmupLedger({ clock: { now: () => now }, leasedUntil: () => leasedUntil })
  ledger.adoptServer({ ...createAnnouncement('s', { warmupMilliseconds: 60_000 }), gone: false })
  assert.ok(ledger.isCold('s'))
  now = 1_000
  assert.not.ok(ledger.take('s'))
  ledger.adoptGrant({ warmups: { s: { rate: 10, burst: 2 } } }, 0)
  now = 1_200
  assert.ok(ledger.take('s'))
  now = 1_600
  assert.not.ok(ledger.take('s'), 'the lease is over')
  leasedUntil = -Infinity
  assert.is(ledger.timeUntil('s', 1), Infinity)
  leasedUntil = 5_000
  ledger.adoptGrant({}, 1_600)
  assert.not.ok(ledger.take('s'), 'a grant without the share ends it')
})

test('a share that is raised is paid for the time before', () => {
  let now = 0
  const ledger = createWarmupLedger({ clock: { now: () => now }, leasedUntil: () => Infinity })
  ledger.adoptGrant({ warmups: { s: { rate: 1, burst: 5 } } }, 0)
  now = 1_000
  ledger.adoptGrant({ warmups: { s: { rate: 100, burst: 5 } } }, 0)
  assert.is(ledger.tokens('s'), 1)
})

test('a lost connection is forgotten before a newer announcement', () => {
  let now = 10_000
  const { directory, shares } = startLeader(0, 10, () => ['e1'])
  const ledger = createWarmupLedger({ clock: { now: () => now }, leasedUntil: () => Infinity })
  directory.announce(createAnnouncement('s'), now)
  ledger.doubt('s')
  const exchange = (): void => {
    const sentAt = now
    shares.renew({ name: 'e1', ...ledger.report() }, now)
    shares.plan(now)
    ledger.adoptGrant({ ...shares.grant('e1'), ...shares.share(now) }, sentAt)
  }
  exchange()
  assert.ok(ledger.isCold('s') && shares.listCold('g', now).has('s'))
  now += 500
  assert.ok(ledger.take('s'), 'the leader gives it a share')
  directory.announce(createAnnouncement('s', { sequence: 2 }), now)
  now += 100
  exchange()
  assert.not.ok(ledger.isCold('s') || shares.listCold('g', now).has('s'))
})

test('the servers of a domain that is used again count as warm at once', () => {
  const { directory, shares } = startLeader(0, 10, () => ['e1'])
  directory.announce(createAnnouncement('s1'), 100)
  directory.announce(createAnnouncement('s2', { failureDomain: 'b' }), 100)
  shares.doubtFailureDomain('a', 5_000)
  assert.equal([...shares.listCold('g', 5_000)], ['s1'])
  shares.renew({ name: 'e1' }, 5_000)
  assert.equal(Object.keys(shares.share(5_000).doubted ?? {}), ['s1'])
  directory.announce(createAnnouncement('s1', { sequence: 2 }), 6_000)
  shares.plan(6_000)
  assert.is(shares.listCold('g', 6_000).size, 0)
})

test('an announcement does not change the end of the cold phase, or each one is published', () => {
  const { directory } = startLeader(0, 10, () => [])
  const announce = (sequence: number, warmupMilliseconds: number, now: number): string => directory.announce(createAnnouncement('s', { sequence, warmupMilliseconds }), now)
  assert.equal([announce(1, 5_000, 0), announce(2, 4_000, 1_010), announce(3, 0, 2_000), announce(4, 0, 3_000)], ['changed', 'unchanged', 'changed', 'unchanged'])
  announce(5, 9_000, 4_000)
  assert.is(directory.changesSince(0, 6_000).servers[0].warmupMilliseconds, 7_000)
})

test.run()
