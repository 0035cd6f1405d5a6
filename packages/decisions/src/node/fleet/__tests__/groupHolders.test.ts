import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UNKNOWN_HOLDER, assessHolder, chooseHolders, measureDelay, orderHolders, recordHolderAnswer, recordHolderAttempt, recordHolderLost, recordHolderOpened, recordHolderRefusal, recordHolderRoundTrip, selectHolder, watchHolder } from '../groupHolders.js'
import type { HolderCandidate, HolderHealth, HolderOption } from '../groupHolders.js'

function createCandidates (count: number, domains = 5): HolderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ name: `entry-${index}`, failureDomain: `domain-${index % domains}` }))
}

function isHolderUsable (health: HolderHealth, now: number): boolean {
  return assessHolder(health, now) === 'ready'
}

/** A holder that answers within a few milliseconds, on a stream that was opened long ago. */
const NEAR_HOLDER = recordHolderRoundTrip(UNKNOWN_HOLDER, 3)

const SERVER_DOMAINS = ['domain-0', 'domain-1', 'domain-2']

for (const instances of [9, 71, 195, 1_000]) {
  // A server takes 135 connections; with one each for every instance, no account's connection is ever found open.
  test(`the connections of a server are spread over all of ${instances} instances`, () => {
    assert.is(chooseHolders('g', SERVER_DOMAINS, createCandidates(instances)).length, 6)
  })

  test(`holders are in the failure domains of the servers at ${instances} instances`, () => {
    const domains = chooseHolders('g', SERVER_DOMAINS, createCandidates(instances, 4)).map(({ failureDomain }) => failureDomain)
    for (const domain of SERVER_DOMAINS) assert.ok(domains.includes(domain))
    if (instances >= 71) assert.ok(domains.every(domain => SERVER_DOMAINS.includes(domain)))
  })

  // If one instance held the connections of many groups, it would be the next bottleneck.
  test(`a few of ${instances} instances hold the connections of many groups`, () => {
    const candidates = createCandidates(instances)
    const held = new Map<string, number>()
    for (let group = 0; group < instances; group += 1) {
      const domains = [0, 1, 2].map(index => `domain-${(group + index) % 5}`)
      for (const { name } of chooseHolders(`group-${group}`, domains, candidates)) held.set(name, (held.get(name) ?? 0) + 1)
    }
    assert.ok(Math.max(...held.values()) <= 6 * 4, `${Math.max(...held.values())}`)
  })
}

test('few instances are all holders', () => {
  assert.is(chooseHolders('g', SERVER_DOMAINS, createCandidates(3)).length, 3)
  assert.is(chooseHolders('g', [], createCandidates(30)).length, 2)
})

// If every account moved when one instance left, all connections would be opened anew.
test('accounts move between holders when another instance leaves', () => {
  const candidates = createCandidates(195)
  const before = chooseHolders('g', SERVER_DOMAINS, candidates)
  const left = before[0]
  const after = chooseHolders('g', SERVER_DOMAINS, candidates.filter(candidate => candidate !== left))
  assert.is(before.filter(holder => after.includes(holder)).length, 5)
  for (let account = 0; account < 100; account += 1) {
    const [first, second] = orderHolders(`account-${account}`, before)
    const [now] = orderHolders(`account-${account}`, after)
    if (first !== left) assert.ok(now === first || !before.includes(now))
    else assert.ok(now === second || !before.includes(now))
  }
})

test('accounts are spread over the holders', () => {
  const holders = chooseHolders('g', SERVER_DOMAINS, createCandidates(195))
  const counts = new Map<string, number>()
  for (let account = 0; account < 600; account += 1) {
    const [{ name }] = orderHolders(`account-${account}`, holders)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  assert.ok([...counts.values()].every(count => count > 60 && count < 140), [...counts.values()].join())
})

test('a holder that answers is not probed', () => {
  const health = recordHolderAnswer(UNKNOWN_HOLDER, 1_000)
  assert.not.ok(watchHolder(health, 990, 1_050).probe)
  assert.not.ok(watchHolder(health, undefined, 9_000).probe)
})

test('a holder with old work is probed, and is silent without an answer', () => {
  const probed = watchHolder(recordHolderAnswer(NEAR_HOLDER, 1_000), 1_010, 1_071)
  assert.ok(probed.probe)
  assert.ok(isHolderUsable(watchHolder(probed.health, 1_010, 1_160).health, 1_160))
  const silent = watchHolder(probed.health, 1_010, 1_161).health
  assert.not.ok(isHolderUsable(silent, 1_161))
  assert.ok(isHolderUsable(recordHolderAnswer(silent, 1_300), 1_300))
})

// An instance that was busy itself took all its holders for silent, and sent its reads to others as well.
test('a holder counts as silent for the time in which its watcher stood still', () => {
  const probed = watchHolder(recordHolderAnswer(NEAR_HOLDER, 1_000), 1_010, 1_071)
  const stalled = watchHolder(probed.health, 1_010, 1_300, 204)
  assert.ok(isHolderUsable(stalled.health, 1_300))
  assert.ok(isHolderUsable(watchHolder(stalled.health, 1_010, 1_350, 0).health, 1_350))
  assert.not.ok(isHolderUsable(watchHolder(stalled.health, 1_010, 1_365, 0).health, 1_365))
})

/** False alarms while the holder answers each probe after the delay that holds then. */
function countAlarms (delayAt: (now: number) => number, until: number): number {
  let health = recordHolderOpened(recordHolderAttempt(UNKNOWN_HOLDER, 0, () => 0), 0)
  let alarms = 0
  let answerAt = delayAt(0)
  for (let now = 25; now < until; now += 25) {
    if (answerAt <= now) {
      health = recordHolderRoundTrip(recordHolderAnswer(health, now), answerAt - health.probedAt)
      answerAt = Infinity
    }
    const wasSilent = health.silent
    const watched = watchHolder(health, Math.max(0, now - 200), now)
    health = watched.health
    if (watched.probe && answerAt === Infinity) answerAt = now + delayAt(now)
    if (health.silent && !wasSilent) alarms += 1
  }
  return alarms
}

// After a loss of power, the first answers come within milliseconds, and the next ones a few tenths of a second later. With 90 ms for all, each instance took others for silent hundreds of times within a second.
test('an instance that has just started and is slow counts as silent', () => {
  assert.is(countAlarms(now => now < 100 ? 5 : now < 1_500 ? 120 + (now * 7) % 160 : 4, 6_000), 0)
})

test('an instance that is slow for long counts as silent again and again', () => {
  assert.ok(countAlarms(now => now < 4_000 ? 4 : 100 + (now * 7) % 200, 14_000) <= 2)
})

test('an instance that stops answering after it was slow is found late', () => {
  assert.is(countAlarms(now => now < 1_500 ? 200 : now < 5_000 ? 4 : Infinity, 5_400), 1)
})

// A holder without outstanding work was never asked again.
test('a silent holder is forgotten after its work is over', () => {
  const probed = watchHolder(recordHolderAnswer(NEAR_HOLDER, 0), 0, 60).health
  const silent = watchHolder(probed, 0, 150).health
  assert.ok(silent.silent)
  assert.not.ok(watchHolder(silent, undefined, 309).probe)
  assert.ok(watchHolder(silent, undefined, 310).probe)
})

test('a holder that refused is used again after a pause', () => {
  const refused = recordHolderRefusal(recordHolderAnswer(UNKNOWN_HOLDER, 900), 1_000)
  assert.not.ok(isHolderUsable(refused, 1_299))
  assert.ok(isHolderUsable(refused, 1_300))
})

// Each operation tried to reach the holder again after 300 ms, and waited for that.
test('a holder whose stream was lost is used again without an answer', () => {
  const lost = recordHolderLost(recordHolderAnswer(UNKNOWN_HOLDER, 1_000))
  assert.is(assessHolder(lost, 60_000), 'unreachable')
  const opened = recordHolderOpened(recordHolderAttempt(lost, 60_000, () => 0), 60_003)
  assert.is(assessHolder(opened, 60_004), 'unreachable')
  assert.is(assessHolder(recordHolderAnswer(opened, 60_006), 60_006), 'ready')
})

test('a holder that was never tried waits for an answer before it is used', () => {
  assert.is(assessHolder(UNKNOWN_HOLDER, 0), 'untried')
  assert.is(assessHolder(recordHolderOpened(recordHolderAttempt(UNKNOWN_HOLDER, 0, () => 0), 3), 3), 'ready')
})

test('attempts follow one another without growing intervals, or in longer ones than a second', () => {
  let health = recordHolderLost(recordHolderAnswer(UNKNOWN_HOLDER, 0))
  const intervals = Array.from({ length: 6 }, () => {
    health = recordHolderAttempt(health, 0, () => 0)
    return health.attemptFrom
  })
  assert.equal(intervals, [300, 450, 675, 1_000, 1_000, 1_000])
  assert.is(recordHolderAttempt(health, 0, () => 1).attemptFrom, 800)
  assert.is(recordHolderAttempt(recordHolderLost(recordHolderAnswer(health, 9_000)), 9_000, () => 0).attemptFrom, 9_300)
})

// Half of the holders are beyond a cut for 7 s, and each operation waited for each of them.
test('an operation waits for a holder that is not reached while another one or this instance can run it', () => {
  const lost: HolderOption<string> = { holder: 'lost', readiness: 'unreachable' }
  const silent: HolderOption<string> = { holder: 'silent', readiness: 'unusable' }
  const ready: HolderOption<string> = { holder: 'ready', readiness: 'ready' }
  const here: HolderOption<string> = { holder: 'here', readiness: 'here' }
  assert.equal(selectHolder([lost, silent, ready], 'not'), { kind: 'send', holder: 'ready' })
  assert.equal(selectHolder([lost, here, ready], 'now'), { kind: 'run here' })
  assert.equal(selectHolder([lost, here, ready], 'not'), { kind: 'send', holder: 'ready' })
  assert.equal(selectHolder([lost, silent], 'now'), { kind: 'run here' })
  assert.equal(selectHolder([silent, lost], 'not'), { kind: 'await attempt', holder: 'lost' })
  assert.equal(selectHolder([silent], 'not'), { kind: 'run here' })
  assert.equal(selectHolder([here, lost, ready], 'soon'), { kind: 'send', holder: 'ready' })
  assert.equal(selectHolder([here, lost], 'soon'), { kind: 'run here' })
})

test('a message that was held up is late by what the fastest one took less', () => {
  const first = measureDelay(undefined, { sentAt: 100, epoch: 0 }, 5_002)
  assert.is(first.delayMilliseconds, 0)
  assert.is(measureDelay(first.offset, { sentAt: 200, epoch: 0 }, 8_102).delayMilliseconds, 3_000)
  assert.is(measureDelay(first.offset, { sentAt: 300, epoch: 0 }, 5_201).delayMilliseconds, 0)
})

// The sender's clock stands still while it is suspended, and all later messages looked late.
test('messages are late for good after their sender was suspended', () => {
  const first = measureDelay(undefined, { sentAt: 100, epoch: 0 }, 5_002)
  assert.is(measureDelay(first.offset, { sentAt: 200, epoch: 150 }, 9_000).delayMilliseconds, 0)
})

test.run()
