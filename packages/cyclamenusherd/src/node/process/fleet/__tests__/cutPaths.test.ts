import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCutPaths } from './cutPaths.js'
import { waitUntil } from './fleetHarness.js'
import type { NewConnections, OpenConnections } from './cutPaths.js'

/** Time after the return of a path within which a lease must be held again, in milliseconds. */
const RETURN_MILLISECONDS = 2_000
const CUT_MILLISECONDS = 6_000

async function pauseFor (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

// Three renewals at one address had to time out, while all addresses were asked in turn.
test('an instance whose open connections went silent is without a lease for seconds', async () => {
  const { link, cut, stop } = await createCutPaths()
  const since = cut(0, 3, 'lost', 'unanswered')
  await pauseFor(RETURN_MILLISECONDS)
  const lost: number[] = []
  while (performance.now() < since + CUT_MILLISECONDS) {
    if (!link.isLeased()) lost.push(Math.round(performance.now() - since))
    await pauseFor(20)
  }
  await stop()
  assert.equal(lost, [])
})

for (const [openConnections, newConnections] of [['lost', 'unanswered'], ['retransmitted', 'unanswered'], ['refused', 'unanswered'], ['refused', 'refused']] as Array<[OpenConnections, NewConnections]>) {
  for (const returning of [1, 3]) {
    test(`an instance has no lease 2 s after ${returning} of 3 paths came back, open connections ${openConnections}`, async () => {
      const { link, cut, declare, stop } = await createCutPaths()
      const back = cut(CUT_MILLISECONDS, returning, openConnections, newConnections)
      declare(2)
      await pauseFor(back - performance.now())
      await waitUntil('a lease with the newest declaration', () => link.isLeased() && link.declaration()?.version === 2)
      const took = performance.now() - back
      await stop()
      assert.ok(took <= RETURN_MILLISECONDS, `${Math.round(took)} ms`)
    })
  }
}

// Each renewal that had been given up counted as one when the path came back.
test('renewals that were given up in a cut arrive when the path is back', async () => {
  const { arrivals, renewals, cut, stop } = await createCutPaths()
  const back = cut(CUT_MILLISECONDS, 3, 'retransmitted', 'unanswered')
  await pauseFor(CUT_MILLISECONDS + RETURN_MILLISECONDS)
  const countTogether = (times: readonly number[]): number => times.filter(at => at >= back).filter((at, index, all) => index > 0 && at - all[index - 1] < 100).length
  const together = [countTogether(renewals), countTogether(arrivals)]
  await stop()
  // At most two are sent before a stream counts as silent, and their cancellations arrive with them.
  assert.ok(together[0] <= 1 && together[1] <= 2, `${together.join(' and ')} renewals came together`)
})

test.run()
