/** Runs a case: keeps its record, ends everything that it started, and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run. */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** A case runs for 120 s at most. */
const TIME_LIMIT_MILLISECONDS = 110_000

export const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

/** Resolves with whether the condition held before the time was over. */
export async function waitFor (condition, milliseconds) {
  const until = performance.now() + milliseconds
  while (!condition()) {
    if (performance.now() > until) return false
    await pause(10)
  }
  return true
}

/** `play` gets `record`, `trouble` and `onEnd`, and resolves with { broken, summary }; it throws where the case could not run. */
export async function runCase (folder, play) {
  const startedAt = performance.now()
  const lines = []
  const closers = []
  const trouble = process.env.TROUBLE !== '0'
  const record = text => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`) }

  async function finish (code, summary) {
    record(summary)
    for (const close of closers.reverse()) await close()
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
    console.log(summary)
    process.exit(code)
  }

  record(trouble ? 'with the disruption' : 'without the disruption')
  setTimeout(() => { finish(2, 'could not run: out of time') }, TIME_LIMIT_MILLISECONDS)
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { finish(2, `could not run: ${signal}`) })
  for (const event of ['uncaughtException', 'unhandledRejection']) process.once(event, error => { finish(2, `could not run: ${error?.stack}`) })
  try {
    const { broken, summary } = await play({ record, trouble, onEnd: close => { closers.push(close) } })
    await finish(broken ? 1 : 0, `${broken ? 'BROKEN' : 'held'}: ${summary}`)
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`)
  }
}
