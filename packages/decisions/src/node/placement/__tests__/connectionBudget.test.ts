import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { planConnections } from '../connectionBudget.js'

test('idle connections take at most half of a server, for a return after a power loss', () => {
  for (const [connections, instances] of [[23, 8], [46, 9], [52, 66], [240, 71], [3, 1]]) {
    const { idle } = planConnections(connections, instances)
    assert.ok(idle * instances <= connections / 2, `${connections} for ${instances}`)
  }
})

test('an instance opens its even share, and one more', () => {
  assert.equal(planConnections(23, 8), { maximum: 3, idle: 1 })
  assert.equal(planConnections(46, 9), { maximum: 5, idle: 2 })
})

test('with more instances than connections each opens one and keeps none idle', () => {
  assert.equal(planConnections(52, 66), { maximum: 1, idle: 0 })
  assert.equal(planConnections(0, 0), { maximum: 1, idle: 0 })
})

test.run()
