import { readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { renderSettings } from '../settingsTable.js'

test('the operators\' page lists every setting as it is checked', () => {
  const page = readFileSync('docs/OPERATORS.md', 'utf8')
  assert.ok(page.includes(renderSettings()), 'npm run settings-page writes the list into docs/OPERATORS.md anew')
})

test.run()
