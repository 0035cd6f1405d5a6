import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createDelayedAction } from '../delayedAction.js'

async function waitForRuns (runCount: () => number, expected: number): Promise<void> {
  while (runCount() < expected) await new Promise(resolve => setTimeout(resolve, 1))
}

test('requests within the delay run the action once, a later one runs it again', async () => {
  let times = 0
  const action = createDelayedAction(5, () => { times += 1 })
  action.request()
  action.request()
  action.request()
  assert.is(times, 0)
  await waitForRuns(() => times, 1)
  action.request()
  await waitForRuns(() => times, 2)
  assert.is(times, 2)
  action.close()
})

test('a closed action does not run', async () => {
  let times = 0
  const action = createDelayedAction(1, () => { times += 1 })
  action.request()
  action.close()
  await new Promise(resolve => setTimeout(resolve, 20))
  assert.is(times, 0)
})

test.run()
