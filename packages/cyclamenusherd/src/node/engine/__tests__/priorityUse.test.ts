import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UNKNOWN_LAG } from '@cyclamenusher/decisions'
import { createPriorityUse } from '../priorityUse.js'
import type { ServerLoad } from '@cyclamenusher/decisions'
import type { ServerConnection } from '../serverConnection.js'
import type { PriorityUse } from '../priorityUse.js'

const CONNECTIONS = 6
const LOAD: ServerLoad = { member: 'p', isPrimary: true, slots: 4, outstanding: 0, allowed: CONNECTIONS, averageMilliseconds: 10, answeredAt: 0, failing: false, leaving: false, connection: 'spare', lag: UNKNOWN_LAG }

let inUse: ServerConnection[]
let use: PriorityUse

test.before.each(() => {
  inUse = []
  use = createPriorityUse(() => new Map([['p', inUse]]))
  use.recordRequest(0, 0)
  use.recordRequest(2, 0)
})

function acquire (priority: number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    const connection = {} as ServerConnection
    inUse.push(connection)
    use.assign(connection, priority)
  }
}

test('the last connections are for the most urgent priority', () => {
  acquire(2, CONNECTIONS - 1)
  assert.is(use.limitLoad(LOAD, 2, CONNECTIONS, 1).connection, 'none')
  assert.is(use.limitLoad(LOAD, 0, CONNECTIONS, 1).connection, 'spare')
})

// Guards against places that stay taken by connections that were lost without a release.
test('a connection that is no longer in use does not count', () => {
  acquire(2, CONNECTIONS - 1)
  inUse.pop()
  assert.is(use.limitLoad(LOAD, 2, CONNECTIONS, 1).connection, 'spare')
})

test('a connection that is being opened counts until it is open', () => {
  const ends = Array.from({ length: CONNECTIONS - 1 }, () => use.startOpening('p', 2))
  assert.is(use.limitLoad(LOAD, 2, CONNECTIONS, 1).connection, 'none')
  for (const end of ends) end()
  assert.is(use.limitLoad(LOAD, 2, CONNECTIONS, 1).connection, 'spare')
})

// Guards against a least urgent request that waits while urgent ones take every place.
test('urgent requests leave a place to a least urgent one that has waited long', () => {
  use.recordWaiting([{ priority: 2, queuedAt: 0, objective: 600, deadline: 3_000 }], 200)
  assert.is(use.limitLoad(LOAD, 0, CONNECTIONS, 200).allowed, CONNECTIONS - 1)
  assert.is(use.limitLoad(LOAD, 2, CONNECTIONS, 200).allowed, CONNECTIONS)
  acquire(2, 1)
  assert.is(use.limitLoad(LOAD, 0, CONNECTIONS, 200).allowed, CONNECTIONS)
})

// Guards against a change for deployments that declare one priority only.
test('a priority that is only supposed to arrive is recorded', () => {
  use = createPriorityUse(() => new Map())
  use.recordRequest(1, 0)
  assert.equal(use.rangeWith(2, 1), { mostUrgent: 1, leastUrgent: 2 })
  assert.is(use.range(1), undefined)
})

test('with a single priority in use the load is unchanged', () => {
  use = createPriorityUse(() => new Map([['p', inUse]]))
  use.recordRequest(1, 0)
  acquire(1, CONNECTIONS - 1)
  assert.is(use.limitLoad(LOAD, 1, CONNECTIONS, 1), LOAD)
})

test.run()
