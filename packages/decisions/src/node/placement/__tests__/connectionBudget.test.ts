import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { planConnections } from '../connectionBudget.js'

// Connections that are idle in a loss of power are not available to the first statements after it.
test('idle connections of all instances take more than 0.8 of a server', () => {
  for (const [connections, instances] of [[23, 8], [46, 9], [52, 66], [240, 71], [3, 1]]) {
    const { idle } = planConnections(connections, instances)
    assert.ok(idle * instances <= connections * 0.8, `${connections} for ${instances}`)
  }
})

// With half of the connections idle at most, a fifth of the operations waited for a new one.
test('an instance closes idle connections that fit into 0.8 of its share', () => {
  for (const [connections, instances] of [[23, 4], [46, 9], [135, 6], [240, 6]]) {
    const { idle } = planConnections(connections, instances)
    assert.ok(idle + 1 > (connections - 2) * 0.8 / instances, `${connections} for ${instances}`)
  }
})

test('an instance opens its even share, and one more', () => {
  assert.equal(planConnections(23, 8), { maximum: 3, idle: 2 })
  assert.equal(planConnections(46, 9), { maximum: 5, idle: 3 })
})

test('with more instances than connections each opens one and keeps none idle', () => {
  assert.equal(planConnections(52, 66), { maximum: 1, idle: 0 })
  assert.equal(planConnections(0, 0), { maximum: 1, idle: 0 })
})

test.run()
