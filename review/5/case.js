/** An entry instance freezes, control's leader is killed meanwhile, and the rate share of the frozen instance is given to others as well. */

import { fileURLToPath } from 'node:url'
import { createId, openSession } from '../harness/clients.js'
import { pause, runCase } from '../harness/case.js'
import { startSystem } from '../harness/setup.js'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))

const RATE = 85
const BURST = 85
const WINDOW_SECONDS = 5
const OVERAGE = 0.1
const TOLERANCE = 20
/** The rule's bound on the operations that servers run in a window. */
const BOUND = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + TOLERANCE
const FREEZE_MILLISECONDS = 3_900
const RESTART_MILLISECONDS = 500
/** Callers send for so long before the frozen instance wakes. */
const EARLIER_MILLISECONDS = 200
const FROZEN = 'entry-2'

/** Most operations that were sent and ran within a window. */
function countMost (operations) {
  const counts = operations.map(({ sent: start }) => operations.filter(({ sent, ran }) => sent >= start && ran <= start + WINDOW_SECONDS * 1_000).length)
  return Math.max(...counts)
}

await runCase(FOLDER, async ({ record, trouble, onEnd }) => {
  const runs = []
  const { deployment } = await startSystem({ record, onEnd, entries: 9, limits: { ratePerSecond: RATE, burst: BURST }, onRun: run => { runs.push(run) } })
  const counts = { sent: 0, refused: 0 }
  const sentAt = new Map()

  async function openSessions (hosts, count) {
    const opened = await Promise.all(hosts.flatMap(host => Array.from({ length: count }, async () => await openSession({ host, port: deployment.ports.callers, database: 'db-bounded', key: 'key-of-tenant-1' }))))
    return opened.filter(session => session !== undefined)
  }

  /** Sends reads on a session, one after another, until the time is over. */
  async function press (session, pauseMilliseconds, until) {
    for (let number = 0; performance.now() < until() && !session.isClosed(); number += 1) {
      const id = createId()
      sentAt.set(id, performance.now())
      const { code } = await session.query(`FETCH item-${number}`, id)
      counts.sent += 1
      if (code !== 'COMPLETE') counts.refused += 1
      await pause(pauseMilliseconds)
    }
  }

  const frozenHost = deployment.machines.get(FROZEN).host
  const otherHosts = deployment.entryHosts().filter(host => host !== frozenHost)
  const atFrozen = await openSessions([frozenHost], 70)
  const atOthers = await openSessions(otherHosts, 8)
  // The tenant's callers are at one instance first.
  const firstUntil = performance.now() + 8_000
  await Promise.all(atFrozen.map(async session => { await press(session, 900, () => firstUntil) }))
  record(`${counts.sent} operations at ${FROZEN}, ${counts.refused} refused`)
  const leader = deployment.findLeader()
  if (trouble) {
    deployment.signal(FROZEN, 'SIGSTOP')
    await pause(100)
    deployment.signal(leader, 'SIGKILL')
    await pause(RESTART_MILLISECONDS)
    deployment.restart(leader)
    await pause(FREEZE_MILLISECONDS - RESTART_MILLISECONDS - 100 - EARLIER_MILLISECONDS)
    setTimeout(() => { deployment.signal(FROZEN, 'SIGCONT') }, EARLIER_MILLISECONDS)
  } else {
    await pause(FREEZE_MILLISECONDS)
  }
  // Now they are everywhere, and ask for more than the tenant's limit.
  Object.assign(counts, { sent: 0, refused: 0 })
  const until = performance.now() + 8_000
  await Promise.all([...atFrozen, ...atOthers].map(async session => { await press(session, 250, () => until) }))
  record(`${counts.sent} operations at all instances, ${counts.refused} refused; new leader ${deployment.findLeader()}`)
  await pause(500)
  const most = countMost(runs.filter(({ account }) => account === 'tenant-1').map(({ id, at }) => ({ sent: sentAt.get(id) ?? -Infinity, ran: at })))
  for (const { id, at, database } of runs) record(`run: ${id} at ${(at / 1000).toFixed(3)} by ${database.id}, sent at ${((sentAt.get(id) ?? NaN) / 1000).toFixed(3)}`)
  return { broken: most > BOUND, summary: `servers ran ${most} operations of the tenant within ${WINDOW_SECONDS} s; the bound is ${BOUND}` }
})
