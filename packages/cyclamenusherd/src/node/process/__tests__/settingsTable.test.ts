import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { renderSettings } from '../settingsTable.js'

test('the operators\' page lists every setting', () => {
  const page = readFileSync('docs/OPERATORS.md', 'utf8')
  assert.ok(page.includes(renderSettings()), 'run npm run settings-page to update the list in docs/OPERATORS.md')
})

test.run()
