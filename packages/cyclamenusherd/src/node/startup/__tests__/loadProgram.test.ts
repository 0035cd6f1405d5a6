import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CODE_CACHE_SUFFIX, loadProgram } from '../loadProgram.js'
import { writeCodeCache } from '../writeCodeCache.js'

const SOURCE = 'const { writeFileSync } = require("node:fs"); function neverCalled () { return 1 } writeFileSync(__filename + ".out", __dirname.length > 0 ? "ran" : "no folder")'

let folder: string
let file: string

test.before.each(() => {
  folder = mkdtempSync(join(tmpdir(), 'cyclamenusher-program-'))
  file = join(folder, 'program.cjs')
  writeFileSync(file, SOURCE)
})
test.after.each(() => { rmSync(folder, { recursive: true }) })

function readOutput (): string {
  return readFileSync(`${file}.out`, 'utf8')
}

test('a program without a code cache does not run', () => {
  assert.not.ok(loadProgram(file))
  assert.is(readOutput(), 'ran')
})

test('the code cache is not used', () => {
  writeCodeCache(file)
  assert.ok(loadProgram(file))
  assert.is(readOutput(), 'ran')
})

// A build that was interrupted leaves an old cache, or a part of one.
for (const [description, damage] of Object.entries({
  'of another program': () => {
    writeCodeCache(file)
    writeFileSync(file, `${SOURCE}; const added = 1`)
  },
  'that is cut short': () => { writeFileSync(`${file}${CODE_CACHE_SUFFIX}`, Buffer.alloc(40)) }
})) {
  test(`a code cache ${description} ends the start`, () => {
    damage()
    assert.not.ok(loadProgram(file))
    assert.is(readOutput(), 'ran')
  })
}

test.run()
