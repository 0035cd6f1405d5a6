// Runs each test file in its own process and adds up the results that uvu reports.
// Files named *.abuse.test.ts bound the memory of processes under load; they run one at
// a time, after all others. Tests listed in KNOWN-RED.txt may fail; all others must pass. A file that reports
// no test counts as failed.
import { spawn } from 'node:child_process'
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

/** Number of test files that run concurrently. */
const PARALLEL_FILES = 4
/** Files that run alone. */
const ABUSE_TEST = /\.abuse\.test\.ts$/
/** Time after which a file counts as hung, in milliseconds. */
const FILE_TIMEOUT_MILLISECONDS = 120_000
/** The same for files that run alone, which restart processes between tests. */
const ABUSE_FILE_TIMEOUT_MILLISECONDS = 600_000

function findTests (folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
    if (entry.name === 'node_modules' || entry.name === 'dist') return []
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return findTests(path)
    return /\.test\.ts$/.test(entry.name) && folder.endsWith('__tests__') ? [path] : []
  })
}

/** Reads the entries of KNOWN-RED.txt, one a line: "file :: test name :: command and seed :: what was seen :: issue". */
function readKnownRed () {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8').split('\n')
    .filter(line => line.trim() !== '' && !line.startsWith('#'))
    .map(line => {
      const [file, name, ...rest] = line.split(' :: ')
      return { file, name, rest: rest.join(' :: ') }
    })
}

async function runFile (file) {
  const child = spawn(process.execPath, ['--import', 'tsx', file], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' } })
  let output = ''
  child.stdout.on('data', chunk => { output += chunk })
  child.stderr.on('data', chunk => { output += chunk })
  let timedOut = false
  const timer = setTimeout(() => {
    timedOut = true
    child.kill('SIGKILL')
  }, ABUSE_TEST.test(file) ? ABUSE_FILE_TIMEOUT_MILLISECONDS : FILE_TIMEOUT_MILLISECONDS)
  const code = await new Promise(resolve => child.once('close', resolve))
  clearTimeout(timer)
  const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? 0)
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0)
  const failures = [...output.matchAll(/^\s*FAIL\s+(?:\S+\s+)?"(.*)"\s*$/gm)].map(match => match[1])
  const skipped = Number(/Skipped:\s+(\d+)/.exec(output)?.[1] ?? 0)
  // When a hook throws, uvu ends the file without reporting the remaining tests.
  const unreported = total - passed - skipped - failures.length
  const problem = timedOut ? 'it hung' : total === 0 ? 'it ran no test' : unreported > 0 ? `${unreported} tests did not run to their end` : code !== 0 && failures.length === 0 ? `it ended with code ${code}` : undefined
  return { file, passed, failures, problem, output }
}

async function runConcurrently (files, parallelFiles) {
  const results = []
  const queue = [...files]
  await Promise.all(Array.from({ length: parallelFiles }, async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) results.push(await runFile(file))
  }))
  return results
}

async function runAll (files) {
  const results = await runConcurrently(files.filter(file => !ABUSE_TEST.test(file)), PARALLEL_FILES)
  results.push(...await runConcurrently(files.filter(file => ABUSE_TEST.test(file)), 1))
  return results.sort((left, right) => left.file < right.file ? -1 : 1)
}

const pathParts = process.argv.slice(2)
const files = ['packages', 'platform', 'playground'].flatMap(findTests).filter(file => pathParts.length === 0 || pathParts.some(part => file.includes(part)))
const knownRed = readKnownRed()
let passed = 0
let failed = 0
for (const { file, passed: filePassed, failures, problem, output } of await runAll(files)) {
  passed += filePassed
  const knownFailures = failures.filter(name => knownRed.some(entry => entry.file === file && entry.name === name))
  const newFailures = failures.filter(name => !knownFailures.includes(name))
  for (const name of knownFailures) console.log(`known red: ${file} :: ${name} :: ${knownRed.find(entry => entry.file === file && entry.name === name).rest}`)
  failed += newFailures.length + (problem === undefined ? 0 : 1)
  const verdict = newFailures.length > 0 || problem !== undefined ? 'FAIL' : 'ok'
  console.log(`${verdict.padEnd(4)} ${file} (${filePassed} passed${failures.length > 0 ? `, ${failures.length} failed` : ''}${problem === undefined ? '' : `, ${problem}`})`)
  if (verdict === 'FAIL') console.log(output)
}
for (const { file, name, rest } of knownRed) {
  // Entries of the bench name a day, not a file.
  if (file === 'bench') console.log(`known red: bench :: ${name} :: ${rest}`)
  else if (!files.includes(file) && pathParts.length === 0) console.log(`KNOWN-RED.txt names ${file} (${name}), which does not exist: remove the entry.`)
}
if (files.length === 0) failed += 1
console.log(`${passed} passed, ${failed} failed`)
process.exitCode = failed === 0 ? 0 : 1
