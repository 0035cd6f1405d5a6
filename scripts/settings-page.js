// Replaces the list of settings in docs/OPERATORS.md with the output of `cyclamenusherd --settings`.
import { execFileSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'

const PAGE = 'docs/OPERATORS.md'
const LIST_HEADING = '`cyclamenusherd --settings` prints this list.\n\n'
const page = readFileSync(PAGE, 'utf8')
const list = execFileSync(process.execPath, ['packages/cyclamenusherd/dist/main.js', '--settings'], { encoding: 'utf8' })
writeFileSync(PAGE, page.slice(0, page.indexOf(LIST_HEADING) + LIST_HEADING.length) + list)
