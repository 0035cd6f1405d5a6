import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createLeaderDirectory } from '../leaderDirectory.js'
import { createAnnouncement } from './fleetHarness.js'

const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1_000

/** Announces a cold server whose end of the cold phase moves by `drift` with each announcement. Returns how far the published end was from the announced one at most, and the number of publications. */
function announceDrifting (drift: number, count: number): { error: number, publications: number } {
  const directory = createLeaderDirectory(() => {})
  let published = -Infinity
  let publications = 0
  let error = 0
  let known = 0
  for (let index = 0; index < count; index += 1) {
    const now = index * ANNOUNCEMENT_INTERVAL_MILLISECONDS
    const end = 60_000 + index * drift
    directory.announce(createAnnouncement('s', { sequence: index + 1, warmupMilliseconds: end - now }), now)
    for (const { warmupMilliseconds = 0 } of directory.changesSince(known, now).servers) {
      published = now + warmupMilliseconds
      publications += 1
    }
    known = directory.change()
    error = Math.max(error, Math.abs(published - end))
  }
  return { error, publications }
}

// Each announcement was compared with the one before, and none was far enough from it to be published.
test('the published end of a cold phase drifts away from the announced one', () => {
  for (const drift of [100, -100, 250]) assert.ok(announceDrifting(drift, 20).error <= 300, `drift ${drift}`)
})

test('an end that does not move is published again', () => {
  assert.is(announceDrifting(0, 20).publications, 1)
})

// An instance that learned late knew another end, from which later ones were not told apart.
test('an instance that learns late gets an end that was not published', () => {
  const directory = createLeaderDirectory(() => {})
  directory.announce(createAnnouncement('s', { sequence: 1, warmupMilliseconds: 10_000 }), 0)
  directory.announce(createAnnouncement('s', { sequence: 2, warmupMilliseconds: 9_200 }), 1_000)
  assert.is(directory.changesSince(0, 1_000).servers[0].warmupMilliseconds, 9_000)
  assert.is(directory.warmUntil.get('s'), 10_200)
})

test.run()
