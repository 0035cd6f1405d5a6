import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { WORKSPACE_FOLDER } from '@cyclamenusher/stand-ins'
import { MUTATIONS } from '../mutations.js'

// A mutant whose text has moved on is noticed only in a run of all of them.
test('the text that a mutation replaces is in the source', () => {
  const edits = Object.values(MUTATIONS).flatMap(mutation => mutation.edits)
  assert.ok(edits.length > 0)
  const missing = edits.filter(({ file, find }) => !readFileSync(join(WORKSPACE_FOLDER, 'packages', file), 'utf8').includes(find))
  assert.equal(missing.map(({ file, find }) => `${file}: ${find}`), [])
})

test.run()
