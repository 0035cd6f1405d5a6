import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { assessCutStatement } from '../cutStatement.js'

test('a statement that may have taken effect is said to keep nothing', () => {
  assert.is(assessCutStatement({ access: 'write', isInTransaction: false, hasWritten: false }), 'in doubt')
  assert.is(assessCutStatement({ access: 'commit', isInTransaction: true, hasWritten: true }), 'in doubt')
})

test('a statement that keeps nothing is in doubt', () => {
  assert.is(assessCutStatement({ access: 'read', isInTransaction: false, hasWritten: false }), 'timeout')
  assert.is(assessCutStatement({ access: 'begin', isInTransaction: false, hasWritten: false }), 'busy')
  assert.is(assessCutStatement({ access: 'commit', isInTransaction: true, hasWritten: false }), 'aborted')
  for (const access of ['read', 'write'] as const) assert.is(assessCutStatement({ access, isInTransaction: true, hasWritten: true }), 'aborted')
})

test.run()
