import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { computePriorityLimit, computeReservedUse, countReserved, findPriorityRange, isStarved, mayAcquireConnection } from '../priorityReserve.js'

const PRIORITIES = { mostUrgent: 0, leastUrgent: 2 }
const USE = { allowed: 8, maximum: 8, priorities: PRIORITIES, leastUrgentStarved: false }

// Guards against a change for deployments that declare one priority only.
test('a single priority has no range', () => {
  assert.is(findPriorityRange(new Map([[1, 1_000]]), 1_000), undefined)
  assert.is(findPriorityRange(new Map(), 1_000), undefined)
})

// Guards against a reserve for a priority that nobody uses any more.
test('only priorities that were requested lately are in use', () => {
  assert.equal(findPriorityRange(new Map([[0, 1_000], [2, 2_000]]), 3_000), PRIORITIES)
  assert.is(findPriorityRange(new Map([[0, 1_000], [2, 9_000]]), 9_000), undefined)
})

// Guards against slots that are all taken by less urgent statements.
test('a part of the allowed statements is open to the most urgent priority only', () => {
  assert.is(computePriorityLimit({ ...USE, priority: 0 }), 8)
  assert.is(computePriorityLimit({ ...USE, priority: 1 }), 6)
  assert.is(computePriorityLimit({ ...USE, priority: 2 }), 6)
})

// Guards against an urgent statement that waits for a long one at an instance that may send a single one.
test('where one statement is allowed, an urgent one may be sent besides', () => {
  assert.is(computePriorityLimit({ ...USE, allowed: 1, priority: 0 }), 2)
  assert.is(computePriorityLimit({ ...USE, allowed: 1, priority: 1 }), 1)
})

// Guards against limits above the number of connections.
test('the connections bound the statements of all priorities', () => {
  for (const priority of [0, 1, 2]) assert.is(computePriorityLimit({ ...USE, allowed: 1, maximum: 1, priority }), 1)
})

// Guards against starvation by a burst of urgent statements.
test('a starved least urgent priority gets a place that the others leave free', () => {
  assert.is(computePriorityLimit({ ...USE, priority: 2, leastUrgentStarved: true }), 8)
  assert.is(computePriorityLimit({ ...USE, priority: 0, leastUrgentStarved: true }), 7)
})

test('the least urgent priority is starved if it waits long and has nothing outstanding', () => {
  const waiting = { queuedAt: 1_000, objective: 1_600 }
  assert.not.ok(isStarved(0, undefined, 2_000))
  assert.not.ok(isStarved(1, waiting, 2_000))
  assert.not.ok(isStarved(0, waiting, 1_050))
  assert.ok(isStarved(0, waiting, 1_200))
})

// Guards against transactions of less urgent priorities that hold all connections while they are idle.
test('some connections are kept for the most urgent priority', () => {
  const use = { maximum: 8, priorities: PRIORITIES, leastUrgentStarved: false }
  assert.ok(mayAcquireConnection(7, { ...use, priority: 0 }))
  assert.ok(mayAcquireConnection(5, { ...use, priority: 1 }))
  assert.not.ok(mayAcquireConnection(6, { ...use, priority: 1 }))
  assert.ok(mayAcquireConnection(0, { ...use, maximum: 1, priority: 1 }))
  assert.ok(mayAcquireConnection(6, { ...use, priority: 2, leastUrgentStarved: true }))
})

test('the use of the reserve is the part that other priorities could not have taken', () => {
  assert.is(countReserved(8), 2)
  assert.is(computeReservedUse(8, 8, 6), 0)
  assert.is(computeReservedUse(8, 8, 7), 0.5)
  assert.is(computeReservedUse(8, 8, 8), 1)
})

test.run()
