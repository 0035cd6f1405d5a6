import { test } from 'uvu'
import { eventually, useHarness } from './harness.js'
import type { Socket } from 'node:net'

// The request's own time limit, 30 s by default, was the only bound.
test('a caller that stops to read its answer keeps the connection to the server', async () => {
  await useHarness({ requestMilliseconds: 60_000, unreadAnswerMilliseconds: 300 }, async ({ connect, busyRequests, callers }) => {
    const caller = await connect()
    const { stream } = (caller as unknown as { connection: { stream: Socket } }).connection
    caller.query("select repeat('x', 10000) from generate_series(1, 10000)").catch(() => {})
    await eventually('the request does not run', () => busyRequests() === 1)
    stream.pause()
    await eventually('the connection is still in use', () => busyRequests() === 0, 20_000)
    await eventually('the caller is still connected', () => callers.count() === 0, 20_000)
  })
})

test.run()
