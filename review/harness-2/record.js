/** Writes what was sent, answered and run to `record.txt` in a case's folder. */

import { closeSync, openSync, writeSync } from 'node:fs'
import { join } from 'node:path'

export function createRecord (folder) {
  const file = openSync(join(folder, 'record.txt'), 'w')
  const startedAt = performance.now()
  return {
    write: (what, facts = {}) => { writeSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${what} ${JSON.stringify(facts)}\n`) },
    close: () => { closeSync(file) }
  }
}

/** Runs a case, and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, run) {
  const record = createRecord(folder)
  const cleanUps = []
  const watchdog = setTimeout(() => { finish(2, 'the case took too long') }, 115_000)
  let finished = false
  async function finish (code, reason) {
    if (finished) return
    finished = true
    clearTimeout(watchdog)
    record.write('result', { code, reason })
    console.log(`${['held', 'BROKEN', 'could not run'][code]}: ${reason}`)
    for (const cleanUp of cleanUps.reverse()) await cleanUp()
    record.close()
    process.exit(code)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(2, signal) })
  try {
    const { broken, reason } = await run({ record: record.write, onEnd: cleanUp => { cleanUps.push(cleanUp) }, hasTrouble: process.env.TROUBLE !== '0' })
    await finish(broken ? 1 : 0, reason)
  } catch (error) {
    await finish(2, error.stack)
  }
}
